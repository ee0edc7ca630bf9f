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
	recorded   map[string]*Worker
	fading     map[string]fadingWorker
	lastOutage time.Time
	// lostUntil is until when records that are gone are taken to be lost with what the store held.
	lostUntil time.Time
	// leaving is when incarnations said that they leave, in their records or ahead of them, by id.
	leaving map[string]time.Time
	// told are the workers in use as Changes told them last, and touched the ids of those of which that may be out of date.
	told    Set
	touched map[string]*Worker
}

// fadingWorker is a worker without a record.
type fadingWorker struct {
	worker *Worker
	until  time.Time
}

// NewRoster returns an empty roster.
func NewRoster(settings RosterSettings) *Roster {
	return &Roster{
		settings: settings, recorded: map[string]*Worker{}, fading: map[string]fadingWorker{}, leaving: map[string]time.Time{}, told: Set{},
		touched: map[string]*Worker{},
	}
}

// Outage tells that the store failed.
func (r *Roster) Outage(now time.Time) { r.lastOutage = now }

// Restored tells that the store has come back from an older copy, before its records are told.
func (r *Roster) Restored(now time.Time) { r.lostUntil = now.Add(r.settings.OutageMemory) }

// Reset replaces all records by those of these workers.
func (r *Roster) Reset(now time.Time, workers []*Worker) {
	present := make(map[string]bool, len(workers))
	for _, worker := range workers {
		present[worker.RecordName()] = true
	}
	for name := range r.recorded {
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
	if before := r.recorded[worker.RecordName()]; before != nil && before.ID != worker.ID {
		r.touched[before.ID] = nil
	}
	if worker.Draining {
		r.noteLeaving(now, worker.ID)
	}
	if _, leaves := r.leaving[worker.ID]; leaves {
		worker = worker.AsDraining()
	}
	r.recorded[worker.RecordName()] = worker
	delete(r.fading, worker.ID)
	r.touched[worker.ID] = worker
}

// leavingMemory is how long the word of a worker that it leaves is kept once the worker is not in use any more. An old record of it may come
// again, from a list that is late or a store that has lost changes; after this time a worker that leaves has ended.
const leavingMemory = 10 * time.Minute

// noteLeaving keeps that an incarnation leaves, which nothing undoes, and tells whether that is news.
func (r *Roster) noteLeaving(now time.Time, id string) bool {
	if _, known := r.leaving[id]; known {
		return false
	}
	for other, said := range r.leaving {
		if now.Sub(said) > leavingMemory && r.inUse(other) == nil {
			delete(r.leaving, other)
		}
	}
	r.leaving[id] = now
	return true
}

// Leaves takes the word of an incarnation that it leaves, ahead of its record, and tells whether a worker in use takes no new work for it
// from now on.
func (r *Roster) Leaves(now time.Time, id string) bool {
	worker := r.inUse(id)
	if !r.noteLeaving(now, id) || worker == nil || worker.Draining {
		return false
	}
	worker = worker.AsDraining()
	if faded, fades := r.fading[id]; fades {
		r.fading[id] = fadingWorker{worker: worker, until: faded.until}
	} else {
		r.recorded[worker.RecordName()] = worker
	}
	r.touched[id] = worker
	return true
}

// inUse returns the worker in use with an id, as it is known now, or nil.
func (r *Roster) inUse(id string) *Worker {
	if faded, fades := r.fading[id]; fades {
		return faded.worker
	}
	worker := r.told[id]
	if touched, changed := r.touched[id]; changed {
		worker = touched
	}
	return worker
}

// Remove takes note that a record is gone.
func (r *Roster) Remove(now time.Time, name string) {
	worker, known := r.recorded[name]
	if !known {
		return
	}
	delete(r.recorded, name)
	r.touched[worker.ID] = nil
	recent := !r.lastOutage.IsZero() && now.Sub(r.lastOutage) < r.settings.OutageMemory
	lasting := r.settings.FadeTime
	if now.Before(r.lostUntil) {
		recent, lasting = true, r.settings.LostTime
	}
	if recent && !worker.Draining {
		r.fading[worker.ID] = fadingWorker{worker: worker, until: now.Add(lasting)}
		r.touched[worker.ID] = worker
	}
}

// Drop takes note that a record says nothing that can be used any more: its worker is not in use from now on.
func (r *Roster) Drop(name string) {
	if worker, known := r.recorded[name]; known {
		delete(r.recorded, name)
		r.touched[worker.ID] = nil
	}
}

// Changes returns what has changed of the workers in use since the last call, and when the next one fades out; the zero time is never.
func (r *Roster) Changes(now time.Time) (Changes, time.Time) {
	var next time.Time
	for id, faded := range r.fading {
		switch {
		case !now.Before(faded.until):
			delete(r.fading, id)
			r.touched[id] = nil
		case next.IsZero() || faded.until.Before(next):
			next = faded.until
		}
	}
	var changes Changes
	for id, worker := range r.touched {
		before := r.told[id]
		switch {
		case worker == nil && before != nil:
			changes.Gone = append(changes.Gone, id)
		case worker != nil && (before == nil || !before.Equal(worker)):
			changes.Put = append(changes.Put, worker)
		}
	}
	clear(r.touched)
	changes.Apply(r.told)
	return changes, next
}
