package enginemodel

import (
	"math"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Stream observes the events of one response. It holds references into its Model and is as little safe for concurrent use.
type Stream struct {
	class  *classStats
	worker *workerStats
	last   time.Time
	// level is the level of the last interval, as levelOf returns it, or noLevel.
	level   int
	events  int
	longest time.Duration
}

// NewStream returns the observer of a response of a worker that has sent no event yet.
func (m *Model) NewStream(worker *backend.Worker) *Stream {
	class := m.statsOf(ClassOf(worker))
	return &Stream{class: class, worker: class.workerOf(worker.ID), level: noLevel}
}

// Event records that an event arrived, and returns the time since the one before; zero for the first.
func (s *Stream) Event(now time.Time) time.Duration {
	before := s.last
	s.last = now
	s.events++
	if before.IsZero() || !now.After(before) {
		return 0
	}
	interval := now.Sub(before)
	s.longest = max(s.longest, interval)
	seconds := interval.Seconds()
	if s.worker.pace.known(now) {
		// Before its pace is known, a slow engine could be taken for one in a transient slowdown.
		if typical, found := s.class.typical(now); found {
			s.level = s.class.transients.add(now, seconds, math.Exp(s.worker.pace.logSeconds(typical)), s.level)
		}
	}
	s.class.observeInterval(now, s.worker, seconds)
	return interval
}

// Interrupt makes the time until the next event count for nothing, because it is not known when that event arrives.
func (s *Stream) Interrupt() { s.last, s.level = time.Time{}, noLevel }

// Events returns the number of events so far, and Longest the longest time between two of them.
func (s *Stream) Events() int { return s.events }

// Longest returns the longest time between two events so far.
func (s *Stream) Longest() time.Duration { return s.longest }
