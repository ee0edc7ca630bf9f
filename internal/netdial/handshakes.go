package netdial

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Position of the SYN flag in a TCP header.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
)

// StopHandshakes makes the kernel drop the first packets of new connections to a listener, so that its queue can be emptied before it is closed.
// Handshakes that have begun are completed. The other side repeats the packet after a second, and is refused then if the listener is closed.
// Accepted connections inherit the filter, which lets all of their packets pass.
func StopHandshakes(listener syscall.Conn) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	const passAll = ^uint32(0)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: passAll},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		return err
	}
	return optionErr
}
