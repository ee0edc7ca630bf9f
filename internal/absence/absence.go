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
const maxRemembered = 1024

// Table holds which engines have ended. It is a pure state machine and not safe for concurrent use.
//
// Invariants: only engines with records are absent; an absence is over at the word that the engine answers, or after Mark without
// a word; it is confirmed only by a connection that this process itself saw refused.
type Table struct {
	settings Settings
	absent   map[string]*absent
	// ended are the engines that ended, by their addresses, until another one records itself there.
	ended map[string]ended
	// trusted engines were found to answer although another process said otherwise, and until when its word counts for nothing: it may
	// be cut off itself.
	trusted map[string]time.Time
	returns spread
}

// Return is an engine that recorded itself again, under another id.
type Return struct {
	Worker *backend.Worker
	Away   time.Duration
}

// absent is an engine that has ended.
type absent struct {
	worker       *backend.Worker
	since, until time.Time
	confirmed    bool
}

// ended is when an engine ended.
type ended struct {
	id    string
	since time.Time
}

// New returns a table in which nothing is absent.
func New(settings Settings) *Table {
	return &Table{settings: settings, absent: map[string]*absent{}, ended: map[string]ended{}, trusted: map[string]time.Time{}}
}

// Refused notes that the address of an engine refused a connection, of this process or, as hearsay, of another one. It tells whether
// that is news: the engine was not known to be absent, or is now confirmed.
func (t *Table) Refused(now time.Time, worker *backend.Worker, own bool) bool {
	if !own && now.Before(t.trusted[worker.ID]) {
		return false
	}
	known, found := t.absent[worker.ID]
	if !found || !now.Before(known.until) {
		known = &absent{worker: worker, since: now}
		t.absent[worker.ID] = known
		t.remember(now, worker)
		found = false
	}
	known.until = now.Add(t.settings.Mark)
	news := !found || (own && !known.confirmed)
	known.confirmed = known.confirmed || own
	return news
}

// remember keeps when an engine ended, to learn how long it stays away.
func (t *Table) remember(now time.Time, worker *backend.Worker) {
	if before, found := t.ended[worker.Address]; found && before.id == worker.ID {
		return
	}
	if len(t.ended) < maxRemembered {
		t.ended[worker.Address] = ended{id: worker.ID, since: now}
	}
}

// Answers notes that an engine lives, and tells whether it was taken to be absent.
func (t *Table) Answers(now time.Time, worker *backend.Worker) bool {
	_, found := t.absent[worker.ID]
	delete(t.absent, worker.ID)
	if found {
		t.trusted[worker.ID] = now.Add(t.settings.Mark)
	}
	if before := t.ended[worker.Address]; before.id == worker.ID {
		delete(t.ended, worker.Address)
	}
	return found
}

// Absent tells whether an engine has ended, and whether this process itself saw its address refuse a connection.
func (t *Table) Absent(now time.Time, id string) (absent, confirmed bool) {
	known, found := t.absent[id]
	if !found || !now.Before(known.until) {
		return false, false
	}
	return true, known.confirmed
}

// Engines returns the absent engines, also those of which nobody said anything for Mark.
func (t *Table) Engines() []*backend.Worker {
	engines := make([]*backend.Worker, 0, len(t.absent))
	for _, known := range t.absent {
		engines = append(engines, known.worker)
	}
	return engines
}

// Change forgets engines whose records are gone, and learns from those that came back, which it returns.
func (t *Table) Change(now time.Time, changes backend.Changes) []Return {
	for _, id := range changes.Gone {
		delete(t.absent, id)
	}
	for id, until := range t.trusted {
		if !now.Before(until) {
			delete(t.trusted, id)
		}
	}
	if len(t.ended) == 0 {
		return nil
	}
	var returns []Return
	for _, worker := range changes.Put {
		before, found := t.ended[worker.Address]
		if !found || before.id == worker.ID {
			continue
		}
		if away := now.Sub(before.since); away <= t.settings.LongestReturn {
			t.returns.add(away)
			returns = append(returns, Return{Worker: worker, Away: away})
		}
		delete(t.ended, worker.Address)
	}
	for address, before := range t.ended {
		if now.Sub(before.since) > t.settings.LongestReturn {
			delete(t.ended, address)
		}
	}
	return returns
}

// Since returns when an absent engine was first known to have ended.
func (t *Table) Since(id string) time.Time {
	known, found := t.absent[id]
	if !found {
		return time.Time{}
	}
	if before := t.ended[known.worker.Address]; before.id == id {
		return before.since
	}
	return known.since
}

// Until returns until when an absent engine is to be passed over.
func (t *Table) Until(id string) time.Time {
	known, found := t.absent[id]
	if !found {
		return time.Time{}
	}
	return known.until
}

// BackAt returns when an absent engine is expected to take requests again under another id, and whether that is known from others or
// only guessed.
func (t *Table) BackAt(id string) (at time.Time, learnt bool) {
	since := t.Since(id)
	if since.IsZero() {
		return since, false
	}
	if away, learnt := t.returns.high(); learnt {
		return since.Add(away), true
	}
	return since.Add(t.settings.Return), false
}

// spread is the mean of a duration and its mean deviation, as TCP keeps them of round trips (RFC 6298).
type spread struct{ mean, deviation time.Duration }

// Weights of a new value, and how many deviations above the mean the high end is taken to be.
const (
	meanWeight      = 4
	deviationWeight = 4
	firstDeviation  = 8
	highDeviations  = 2
)

// add takes a value.
func (s *spread) add(value time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = value, value/firstDeviation
		return
	}
	s.deviation += ((value - s.mean).Abs() - s.deviation) / deviationWeight
	s.mean += (value - s.mean) / meanWeight
}

// high returns what most values are below, or false when none is known.
func (s *spread) high() (time.Duration, bool) {
	return s.mean + highDeviations*s.deviation, s.mean > 0
}
