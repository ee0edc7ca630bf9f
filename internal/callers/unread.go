package callers

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/standstill"
)

// UnreadBytes are bytes that have arrived on an open connection and that nobody reads, although no request of it is handled.
type UnreadBytes struct {
	Peer string
	// Phase names what the connection waits for.
	Phase string
	Count int
	// Waited is at least how long nobody has read them: the time since the last of them arrived, or since the phase began if that is shorter.
	Waited time.Duration
}

// Parameters of the look at unread bytes.
const (
	unreadInterval = time.Second
	// maxUnreadTime is the longest time for which bytes may wait. A goroutine that waits for them reads them within milliseconds.
	maxUnreadTime = time.Second
)

// WatchUnread looks at the connections of servers until ctx ends, and reports unread bytes to their observers, once for each connection until it
// is read again. A connection in the queue of a listener is not looked at.
func WatchUnread(ctx context.Context, servers ...*Server) {
	for due := time.Now().Add(unreadInterval); ctxsleep.Sleep(ctx, unreadInterval); due = time.Now().Add(unreadInterval) {
		// After a standstill of this process the readers may not have run yet.
		if standstill.IsLate(time.Now(), due) {
			continue
		}
		for _, server := range servers {
			server.reportUnread(maxUnreadTime)
		}
	}
}

// reportUnread reports connections on which bytes have waited for at least a duration. It must not run concurrently with itself.
func (s *Server) reportUnread(least time.Duration) {
	s.mu.Lock()
	conns := s.openConns()
	s.mu.Unlock()
	look := &socketLook{}
	// The method value is created once, because it is allocated.
	at := look.at
	for _, conn := range conns {
		*look = socketLook{}
		if socket, ok := conn.Conn.(syscall.Conn); ok && conn.isBeingRead() {
			if raw, err := socket.SyscallConn(); err == nil {
				// Control fails only if the connection is closed.
				_ = raw.Control(at)
			}
		}
		if look.count == 0 {
			conn.unreadReported = false
			continue
		}
		current, since := conn.currentPhase()
		unread := UnreadBytes{Peer: conn.RemoteAddr().String(), Phase: current.String(), Count: look.count, Waited: min(look.waited, since)}
		if unread.Waited >= least && !conn.unreadReported {
			conn.unreadReported = true
			s.observer.Unread(unread)
		}
	}
}

// isBeingRead reports whether a goroutine should be reading the connection. While a request is handled, the rest of its body and later requests may
// wait; what comes on a connection that is being closed is not part of any request.
func (c *connection) isBeingRead() bool { return !c.inHandler.Load() && !c.closed.Load() }

// socketLook looks at the unread bytes of sockets, one after the other. The fields are those of the last socket.
type socketLook struct {
	count  int
	waited time.Duration
}

// at looks at a socket, and leaves its bytes and its state as they are.
func (l *socketLook) at(descriptor uintptr) {
	count, err := unix.IoctlGetInt(int(descriptor), unix.SIOCINQ)
	if err != nil || count == 0 {
		return
	}
	if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
		l.count, l.waited = count, time.Duration(info.Last_data_recv)*time.Millisecond
	}
}

// currentPhase returns the phase and how long ago its timeout began.
func (c *connection) currentPhase() (current phase, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, time.Since(c.timeoutStart)
}

// String returns what a connection in the phase waits for.
func (p phase) String() string {
	switch p {
	case phaseNew:
		return "first request"
	case phaseIdle:
		return "next request"
	case phaseReadingHeader:
		return "rest of a head"
	case phaseActive:
		return "handler"
	default:
		return "unknown"
	}
}
