package httpclient

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standstill"
)

// TestLateTimerRestartsPatience guards against a peer that is blamed for time in which this process stood still: its request may not have been
// sent until then.
func TestLateTimerRestartsPatience(t *testing.T) {
	const timeout = time.Hour
	silent := 0
	p := NewPatience(timeout, nil, func() { silent++ })
	defer p.Stop()
	for range 3 {
		p.due = time.Now().Add(-2 * standstill.MaxTimerDelay)
		p.check()
	}
	if left := time.Until(p.due); silent > 0 || left < timeout/2 {
		t.Errorf("silent %d times, next check in %s", silent, left)
	}
	for range 2 {
		p.due = time.Now()
		p.check()
	}
	if silent != 1 {
		t.Errorf("silent %d times, want once", silent)
	}
}

// TestPatience guards against a peer that is silent and kept, and against a timeout that outlasts Stop or ends before Reset allows.
func TestPatience(t *testing.T) {
	const timeout = 50 * time.Millisecond
	silent := make(chan time.Time, 1)
	start := time.Now()
	p := NewPatience(timeout, &Arrivals{}, func() { silent <- time.Now() })
	defer p.Stop()
	if took := (<-silent).Sub(start); took < timeout {
		t.Errorf("silent after %s, want at least %s", took, timeout)
	}
	start = time.Now()
	p.Reset(2 * timeout)
	if took := (<-silent).Sub(start); took < 2*timeout {
		t.Errorf("silent after %s, want at least %s", took, 2*timeout)
	}
	var calls atomic.Int32
	stopped := NewPatience(timeout, nil, func() { calls.Add(1) })
	stopped.Stop()
	stopped.Reset(timeout)
	time.Sleep(3 * timeout)
	if calls.Load() > 0 {
		t.Error("called after Stop")
	}
}
