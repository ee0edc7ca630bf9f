package forward

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/migration"
	"github.com/granitebay/granitebay/internal/standstill"
)

// stallWatch watches one response for stalls. A nil watch does nothing.
//
// Invariants: a response is abandoned only while the relay waits for its worker and nothing of it has arrived, so time that the caller takes or
// that this process stands still does not count; once it is abandoned, no event of it is forwarded.
type stallWatch struct {
	// decide is called when the response has stalled, with mu held. It returns true to abandon the response, or else when to call again; zero
	// for never.
	decide func(now time.Time) (abandon bool, recheck time.Duration)

	mu       sync.Mutex
	detector migration.StallDetector
	// waitingSince is when the relay began to wait for the worker; zero while it does not wait.
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

// wait records that the relay waits for the worker.
func (w *stallWatch) wait() {
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
func (w *stallWatch) checkAgain(now time.Time, after time.Duration) {
	w.due = now.Add(after)
	w.timer.Reset(after)
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
	abandon, recheck := w.decide(now)
	w.abandoned = abandon
	if !abandon && recheck > 0 {
		w.checkAgain(now, recheck)
	}
}

// silentSince returns since when the silence of the worker counts.
func (w *stallWatch) silentSince() time.Time {
	if w.patientSince.After(w.waitingSince) {
		return w.patientSince
	}
	return w.waitingSince
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
