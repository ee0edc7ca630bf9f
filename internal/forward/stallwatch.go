package forward

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/migration"
)

// stallWatch watches one response for stalls. A nil watch does nothing.
//
// Invariants: a response is abandoned only while the relay waits for its worker, so time that the caller takes does not count; once it is
// abandoned, no event of it is forwarded.
type stallWatch struct {
	// decide is called when the response has stalled, with mu held. It returns true to abandon the response, or else when to call again; zero
	// for never.
	decide func(now time.Time) (abandon bool, recheck time.Duration)

	mu       sync.Mutex
	detector migration.StallDetector
	// waitingSince is when the relay began to wait for the worker; zero while it does not wait.
	waitingSince time.Time
	// begun is set once the first event of the response has arrived.
	begun              bool
	abandoned, stopped bool
	timer              *time.Timer
}

// wait records that the relay waits for the worker.
func (w *stallWatch) wait() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = time.Now()
	if limit := w.detector.Limit(); w.begun && w.timer == nil && limit > 0 {
		w.timer = time.AfterFunc(limit, w.check)
	}
}

// received records that the worker sent an event or ended the response, and reports whether an event may be forwarded.
func (w *stallWatch) received() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun {
		w.detector.Observe(time.Since(w.waitingSince))
	}
	w.begun, w.waitingSince = true, time.Time{}
	return !w.abandoned
}

// check runs when the response may have stalled. The timer is not restarted for each event, so it mostly finds newer events.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.detector.Limit()
	if w.stopped || w.abandoned || limit <= 0 {
		return
	}
	if w.waitingSince.IsZero() {
		w.timer.Reset(limit)
		return
	}
	now := time.Now()
	if left := w.waitingSince.Add(limit).Sub(now); left > 0 {
		w.timer.Reset(left)
		return
	}
	abandon, recheck := w.decide(now)
	w.abandoned = abandon
	if !abandon && recheck > 0 {
		w.timer.Reset(recheck)
	}
}

// stop ends the watch.
func (w *stallWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
