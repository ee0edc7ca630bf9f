package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings of a table.
type Settings struct {
	// Ends is how many workers end under a request before it is barred. The users' rule counts from the third.
	CrashLimit int
	// MostEnds is how many end before it is barred although others may have ended them: two more, which the three retries that the users'
	// rule leaves allow. One that does no harm is tried four times at the most, by two gateways.
	AmbiguousCrashLimit int
	// Moment is how far apart two ends are at the least to count as two: a kill of a zone or a rack ends many workers within some
	// milliseconds, and a request that is asked often ran at several of them. One that ends workers itself takes longer from one try to
	// the next.
	MinCrashInterval time.Duration
	// Settle is how long after an end it is waited for what other gateways have to tell of it, before anything is barred for it: some
	// times what a datagram takes between regions.
	SettleDelay time.Duration
	// Bar is how long a request is barred for the first time; each further time it is barred twice as long, up to LongestBar. Each
	// release may cost a worker.
	BarDuration, MaxBarDuration time.Duration
	// Memory is how long an end counts against a request that does not come again: longer than a caller repeats by itself.
	CrashRetention time.Duration
	// Trust is how long it is remembered that a request ended well, which voids what others still tell of before: many messages that tell
	// everything. It is told for GoodTold.
	SuccessRetention, SuccessShareTime time.Duration
	// MostSuspects and MostBarred bound what is kept; the oldest go first.
	MaxSuspects, MaxBarred int
	// MostTold bounds the ends, and the bars, in one message: 128 ends take some 4 KB of a datagram.
	MaxPerUpdate int
}

// DefaultSettings suit the users' deployments.
func DefaultSettings() Settings {
	return Settings{
		CrashLimit: 3, AmbiguousCrashLimit: 5, MinCrashInterval: 30 * time.Millisecond, SettleDelay: 200 * time.Millisecond, BarDuration: 10 * time.Minute,
		MaxBarDuration: 24 * time.Hour, CrashRetention: 10 * time.Minute, SuccessRetention: 30 * time.Second, SuccessShareTime: 3 * time.Second, MaxSuspects: 4096, MaxBarred: 1024,
		MaxPerUpdate: 128,
	}
}

// Standing is what is held of a request.
type Standing int

// The standings.
const (
	// Clear is a request against which nothing speaks.
	Clear Standing = iota
	// Excused is one under which workers ended each time at the moment at which others ended where it did not run: a rack or a zone went.
	// Its ends count, and it need not be kept from workers before there are enough.
	Excused
	// Suspected is one under which a worker has ended.
	Suspected
	// Judged is one under which so many ended that it may be barred once all have told what they saw: within Settle.
	Judged
	// Barred is one that goes to no worker.
	Barred
)

// suspect is what is known of one request.
type suspect struct {
	// ends are the workers that ended under it, with when their connections broke, or when that was heard.
	crashes map[string]time.Time
	// last is when an end or a bar was heard of last.
	lastReport time.Time
	// times it was barred, since when and until when.
	barCount                 int
	barredSince, barredUntil time.Time
	// goodAt is when it ended well last, or was released: ends and bars of before are void. Zero is never.
	succeededAt time.Time
	// rule and tenant are empty until this gateway has seen the request itself, or heard of its bar.
	rule, tenant string
}

// bar returns a suspect as a bar.
func (s *suspect) bar(digest Digest) Bar {
	return Bar{
		Asked: digest, Rule: s.rule, Tenant: s.tenant, Workers: slices.Sorted(maps.Keys(s.crashes)), Times: s.barCount, Since: s.barredSince, Until: s.barredUntil,
		LastReport: s.lastReport,
	}
}

// Table holds which requests workers ended under. It is a pure state machine: it has no clock, and it is not safe for concurrent use.
//
// An end is one incarnation of a worker; hearing of it again changes nothing, so that tables which have heard the same hold the same,
// in whatever order they heard it. An end under a request that is or was barred is put down to that one: it is explained, and does not
// count against others that ran there.
//
// Invariant: a request is barred only after Ends different workers ended under it, each Moment or more after the one before, since it last
// ended well.
type Table struct {
	settings Settings
	suspects map[Digest]*suspect
	// under are the suspects that ran at each worker that ended.
	suspectsByWorker map[string]map[Digest]bool
	// pending are the suspects that are to be judged once nothing more is heard of them for Settle.
	pending map[Digest]bool
	// untold are the ends that were not told yet, and news the requests whose bar or good end was not.
	unsentCrashes []Crash
	unsentChanges map[Digest]bool
}

// NewTable returns a table that knows nothing.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings, suspects: map[Digest]*suspect{}, suspectsByWorker: map[string]map[Digest]bool{}, pending: map[Digest]bool{},
		unsentChanges: map[Digest]bool{},
	}
}

