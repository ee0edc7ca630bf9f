package httpclient

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/responsehead"
)

// Arrivals tells whether part of a response has arrived that its reader has not taken. A timer alone doesn't: after a standstill of this
// process it may run before the reader. A nil Arrivals knows of nothing. Its methods are safe for concurrent use.
type Arrivals struct {
	reader atomic.Pointer[countingReader]
}

// Quiet reports whether the reader of the last request waits and nothing has arrived, or no request was sent yet. It also returns a number that
// changes with each read: a reader that has just taken bytes seems to wait until it has run on.
func (a *Arrivals) Quiet() (reads uint32, quiet bool) {
	if a == nil {
		return 0, true
	}
	reader := a.reader.Load()
	if reader == nil {
		return 0, true
	}
	reads = reader.calls.Load()
	isProcessing := reads > 0 && reads%2 == 0
	return reads, !isProcessing && !hasArrived(reader.conn)
}

// attach makes Quiet look at a reader.
func (a *Arrivals) attach(reader *countingReader) {
	if a != nil {
		a.reader.Store(reader)
	}
}

// countingReader reads a connection.
type countingReader struct {
	conn net.Conn
	// calls counts the beginnings and the ends of reads, so it is odd while a read is in progress.
	calls atomic.Uint32
	// isLimited is set while at most left bytes may be read. Only the reader uses both.
	isLimited bool
	left      int
}

// errHeadTooLong is returned for a head that exceeds its limit.
var errHeadTooLong = errors.Newf("the head of the response exceeds %d bytes", responsehead.MaxBytes)

// limit bounds the bytes of the reads until unlimit is called.
func (r *countingReader) limit(bytes int) { r.isLimited, r.left = true, bytes }

// unlimit ends the effect of limit.
func (r *countingReader) unlimit() { r.isLimited = false }

// Read implements io.Reader.
func (r *countingReader) Read(buffer []byte) (int, error) {
	if r.isLimited && r.left <= 0 {
		return 0, errHeadTooLong
	}
	r.calls.Add(1)
	n, err := r.conn.Read(buffer)
	r.calls.Add(1)
	r.left -= n
	return n, err
}

// hasArrived reports whether a read would return at once: bytes have arrived, or the connection has ended. It uses poll because a receive,
// even one that leaves the bytes, takes the error of a reset connection from the reader. It is false if the connection can't be polled.
func hasArrived(conn net.Conn) bool {
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(descriptor uintptr) {
		const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN | unix.POLLRDHUP}}
		_, err := unix.Poll(fds, 0)
		arrived = err == nil && fds[0].Revents&(unix.POLLIN|ended) != 0
	})
	// Control fails if this side has closed the connection, and then a read fails at once.
	return arrived || err != nil
}
