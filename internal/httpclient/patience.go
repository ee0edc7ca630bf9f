package httpclient

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/standstill"
)

// Patience calls a function once a peer has been silent for a timeout. It is safe for concurrent use, but the function must not use it.
//
// Invariant: the function is not called while part of the response has arrived, nor for time in which this process stood still: the request may
// not have been sent until then, so the timeout starts anew.
type Patience struct {
	// onSilent is called with mu held.
	onSilent func()

	mu      sync.Mutex
	silence Silence
	timeout time.Duration
	timer   *time.Timer
	// due is when the timer is to run check.
	due     time.Time
	stopped bool
}

// NewPatience starts the timeout for the response that arrives at arrivals, which may be nil.
func NewPatience(timeout time.Duration, arrivals *Arrivals, onSilent func()) *Patience {
	p := &Patience{onSilent: onSilent, silence: NewSilence(arrivals), timeout: timeout, due: time.Now().Add(timeout)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(timeout, p.check)
	return p
}

// Reset starts another timeout, unless the patience was stopped.
func (p *Patience) Reset(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.timeout = timeout
		p.checkAgain(time.Now(), timeout)
	}
}

// Stop ends the timeout. After it, the function is not called, and no call is in progress.
func (p *Patience) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

// check runs when the peer may be silent.
func (p *Patience) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, again := time.Now(), p.timeout
	if p.stopped || now.Before(p.due) {
		return
	}
	if !standstill.IsLate(now, p.due) {
		again = p.silence.Confirm()
	}
	if again > 0 {
		p.checkAgain(now, again)
		return
	}
	p.onSilent()
}

// checkAgain schedules the next check. mu must be held.
func (p *Patience) checkAgain(now time.Time, after time.Duration) {
	p.due = now.Add(after)
	p.timer.Reset(after)
}
