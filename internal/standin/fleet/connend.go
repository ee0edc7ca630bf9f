package fleet

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states as in unix.TCPInfo.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// readByPeer reports whether the peer had read all that was written to a connection when it ended the stream. It has to be called after a
// read returned io.EOF, once everything has been written. A kernel resets a connection that is closed with unread data, or that gets data
// after its close; an end of stream after the acknowledgement of all data means that the process had read them.
func readByPeer(conn net.Conn, halfClosed bool) bool {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false
	}
	read := false
	// Control fails only if the connection is closed on this side.
	_ = raw.Control(func(descriptor uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		pending, pendingErr := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
		if infoErr != nil || pendingErr != nil || pending != 0 || info.Unacked > 0 || info.Notsent_bytes > 0 {
			return
		}
		// With both directions closed, the socket is in the state CLOSE, as after a reset, which leaves a pending error.
		read = info.State == tcpCloseWait || halfClosed && info.State == tcpClose
	})
	return read
}
