package backend

import "time"

// RosterSettings configures a roster.
type RosterSettings struct {
	// OutageGrace is how long a worker stays in use after its record disappeared during or shortly after an outage of the
	// store. The record of a running worker may have expired; the worker registers again with its next heartbeat.
	OutageGrace time.Duration
	// OutageWindow is how long after an outage missing records are attributed to it.
	OutageWindow time.Duration
	// RestoreGrace is how long a worker stays in use whose record is missing after the store was restored from a backup.
	// It may have started after the backup was made, and not have registered again yet.
	RestoreGrace time.Duration
}

// Roster tracks the workers in use: those with a record in the store and, for a while, those whose record was lost. It is
// a pure state machine and not safe for concurrent use.
//
// Invariants:
//   - A worker is in use only while its record exists, or, unless it was draining, for OutageGrace after its record
//     disappeared within OutageWindow of an outage, or for RestoreGrace if it disappeared within OutageWindow of a
//     restore.
//   - Each record names one incarnation at a time.
//   - An incarnation that announced that it is leaving is draining, whatever its record says, since the record may be
//     stale for as long as the store is unavailable.
type Roster struct {
	settings RosterSettings
	// byRecord holds the workers with a record, by record name; retained holds workers without one, by ID.
	byRecord   map[string]*Worker
	retained   map[string]retainedWorker
	lastOutage time.Time
	// restoreGraceUntil is the time until which missing records are attributed to a restore of the store.
	restoreGraceUntil time.Time
	// drainingSince is when incarnations announced that they are leaving, in their records or earlier, by ID.
	drainingSince map[string]time.Time
	// reported holds the workers in use as of the last call of Changes; pending holds the current state, nil if not in
	// use, of workers that may have changed since, by ID.
	reported Set
	pending  map[string]*Worker
}

// retainedWorker is a worker without a record that stays in use for a while.
type retainedWorker struct {
	worker *Worker
	expiry time.Time
}

// NewRoster returns an empty roster.
func NewRoster(settings RosterSettings) *Roster {
	return &Roster{
		settings: settings, byRecord: map[string]*Worker{}, retained: map[string]retainedWorker{}, drainingSince: map[string]time.Time{}, reported: Set{},
		pending: map[string]*Worker{},
	}
}

// Outage records that the store was unavailable at the given time.
func (r *Roster) Outage(now time.Time) { r.lastOutage = now }

// Restored records that the store was restored from a backup. Call it before passing on the restored records.
func (r *Roster) Restored(now time.Time) { r.restoreGraceUntil = now.Add(r.settings.OutageWindow) }

// Reset replaces all records with those of the given workers.
func (r *Roster) Reset(now time.Time, workers []*Worker) {
	present := make(map[string]bool, len(workers))
	for _, worker := range workers {
		present[worker.RecordName()] = true
	}
	for name := range r.byRecord {
		if !present[name] {
			r.Remove(now, name)
		}
	}
	for _, worker := range workers {
		r.Put(now, worker)
	}
}

// Put adds or updates the record of a worker. A worker that restarted under the same record name replaces its previous
// incarnation.
func (r *Roster) Put(now time.Time, worker *Worker) {
	if previous := r.byRecord[worker.RecordName()]; previous != nil && previous.ID != worker.ID {
		r.pending[previous.ID] = nil
	}
	if worker.Draining {
		r.markDraining(now, worker.ID)
	}
	if _, draining := r.drainingSince[worker.ID]; draining {
		worker = worker.AsDraining()
	}
	r.byRecord[worker.RecordName()] = worker
	delete(r.retained, worker.ID)
	r.pending[worker.ID] = worker
}

// drainingRetention is how long the announcement that a worker is leaving is kept once the worker is no longer in use. A
// stale record of the worker may still arrive, from a delayed list or a restored store; after this time the worker has
// terminated.
const drainingRetention = 10 * time.Minute

// markDraining records that an incarnation is leaving, which is final, and reports whether that is new.
func (r *Roster) markDraining(now time.Time, id string) bool {
	if _, known := r.drainingSince[id]; known {
		return false
	}
	for otherID, since := range r.drainingSince {
		if now.Sub(since) > drainingRetention && r.lookup(otherID) == nil {
			delete(r.drainingSince, otherID)
		}
	}
	r.drainingSince[id] = now
	return true
}

// AnnounceLeaving records that an incarnation announced that it is leaving, before its record says so, and reports
// whether this makes a worker in use draining.
func (r *Roster) AnnounceLeaving(now time.Time, id string) bool {
	worker := r.lookup(id)
	if !r.markDraining(now, id) || worker == nil || worker.Draining {
		return false
	}
	worker = worker.AsDraining()
	if retained, found := r.retained[id]; found {
		r.retained[id] = retainedWorker{worker: worker, expiry: retained.expiry}
	} else {
		r.byRecord[worker.RecordName()] = worker
	}
	r.pending[id] = worker
	return true
}

// lookup returns the current state of the worker in use with the given ID, as Changes would report it, or nil.
func (r *Roster) lookup(id string) *Worker {
	if retained, found := r.retained[id]; found {
		return retained.worker
	}
	worker := r.reported[id]
	if current, found := r.pending[id]; found {
		worker = current
	}
	return worker
}

// Remove handles the disappearance of a record. Its worker stays in use for a while if an outage or a restore of the
// store may be the cause.
func (r *Roster) Remove(now time.Time, name string) {
	worker, known := r.byRecord[name]
	if !known {
		return
	}
	delete(r.byRecord, name)
	r.pending[worker.ID] = nil
	isExplained := !r.lastOutage.IsZero() && now.Sub(r.lastOutage) < r.settings.OutageWindow
	grace := r.settings.OutageGrace
	if now.Before(r.restoreGraceUntil) {
		isExplained, grace = true, r.settings.RestoreGrace
	}
	if isExplained && !worker.Draining {
		r.retained[worker.ID] = retainedWorker{worker: worker, expiry: now.Add(grace)}
		r.pending[worker.ID] = worker
	}
}

// Invalidate records that a record became unusable. Its worker is no longer in use.
func (r *Roster) Invalidate(name string) {
	if worker, known := r.byRecord[name]; known {
		delete(r.byRecord, name)
		r.pending[worker.ID] = nil
	}
}

// Changes returns the changes to the workers in use since the last call, and when the next retained worker expires, or
// the zero time if none does.
func (r *Roster) Changes(now time.Time) (Changes, time.Time) {
	var next time.Time
	for id, retained := range r.retained {
		switch {
		case !now.Before(retained.expiry):
			delete(r.retained, id)
			r.pending[id] = nil
		case next.IsZero() || retained.expiry.Before(next):
			next = retained.expiry
		}
	}
	var changes Changes
	for id, worker := range r.pending {
		previous := r.reported[id]
		switch {
		case worker == nil && previous != nil:
			changes.Removed = append(changes.Removed, id)
		case worker != nil && (previous == nil || !previous.Equal(worker)):
			changes.Updated = append(changes.Updated, worker)
		}
	}
	clear(r.pending)
	changes.Apply(r.reported)
	return changes, next
}
