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
	Ends int
	// MostEnds is how many end before it is barred although others may have ended them: two more, which the three retries that the users'
	// rule leaves allow. One that does no harm is tried four times at the most, by two gateways.
	MostEnds int
	// Settle is how long after an end it is waited for what other gateways have to tell of it, before anything is barred for it: some
	// times what a datagram takes between regions.
	Settle time.Duration
	// Bar is how long a request is barred for the first time; each further time it is barred twice as long, up to LongestBar. Each
	// release may cost a worker.
	Bar, LongestBar time.Duration
	// Memory is how long an end counts against a request that does not come again: longer than a caller repeats by itself.
	Memory time.Duration
	// Trust is how long after a request ended well what others tell against it is passed over: some messages that tell everything.
	Trust time.Duration
	// MostSuspects and MostBarred bound what is kept; the oldest go first.
	MostSuspects, MostBarred int
	// MostTold bounds the ends, and the bars, in one message: 128 ends take some 4 KB of a datagram.
	MostTold int
}

// DefaultSettings suit the users' deployments.
func DefaultSettings() Settings {
	return Settings{
		Ends: 3, MostEnds: 5, Settle: 200 * time.Millisecond, Bar: 10 * time.Minute, LongestBar: 24 * time.Hour, Memory: 10 * time.Minute,
		Trust: 3 * time.Second, MostSuspects: 4096, MostBarred: 1024, MostTold: 128,
	}
}

// Standing is what is held of a request.
type Standing int

// The standings.
const (
	// Clear is a request against which nothing speaks.
	Clear Standing = iota
	// Suspected is one under which a worker has ended.
	Suspected
	// Judged is one under which so many ended that it may be barred once all have told what they saw: within Settle.
	Judged
	// Barred is one that goes to no worker.
	Barred
)

// Bar is a request that goes to no worker for a time.
type Bar struct {
	Asked Digest
	// Rule that it matches, and Tenant of its caller, for operators.
	Rule, Tenant string
	// Workers that ended under it, by the ids of their incarnations.
	Workers []string
	// Times it was barred, this one included.
	Times int
	Until time.Time
}

// suspect is what is known of one request.
type suspect struct {
	// ends are the workers that ended under it, with when that was heard.
	ends map[string]time.Time
	// last is when an end or a bar was heard of last.
	last time.Time
	// times it was barred, and until when it is.
	times int
	until time.Time
	// goodAt is when it ended well, or was released, or zero.
	goodAt time.Time
	// released is until when it was barred when it was released: who has not heard of the release still tells that bar.
	released time.Time
	// rule and tenant are empty until this gateway has seen the request itself, or heard of its bar.
	rule, tenant string
}

// bar returns a suspect as a bar.
func (s *suspect) bar(asked Digest) Bar {
	return Bar{
		Asked: asked, Rule: s.rule, Tenant: s.tenant, Workers: slices.Sorted(maps.Keys(s.ends)), Times: s.times, Until: s.until,
	}
}

// Table holds which requests workers ended under. It is a pure state machine: it has no clock, and it is not safe for concurrent use.
//
// An end is one incarnation of a worker; hearing of it again changes nothing, so that tables which have heard the same hold the same,
// in whatever order they heard it. An end under a request that is or was barred is put down to that one: it is explained, and does not
// count against others that ran there.
//
// Invariant: a request is barred only after Ends different workers ended under it since it last ended well.
type Table struct {
	settings Settings
	suspects map[Digest]*suspect
	// under are the suspects that ran at each worker that ended.
	under map[string]map[Digest]bool
	// pending are the suspects that are to be judged once nothing more is heard of them for Settle.
	pending map[Digest]bool
	// untold are the ends that were not told yet.
	untold []End
}

// NewTable returns a table that knows nothing.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings, suspects: map[Digest]*suspect{}, under: map[string]map[Digest]bool{}, pending: map[Digest]bool{},
	}
}

// Empty tells whether nothing is held of any request.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// Standing returns what is held of a request, with the workers that ended under it and, of one that is barred, until when.
func (t *Table) Standing(now time.Time, asked Digest) (Standing, Bar) {
	known, found := t.suspects[asked]
	if !found {
		return Clear, Bar{}
	}
	t.lapse(now, asked, known)
	switch {
	case now.Before(known.until):
		return Barred, known.bar(asked)
	case t.pending[asked] && t.enough(asked, known):
		return Judged, known.bar(asked)
	case known.times > 0 || len(t.unexplained(asked, known)) > 0:
		return Suspected, known.bar(asked)
	default:
		return Clear, Bar{}
	}
}

