// Package accepting checks whether the process accepts new connections from callers. It watches the accept loop itself,
// because a process can otherwise seem ready while its accept loop is stalled, it has run out of file descriptors, or
// the accept backlog is full.
package accepting

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/netdial"
)

// Loop tracks the accept loop of a listener. It is safe for concurrent use.
type Loop struct {
	logger *logrus.Entry

	mu sync.Mutex
	// socket is the listening socket; nil before Watch.
	socket syscall.RawConn
	// waiting is set while the loop waits in Accept, and stateSince is when that last changed.
	waiting    bool
	stateSince time.Time
	// acceptErr is the error of the last Accept; nil if it succeeded.
	acceptErr error
	// lastCheckErr is why connections were not accepted at the last call of Accepting; nil if they were.
	lastCheckErr error
}

// Limits of the readiness check.
const (
	// stallTimeout is how long the loop may be outside Accept. Starting to serve a connection takes microseconds; after
	// an error net/http backs off for longer than this.
	stallTimeout = 300 * time.Millisecond
	// fdReserve is how many file descriptors must be free: a request takes two, and a call to the store may need
	// another.
	fdReserve = 8
)

// Reasons why connections are not accepted.
var (
	errNotListening = errors.New("not listening")
	errStalled      = errors.New("the accept loop is stalled")
	errNoFDs        = errors.New("too few file descriptors left")
	errBacklogFull  = errors.New("the accept backlog is full")
)

// New returns the tracker of a process that does not listen yet.
func New(logger *logrus.Entry) *Loop { return &Loop{logger: logger} }

// Watch returns a listener whose Accept calls are tracked.
func (l *Loop) Watch(listener netdial.Listener) netdial.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateSince = time.Now()
	// This fails only if the listener is closed.
	if raw, err := listener.SyscallConn(); err == nil {
		l.socket = raw
	}
	return &watchedListener{listener, l}
}

// watchedListener reports its Accept calls to a Loop.
type watchedListener struct {
	netdial.Listener
	loop *Loop
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	l.loop.setWaiting(true, nil)
	conn, err := l.Listener.Accept()
	l.loop.setWaiting(false, err)
	return conn, err
}

// setWaiting records the start or the end of an Accept call.
func (l *Loop) setWaiting(waiting bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting, l.stateSince = waiting, time.Now()
	if !waiting {
		l.acceptErr = err
	}
}

// Accepting reports whether connections are accepted at the moment, and logs changes.
func (l *Loop) Accepting(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.check(now)
	switch {
	case err != nil && l.lastCheckErr == nil:
		l.logger.WithError(err).Warn("New connections of callers are not accepted; the gateway is not ready.")
	case err == nil && l.lastCheckErr != nil:
		l.logger.Info("New connections of callers are accepted again.")
	}
	l.lastCheckErr = err
	return err == nil
}

// check returns why no connections are accepted, or nil. mu must be held.
func (l *Loop) check(now time.Time) error {
	switch {
	case l.socket == nil:
		return errNotListening
	case l.waiting:
	case l.acceptErr != nil:
		return errors.Wrap(l.acceptErr, "accept a connection")
	case now.Sub(l.stateSince) > stallTimeout:
		return errors.Wrapf(errStalled, "no call of Accept for %s", now.Sub(l.stateSince))
	}
	err := errNotListening
	// Control fails only if the socket is closed.
	_ = l.socket.Control(func(descriptor uintptr) {
		err = errors.CombineErrors(checkFDs(int(descriptor)), checkBacklog(int(descriptor)))
	})
	return err
}

// checkFDs returns an error if the lowest free file descriptor is within fdReserve of the limit. It does not detect a shortage
// while a lower descriptor is free.
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
		// The platform does not support the call.
		return nil
	}
	_ = unix.Close(lowest)
	if uint64(lowest)+fdReserve > limit.Cur {
		return errors.Wrapf(errNoFDs, "the lowest free descriptor is %d of %d", lowest, limit.Cur)
	}
	return nil
}

// checkBacklog returns an error if the queue of connections waiting for Accept is full.
func checkBacklog(fd int) error {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	// For a listening socket, Unacked is the length of the accept queue and Sacked its limit.
	if err != nil || info.State != tcpListen || info.Sacked == 0 || info.Unacked < info.Sacked {
		return nil
	}
	return errors.Wrapf(errBacklogFull, "%d of %d connections are queued", info.Unacked, info.Sacked)
}

// tcpListen is TCP_LISTEN, the state of a listening socket on Linux.
const tcpListen = 10
