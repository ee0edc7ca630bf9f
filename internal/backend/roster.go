package backend

import "time"

// RosterSettings of a roster.
type RosterSettings struct {
	// FadeTime is how long a worker whose record is gone around an outage of the store stays in use. The outage may have ended
	// the record of a worker that lives, which records itself again with its next heartbeat.
	FadeTime time.Duration
	// OutageMemory is how long after an outage missing records are put down to it.
	OutageMemory time.Duration
}

// Roster is the list of workers as the store told it. It is a pure state machine and not safe for concurrent use.
//
// Invariants: a worker is in use only while its record is there, or for FadeTime after a record went that said it was ready, if that was
// within OutageMemory of an outage; and each record names one incarnation at a time.
type Roster struct {
	settings RosterSettings
	// recorded are the workers by the names of their records, and fading those without a record, by id.
	recorded   map[string]*Worker
	fading     map[string]fadingWorker
	lastOutage time.Time
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
		settings: settings, recorded: map[string]*Worker{}, fading: map[string]fadingWorker{}, told: Set{}, touched: map[string]*Worker{},
	}
}

// Outage tells that the store failed.
func (r *Roster) Outage(now time.Time) { r.lastOutage = now }

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
		r.Put(worker)
	}
}

// Put takes the record of a worker. One that started again under the same name takes the place of the one before, of which nothing holds
// any more.
func (r *Roster) Put(worker *Worker) {
	if before := r.recorded[worker.RecordName()]; before != nil && before.ID != worker.ID {
		r.touched[before.ID] = nil
	}
	r.recorded[worker.RecordName()] = worker
	delete(r.fading, worker.ID)
	r.touched[worker.ID] = worker
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
	if recent && !worker.Draining {
		r.fading[worker.ID] = fadingWorker{worker: worker, until: now.Add(r.settings.FadeTime)}
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
