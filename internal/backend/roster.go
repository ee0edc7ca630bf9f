package backend

import "time"

// RosterSettings of a roster.
type RosterSettings struct {
	// FadeTime is how long a worker whose record is gone around an outage of the store stays in use. The outage may have ended
	// the record of a worker that lives, which records itself again with its next heartbeat.
	FadeTime time.Duration
	// OutageMemory is how long after an outage missing records are put down to it.
	OutageMemory time.Duration
	// LostTime is how long a worker stays in use whose record is gone since the store came back from an older copy: it came after the copy
	// was made, and has not left, but the store does not know it yet.
	LostTime time.Duration
}

// Roster is the list of workers as the store told it. It is a pure state machine and not safe for concurrent use.
//
// Invariants: a worker is in use only while its record is there, or for FadeTime after a record went that said it was ready, if that was
// within OutageMemory of an outage; each record names one incarnation at a time; and an incarnation that said that it leaves is draining,
// whatever its record says: that may be late by as long as the store is away.
type Roster struct {
	settings RosterSettings
	// recorded are the workers by the names of their records, and fading those without a record, by id.
	byRecord   map[string]*Worker
	retained   map[string]retainedWorker
	lastOutage time.Time
	// lostUntil is until when records that are gone are taken to be lost with what the store held.
	restoreGraceUntil time.Time
	// leaving is when incarnations said that they leave, in their records or ahead of them, by id.
	drainingSince map[string]time.Time
	// told are the workers in use as Changes told them last, and touched the ids of those of which that may be out of date.
	reported Set
	pending  map[string]*Worker
}

// fadingWorker is a worker without a record.
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

// Outage tells that the store failed.
func (r *Roster) Outage(now time.Time) { r.lastOutage = now }

// Restored tells that the store has come back from an older copy, before its records are told.
func (r *Roster) Restored(now time.Time) { r.restoreGraceUntil = now.Add(r.settings.OutageMemory) }

// Reset replaces all records by those of these workers.
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

// Put takes the record of a worker. One that started again under the same name takes the place of the one before, of which nothing holds
// any more.
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

// leavingMemory is how long the word of a worker that it leaves is kept once the worker is not in use any more. An old record of it may come
// again, from a list that is late or a store that has lost changes; after this time a worker that leaves has ended.
const drainingMemory = 10 * time.Minute

// noteLeaving keeps that an incarnation leaves, which nothing undoes, and tells whether that is news.
func (r *Roster) markDraining(now time.Time, id string) bool {
	if _, known := r.drainingSince[id]; known {
		return false
	}
	for otherID, since := range r.drainingSince {
		if now.Sub(since) > drainingMemory && r.lookup(otherID) == nil {
			delete(r.drainingSince, otherID)
		}
	}
	r.drainingSince[id] = now
	return true
}

// Leaves takes the word of an incarnation that it leaves, ahead of its record, and tells whether a worker in use takes no new work for it
// from now on.
func (r *Roster) Leaves(now time.Time, id string) bool {
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

// inUse returns the worker in use with an id, as it is known now, or nil.
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

// Remove takes note that a record is gone.
func (r *Roster) Remove(now time.Time, name string) {
	worker, known := r.byRecord[name]
	if !known {
		return
	}
	delete(r.byRecord, name)
	r.pending[worker.ID] = nil
	recent := !r.lastOutage.IsZero() && now.Sub(r.lastOutage) < r.settings.OutageMemory
	grace := r.settings.FadeTime
	if now.Before(r.restoreGraceUntil) {
		recent, grace = true, r.settings.LostTime
	}
	if recent && !worker.Draining {
		r.retained[worker.ID] = retainedWorker{worker: worker, expiry: now.Add(grace)}
		r.pending[worker.ID] = worker
	}
}

// Drop takes note that a record says nothing that can be used any more: its worker is not in use from now on.
func (r *Roster) Drop(name string) {
	if worker, known := r.byRecord[name]; known {
		delete(r.byRecord, name)
		r.pending[worker.ID] = nil
	}
}

// Changes returns what has changed of the workers in use since the last call, and when the next one fades out; the zero time is never.
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
			changes.Gone = append(changes.Gone, id)
		case worker != nil && (previous == nil || !previous.Equal(worker)):
			changes.Put = append(changes.Put, worker)
		}
	}
	clear(r.pending)
	changes.Apply(r.reported)
	return changes, next
}