// Ended notes that a worker ended under a request of a rule and a tenant at this gateway.
func (t *Table) Ended(now time.Time, end End, rule, tenant string) {
	t.note(now, end, true)
	if known, found := t.suspects[end.Asked]; found {
		known.rule, known.tenant = rule, tenant
	}
}

// note takes one end, own or by the word of another gateway.
func (t *Table) note(now time.Time, end End, own bool) {
	known, found := t.suspects[end.Asked]
	if found && !own && now.Sub(known.goodAt) < t.settings.Trust {
		return
	}
	if !found {
		t.makeRoom(now)
		known = &suspect{ends: map[string]time.Time{}}
		t.suspects[end.Asked] = known
	}
	t.lapse(now, end.Asked, known)
	if _, again := known.ends[end.Worker]; again {
		return
	}
	known.goodAt = time.Time{}
	t.addEnd(now, end.Asked, known, end.Worker)
	if len(t.untold) < t.settings.MostSuspects {
		t.untold = append(t.untold, end)
	}
	if !now.Before(known.until) {
		t.pending[end.Asked] = true
	}
}

// addEnd notes that a worker ended under a suspect.
func (t *Table) addEnd(now time.Time, asked Digest, known *suspect, worker string) {
	known.ends[worker], known.last = now, now
	if t.under[worker] == nil {
		t.under[worker] = map[Digest]bool{}
	}
	t.under[worker][asked] = true
}

// unexplained returns the workers whose ends under a suspect are not put down to another request.
func (t *Table) unexplained(asked Digest, known *suspect) []string {
	var workers []string
	for worker := range known.ends {
		if !t.explained(worker, asked) {
			workers = append(workers, worker)
		}
	}
	return workers
}

// explained tells whether the end of a worker is put down to another request than a suspect.
func (t *Table) explained(worker string, asked Digest) bool {
	for other := range t.under[worker] {
		if other != asked && t.suspects[other].times > 0 {
			return true
		}
	}
	return false
}

// enough tells whether enough speaks against a suspect to bar it.
func (t *Table) enough(asked Digest, known *suspect) bool {
	if len(known.ends) >= t.settings.MostEnds {
		return true
	}
	unexplained := t.unexplained(asked, known)
	if known.times > 0 {
		// It was barred before: one end more is enough.
		return len(known.ends) >= t.settings.Ends
	}
	return len(unexplained) >= t.settings.Ends && !t.rivalled(asked, unexplained)
}

// rivalled tells whether another suspect ran at each of the workers, so that either may have ended them.
func (t *Table) rivalled(asked Digest, workers []string) bool {
	rivals := maps.Clone(t.under[workers[0]])
	delete(rivals, asked)
	for _, worker := range workers[1:] {
		maps.DeleteFunc(rivals, func(other Digest, _ bool) bool { return !t.under[worker][other] })
	}
	return len(rivals) > 0
}

// Judge bars those against which enough speaks and of which nothing more was heard for Settle, and returns their bars. Those under which
// most workers ended come first: their bars explain the ends under the others.
func (t *Table) Judge(now time.Time) []Bar {
	var due []Digest
	for asked := range t.pending {
		if now.Sub(t.suspects[asked].last) >= t.settings.Settle {
			due = append(due, asked)
			delete(t.pending, asked)
		}
	}
	slices.SortFunc(due, func(a, b Digest) int {
		return cmp.Or(len(t.suspects[b].ends)-len(t.suspects[a].ends), slices.Compare(a[:], b[:]))
	})
	var bars []Bar
	for _, asked := range due {
		known := t.suspects[asked]
		if now.Before(known.until) || !t.enough(asked, known) {
			continue
		}
		known.times++
		known.last = now
		known.until = now.Add(min(t.settings.Bar<<min(known.times-1, 16), t.settings.LongestBar))
		bars = append(bars, known.bar(asked))
	}
	return bars
}

