package netdial

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestKeepAliveOptions guards against connections that hang across a network partition: both ends need these socket options to
// fail within seconds.
func TestKeepAliveOptions(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	opened, err := New(time.Second, 2*time.Second).Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for _, test := range []struct {
		end                          string
		conn                         net.Conn
		idle, interval, count, limit int
	}{
		{"opened", opened, 1, 1, 1, 2000},
		{"accepted", accepted, 5, 2, 3, 10_000},
	} {
		for _, option := range []struct {
			name             string
			level, key, want int
		}{
			{"SO_KEEPALIVE", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{"TCP_KEEPIDLE", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, test.idle},
			{"TCP_KEEPINTVL", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, test.interval},
			{"TCP_KEEPCNT", unix.IPPROTO_TCP, unix.TCP_KEEPCNT, test.count},
			{"TCP_USER_TIMEOUT", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, test.limit},
		} {
			if got := socketOption(t, test.conn, option.level, option.key); got != option.want {
				t.Errorf("%s: %s is %d, want %d", test.end, option.name, got, option.want)
			}
		}
	}
}

// TestKeepAliveEndsWithUserTimeout guards against a TCP_USER_TIMEOUT that ends connections before keep-alive has sent all of its probes, as
// Linux does whatever their number.
func TestKeepAliveEndsWithUserTimeout(t *testing.T) {
	for _, timeout := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		config := New(time.Second, timeout).KeepAliveConfig
		givesUpAfter := config.Idle + time.Duration(config.Count)*config.Interval
		if givesUpAfter < timeout || givesUpAfter >= timeout+config.Interval {
			t.Errorf("with a user timeout of %s, keep-alive gives up after %s", timeout, givesUpAfter)
		}
	}
}

// socketOption reads an option of a socket.
func socketOption(t *testing.T, conn net.Conn, level, key int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	controlErr := raw.Control(func(descriptor uintptr) { value, err = unix.GetsockoptInt(int(descriptor), level, key) })
	if controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return value
}