// Empty tells whether nothing is held of any request.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// Standing returns what is held of a request, with the workers that ended under it and, of one that is barred, until when.
func (t *Table) Standing(now time.Time, digest Digest) (Standing, Bar) {
	entry, found := t.suspects[digest]
	if !found {
		return Clear, Bar{}
	}
	t.expireCrashes(now, digest, entry)
	switch {
	case now.Before(entry.barredUntil):
		return Barred, entry.bar(digest)
	case t.pending[digest] && t.shouldBar(digest, entry):
		return Judged, entry.bar(digest)
	case entry.barCount > 0 || len(t.unattributed(digest, entry)) > 0:
		if entry.barCount == 0 && t.allCrashesCorrelated(entry) {
			return Excused, entry.bar(digest)
		}
		bar := entry.bar(digest)
		bar.Moments = t.distinctCrashes(entry, slices.Clone(bar.Workers))
		return Suspected, bar
	default:
		return Clear, Bar{}
	}
}

// Ended notes that a worker ended under a request of a rule and a tenant at this gateway, whose connection broke at a moment before.
func (t *Table) RecordCrash(now, brokenAt time.Time, crash Crash, rule, tenant string) {
	t.mergeCrash(now, brokenAt, crash)
	if entry, found := t.suspects[crash.Digest]; found {
		entry.rule, entry.tenant = rule, tenant
	}
}

// note takes one end of a moment.
func (t *Table) mergeCrash(now, at time.Time, crash Crash) {
	entry, found := t.suspects[crash.Digest]
	if found && !at.After(entry.succeededAt) {
		return
	}
	if !found {
		t.evict(now)
		entry = &suspect{crashes: map[string]time.Time{}}
		t.suspects[crash.Digest] = entry
	}
	t.expireCrashes(now, crash.Digest, entry)
	if _, known := entry.crashes[crash.Worker]; known {
		return
	}
	t.addCrash(at, crash.Digest, entry, crash.Worker)
	entry.lastReport = now
	if len(t.unsentCrashes) < t.settings.MaxSuspects {
		t.unsentCrashes = append(t.unsentCrashes, crash)
	}
	if !now.Before(entry.barredUntil) {
		t.pending[crash.Digest] = true
	}
}

// addEnd notes that a worker ended under a suspect at a moment.
func (t *Table) addCrash(at time.Time, digest Digest, entry *suspect, worker string) {
	entry.crashes[worker] = at
	if t.suspectsByWorker[worker] == nil {
		t.suspectsByWorker[worker] = map[Digest]bool{}
	}
	t.suspectsByWorker[worker][digest] = true
}

// unexplained returns the workers whose ends under a suspect are not put down to another request.
func (t *Table) unattributed(digest Digest, entry *suspect) []string {
	var workers []string
	for worker := range entry.crashes {
		if !t.attributed(worker, digest) {
			workers = append(workers, worker)
		}
	}
	return workers
}

// explained tells whether the end of a worker is put down to another request than a suspect.
func (t *Table) attributed(worker string, digest Digest) bool {
	for other := range t.suspectsByWorker[worker] {
		if other != digest && t.suspects[other].barCount > 0 {
			return true
		}
	}
	return false
}

// excused tells whether each worker under a suspect ended together with others where it did not run.
func (t *Table) allCrashesCorrelated(entry *suspect) bool {
	for _, at := range entry.crashes {
		if !t.otherWorkerCrashed(entry, at) {
			return false
		}
	}
	return true
}

// othersEnded tells whether a worker at which a suspect did not run ended within Moment of a time.
func (t *Table) otherWorkerCrashed(entry *suspect, at time.Time) bool {
	for worker, suspects := range t.suspectsByWorker {
		if _, here := entry.crashes[worker]; here {
			continue
		}
		for digest := range suspects {
			if t.suspects[digest].crashes[worker].Sub(at).Abs() < t.settings.MinCrashInterval {
				return true
			}
			break
		}
	}
	return false
}

// EndedWell notes that a request ran to a good end at a moment: no worker ended because of it until then. It returns what was held of it
// before, if that is void now.
func (t *Table) RecordSuccess(now, at time.Time, digest Digest) Standing {
	entry, found := t.suspects[digest]
	if !found || !at.After(entry.succeededAt) || (len(entry.crashes) == 0 && entry.barCount == 0) {
		return Clear
	}
	before, _ := t.Standing(now, digest)
	for other := range t.clearUntil(at, digest, entry) {
		if otherEntry := t.suspects[other]; otherEntry.barCount == 0 {
			// What could not be told apart before may be now.
			t.pending[other] = true
		}
	}
	if after, _ := t.Standing(now, digest); after != Clear {
		return Clear
	}
	return before
}