// NextJudgement returns when something is to be judged next, or the zero time.
func (t *Table) NextJudgement() time.Time {
	var next time.Time
	for asked := range t.pending {
		at := t.suspects[asked].last.Add(t.settings.Settle)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// EndedWell notes that a request ran to a good end: no worker ended because of it. It returns what was held of it before.
func (t *Table) EndedWell(now time.Time, asked Digest) Standing {
	known, found := t.suspects[asked]
	if !found || (len(known.ends) == 0 && known.times == 0) {
		return Clear
	}
	before, _ := t.Standing(now, asked)
	others := t.pardon(now, asked, known)
	for other := range others {
		if rival := t.suspects[other]; rival.times == 0 {
			// What could not be told apart before may be now.
			t.pending[other] = true
		}
	}
	return before
}

// pardon forgets all that speaks against a request, and passes over what others still tell of that. It returns the other suspects that
// ran where workers ended under it.
func (t *Table) pardon(now time.Time, asked Digest, known *suspect) map[Digest]bool {
	others := t.drop(asked)
	t.suspects[asked] = &suspect{ends: map[string]time.Time{}, last: now, goodAt: now, released: known.until}
	return others
}

// drop forgets a suspect, and returns the others that ran at the workers that ended under it.
func (t *Table) drop(asked Digest) map[Digest]bool {
	others := map[Digest]bool{}
	for worker := range t.suspects[asked].ends {
		t.forgetEnd(asked, worker)
		maps.Copy(others, t.under[worker])
	}
	delete(t.suspects, asked)
	delete(t.pending, asked)
	return others
}

// forgetEnd forgets that a worker ended under a suspect, as far as others are concerned.
func (t *Table) forgetEnd(asked Digest, worker string) {
	delete(t.under[worker], asked)
	if len(t.under[worker]) == 0 {
		delete(t.under, worker)
	}
}

// sameBar is by how much the ends of one bar differ as gateways tell it: their clocks, and the time that messages take.
const sameBar = 2 * time.Second

// Bar bars a request by the word of another gateway or of the store. It tells whether that is new.
func (t *Table) Bar(now time.Time, bar Bar) bool {
	known, found := t.suspects[bar.Asked]
	if found && (!bar.Until.After(known.until.Add(sameBar)) || !bar.Until.After(known.released.Add(sameBar))) {
		return false
	}
	if !found {
		t.makeRoom(now)
		known = &suspect{ends: map[string]time.Time{}}
		t.suspects[bar.Asked] = known
	}
	isNew := !now.Before(known.until)
	known.times, known.until, known.goodAt = max(bar.Times, 1), bar.Until, time.Time{}
	known.rule, known.tenant, known.last = bar.Rule, bar.Tenant, now
	for _, worker := range bar.Workers {
		t.addEnd(now, bar.Asked, known, worker)
	}
	delete(t.pending, bar.Asked)
	return isNew
}

// Release forgets all that speaks against a request. It tells whether it was barred.
func (t *Table) Release(now time.Time, asked Digest) bool {
	known, found := t.suspects[asked]
	if !found {
		return false
	}
	t.pardon(now, asked, known)
	return now.Before(known.until)
}

// Bars returns the requests that are barred, those that were barred last at the end.
func (t *Table) Bars(now time.Time) []Bar {
	var bars []Bar
	for asked, known := range t.suspects {
		if now.Before(known.until) {
			bars = append(bars, known.bar(asked))
		}
	}
	slices.SortFunc(bars, func(a, b Bar) int { return cmp.Or(a.Until.Compare(b.Until), slices.Compare(a.Asked[:], b.Asked[:])) })
	return bars
}

// lapse forgets the ends that are too long ago. Those of a request that was barred count as long as it is kept.
func (t *Table) lapse(now time.Time, asked Digest, known *suspect) {
	if known.times > 0 {
		return
	}
	for worker, heard := range known.ends {
		if now.Sub(heard) > t.settings.Memory {
			delete(known.ends, worker)
			t.forgetEnd(asked, worker)
		}
	}
}

// Tidy forgets what does not count any more. It is called once in a while.
func (t *Table) Tidy(now time.Time) {
	for asked, known := range t.suspects {
		t.lapse(now, asked, known)
		idle := known.times == 0 && len(known.ends) == 0 && now.Sub(known.goodAt) >= t.settings.Trust && now.After(known.released)
		over := known.times > 0 && now.Sub(known.until) > t.settings.LongestBar
		if idle || over {
			t.drop(asked)
		}
	}
}

// makeRoom drops the oldest eighth when there are too many: suspects, and those that are or were barred, each by themselves.
func (t *Table) makeRoom(now time.Time) {
	if len(t.suspects) < min(t.settings.MostSuspects, t.settings.MostBarred) {
		return
	}
	t.Tidy(now)
	for _, kind := range []struct {
		most   int
		barred bool
	}{{t.settings.MostSuspects, false}, {t.settings.MostBarred, true}} {
		var kept []Digest
		for asked, known := range t.suspects {
			if (known.times > 0) == kind.barred {
				kept = append(kept, asked)
			}
		}
		if len(kept) < kind.most {
			continue
		}
		slices.SortFunc(kept, func(a, b Digest) int {
			return cmp.Or(t.suspects[a].last.Compare(t.suspects[b].last), slices.Compare(a[:], b[:]))
		})
		const roomPart = 8
		for _, asked := range kept[:len(kept)/roomPart+1] {
			t.drop(asked)
		}
	}
}
