package httpclient

import (
	"net"
	"syscall"
	"time"
)

// lateReadTime is how long a response that has begun to arrive may still be read after its request has ended, for example because the process
// was suspended meanwhile. It is short compared with the time within which workers have to stop.
const lateReadTime = 100 * time.Millisecond

// abandon ends the exchange because its context has ended. The connection is closed at once, or after lateReadTime if there is unread data: it
// may be the rest of the response.
func (e *exchange) abandon() {
	if !hasUnread(e.connection.Conn) || e.connection.SetReadDeadline(time.Now().Add(lateReadTime)) != nil {
		_ = e.connection.Close()
		return
	}
	time.AfterFunc(lateReadTime, func() { _ = e.connection.Close() })
}

// hasUnread reports whether data, or the end of the stream, has arrived on a connection and has not been read. Unlike nothingReceived it does not
// wait for a read that is in progress.
func hasUnread(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var receiveErr error
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, receiveErr = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && receiveErr == nil
}