// pardon voids all that speaks against a request up to a moment. It returns the other suspects that ran where workers ended under it.
func (t *Table) clearUntil(at time.Time, digest Digest, entry *suspect) map[Digest]bool {
	others := map[Digest]bool{}
	for worker, crashedAt := range entry.crashes {
		if crashedAt.After(at) {
			continue
		}
		delete(entry.crashes, worker)
		t.unindexCrash(digest, worker)
		maps.Copy(others, t.suspectsByWorker[worker])
	}
	if !entry.barredSince.After(at) {
		entry.barCount, entry.barredSince, entry.barredUntil = 0, time.Time{}, time.Time{}
	}
	if len(entry.crashes) == 0 {
		delete(t.pending, digest)
	}
	entry.succeededAt = at
	t.unsentChanges[digest] = true
	return others
}

// drop forgets a suspect.
func (t *Table) removeSuspect(digest Digest) {
	for worker := range t.suspects[digest].crashes {
		t.unindexCrash(digest, worker)
	}
	delete(t.suspects, digest)
	delete(t.pending, digest)
	delete(t.unsentChanges, digest)
}

// forgetEnd forgets that a worker ended under a suspect, as far as others are concerned.
func (t *Table) unindexCrash(digest Digest, worker string) {
	delete(t.suspectsByWorker[worker], digest)
	if len(t.suspectsByWorker[worker]) == 0 {
		delete(t.suspectsByWorker, worker)
	}
}

// Bar bars a request by the word of another gateway or of the store. It tells whether that is new.
func (t *Table) ApplyBar(now time.Time, bar Bar) bool {
	entry, found := t.suspects[bar.Asked]
	if found && entry.barCount > 0 && entry.rule == "" {
		// It was barred here by the word of others, who did not tell of its rule.
		entry.rule, entry.tenant = bar.Rule, bar.Tenant
	}
	isKnown := found && now.Before(entry.barredUntil) && bar.Times <= entry.barCount
	if isKnown || (found && (!bar.Since.After(entry.succeededAt) || !bar.Since.After(entry.barredSince.Add(barTimeTolerance)))) {
		return false
	}
	if !found {
		t.evict(now)
		entry = &suspect{crashes: map[string]time.Time{}}
		t.suspects[bar.Asked] = entry
	}
	isNew := !now.Before(entry.barredUntil)
	entry.barCount, entry.barredSince, entry.barredUntil = max(bar.Times, 1), earlier(bar.Since, now), bar.Until
	entry.lastReport = now
	if bar.Rule != "" {
		// A gateway that was only told of the ends bars without knowing the rule; one that saw the request keeps it, and tells it on.
		entry.rule, entry.tenant = bar.Rule, bar.Tenant
	}
	for _, worker := range bar.Workers {
		if _, known := entry.crashes[worker]; !known {
			t.addCrash(bar.Since, bar.Asked, entry, worker)
		}
	}
	delete(t.pending, bar.Asked)
	return isNew
}

// lapse forgets the ends that are too long ago. Those of a request that was barred count as long as it is kept.
func (t *Table) expireCrashes(now time.Time, digest Digest, entry *suspect) {
	if entry.barCount > 0 {
		return
	}
	for worker, at := range entry.crashes {
		if now.Sub(at) > t.settings.CrashRetention {
			delete(entry.crashes, worker)
			t.unindexCrash(digest, worker)
		}
	}
}

// Tidy forgets what does not count any more. It is called once in a while.
func (t *Table) Expire(now time.Time) {
	for digest, entry := range t.suspects {
		t.expireCrashes(now, digest, entry)
		idle := entry.barCount == 0 && len(entry.crashes) == 0 && now.Sub(entry.succeededAt) >= t.settings.SuccessRetention
		barExpired := entry.barCount > 0 && now.Sub(entry.barredUntil) > t.settings.MaxBarDuration
		if idle || barExpired {
			t.removeSuspect(digest)
		}
	}
}

// makeRoom drops the oldest eighth when there are too many: suspects, and those that are or were barred, each by themselves.
func (t *Table) evict(now time.Time) {
	if len(t.suspects) < min(t.settings.MaxSuspects, t.settings.MaxBarred) {
		return
	}
	t.Expire(now)
	for _, kind := range []struct {
		limit  int
		barred bool
	}{{t.settings.MaxSuspects, false}, {t.settings.MaxBarred, true}} {
		var candidates []Digest
		for digest, entry := range t.suspects {
			if (entry.barCount > 0) == kind.barred {
				candidates = append(candidates, digest)
			}
		}
		if len(candidates) < kind.limit {
			continue
		}
		slices.SortFunc(candidates, func(a, b Digest) int {
			return cmp.Or(t.suspects[a].lastReport.Compare(t.suspects[b].lastReport), slices.Compare(a[:], b[:]))
		})
		const evictFraction = 8
		for _, digest := range candidates[:len(candidates)/evictFraction+1] {
			t.removeSuspect(digest)
		}
	}
}
