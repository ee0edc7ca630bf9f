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

// TestShortSoak runs seeds that cover the main kinds of faults against gateway processes.
func TestShortSoak(t *testing.T) {
	for _, test := range []struct {
		faults     string
		deployment string
		seed       uint64
		rounds     int
	}{
		{"long prompts, three of four gateways paused, two of these cut off from the store", "fes", 1280, 1},
		{"resets at a worker, silenced connections of the store, a worker, clients and control ports", "fes", 6177, 1},
		{"gateway restarts while all workers refuse most requests", "fes", 6003, 1},
		{"crashing request, store compaction, all gateways killed", "fes", 3937, 2},
		{"all gateways killed at once while engines change their roles, slow store", "fes", 10_016, 1},
		{"gateways cut off from workers", "fes", 11_001, 2},
		{"storm of configuration changes beside a reload, a planned stop and a standstill, callers at the bounds and half-closed ones", "fes", 12_017, 1},
		{"workers of two software versions, replaced and restarted under their ids, gateways killed and stopped, streams resumed at others", "fes", 13_001, 1},
		{"short rests of all workers, with refusals that name no request and are sent twice, beside gateways killed, suspended and reloaded", "fes", 15_103, 1},
		{"planned stops of starved gateways, with streams that last longer than the grace period leaves", "fes", 16_003, 2},
		{"all workers of the plain service killed 77 ms apart under answers without a length and lookups", "fes", 17_006, 1},
	} {
		t.Run(test.faults, func(t *testing.T) { checkSoak(t, test.deployment, test.seed, test.rounds) })
	}
}

// TestShortSoakWithCrashingPart is the part of TestShortSoak with a part of prompts that crashes workers, with ends that look whole, beside gateways
// killed and stopped.
func TestShortSoakWithCrashingPart(t *testing.T) { checkSoak(t, "fes", 14_021, 1) }

// checkSoak checks that a soak breaks no rule.
func checkSoak(t *testing.T, deployment string, seed uint64, rounds int) {
	t.Helper()
	var out bytes.Buffer
	command := Command{Deployment: deployment, Seed: seed, For: time.Duration(rounds) * roundTime, Rate: 60}
	if err := command.Run(t.Context(), &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if !strings.Contains(out.String(), "no rule was broken") {
		t.Errorf("output does not report success: %s", out.String())
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

// startEchoServer starts an echo server and returns its address. It accepts connections until the test ends.
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

// TestProxyModes checks the effect of each proxy mode on an echo server behind the proxy.
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
		{netproxy.ModeRefuse, false, 0}, {netproxy.ModeHang, false, 0}, {netproxy.ModePass, true, 0}, {netproxy.ModeCut, false, 0}, {netproxy.ModePass, true, 0},
	}
	for _, test := range tests {
		p.Set(test.mode)
		start := time.Now()
		if got := echoes(t, p.Address()); got != test.answers {
			t.Errorf("%s: echoed is %t", test.mode, got)
		}
		if took := time.Since(start); took < test.minDelay {
			t.Errorf("%s: took only %s", test.mode, took)
		}
	}
}

// echoes reports whether a byte sent on a new connection is echoed in time.
func echoes(t *testing.T, address string) bool {
	t.Helper()
	conn, err := net.DialTimeout("tcp4", address, 600*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	return echoesOn(conn)
}

// echoesOn reports whether a byte sent on a connection is echoed in time.
func echoesOn(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(600 * time.Millisecond))
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil
}

// TestSilencedConnections guards against silenced connections that deliver data or notify a peer, and against effects on new
// connections.
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
		t.Fatal("no echo before the connections are silenced")
	}
	p.Silence()
	dialer.silence(address)
	if echoesOn(through) {
		t.Error("echo on a silenced connection through the proxy")
	}
	readErr := make(chan error, 1)
	go func() {
		_, err := caller.Read(make([]byte, 1))
		readErr <- err
	}()
	select {
	case err := <-readErr:
		t.Errorf("read of a silenced client connection returned with error %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	if later, err := dialer.dial(t.Context(), address); err != nil || !echoesOn(later) || !echoes(t, p.Address()) {
		t.Error("no echo on new connections")
	}
	_ = caller.Close()
	if err := <-readErr; err == nil {
		t.Error("read succeeded after the client closed the connection")
	}
}
