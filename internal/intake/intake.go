// Package intake bounds what callers make a process hold while their requests arrive: the bytes of the requests, and the connections of each listener.
// What exceeds a bound is refused, or takes the place of the connection that has waited longest for its caller.
package intake

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// ExemptBytes is what each connection may hold beside the budget. Ordinary requests need no more, so a full budget doesn't concern them.
const ExemptBytes = 16 << 10

// Least times without progress after which a connection may lose its place.
const (
	// minSlotTime leaves a new caller the time to send its request.
	minSlotTime = 25 * time.Millisecond
	// minBytesTime leaves a caller the time to send the rest of a large request.
	minBytesTime = time.Second
)

// Reason says what a connection lost its place for.
type Reason string

// Reasons for an eviction.
const (
	ReasonBytes       Reason = "bytes"
	ReasonConnections Reason = "connections"
)

// Budget is the number of bytes that the requests of all connections share, with the listeners of these connections. It is safe for concurrent use.
//
// Invariants: connections that are not evicted hold no more than the limit together, beyond the first ExemptBytes of each; and only a connection that
// waits for its caller is evicted, the one that has moved least recently first.
type Budget struct {
	mu sync.Mutex
	// limit is as configured, and largest what one request may need; the budget is the larger of the two.
	limit, largest int
	held           int
	listeners      []*Listener
	now            func() time.Time
}

// New returns a budget of limit bytes.
func New(limit int, now func() time.Time) *Budget { return &Budget{limit: limit, now: now} }

// SetLargest sets how many bytes one request may need, for which there is always room if nothing else holds any.
func (b *Budget) SetLargest(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.largest = size
}

// Held returns the number of bytes that connections hold beyond their exempt ones, and their limit.
func (b *Budget) Held() (held, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.size()
}

// size returns the limit in force. mu must be held.
func (b *Budget) size() int { return max(b.limit, b.largest) }

// NewListener adds a listener with at most limit connections; zero means no limit.
func (b *Budget) NewListener(limit int) *Listener {
	l := &Listener{budget: b, limit: limit, freed: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listeners = append(b.listeners, l)
	return l
}

// Listener is the connections of one listener.
type Listener struct {
	budget *Budget
	limit  int
	// freed receives a value when a connection has gone.
	freed chan struct{}

	// open counts the connections, and evicted those of them that are evicted.
	open, evicted int
	// waiting holds the *Conn that wait for their callers, the one that moved least recently first.
	waiting list.List
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.open
}

// Freed returns a channel that receives a value when a connection has gone.
func (l *Listener) Freed() <-chan struct{} { return l.freed }

// MakeRoom reports whether there is room for another connection. If there is none, it evicts a connection, if one has waited long enough, and returns
// when to ask again if none goes before.
func (l *Listener) MakeRoom() (found bool, again time.Duration) {
	victim, found, again := l.choose()
	if victim != nil {
		victim.evict(ReasonConnections)
	}
	return found, again
}

// choose implements MakeRoom and returns the connection to evict, or nil.
func (l *Listener) choose() (victim *Conn, found bool, again time.Duration) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.limit == 0 || l.open < l.limit {
		return nil, true, 0
	}
	if l.open-l.evicted < l.limit {
		// One is about to go.
		return nil, false, minSlotTime
	}
	front := l.waiting.Front()
	if front == nil {
		return nil, false, minSlotTime
	}
	oldest := front.Value.(*Conn)
	if waited := l.budget.now().Sub(oldest.movedAt); waited < minSlotTime {
		return nil, false, minSlotTime - waited
	}
	oldest.markEvicted()
	return oldest, false, minSlotTime
}

// Admit adds a connection, which waits for its caller. The function is called when it is evicted; it must not block or call the budget.
func (l *Listener) Admit(evict func(Reason)) *Conn {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	c := &Conn{listener: l, evict: evict, movedAt: l.budget.now()}
	l.open++
	c.element = l.waiting.PushBack(c)
	return c
}

// Conn is what one connection holds. A nil Conn is not bounded.
type Conn struct {
	listener *Listener
	evict    func(Reason)
	// isEvicted is set from when the connection is chosen until it has gone or was used again. It is changed with the mutex of the budget held.
	isEvicted atomic.Bool

	// element is the place among the waiting connections; nil if the connection doesn't wait for its caller.
	element *list.Element
	movedAt time.Time
	// unmoved counts the bytes that have arrived since movedAt.
	unmoved int
	// held is what the connection holds of the budget, and size with its exempt bytes.
	held, size int
	isClosed   bool
}

