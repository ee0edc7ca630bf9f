package poison

import (
	"cmp"
	"maps"
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
// gateways have not been told of come first, because they must not begin the same ones. A full update, for which full is not nil, also repeats the runs
// at its workers, since the crashes there are told, and what is known of barred requests, as far as there is room.
func (t *Table) TakeSupplement(now time.Time, full *repetition) []SuspectUpdate {
	var changed, barred []Digest
	for digest, entry := range t.suspects {
		switch {
		case t.unsentRuns[digest] || t.unsentTrials[digest]:
			changed = append(changed, digest)
		case full != nil && now.Before(entry.barredUntil):
			barred = append(barred, digest)
		}
	}
	for _, digests := range [][]Digest{changed, barred} {
		slices.SortFunc(digests, func(a, b Digest) int {
			return cmp.Or(compareBools(t.unsentTrials[b], t.unsentTrials[a]), t.suspects[b].lastReport.Compare(t.suspects[a].lastReport), compareDigests(a, b))
		})
	}
	clear(t.unsentRuns)
	clear(t.unsentTrials)
	limit := t.settings.MaxPerUpdate
	changed = changed[:min(len(changed), limit)]
	updates := t.changedSuspects(now, changed, limit)
	if full != nil {
		updates = append(updates, t.runsAt(now, full.workers, changed, limit-len(updates))...)
		runs := 0
		for _, update := range updates {
			runs += len(update.Runs)
		}
		barred = barred[:min(len(barred), limit-len(updates))]
		updates = append(updates, t.changedSuspects(now, barred, max(limit-runs, 0))...)
	}
	return updates
}

// changedSuspects returns what is known of suspects, with at most the given number of runs.
func (t *Table) changedSuspects(now time.Time, digests []Digest, maxRuns int) []SuspectUpdate {
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

// runsAt returns the runs of suspects at the workers, of at most the given number of suspects and without the given ones.
func (t *Table) runsAt(now time.Time, workers []string, except []Digest, limit int) []SuspectUpdate {
	runs := map[Digest][]CrashedRun{}
	for _, worker := range workers {
		for digest := range t.suspectsByWorker[worker] {
			entry := t.suspects[digest]
			if times, isKnown := entry.runs[worker]; isKnown && entry.barCount == 0 {
				runs[digest] = append(runs[digest], t.crashedRun(now, worker, entry.crashes[worker], times))
			}
		}
	}
	for _, digest := range except {
		delete(runs, digest)
	}
	var updates []SuspectUpdate
	for _, digest := range slices.SortedFunc(maps.Keys(runs), compareDigests) {
		if len(updates) < limit {
			updates = append(updates, SuspectUpdate{Digest: digest, Runs: runs[digest]})
		}
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
