package poison

import (
	"cmp"
	"slices"
	"time"
)

// SuspectUpdate supplements an Update by what builds before it don't know. Its fields are numbered, so that builds skip those that they don't know.
type SuspectUpdate struct {
	Digest Digest `cbor:"1,keyasint"`
	// Runs are the runs of the request that ended with a crash.
	Runs []CrashedRun `cbor:"2,keyasint,omitempty"`
	// Trials is how many trials of the bar of the request have begun; BarAgoMs is the age of the bar when it is sent, in milliseconds. Both are zero if
	// the request isn't barred.
	Trials   int   `cbor:"3,keyasint,omitempty"`
	BarAgoMs int64 `cbor:"4,keyasint,omitempty"`
}

// CrashedRun is a run of a request that ended with the crash of its worker.
type CrashedRun struct {
	_ struct{} `cbor:",toarray"`
	// Worker is the id of the worker's incarnation.
	Worker string
	// AgoMs is the age of the crash when it is sent, and BeganAgoMs that of the start of the run, in milliseconds.
	AgoMs, BeganAgoMs int64
	// BrokeAgoMs is the age of the break of the connection; negative if none broke.
	BrokeAgoMs int64
}

// TakeSupplement returns what has changed of the suspects since the last call: at most MaxPerUpdate of them, and as many runs. Trials that the other
// gateways have not been told of come first, because they must not begin the same ones. If full is set, it repeats what is known of barred requests,
// and of some of the other suspects, the rest with the next full updates.
func (t *Table) TakeSupplement(now time.Time, full bool) []SuspectUpdate {
	var changed, told []Digest
	for digest, entry := range t.suspects {
		switch {
		case t.unsentRuns[digest], t.unsentTrials[digest], full && now.Before(entry.barredUntil):
			changed = append(changed, digest)
		case full && entry.barCount == 0 && len(entry.runs) > 0:
			told = append(told, digest)
		}
	}
	slices.SortFunc(changed, func(a, b Digest) int {
		return cmp.Or(compareBools(t.unsentTrials[b], t.unsentTrials[a]), t.suspects[b].lastReport.Compare(t.suspects[a].lastReport), slices.Compare(a[:], b[:]))
	})
	clear(t.unsentRuns)
	clear(t.unsentTrials)
	limit := t.settings.MaxPerUpdate
	updates := t.suspectUpdates(now, changed[:min(len(changed), limit)], limit)
	repeated := min(maxRepeated(limit, t.gateways), limit-len(updates))
	return append(updates, t.suspectUpdates(now, t.toldSuspects.next(told, repeated), repeated)...)
}

// suspectUpdates returns what is known of suspects, with at most the given number of runs.
func (t *Table) suspectUpdates(now time.Time, digests []Digest, maxRuns int) []SuspectUpdate {
	var updates []SuspectUpdate
	for _, digest := range digests {
		entry := t.suspects[digest]
		update := SuspectUpdate{Digest: digest}
		if now.Before(entry.barredUntil) {
			update.Trials, update.BarAgoMs = entry.trials, max(now.Sub(entry.barredSince).Milliseconds(), 1)
		}
		for worker, times := range entry.runs {
			if maxRuns == 0 {
				break
			}
			maxRuns--
			update.Runs = append(update.Runs, t.crashedRun(now, worker, entry.crashes[worker], times))
		}
		updates = append(updates, update)
	}
	return updates
}

// crashedRun returns a run at a worker in the form that is sent. CrashedAt stands in for the time of the crash if that is unknown.
func (t *Table) crashedRun(now time.Time, worker string, crashedAt time.Time, times runTimes) CrashedRun {
	run := CrashedRun{
		Worker: worker, AgoMs: now.Sub(t.crashedAt(worker, crashedAt)).Milliseconds(), BeganAgoMs: now.Sub(times.began).Milliseconds(), BrokeAgoMs: -1,
	}
	if !times.broke.IsZero() {
		run.BrokeAgoMs = now.Sub(times.broke).Milliseconds()
	}
	return run
}

// ApplySupplement merges what another gateway tells of suspects.
func (t *Table) ApplySupplement(now time.Time, updates []SuspectUpdate) {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, update := range updates {
		t.mergeTrials(now, update)
		for _, run := range update.Runs {
			crash := Crash{Digest: update.Digest, Worker: run.Worker}
			t.mergeCrash(now, ago(run.AgoMs), crash)
			var broke time.Time
			if run.BrokeAgoMs >= 0 {
				broke = ago(run.BrokeAgoMs)
			}
			t.mergeRun(now, ago(run.BeganAgoMs), broke, crash)
		}
	}
}

// mergeTrials merges the trials of the bar of a request that is in force here. A build that doesn't tell of trials begins none.
func (t *Table) mergeTrials(now time.Time, update SuspectUpdate) {
	entry, found := t.suspects[update.Digest]
	if !found || update.BarAgoMs == 0 || !now.Before(entry.barredUntil) {
		return
	}
	began := now.Add(-time.Duration(update.BarAgoMs) * time.Millisecond)
	if began.Sub(entry.barredSince).Abs() > barTimeTolerance {
		// That is an earlier or a later bar.
		return
	}
	entry.trials = max(entry.trials, update.Trials)
	entry.heardAt = time.Time{}
}
