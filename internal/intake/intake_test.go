package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// member is a connection as the model of a test knows it.
type member struct {
	conn             *Conn
	listener         *Listener
	size             int
	movedAt          time.Time
	isServed, isGone bool
}

// fleet is a budget with the model of its connections.
type fleet struct {
	t       *rapid.T
	now     time.Time
	budget  *Budget
	members []*member
	// evicted are the members that were told to end since the last step.
	evicted []*member
}

const (
	testBudget      = 100 << 10
	testConnections = 4
)

// newFleet returns a budget with two listeners.
func newFleet(t *rapid.T) (*fleet, []*Listener) {
	f := &fleet{t: t, now: time.Unix(1000, 0)}
	f.budget = New(testBudget, func() time.Time { return f.now })
	return f, []*Listener{f.budget.NewListener(testConnections), f.budget.NewListener(0)}
}

// admit adds a connection to a listener.
func (f *fleet) admit(l *Listener) {
	m := &member{listener: l, movedAt: f.now}
	m.conn = l.Admit(func(Reason) { f.evicted = append(f.evicted, m) })
	f.members = append(f.members, m)
}

// open returns the members that are open, of all listeners or of one.
func (f *fleet) open(of *Listener) []*member {
	var found []*member
	for _, m := range f.members {
		if !m.isGone && (of == nil || m.listener == of) {
			found = append(found, m)
		}
	}
	return found
}

// check compares the budget with the model.
func (f *fleet) check() {
	held := 0
	for _, m := range f.open(nil) {
		held += max(m.size-ExemptBytes, 0)
	}
	if got, limit := f.budget.Held(); got != held || got > limit {
		f.t.Fatalf("the budget counts %d of %d bytes, %d are held", got, limit, held)
	}
}

// checkEvicted checks that the members which were evicted waited, for a time at least, and longer than the others that could have been.
func (f *fleet) checkEvicted(least time.Duration, isCandidate func(m *member) bool) {
	for _, victim := range f.evicted {
		if victim.isServed || victim.isGone || f.now.Sub(victim.movedAt) < least {
			f.t.Fatalf("a connection was evicted that was served (%t), gone (%t) or moved %s before", victim.isServed, victim.isGone, f.now.Sub(victim.movedAt))
		}
		victim.size = 0
		for _, other := range f.open(nil) {
			if isCandidate(other) && !other.isServed && !other.conn.IsEvicted() && other.movedAt.Before(victim.movedAt) {
				f.t.Fatal("a connection was evicted beside one that had moved earlier")
			}
		}
	}
	f.evicted = nil
}

// TestBudgetHolds guards against connections that hold more than the budget together, against bytes and places that are lost, and against an eviction of a
// connection that is served, that has just moved, or that moved later than another one.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, listeners := newFleet(t)
		limited := listeners[0]
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.check() },
			"time passes": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			},
			"connect to the limited listener": func(t *rapid.T) {
				for range 3 * testConnections {
					found, again := limited.MakeRoom()
					f.checkEvicted(minSlotTime, func(m *member) bool { return m.listener == limited })
					if found != (len(f.open(limited)) < testConnections) {
						t.Fatalf("room: %t, with %d connections of %d", found, len(f.open(limited)), testConnections)
					}
					if found {
						f.admit(limited)
						return
					}
					if again <= 0 || again > minSlotTime {
						t.Fatalf("to be asked again after %s", again)
					}
					for _, m := range f.open(limited) {
						if m.conn.IsEvicted() {
							m.conn.Close()
							m.isGone, m.size = true, 0
						}
					}
					f.now = f.now.Add(again)
				}
				for _, m := range f.open(limited) {
					if !m.isServed {
						t.Fatal("a connection that waits keeps its place for ever")
					}
				}
			},
			"connect": func(*rapid.T) { f.admit(listeners[1]) },
			"hold": func(t *rapid.T) {
				m := f.draw(t)
				size := rapid.IntRange(0, 90<<10).Draw(t, "size")
				wasEvicted := m.conn.IsEvicted()
				if m.conn.Hold(size) {
					m.size = size
				} else if !wasEvicted && size <= ExemptBytes {
					t.Fatalf("%d bytes are refused", size)
				}
				f.checkEvicted(minBytesTime, func(m *member) bool { return m.size > ExemptBytes })
			},
			"a step of a request arrives": func(t *rapid.T) {
				m := f.draw(t)
				m.conn.Arrived(max(minStepBytes, 1+m.size/stepDivisor))
				m.movedAt = f.now
			},
			"serve": func(t *rapid.T) {
				m := f.draw(t)
				m.conn.Serve()
				m.isServed = true
			},
			"respond": func(t *rapid.T) {
				m := f.draw(t)
				m.conn.Release()
				m.size = 0
				if !m.conn.IsEvicted() {
					m.conn.AwaitCaller()
					m.isServed, m.movedAt = false, f.now
				}
			},
			"use again": func(t *rapid.T) {
				m := f.draw(t)
				m.conn.Restore()
				m.isServed, m.movedAt = false, f.now
			},
			"close": func(t *rapid.T) {
				m := f.draw(t)
				m.conn.Close()
				m.conn.Close()
				m.isGone, m.size = true, 0
			},
		})
	})
}

// draw draws an open connection.
func (f *fleet) draw(t *rapid.T) *member {
	open := f.open(nil)
	if len(open) == 0 {
		t.Skip("no connection is open")
	}
	return rapid.SampledFrom(open).Draw(t, "connection")
}

// TestLargestRequestHasRoom guards against a budget that refuses a request which the limits allow, and against slow callers who keep it from others.
func TestLargestRequestHasRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := New(1, func() time.Time { return now })
	listener := budget.NewListener(0)
	const largest = 4 << 20
	budget.SetLargest(largest)
	evicted := 0
	first, second := listener.Admit(func(Reason) { evicted++ }), listener.Admit(func(Reason) {})
	if !first.Hold(largest) {
		t.Fatal("the largest request is refused")
	}
	if second.Hold(largest) {
		t.Fatal("two of the largest requests are held at once")
	}
	now = now.Add(minBytesTime)
	// A byte at a time is no progress.
	first.Arrived(1)
	if !second.Hold(largest) || evicted != 1 || !first.IsEvicted() {
		t.Fatal("a request that doesn't arrive keeps its bytes from others")
	}
	if first.Hold(1) {
		t.Error("a request that lost its place goes on")
	}
	// Limits may fall while a request arrives.
	budget.SetLargest(0)
	if held, _ := budget.Held(); held != largest-ExemptBytes {
		t.Errorf("%d bytes are held", held)
	}
	second.Close()
	first.Close()
	if held, _ := budget.Held(); held != 0 || listener.Open() != 0 {
		t.Errorf("%d bytes of %d connections are left", held, listener.Open())
	}
}
