package callers

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/forward"
)

// disconnectPollInterval is how often the connection of an active request is polled for a disconnect. A
// worker must stop within 0.5 s after the caller closes its connection. Requests shorter than the interval are not polled, and
// the system call is made only once data of the next request has arrived.
const disconnectPollInterval = 200 * time.Millisecond

// errClosedWhilePipelined is the cause for which a request ends whose caller closed the connection after it sent part of the next request.
var errClosedWhilePipelined = errors.New("the connection was closed behind the next request")

// CancelOnDisconnect returns a handler that cancels the context of a request when its caller closes the connection, with a
// forward.DisconnectError as the cause.
// net/http detects that only until the first byte of the next request arrives, because it then stops reading until the
// first request is answered.
func CancelOnDisconnect(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		conn.cancelRequest.Store(&cancel)
		defer conn.cancelRequest.Store(nil)
		var timer *time.Timer
		timerSet := make(chan struct{})
		timer = time.AfterFunc(disconnectPollInterval, func() {
			<-timerSet
			if conn.peerClosedWhilePipelined() {
				// The connection may already have its next request, so this does not use conn.cancelRequest.
				conn.failed.Store(true)
				cancel(&forward.DisconnectError{Cause: errClosedWhilePipelined})
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

// peerHasClosed reports whether the peer has closed or reset a connection, even if unread data precedes the end.
func peerHasClosed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	// Control fails only if this side has closed the connection.
	_ = raw.Control(func(descriptor uintptr) {
		fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(fds, 0)
		ended = err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended
}
