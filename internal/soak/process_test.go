package soak

import (
	"net"
	"net/http"
	"testing"
)

// TestStoreListensAtOwnAddress guards against a store that a gateway of another system finds at a port that its own store had: it would join
// the fleet. It also guards against a store or a proxy that takes the port of a gateway before the gateway listens there.
func TestStoreListensAtOwnAddress(t *testing.T) {
	store, err := serveLocally(http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	g, err := newGatewayProcess("", "gateway", "zone", t.TempDir(), store.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer g.storeProxy.Close()
	defer g.controlProxy.Close()
	// Without a gateway, the proxy would reset connections at once, before the dial below has returned.
	control, err := net.Listen("tcp4", g.control)
	if err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	if host, _, err := net.SplitHostPort(g.callers); err != nil || host == processLoopback() {
		t.Errorf("the gateway shares the address %s with the store and the proxies (%v)", host, err)
	}
	for name, address := range map[string]string{
		"store": store.Listener.Addr().String(), "proxy of the store": g.storeProxy.Address(), "proxy of the control port": g.controlProxy.Address(),
	} {
		host, _, err := net.SplitHostPort(address)
		if err != nil || host != processLoopback() {
			t.Errorf("the %s listens at %s (%v), want %s", name, address, err, processLoopback())
		}
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Errorf("the %s doesn't listen: %v", name, err)
			continue
		}
		_ = conn.Close()
	}
}