// IsEvicted reports whether the connection has lost its place.
func (c *Conn) IsEvicted() bool { return c != nil && c.isEvicted.Load() }

// markEvicted takes its place and its bytes from a connection. The mutex must be held.
func (c *Conn) markEvicted() {
	c.isEvicted.Store(true)
	c.listener.evicted++
	c.leave()
	c.release()
}

// leave removes the connection from those that wait. The mutex must be held.
func (c *Conn) leave() {
	if c.element != nil {
		c.listener.waiting.Remove(c.element)
		c.element = nil
	}
}

// release returns the bytes of the connection. The mutex must be held.
func (c *Conn) release() {
	c.listener.budget.held -= c.held
	c.held, c.size = 0, 0
}

// restore makes an evicted connection an ordinary one again. The mutex must be held.
func (c *Conn) restore() {
	if c.isEvicted.Swap(false) {
		c.listener.evicted--
	}
}

// Progress steps of a connection.
const (
	// minStepBytes and stepDivisor are how much of a request must arrive to count as progress, at least and as a share of what it holds. A caller that
	// sends a byte at a time makes none.
	minStepBytes = 4 << 10
	stepDivisor  = 16
)

// Arrived records that bytes of a request have arrived.
func (c *Conn) Arrived(count int) {
	if c == nil {
		return
	}
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.unmoved += count; c.unmoved >= max(minStepBytes, c.size/stepDivisor) {
		c.move()
	}
}

// move records progress. The mutex must be held.
func (c *Conn) move() {
	c.movedAt, c.unmoved = c.listener.budget.now(), 0
	if c.element != nil {
		c.listener.waiting.MoveToBack(c.element)
	}
}

// AwaitCaller records that the connection waits for its caller from now on, after a response or at the end of a header.
func (c *Conn) AwaitCaller() {
	if c == nil {
		return
	}
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isClosed || c.isEvicted.Load() {
		return
	}
	if c.element == nil {
		c.element = c.listener.waiting.PushBack(c)
	}
	c.move()
}

// Serve records that a whole request has arrived, which is served now. It undoes an eviction.
func (c *Conn) Serve() {
	if c == nil {
		return
	}
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.leave()
	c.restore()
}

// Restore undoes an eviction, if the caller has used the connection before it was closed, and counts as progress.
func (c *Conn) Restore() {
	if c == nil {
		return
	}
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.restore()
	if c.element == nil && !c.isClosed {
		c.element = c.listener.waiting.PushBack(c)
	}
	c.move()
}

// Hold makes the connection hold a number of bytes, and reports whether the budget has them. It evicts other connections that hold bytes and have not
// moved for long.
func (c *Conn) Hold(size int) bool {
	if c == nil {
		return true
	}
	found, victims := c.hold(size)
	for _, victim := range victims {
		victim.evict(ReasonBytes)
	}
	return found
}

// hold implements Hold and returns the connections to evict.
func (c *Conn) hold(size int) (found bool, victims []*Conn) {
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isEvicted.Load() {
		return false, nil
	}
	wanted := max(size-ExemptBytes, 0)
	for b.held-c.held+wanted > b.size() && wanted > c.held {
		victim := b.stalled(c)
		if victim == nil {
			return false, victims
		}
		victim.markEvicted()
		victims = append(victims, victim)
	}
	b.held += wanted - c.held
	c.held, c.size = wanted, size
	return true, victims
}

// stalled returns the connection that holds bytes and has moved least recently, other than one, if that is long ago; nil if there is none. The mutex must
// be held.
func (b *Budget) stalled(except *Conn) *Conn {
	var oldest *Conn
	for _, l := range b.listeners {
		for element := l.waiting.Front(); element != nil; element = element.Next() {
			candidate := element.Value.(*Conn)
			if oldest != nil && !candidate.movedAt.Before(oldest.movedAt) {
				break
			}
			if candidate != except && candidate.held > 0 {
				oldest = candidate
				break
			}
		}
	}
	if oldest == nil || b.now().Sub(oldest.movedAt) < minBytesTime {
		return nil
	}
	return oldest
}

// Size returns how many bytes the connection holds, with its exempt ones.
func (c *Conn) Size() int {
	if c == nil {
		return 0
	}
	c.listener.budget.mu.Lock()
	defer c.listener.budget.mu.Unlock()
	return c.size
}

// Release returns all bytes that the connection holds.
func (c *Conn) Release() {
	if c == nil {
		return
	}
	c.listener.budget.mu.Lock()
	defer c.listener.budget.mu.Unlock()
	c.release()
}

// Close removes the connection.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	l := c.listener
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isClosed = true
	c.leave()
	c.release()
	c.restore()
	l.open--
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
