package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// enough tells whether enough speaks against a suspect to bar it.
func (t *Table) shouldBar(digest Digest, entry *suspect) bool {
	if entry.barCount > 0 || t.distinctCrashes(entry, slices.Collect(maps.Keys(entry.crashes))) >= t.settings.AmbiguousCrashLimit {
		// Of one that was barred before, one end more is enough.
		return true
	}
	unattributed := t.unattributed(digest, entry)
	return t.distinctCrashes(entry, unattributed) >= t.settings.CrashLimit && !t.ambiguous(digest, unattributed)
}

// moments returns how many of the ends of workers under a suspect are Moment or more after the one before that counts.
func (t *Table) distinctCrashes(entry *suspect, workers []string) int {
	slices.SortFunc(workers, func(a, b string) int { return entry.crashes[a].Compare(entry.crashes[b]) })
	count := 0
	var last time.Time
	for _, worker := range workers {
		if at := entry.crashes[worker]; count == 0 || at.Sub(last) >= t.settings.MinCrashInterval {
			count++
			last = at
		}
	}
	return count
}

// rivalled tells whether another suspect ran at each of the workers, so that either may have ended them.
func (t *Table) ambiguous(digest Digest, workers []string) bool {
	others := maps.Clone(t.suspectsByWorker[workers[0]])
	delete(others, digest)
	for _, worker := range workers[1:] {
		maps.DeleteFunc(others, func(other Digest, _ bool) bool { return !t.suspectsByWorker[worker][other] })
	}
	return len(others) > 0
}

// Judge bars those against which enough speaks and of which nothing more was heard for Settle, and returns their bars. Those under which
// most workers ended come first: their bars explain the ends under the others.
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
		entry.barCount++
		entry.barredSince, entry.lastReport = now, now
		entry.barredUntil = now.Add(min(t.settings.BarDuration<<min(entry.barCount-1, 16), t.settings.MaxBarDuration))
		bars = append(bars, entry.bar(digest))
		t.unsentChanges[digest] = true
	}
	return bars
}

// NextJudgement returns when something is to be judged next, or the zero time.
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

// sameBar is by how much the beginning of one bar differs as gateways tell it: their clocks, and the time that messages take.
const barTimeTolerance = 2 * time.Second

// Bar is a request that goes to no worker for a time.
type Bar struct {
	Asked Digest
	// Rule that it matches, and Tenant of its caller, for operators.
	Rule, Tenant string
	// Workers that ended under it, by the ids of their incarnations.
	Workers []string
	// Times it was barred, this one included.
	Times int
	// Since when it is barred, and Until when.
	Since, Until time.Time
	// Heard is when an end or a bar was heard of last; zero of bars that others tell.
	LastReport time.Time
	// Moments is at how many different moments workers ended under it; known of suspects alone.
	Moments int
}

// minTime returns the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Release voids all that speaks against a request. It tells whether it was barred.
func (t *Table) Release(now time.Time, digest Digest) bool {
	entry, found := t.suspects[digest]
	if !found {
		return false
	}
	wasBarred := now.Before(entry.barredUntil)
	// The clock of the one that made the bar may be ahead.
	entry.barredSince = time.Time{}
	t.clearUntil(now, digest, entry)
	return wasBarred
}

// Bars returns the requests that are barred, those that were barred last at the end.
func (t *Table) Bars(now time.Time) []Bar {
	var bars []Bar
	for digest, entry := range t.suspects {
		if now.Before(entry.barredUntil) {
			bars = append(bars, entry.bar(digest))
		}
	}
	slices.SortFunc(bars, func(a, b Bar) int { return cmp.Or(a.Until.Compare(b.Until), slices.Compare(a.Asked[:], b.Asked[:])) })
	return bars
}
