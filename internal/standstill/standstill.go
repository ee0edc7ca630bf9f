// Package standstill tells from a late timer that this process stood still: it was suspended, or got no processor time. What it had waited for
// may have come meanwhile.
package standstill

import (
	"sync"
	"time"
)

// MaxTimerDelay is how late a timer may run in a process that does not stand still.
const MaxTimerDelay = 100 * time.Millisecond

// IsLate reports whether a timer that was due at a time runs so late that this process has stood still.
func IsLate(now, due time.Time) bool { return now.Sub(due) > MaxTimerDelay }

// Heartbeat tells since when this process may have stood still, from a task that runs periodically. It is safe for concurrent use. The zero value
// knows of no standstill.
type Heartbeat struct {
	mu sync.Mutex
	// due is when the task runs next; zero before its first run.
	due time.Time
	// stoodFrom and stoodUntil are the bounds of the last standstill.
	stoodFrom, stoodUntil time.Time
}

// Beat records that the task runs now, and when it is due again.
func (h *Heartbeat) Beat(now, due time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.due.IsZero() && IsLate(now, h.due) {
		h.stoodFrom, h.stoodUntil = h.due, now
	}
	h.due = due
}

// RunningUntil returns the last time up to now at which this process is known to have run, if it stands still until now or has just gone on, or else
// now. What waited for the end of a standstill may run a moment after the task.
func (h *Heartbeat) RunningUntil(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.due.IsZero() && IsLate(now, h.due):
		return h.due
	case !h.stoodUntil.IsZero() && !IsLate(now, h.stoodUntil):
		return h.stoodFrom
	default:
		return now
	}
}
