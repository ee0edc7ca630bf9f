package workerpaths

import (
	"net"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// TestPathsToWorkerThatIsDown guards against plays in which the address of a killed worker accepts connections, and against paths that a worker
// which comes back opens although they are cut.
func TestPathsToWorkerThatIsDown(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	paths := New(fleet.NewFleet())
	defer paths.Close()
	registered := listener.Addr().String()
	accepts := func(address string) bool {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	}
	address, err := paths.proxyAddress("g", registered, "app")
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		desc string
		do   func()
		want bool
	}{
		{"at the start", func() {}, true},
		{"down", func() { paths.SetDown(registered, true) }, false},
		{"down and cut", func() { paths.Set("g", "app", netproxy.ModeCut) }, false},
		{"down, no longer cut", func() { paths.Set("g", "app", netproxy.ModePass) }, false},
		{"down after all has healed", paths.Heal, false},
		{"up", func() { paths.SetDown(registered, false) }, true},
		{"up and cut", func() {
			paths.SetDown(registered, true)
			paths.Set("g", "", netproxy.ModeCut)
			paths.SetDown(registered, false)
		}, false},
		{"healed", paths.Heal, true},
	} {
		step.do()
		if got := accepts(address); got != step.want {
			t.Errorf("%s: accepts %t, want %t", step.desc, got, step.want)
		}
	}
}
