package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings of a table.
type Settings struct {
	// CrashLimit is the number of worker crashes that bars a request if no other suspect ran at all of these workers.
	CrashLimit int
	// AmbiguousCrashLimit is the number of crashes that bars a request even if other suspects ran at the same workers. It exceeds the
	// four attempts that a harmless request gets at most: two each at two gateways.
	AmbiguousCrashLimit int
	// MinCrashInterval is the minimum interval between two crashes that count separately. A power loss of a rack or zone ends many workers
	// within milliseconds, and a frequent request ran at several of them; a request that crashes workers takes longer between attempts.
	MinCrashInterval time.Duration
	// SettleDelay is how long to wait for reports of other gateways after a crash before barring a request. It is several times the
	// transit time of a datagram between regions.
	SettleDelay time.Duration
	// BarDuration is the duration of the first bar of a request. It doubles with each further bar, up to MaxBarDuration, because each
	// expiry may cost a worker.
	BarDuration, MaxBarDuration time.Duration
	// CrashRetention is how long a crash counts against a request that was not barred. It is longer than callers retry automatically.
	CrashRetention time.Duration
	// SuccessRetention is how long a success is remembered, so that older crash reports are ignored: longer than several full updates.
	// SuccessShareTime is how long it is included in updates.
	SuccessRetention, SuccessShareTime time.Duration
	// MaxSuspects and MaxBarred bound the size of the table; the oldest entries are evicted first.
	MaxSuspects, MaxBarred int
	// MaxPerUpdate bounds the crashes, the successes and the bars in one update, so that it fits into a datagram with other data.
	MaxPerUpdate int
	// Parts configure how parts of prompts are barred.
	Parts PartSettings
}

// barDuration returns how long a bar lasts if it is the given one of its request or part.
func (s Settings) barDuration(number int) time.Duration {
	const maxDoublings = 16
	return min(s.BarDuration<<min(number-1, maxDoublings), s.MaxBarDuration)
}

// DefaultSettings returns the settings of a gateway.
func DefaultSettings() Settings {
	return Settings{
		CrashLimit: 3, AmbiguousCrashLimit: 5, MinCrashInterval: 30 * time.Millisecond, SettleDelay: 200 * time.Millisecond, BarDuration: 10 * time.Minute,
		MaxBarDuration: 24 * time.Hour, CrashRetention: 10 * time.Minute, SuccessRetention: 30 * time.Second, SuccessShareTime: 3 * time.Second, MaxSuspects: 4096, MaxBarred: 1024,
		MaxPerUpdate: 128, Parts: defaultPartSettings(),
	}
}

// Status classifies a request by the evidence against it.
type Status int

// The statuses, in ascending order of evidence.
const (
	// Clear means that there is no evidence against the request.
	Clear Status = iota
	// Excused means that each crash coincided with that of a worker where the request did not run, as when a rack or zone fails. The crashes
	// count, but the request is routed normally until it reaches a limit.
	Excused
	// Suspected means that a worker crashed while running the request.
	Suspected
	// Pending means that the request reached a crash limit and is barred after SettleDelay unless reports of other gateways clear it.
	Pending
	// Barred means that the request is sent to no worker.
	Barred
)

// suspect is the state of one request.
type suspect struct {
	// crashes maps the workers that crashed under the request to the time when their connections broke, or when the bar began that
	// named them.
	crashes map[string]time.Time
	// runs maps those of the workers for which they are known to the times of the runs there.
	runs map[string]runTimes
	// lastReport is when a crash or a bar was reported last.
	lastReport time.Time
	barState
	// succeededAt is when the request last succeeded or was released; earlier crashes and bars are void. It is zero if it never did.
	succeededAt time.Time
	// rule and tenant are empty until this gateway has seen the request itself or received its bar.
	rule, tenant string
}

// bar returns the state of the suspect as a Bar.
func (s *suspect) bar(digest Digest) Bar {
	return Bar{
		Digest: digest, Rule: s.rule, Tenant: s.tenant, Workers: slices.Sorted(maps.Keys(s.crashes)), Times: s.barCount, Since: s.barredSince, Until: s.barredUntil,
		Trials: s.trials, LastReport: s.lastReport,
	}
}

