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
		if t.unsentRuns[digest] || (full && entry.barCount == 0 && len(entry.starts) > 0) {
			digests = append(digests, digest)
		}
	}
	clear(t.unsentRuns)
	slices.SortFunc(digests, func(a, b Digest) int {
		return cmp.Or(t.suspects[b].lastReport.Compare(t.suspects[a].lastReport), slices.Compare(a[:], b[:]))
	})
	left := t.settings.MaxPerUpdate
	var updates []SuspectUpdate
	for _, digest := range digests {
		entry := t.suspects[digest]
		update := SuspectUpdate{Digest: digest}
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
		for _, run := range update.Runs {
			crash := Crash{Digest: update.Digest, Worker: run.Worker}
			crashedAt := now.Add(-time.Duration(run.AgoMs) * time.Millisecond)
			t.mergeCrash(now, crashedAt, crash)
			t.RecordStart(now, crashedAt.Add(-time.Duration(run.RunMs)*time.Millisecond), crash)
		}
	}
}
