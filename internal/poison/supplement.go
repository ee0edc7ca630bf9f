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
	// AgoMs is the age of the crash when it is sent, and RunMs how long before the crash the run had begun, in milliseconds.
	AgoMs, RunMs int64
}

// TakeSupplement returns what has changed of the suspects since the last call, or all of the recent ones if full is set, with at most MaxPerUpdate runs.
func (t *Table) TakeSupplement(now time.Time, full bool) []SuspectUpdate {
	var digests []Digest
	for digest, entry := range t.suspects {
		isBarred := now.Before(entry.barredUntil)
		if t.unsentRuns[digest] || t.unsentTrials[digest] || (full && (isBarred || (entry.barCount == 0 && len(entry.starts) > 0))) {
			digests = append(digests, digest)
		}
	}
	clear(t.unsentRuns)
	clear(t.unsentTrials)
	slices.SortFunc(digests, func(a, b Digest) int {
		return cmp.Or(t.suspects[b].lastReport.Compare(t.suspects[a].lastReport), slices.Compare(a[:], b[:]))
	})
	left := t.settings.MaxPerUpdate
	var updates []SuspectUpdate
	for _, digest := range digests {
		entry := t.suspects[digest]
		update := SuspectUpdate{Digest: digest}
		if now.Before(entry.barredUntil) {
			update.Trials, update.BarAgoMs = entry.trials, max(now.Sub(entry.barredSince).Milliseconds(), 1)
		}
		for worker, began := range entry.starts {
			if left == 0 {
				break
			}
			left--
			crashedAt := t.crashedAt(worker, entry.crashes[worker])
			update.Runs = append(update.Runs, CrashedRun{Worker: worker, AgoMs: now.Sub(crashedAt).Milliseconds(), RunMs: crashedAt.Sub(began).Milliseconds()})
		}
		updates = append(updates, update)
	}
	return updates
}

// ApplySupplement merges what another gateway tells of suspects.
func (t *Table) ApplySupplement(now time.Time, updates []SuspectUpdate) {
	for _, update := range updates {
		t.mergeTrials(now, update)
		for _, run := range update.Runs {
			crash := Crash{Digest: update.Digest, Worker: run.Worker}
			crashedAt := now.Add(-time.Duration(run.AgoMs) * time.Millisecond)
			t.mergeCrash(now, crashedAt, crash)
			t.RecordStart(now, crashedAt.Add(-time.Duration(run.RunMs)*time.Millisecond), crash)
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