// Table tracks which requests were running when workers crashed. It is a pure state machine: it reads no clock, and it is not safe for
// concurrent use.
//
// A crash is identified by the incarnation of the worker, and repeated reports have no effect. So tables converge if they receive the same
// reports, in any order. Crashes under a request that is or was barred are attributed to it and do not count against other requests that
// ran at the same worker.
//
// Invariant: a request is barred only after at least CrashLimit workers crashed under it since its last success, each at least
// MinCrashInterval after the previous one and, where the start of the run is known, in a run that began after that crash.
type Table struct {
	settings Settings
	suspects map[Digest]*suspect
	// suspectsByWorker indexes the suspects by the crashed workers where they ran.
	suspectsByWorker map[string]map[Digest]bool
	// pending are the suspects to evaluate once no report about them has arrived for SettleDelay.
	pending map[Digest]bool
	// unsentCrashes are not shared yet, and unsentChanges are the requests with a bar or success that is not shared yet.
	unsentCrashes []Crash
	// unsentRuns are the suspects with times of runs that are not shared yet.
	unsentRuns map[Digest]bool
	// unsentTrials are the barred requests with a trial that is not shared yet.
	unsentTrials map[Digest]bool
	// hasRefuted is set once a success has refuted a bar of another gateway, which is to be told of it.
	hasRefuted bool
	// liftedHere are the bars of this gateway that successes at other gateways have lifted.
	liftedHere    []Digest
	unsentChanges map[Digest]bool
	// successes are repeated with full updates.
	successes *rotation[Digest]
	// evictAt is the number of entries from which on the next one may exceed a bound; looking for entries to evict takes a pass over all.
	evictAt int
	// parts explain crashes, too; nil if there are none.
	parts *partTable
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings, suspects: map[Digest]*suspect{}, suspectsByWorker: map[string]map[Digest]bool{}, pending: map[Digest]bool{},
		unsentChanges: map[Digest]bool{}, unsentRuns: map[Digest]bool{}, unsentTrials: map[Digest]bool{}, evictAt: min(settings.MaxSuspects, settings.MaxBarred),
		successes: newRotation(compareDigests),
	}
}

// Empty reports whether the table has no entries.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// Status returns the status of a request, and its bar or the evidence against it. It removes expired crashes first.
func (t *Table) Status(now time.Time, digest Digest) (Status, Bar) {
	entry, found := t.suspects[digest]
	if !found {
		return Clear, Bar{}
	}
	t.expireCrashes(now, digest, entry)
	switch {
	case now.Before(entry.barredUntil):
		return Barred, entry.bar(digest)
	case t.pending[digest] && t.shouldBar(digest, entry):
		return Pending, entry.bar(digest)
	case entry.barCount > 0 || len(t.unattributed(digest, entry)) > 0:
		if entry.barCount == 0 && t.allCrashesCorrelated(entry) {
			return Excused, entry.bar(digest)
		}
		bar := entry.bar(digest)
		bar.DistinctCrashes = t.distinctCrashes(entry, slices.Clone(bar.Workers))
		return Suspected, bar
	default:
		return Clear, Bar{}
	}
}

// RecordCrash records that a worker crashed while running a request of this gateway, at the time when the connection broke.
func (t *Table) RecordCrash(now, crashedAt time.Time, crash Crash, rule, tenant string) {
	t.mergeCrash(now, crashedAt, crash)
	if entry, found := t.suspects[crash.Digest]; found {
		entry.rule, entry.tenant = rule, tenant
	}
}

// RecordRun records when the request of a recorded crash of this gateway had begun to run at the worker, and when the connection broke; zero if none did.
// Of several copies the first one counts.
func (t *Table) RecordRun(now, began, broke time.Time, crash Crash) {
	if t.mergeRun(now, began, broke, crash) {
		t.unsentRuns[crash.Digest] = true
	}
}

// mergeRun adds the times of a run, and reports whether they are news. What another gateway tells is passed on with full updates only.
func (t *Table) mergeRun(now, began, broke time.Time, crash Crash) bool {
	entry, found := t.suspects[crash.Digest]
	if !found || began.IsZero() {
		return false
	}
	if _, crashed := entry.crashes[crash.Worker]; !crashed {
		return false
	}
	run := entry.runs[crash.Worker].merge(runTimes{began, broke})
	if run == entry.runs[crash.Worker] {
		return false
	}
	if entry.runs == nil {
		entry.runs = map[string]runTimes{}
	}
	entry.runs[crash.Worker] = run
	if !now.Before(entry.barredUntil) {
		t.pending[crash.Digest] = true
	}
	return true
}

