package netdial

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ReadArrived reads what has arrived on a connection without blocking, whatever its read deadline is. A read that begins after the deadline returns
// without trying, although data may have arrived before, for example while the process stood still. ReadArrived returns os.ErrDeadlineExceeded if there
// is no data. Only the goroutine that reads the connection may call it.
func ReadArrived(conn syscall.Conn, buffer []byte) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	if err := raw.Control(func(descriptor uintptr) { n, readErr = ReadNonblocking(int(descriptor), buffer) }); err != nil {
		return 0, err
	}
	return n, readErr
}

// ReadNonblocking reads from a non-blocking socket. It returns os.ErrDeadlineExceeded if there is no data.
func ReadNonblocking(descriptor int, buffer []byte) (int, error) {
	for {
		n, err := syscall.Read(descriptor, buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, os.ErrDeadlineExceeded
		case err != nil:
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}
