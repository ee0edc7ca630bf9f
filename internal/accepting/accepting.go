// Package accepting tells whether new connections of callers are accepted, by what accepts them: a process may be said to be ready while
// its loop stands still, has no descriptors left or can't keep up with the queue.
package accepting

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// Loop is the loop that accepts the connections of a listener. It is safe for concurrent use.
type Loop struct {
	logger *logrus.Entry

	mu sync.Mutex
	// raw is the socket that listens; nil before.
	socket syscall.RawConn
	// waits is set while the loop waits for a connection, and since is when it began to, or last did.
	waiting    bool
	stateSince time.Time
	// failed is the error of the last acceptance; nil after one that went well.
	acceptErr error
	// unable is why connections were not accepted when that was last asked; nil if they were.
	lastCheck error
}

// Bounds of what counts as accepting.
const (
	// acceptPause is how long the loop may do something else than wait for a connection: it begins to serve one within microseconds.
	// After a failure the server pauses for longer than this, and its callers for as long.
	stallTimeout = 300 * time.Millisecond
	// descriptorReserve is how many descriptors have to be left: a request takes two, and a call to the store may come between.
	fdReserve = 8
)

// Reasons for which no connections are accepted.
var (
	errNotListening = errors.New("nothing listens")
	errStalled      = errors.New("the loop that accepts connections stands")
	errNoFDs        = errors.New("no descriptors are left")
	errBacklogFull  = errors.New("the queue of new connections is full")
)

// New returns the loop of a process that does not listen yet.
func New(logger *logrus.Entry) *Loop { return &Loop{logger: logger} }

// Watch returns a listener whose acceptances are seen.
func (l *Loop) Watch(listener net.Listener) net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateSince = time.Now()
	if conn, ok := listener.(syscall.Conn); ok {
		raw, err := conn.SyscallConn()
		if err == nil {
			l.socket = raw
		}
	}
	return &watchedListener{listener, l}
}

// watchedListener tells when it is asked for connections.
type watchedListener struct {
	net.Listener
	loop *Loop
}

// Accept is part of net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	l.loop.setWaiting(true, nil)
	conn, err := l.Listener.Accept()
	l.loop.setWaiting(false, err)
	return conn, err
}

// turn notes that the loop begins or ends to wait for a connection.
func (l *Loop) setWaiting(waiting bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting, l.stateSince = waiting, time.Now()
	if !waiting {
		l.acceptErr = err
	}
}

// Able tells whether connections are accepted at the moment, and logs when that changes.
func (l *Loop) Able(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.check(now)
	switch {
	case err != nil && l.lastCheck == nil:
		l.logger.WithError(err).Warn("New connections of callers are not accepted; the gateway is not ready.")
	case err == nil && l.lastCheck != nil:
		l.logger.Info("New connections of callers are accepted again.")
	}
	l.lastCheck = err
	return err == nil
}

// check returns why no connections are accepted, or nil. The mutex is held.
func (l *Loop) check(now time.Time) error {
	switch {
	case l.socket == nil:
		return errNotListening
	case l.waiting:
	case l.acceptErr != nil:
		return errors.Wrap(l.acceptErr, "step accept")
	case now.Sub(l.stateSince) > stallTimeout:
		return errStalled
	}
	err := errNotListening
	// It fails only for a socket that is closed.
	_ = l.socket.Control(func(descriptor uintptr) {
		err = errors.CombineErrors(checkFDs(int(descriptor)), checkBacklog(int(descriptor)))
	})
	return err
}

// descriptorsLeft returns an error when fewer descriptors are left than the reserve. The lowest free one is as many as are in use, at the
// least.
func checkFDs(fd int) error {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return nil
	}
	lowest, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) {
		return errNoFDs
	}
	if err != nil {
		// A platform without the call tells nothing.
		return nil
	}
	_ = unix.Close(lowest)
	if uint64(lowest)+fdReserve > limit.Cur {
		return errNoFDs
	}
	return nil
}

// roomInBacklog returns an error when the queue of connections that wait to be accepted is full.
func checkBacklog(fd int) error {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	// Of a socket that listens these are the length of the queue and its bound.
	if err != nil || info.State != tcpListen || info.Sacked == 0 || info.Unacked < info.Sacked {
		return nil
	}
	return errBacklogFull
}

// tcpListen is the state of a socket that listens, as Linux numbers it.
const tcpListen = 10
