package callers

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lookInterval is how often the connection of a request in hand is looked at. Workers have to stop within half a second of the end of a
// caller's connection; requests that are served sooner are never looked at, and others take a call to the system only once the next one
// has come.
const disconnectPollInterval = 200 * time.Millisecond

// UntilCallerLeaves returns a handler whose requests end once their caller has closed its connection. The server sees that by itself only
// until the first byte of the next request has come: it reads no further before the first one is answered.
func UntilCallerLeaves(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		var timer *time.Timer
		timerSet := make(chan struct{})
		timer = time.AfterFunc(disconnectPollInterval, func() {
			<-timerSet
			if conn.peerClosedWhilePipelined() {
				cancel()
				return
			}
			if ctx.Err() == nil {
				timer.Reset(disconnectPollInterval)
			}
		})
		close(timerSet)
		defer timer.Stop()
		handler.ServeHTTP(w, r.WithContext(ctx))
	})
}

// hasEnded tells whether the other side has closed or reset a connection, whatever has come before and was not read.
func peerHasClosed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	// An error is that of a connection that this side has closed.
	_ = raw.Control(func(descriptor uintptr) {
		fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(fds, 0)
		ended = err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended
}