// mergeCrash adds a crash, unless it is known or the request succeeded since.
func (t *Table) mergeCrash(now, crashedAt time.Time, crash Crash) {
	if t.parts != nil {
		crashedAt = t.parts.timeOf(now, crash.Worker, crashedAt)
	}
	entry, found := t.suspects[crash.Digest]
	if found && !crashedAt.After(entry.succeededAt) {
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
	t.addCrash(crashedAt, crash.Digest, entry, crash.Worker)
	entry.lastReport = now
	// Crashes beyond the bound are shared with the next full update.
	if len(t.unsentCrashes) < t.settings.MaxSuspects {
		t.unsentCrashes = append(t.unsentCrashes, Crash{Digest: crash.Digest, Worker: crash.Worker})
	}
	if !now.Before(entry.barredUntil) {
		t.pending[crash.Digest] = true
	}
}

// addCrash adds a crash to a suspect and to the index.
func (t *Table) addCrash(crashedAt time.Time, digest Digest, entry *suspect, worker string) {
	entry.crashes[worker] = crashedAt
	if t.suspectsByWorker[worker] == nil {
		t.suspectsByWorker[worker] = map[Digest]bool{}
	}
	t.suspectsByWorker[worker][digest] = true
}

// unattributed returns the workers whose crashes are not attributed to a request other than the given one.
func (t *Table) unattributed(digest Digest, entry *suspect) []string {
	var workers []string
	for worker := range entry.crashes {
		if !t.attributed(worker, digest) {
			workers = append(workers, worker)
		}
	}
	return workers
}

// attributed reports whether the crash of a worker is attributed to a request other than the given one, or to a part of prompts.
func (t *Table) attributed(worker string, digest Digest) bool {
	if t.parts != nil && t.parts.explains(worker, Part{}) {
		return true
	}
	for other := range t.suspectsByWorker[worker] {
		if other != digest && t.suspects[other].barCount > 0 {
			return true
		}
	}
	return false
}

// crashedAt returns the time by which a worker had crashed, given the time that was first reported.
func (t *Table) crashedAt(worker string, reported time.Time) time.Time {
	return t.times().latest(worker, reported)
}

// allCrashesCorrelated reports whether each crash under a suspect coincided with that of a worker where it did not run.
func (t *Table) allCrashesCorrelated(entry *suspect) bool {
	for worker, at := range entry.crashes {
		if !t.otherWorkerCrashed(entry, worker, at) {
			return false
		}
	}
	return true
}

// otherWorkerCrashed reports whether a worker where the suspect did not run may have crashed at the same moment as the given one, which crashed under the
// suspect.
func (t *Table) otherWorkerCrashed(entry *suspect, crashed string, at time.Time) bool {
	for worker, suspects := range t.suspectsByWorker {
		if _, here := entry.crashes[worker]; here {
			continue
		}
		for digest := range suspects {
			if t.times().coincide(worker, t.suspects[digest].crashes[worker], crashed, at, t.settings.MinCrashInterval) {
				return true
			}
			// All suspects of a worker have about the same crash time.
			break
		}
	}
	return false
}

// RecordSuccess records that a request succeeded at the given time, which voids earlier evidence against it. It returns the previous
// status if the request is now Clear, and Clear otherwise.
func (t *Table) RecordSuccess(now, at time.Time, digest Digest) Status {
	entry, found := t.suspects[digest]
	if !found || !at.After(entry.succeededAt) || (len(entry.crashes) == 0 && entry.barCount == 0) {
		return Clear
	}
	before, _ := t.Status(now, digest)
	for other := range t.clearUntil(at, digest, entry) {
		if otherEntry := t.suspects[other]; otherEntry.barCount == 0 {
			// With this suspect cleared, the crashes may be attributable to the other one.
			t.pending[other] = true
		}
	}
	if after, _ := t.Status(now, digest); after != Clear {
		return Clear
	}
	return before
}

// clearUntil voids the evidence against a request up to the given time. It returns the other suspects of the voided crashes.
func (t *Table) clearUntil(at time.Time, digest Digest, entry *suspect) map[Digest]bool {
	others, isVoided := map[Digest]bool{}, false
	for worker, crashedAt := range entry.crashes {
		if t.crashedAt(worker, crashedAt).After(at) {
			continue
		}
		isVoided = true
		t.removeCrash(digest, entry, worker)
		maps.Copy(others, t.suspectsByWorker[worker])
	}
	if !entry.barredSince.After(at) || (isVoided && len(entry.crashes) == 0) {
		entry.lift()
	}
	if len(entry.crashes) == 0 {
		delete(t.pending, digest)
	}
	entry.succeededAt = at
	t.unsentChanges[digest] = true
	return others
}

// reconsider schedules an evaluation of the suspects that ran at the given workers, because there are fewer explanations for these crashes.
func (t *Table) reconsider(workers []string) {
	for _, worker := range workers {
		for digest := range t.suspectsByWorker[worker] {
			if t.suspects[digest].barCount == 0 {
				t.pending[digest] = true
			}
		}
	}
}

// mostByOneRequest returns at how many of the workers a single suspect ran, at most.
func (t *Table) mostByOneRequest(workers []string) int {
	counts := map[Digest]int{}
	most := 0
	for _, worker := range workers {
		for digest := range t.suspectsByWorker[worker] {
			counts[digest]++
			most = max(most, counts[digest])
		}
	}
	return most
}

// removeSuspect deletes an entry.
func (t *Table) removeSuspect(digest Digest) {
	for worker := range t.suspects[digest].crashes {
		t.unindexCrash(digest, worker)
	}
	delete(t.suspects, digest)
	delete(t.pending, digest)
	delete(t.unsentChanges, digest)
	delete(t.unsentRuns, digest)
	delete(t.unsentTrials, digest)
}

// removeCrash removes a crash from a suspect and from the index.
func (t *Table) removeCrash(digest Digest, entry *suspect, worker string) {
	delete(entry.crashes, worker)
	delete(entry.runs, worker)
	t.unindexCrash(digest, worker)
}

// unindexCrash removes a crash of a suspect from the index.
func (t *Table) unindexCrash(digest Digest, worker string) {
	delete(t.suspectsByWorker[worker], digest)
	if len(t.suspectsByWorker[worker]) == 0 {
		delete(t.suspectsByWorker, worker)
	}
}

// ApplyBar applies a bar received from another gateway or the store. It reports whether it newly bars the request.
func (t *Table) ApplyBar(now time.Time, bar Bar) bool {
	entry, found := t.suspects[bar.Digest]
	if found && t.times().isRefuted(bar, entry.succeededAt) {
		// The gateways that believe the bar are told of the success.
		t.hasRefuted, t.unsentChanges[bar.Digest] = true, true
		return false
	}
	if found && entry.barCount > 0 && entry.rule == "" {
		// This gateway barred the request without knowing its rule.
		entry.rule, entry.tenant = bar.Rule, bar.Tenant
	}
	isKnown := found && now.Before(entry.barredUntil) && bar.Times <= entry.barCount
	if isKnown || (found && !bar.Since.After(entry.barredSince.Add(barTimeTolerance))) {
		return false
	}
	if !found {
		t.evict(now)
		entry = &suspect{crashes: map[string]time.Time{}}
		t.suspects[bar.Digest] = entry
	}
	isNew := !now.Before(entry.barredUntil)
	entry.receive(now, bar, t.settings.Parts.TrialDelay)
	entry.lastReport = now
	if bar.Rule != "" {
		// A gateway that knows the crashes only from updates bars without the rule. A gateway that saw the request shares the rule.
		entry.rule, entry.tenant = bar.Rule, bar.Tenant
	}
	for _, worker := range bar.Workers {
		if _, known := entry.crashes[worker]; !known {
			t.addCrash(bar.Since, bar.Digest, entry, worker)
		}
	}
	delete(t.pending, bar.Digest)
	return isNew
}

// expireCrashes removes the crashes older than CrashRetention. Those of requests that were barred are kept.
func (t *Table) expireCrashes(now time.Time, digest Digest, entry *suspect) {
	if entry.barCount > 0 {
		return
	}
	for worker, at := range entry.crashes {
		if now.Sub(at) > t.settings.CrashRetention {
			t.removeCrash(digest, entry, worker)
		}
	}
}

// Expire removes expired entries. It is called periodically.
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

// evict removes an eighth of the suspects, or of those that are or were barred, if there are too many: those with the oldest last report.
func (t *Table) evict(now time.Time) {
	if len(t.suspects) < t.evictAt {
		return
	}
	t.Expire(now)
	room := t.settings.MaxSuspects
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
			room = min(room, kind.limit-len(candidates))
			continue
		}
		slices.SortFunc(candidates, func(a, b Digest) int {
			return cmp.Or(t.suspects[a].lastReport.Compare(t.suspects[b].lastReport), slices.Compare(a[:], b[:]))
		})
		const evictDivisor = 8
		evicted := candidates[:len(candidates)/evictDivisor+1]
		for _, digest := range evicted {
			t.removeSuspect(digest)
		}
		room = min(room, kind.limit-len(candidates)+len(evicted))
	}
	t.evictAt = len(t.suspects) + max(room, 1)
}
