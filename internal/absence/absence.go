// Package absence holds which engines are known to have ended although their records are still there. Records go seconds after the
// process, by when it may run again; a connection that is refused shows the same within milliseconds.
package absence

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Settings of a table.
type Settings struct {
	// Mark is how long the word counts that the address of an engine refuses connections. Whoever asks the engine again says it
	// anew; when nobody does, a request finds out, and all know again.
	Mark time.Duration
	// Return is how long an engine is taken to stay away while none has been seen to come back, and LongestReturn bounds what is
	// learnt: one that was away for longer was not just started again.
	Return, LongestReturn time.Duration
}

// DefaultSettings count a word for some rounds of questions, and expect an engine back within about the time that its record takes to go.
func DefaultSettings() Settings {
	return Settings{Mark: 1500 * time.Millisecond, Return: 3 * time.Second, LongestReturn: time.Minute}
}

// maxRemembered bounds the ended engines whose return is waited for to learn how long it takes.
const maxTrackedReturns = 1024

// Table holds which engines have ended. It is a pure state machine and not safe for concurrent use.
//
// Invariants: only engines with records are absent; an absence is over at the word that the engine answers, or after Mark without
// a word; it is confirmed only by a connection that this process itself saw refused.
type Table struct {
	settings Settings
	absent   map[string]*absentEngine
	// ended are the engines that ended, by their addresses, until another one records itself there.
	endedByAddress map[string]endedEngine
	// trusted engines were found to answer although another process said otherwise, and until when its word counts for nothing: it may
	// be cut off itself.
	trustedUntil map[string]time.Time
	returnTimes  durationEstimate
}

// Return is an engine that recorded itself again, under another id.
type Return struct {
	Worker *backend.Worker
	Away   time.Duration
}

// absent is an engine that has ended.
type absentEngine struct {
	worker        *backend.Worker
	since, expiry time.Time
	confirmed     bool
}

// ended is when an engine ended.
type endedEngine struct {
	id    string
	since time.Time
}

// New returns a table in which nothing is absent.
func New(settings Settings) *Table {
	return &Table{settings: settings, absent: map[string]*absentEngine{}, endedByAddress: map[string]endedEngine{}, trustedUntil: map[string]time.Time{}}
}

// Refused notes that the address of an engine refused a connection, of this process or, as hearsay, of another one. It tells whether
// that is news: the engine was not known to be absent, or is now confirmed.
func (t *Table) Refused(now time.Time, worker *backend.Worker, direct bool) bool {
	if !direct && now.Before(t.trustedUntil[worker.ID]) {
		return false
	}
	entry, found := t.absent[worker.ID]
	if !found || !now.Before(entry.expiry) {
		entry = &absentEngine{worker: worker, since: now}
		t.absent[worker.ID] = entry
		t.trackReturn(now, worker)
		found = false
	}
	entry.expiry = now.Add(t.settings.Mark)
	isNew := !found || (direct && !entry.confirmed)
	entry.confirmed = entry.confirmed || direct
	return isNew
}

// remember keeps when an engine ended, to learn how long it stays away.
func (t *Table) trackReturn(now time.Time, worker *backend.Worker) {
	if previous, found := t.endedByAddress[worker.Address]; found && previous.id == worker.ID {
		return
	}
	if len(t.endedByAddress) < maxTrackedReturns {
		t.endedByAddress[worker.Address] = endedEngine{id: worker.ID, since: now}
	}
}

// Answers notes that an engine lives, and tells whether it was taken to be absent.
func (t *Table) Answers(now time.Time, worker *backend.Worker) bool {
	_, found := t.absent[worker.ID]
	delete(t.absent, worker.ID)
	if found {
		t.trustedUntil[worker.ID] = now.Add(t.settings.Mark)
	}
	if previous := t.endedByAddress[worker.Address]; previous.id == worker.ID {
		delete(t.endedByAddress, worker.Address)
	}
	return found
}

// Absent tells whether an engine has ended, and whether this process itself saw its address refuse a connection.
func (t *Table) Absent(now time.Time, id string) (absent, confirmed bool) {
	entry, found := t.absent[id]
	if !found || !now.Before(entry.expiry) {
		return false, false
	}
	return true, entry.confirmed
}

// Engines returns the absent engines, also those of which nobody said anything for Mark.
func (t *Table) Engines() []*backend.Worker {
	engines := make([]*backend.Worker, 0, len(t.absent))
	for _, entry := range t.absent {
		engines = append(engines, entry.worker)
	}
	return engines
}

// Change forgets engines whose records are gone, and learns from those that came back, which it returns.
func (t *Table) Change(now time.Time, changes backend.Changes) []Return {
	for _, id := range changes.Gone {
		delete(t.absent, id)
	}
	for id, expiry := range t.trustedUntil {
		if !now.Before(expiry) {
			delete(t.trustedUntil, id)
		}
	}
	if len(t.endedByAddress) == 0 {
		return nil
	}
	var returns []Return
	for _, worker := range changes.Put {
		previous, found := t.endedByAddress[worker.Address]
		if !found || previous.id == worker.ID {
			continue
		}
		if away := now.Sub(previous.since); away <= t.settings.LongestReturn {
			t.returnTimes.add(away)
			returns = append(returns, Return{Worker: worker, Away: away})
		}
		delete(t.endedByAddress, worker.Address)
	}
	for address, previous := range t.endedByAddress {
		if now.Sub(previous.since) > t.settings.LongestReturn {
			delete(t.endedByAddress, address)
		}
	}
	return returns
}

// Since returns when an absent engine was first known to have ended.
func (t *Table) Since(id string) time.Time {
	entry, found := t.absent[id]
	if !found {
		return time.Time{}
	}
	if previous := t.endedByAddress[entry.worker.Address]; previous.id == id {
		return previous.since
	}
	return entry.since
}

// Until returns until when an absent engine is to be passed over.
func (t *Table) Until(id string) time.Time {
	entry, found := t.absent[id]
	if !found {
		return time.Time{}
	}
	return entry.expiry
}

// BackAt returns when an absent engine is expected to take requests again under another id, and whether that is known from others or
// only guessed.
func (t *Table) BackAt(id string) (at time.Time, learned bool) {
	since := t.Since(id)
	if since.IsZero() {
		return since, false
	}
	if duration, known := t.returnTimes.upperBound(); known {
		return since.Add(duration), true
	}
	return since.Add(t.settings.Return), false
}

// spread is the mean of a duration and its mean deviation, as TCP keeps them of round trips (RFC 6298).
type durationEstimate struct{ mean, deviation time.Duration }

// Weights of a new value, and how many deviations above the mean the high end is taken to be.
const (
	meanWeight      = 4
	deviationWeight = 4
	firstDeviation  = 8
	highDeviations  = 2
)

// add takes a value.
func (e *durationEstimate) add(value time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = value, value/firstDeviation
		return
	}
	e.deviation += ((value - e.mean).Abs() - e.deviation) / deviationWeight
	e.mean += (value - e.mean) / meanWeight
}

// high returns what most values are below, or false when none is known.
func (e *durationEstimate) upperBound() (time.Duration, bool) {
	return e.mean + highDeviations*e.deviation, e.mean > 0
}
