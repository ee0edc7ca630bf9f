package netdial

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// TookEnd reports whether the error of a write is the one by which its connection ended, such as a reset. The kernel tells such an error once, so
// a read after that finds a regular end. EPIPE is no such error: the peer had closed its sending half, or the error was told before.
func TookEnd(writeErr error) bool {
	var number syscall.Errno
	return errors.As(writeErr, &number) && number != syscall.EPIPE
}
