// Package stallwatch watches the responses of workers for stalls: silence within a response for longer than the pace of its events explains.
package stallwatch

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/migration"
	"github.com/granitebay/granitebay/internal/standstill"
)

// Watch watches one response for stalls. A nil Watch does nothing. It is safe for concurrent use.
//
// Invariants: a response is abandoned only while its reader waits for the worker and nothing of it has arrived, so time that the caller takes or
// that this process stands still does not count; once it is abandoned, no event of it is forwarded.
type Watch struct {
	// decide is called with mu held.
	decide func() (abandon bool, recheck time.Duration)

	mu       sync.Mutex
	detector migration.StallDetector
	// waitingSince is when the reader began to wait for the worker; zero while it does not wait.
	waitingSince time.Time
	// patientSince is when the patience with the worker began anew, because this process had stood still.
	patientSince time.Time
	silence      httpclient.Silence
	// begun is set once the first event of the response has arrived.
	begun              bool
	abandoned, stopped bool
	timer              *time.Timer
	// due is when the timer is to run check.
	due time.Time
}

// New returns a watch of the response that arrives at arrivals, which may be nil. When the response has stalled, decide is called, which must not use
// the watch. It returns true to abandon the response, or else when to call it again; zero for never.
func New(detector migration.StallDetector, arrivals *httpclient.Arrivals, decide func() (abandon bool, recheck time.Duration)) *Watch {
	return &Watch{decide: decide, detector: detector, silence: httpclient.NewSilence(arrivals)}
}

// Wait records that the reader of the response waits for the worker.
func (w *Watch) Wait() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = time.Now()
	if limit := w.detector.Limit(); w.begun && w.timer == nil && limit > 0 {
		w.due = w.waitingSince.Add(limit)
		w.timer = time.AfterFunc(limit, w.check)
	}
}

// checkAgain schedules the next check. mu must be held.
func (w *Watch) checkAgain(now time.Time, after time.Duration) {
	w.due = now.Add(after)
	w.timer.Reset(after)
}

// Received records that the worker sent an event or ended the response, and reports whether an event may be forwarded.
func (w *Watch) Received() bool {
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
func (w *Watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.detector.Limit()
	if w.stopped || w.abandoned || limit <= 0 {
		return
	}
	now := time.Now()
	if standstill.IsLate(now, w.due) {
		w.patientSince = now
	}
	if w.waitingSince.IsZero() {
		w.checkAgain(now, limit)
		return
	}
	if left := w.silentSince().Add(limit).Sub(now); left > 0 {
		w.checkAgain(now, left)
		return
	}
	if again := w.silence.Confirm(); again > 0 {
		w.checkAgain(now, again)
		return
	}
	abandon, recheck := w.decide()
	w.abandoned = abandon
	if !abandon && recheck > 0 {
		w.checkAgain(now, recheck)
	}
}

// silentSince returns since when the silence of the worker counts.
func (w *Watch) silentSince() time.Time {
	if w.patientSince.After(w.waitingSince) {
		return w.patientSince
	}
	return w.waitingSince
}

// Stop ends the watch.
func (w *Watch) Stop() {
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
