package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// shouldBar reports whether to bar a suspect: it reached a crash limit, or crashed a worker after an earlier bar.
func (t *Table) shouldBar(digest Digest, entry *suspect) bool {
	if entry.barCount > 0 || t.distinctRuns(entry, slices.Collect(maps.Keys(entry.crashes))) >= t.settings.AmbiguousCrashLimit {
		// After a first bar, a single crash is enough.
		return true
	}
	unattributed := t.unattributed(digest, entry)
	return t.distinctRuns(entry, unattributed) >= t.settings.CrashLimit && !t.ambiguous(digest, unattributed)
}

// distinctCrashes counts the crashes of a suspect at distinct times. They restrain it, also those of runs that were in progress together.
func (t *Table) distinctCrashes(entry *suspect, workers []string) int {
	return t.times().distinct(entry.crashes, workers, t.settings.MinCrashInterval)
}

// distinctRuns counts the crashes of a suspect that are evidence by themselves: each run began after the crash that was counted before.
func (t *Table) distinctRuns(entry *suspect, workers []string) int {
	return t.times().distinctRuns(entry.crashes, entry.runs, workers, t.settings.MinCrashInterval)
}

// times tells when workers crashed.
func (t *Table) times() *crashTimes {
	if t.parts == nil {
		return &crashTimes{}
	}
	return t.parts.times
}

// ambiguous reports whether another suspect ran at all of the given workers, so that either may be the cause, or requests with a part of
// prompts ran at all of them and at others that crashed.
func (t *Table) ambiguous(digest Digest, workers []string) bool {
	if t.parts != nil && t.parts.explainsMore(workers) {
		return true
	}
	others := maps.Clone(t.suspectsByWorker[workers[0]])
	delete(others, digest)
	for _, worker := range workers[1:] {
		maps.DeleteFunc(others, func(other Digest, _ bool) bool { return !t.suspectsByWorker[worker][other] })
	}
	return len(others) > 0
}

// Evaluate bars the pending suspects that reached a crash limit and had no report for SettleDelay, and returns their bars. Suspects with the
// most crashes come first, because the crashes under the others are then attributed to them.
func (t *Table) Evaluate(now time.Time) []Bar {
	var due []Digest
	for digest := range t.pending {
		if now.Sub(t.suspects[digest].lastReport) >= t.settings.SettleDelay {
			due = append(due, digest)
			delete(t.pending, digest)
		}
	}
	slices.SortFunc(due, func(a, b Digest) int {
		return cmp.Or(len(t.suspects[b].crashes)-len(t.suspects[a].crashes), slices.Compare(a[:], b[:]))
	})
	var bars []Bar
	for _, digest := range due {
		entry := t.suspects[digest]
		if now.Before(entry.barredUntil) || !t.shouldBar(digest, entry) {
			continue
		}
		entry.create(now, t.settings, t.settings.Parts.TrialDelay)
		entry.lastReport = now
		bars = append(bars, entry.bar(digest))
		t.unsentChanges[digest] = true
	}
	return bars
}

// NextEvaluation returns the time of the next pending evaluation, or the zero time.
func (t *Table) NextEvaluation() time.Time {
	var next time.Time
	for digest := range t.pending {
		at := t.suspects[digest].lastReport.Add(t.settings.SettleDelay)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// barTimeTolerance is how far the start of the same bar may differ between gateways because of clock skew and message delay.
const barTimeTolerance = 2 * time.Second

// Bar describes a barred request, or a barred part of prompts: no request with its digest or with the part is sent to workers until the bar
// expires.
type Bar struct {
	Digest Digest
	// Part is the barred part; zero for a barred request. TrialDelay is when after Since a first request with it is let through, and ReportedHere is
	// set if this gateway reported a crash under it.
	Part         Part
	TrialDelay   time.Duration
	ReportedHere bool
	// Trials is how many trials have begun.
	Trials int
	// Rule is the routing rule that the request matches, and Tenant its caller, for operators.
	Rule, Tenant string
	// Workers are the ids of the worker incarnations that crashed under the request.
	Workers []string
	// Times is the number of bars of the request, including this one.
	Times int
	// Since is when the bar began, and Until when it expires.
	Since, Until time.Time
	// LastReport is when a crash or a bar was reported last; zero in bars read from the store or received from other gateways.
	LastReport time.Time
	// DistinctCrashes is the number of distinct crashes, set for suspected requests only.
	DistinctCrashes int
	// Basis is what this gateway knew of the part; nil for requests and except in events.
	Basis *Basis
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// beginTrial reports whether a barred request may be sent to a worker now, to find out whether it still crashes workers. isElected tells whether this
// gateway is the one to begin the trial with a number.
func (t *Table) beginTrial(now time.Time, digest Digest, isElected func(number int) bool) bool {
	entry, found := t.suspects[digest]
	if !found || !entry.beginTrial(now, t.settings.Parts, isElected) {
		return false
	}
	t.unsentTrials[digest] = true
	return true
}

// returnTrial undoes beginTrial for a request that was sent to no worker.
func (t *Table) returnTrial(digest Digest) {
	if entry, found := t.suspects[digest]; found {
		entry.returnTrial()
	}
}

// Release clears all evidence against a request, and reports whether it was barred.
func (t *Table) Release(now time.Time, digest Digest) bool {
	entry, found := t.suspects[digest]
	if !found {
		return false
	}
	wasBarred := now.Before(entry.barredUntil)
	// clearUntil lifts only bars that began by the given time. A later start must not keep the bar.
	entry.barredSince = time.Time{}
	t.clearUntil(now, digest, entry)
	return wasBarred
}

// Bars returns the active bars in order of expiry.
func (t *Table) Bars(now time.Time) []Bar {
	var bars []Bar
	for digest, entry := range t.suspects {
		if now.Before(entry.barredUntil) {
			bars = append(bars, entry.bar(digest))
		}
	}
	slices.SortFunc(bars, func(a, b Bar) int { return cmp.Or(a.Until.Compare(b.Until), slices.Compare(a.Digest[:], b.Digest[:])) })
	return bars
}
