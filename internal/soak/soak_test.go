package soak

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// TestShortSoak plays fixed seeds over real processes.
func TestShortSoak(t *testing.T) {
	for _, test := range []struct {
		faults     string
		deployment string
		seed       uint64
		rounds     int
	}{
		{"long prompts, three of four gateways that stand still, and two of these without the store", "fes", 1280, 1},
		{"a way to a worker that is reset, and connections of the store, a worker, callers and control ports that go silent for good", "fes", 6177, 1},
		{"gateways that are killed and start while all workers turn most requests away", "fes", 6003, 1},
		{"a request that ends workers, the store forgets its history, and all gateways are killed", "fes", 3937, 2},
	} {
		t.Run(test.faults, func(t *testing.T) {
			var out bytes.Buffer
			command := Command{Deployment: test.deployment, Seed: test.seed, For: time.Duration(test.rounds) * roundTime, Rate: 60}
			if err := command.Run(t.Context(), &out); err != nil {
				t.Fatalf("%v\n%s", err, out.String())
			}
			if !strings.Contains(out.String(), "no rule was broken") {
				t.Errorf("printed %s", out.String())
			}
		})
	}
}

func TestValidateReportsAllProblems(t *testing.T) {
	err := (&Command{Deployment: "sydney", For: time.Second, Gateways: 1}).Validate()
	for _, want := range []string{"--deployment", "sydney", "fes, magnolia", "--for", "1s", "--rate", "--gateways"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not contain %q", err, want)
		}
	}
}

// echo serves connections that get back what they send, until the test ends.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// TestProxyModes sends bytes through a proxy whose mode changes.
func TestProxyModes(t *testing.T) {
	p, err := netproxy.New(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	tests := []struct {
		mode     netproxy.Mode
		answers  bool
		minDelay time.Duration
	}{
		{netproxy.ModePass, true, 0}, {netproxy.ModeSlow, true, 2 * netproxy.SlowDelay}, {netproxy.ModeSilent, false, 0}, {netproxy.ModeOneWay, false, 0}, {netproxy.ModeReset, false, 0},
	}
	for _, test := range tests {
		p.Set(test.mode)
		begun := time.Now()
		if got := echoes(t, p.Address()); got != test.answers {
			t.Errorf("%s: an answer comes: %t", test.mode, got)
		}
		if took := time.Since(begun); took < test.minDelay {
			t.Errorf("%s: it took %s", test.mode, took)
		}
	}
}

// echoes tells whether a byte comes back within a while.
func echoes(t *testing.T, address string) bool {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	return echoesOn(conn)
}

// echoesOn tells whether a byte comes back on a connection within a while.
func echoesOn(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(600 * time.Millisecond))
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil
}

// TestConnectionsGoSilentForGood silences connections of callers and those through a proxy; new ones work, and the other side hears nothing.
func TestSilencedConnections(t *testing.T) {
	p, err := netproxy.New(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	through, err := net.Dial("tcp4", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer through.Close()
	dialer := newCallerDialer()
	defer dialer.close()
	address := startEchoServer(t)
	caller, err := dialer.dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	if !echoesOn(through) || !echoesOn(caller) {
		t.Fatal("nothing comes back before")
	}
	p.Silence()
	dialer.silence(address)
	if echoesOn(through) {
		t.Error("an answer comes through a proxy that has gone silent")
	}
	readErr := make(chan error, 1)
	go func() {
		_, err := caller.Read(make([]byte, 1))
		readErr <- err
	}()
	select {
	case err := <-readErr:
		t.Errorf("a caller hears %v on a connection that has gone silent", err)
	case <-time.After(100 * time.Millisecond):
	}
	if later, err := dialer.dial(t.Context(), address); err != nil || !echoesOn(later) || !echoes(t, p.Address()) {
		t.Error("new connections do not work")
	}
	_ = caller.Close()
	if err := <-readErr; err == nil {
		t.Error("a connection that its caller has closed still reads")
	}
}
