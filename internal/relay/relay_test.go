package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// testBound is Settings.Bound in the tests.
const testBound = 3 * time.Second

// knowledge is a Source with fixed content: the addresses of workers by id, as one gateway reaches them.
type knowledge struct {
	workers map[string]string
	mu      sync.Mutex
	peers   []Peer
}

func (k *knowledge) WorkerID(address string) (string, bool) {
	for id, known := range k.workers {
		if known == address {
			return id, true
		}
	}
	return "", false
}

func (k *knowledge) WorkerAddress(id string) (string, bool) {
	address, found := k.workers[id]
	return address, found
}

func (k *knowledge) WorkerAddresses() []string { return k.Siblings("", len(k.workers)) }

func (k *knowledge) Siblings(address string, count int) []string {
	var siblings []string
	for _, known := range k.workers {
		if known != address && len(siblings) < count {
			siblings = append(siblings, known)
		}
	}
	return siblings
}

func (k *knowledge) Relays() []Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.peers)
}

// node is a gateway that dials and relays.
type node struct {
	dialer  *Dialer
	handler *Handler
	known   *knowledge
	peer    Peer
	server  *httptest.Server
	mu      sync.Mutex
	events  []Event
	// hijacked are the connections that the node relays.
	hijacked []net.Conn
}

// newNode returns a gateway that reaches workers at the given addresses.
func newNode(t *testing.T, name string, workers map[string]string, maxRelayed int) *node {
	t.Helper()
	n := &node{known: &knowledge{workers: workers}}
	n.dialer = NewDialer(Settings{Bound: testBound, ConnectTimeout: 300 * time.Millisecond, UnacknowledgedTimeout: 4 * time.Second, MaxRelayed: maxRelayed})
	n.dialer.SetSource(n.known, func(event Event) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.events = append(n.events, event)
	})
	n.handler = NewHandler(n.dialer)
	mux := http.NewServeMux()
	mux.Handle("POST "+Path, n.handler)
	n.server = httptest.NewUnstartedServer(mux)
	n.server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateHijacked {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.hijacked = append(n.hijacked, conn)
		}
	}
	n.server.Start()
	t.Cleanup(n.server.Close)
	n.peer = Peer{Name: name, Address: strings.TrimPrefix(n.server.URL, "http://")}
	return n
}

// asks sets the gateways that n may ask.
func (n *node) asks(others ...*node) {
	n.known.mu.Lock()
	defer n.known.mu.Unlock()
	for _, other := range others {
		n.known.peers = append(n.known.peers, other.peer)
	}
}

// startWorker listens and passes each accepted connection to serve. It returns the address.
func startWorker(t *testing.T, serve func(conn net.Conn)) string {
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
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// closedAddress returns an address that refuses connections until the test ends. Its port is bound, so that nothing else listens there.
func closedAddress(t *testing.T) string {
	t.Helper()
	address, free := bindAddress(t)
	t.Cleanup(free)
	return address
}

// bindAddress binds a port without listening, and returns the address and a function that frees it.
func bindAddress(t *testing.T) (address string, free func()) {
	t.Helper()
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", name.(*unix.SockaddrInet4).Port), func() { _ = unix.Close(descriptor) }
}

// echo sends back what it receives.
func echo(conn net.Conn) {
	defer conn.Close()
	_, _ = io.Copy(conn, conn)
}

// idle keeps a connection open until the peer closes it.
func idle(conn net.Conn) {
	defer conn.Close()
	_, _ = io.Copy(io.Discard, conn)
}

// TestLostPathIsBypassed guards against a gateway that finds no other way to a worker which refuses only its own connections.
func TestLostPathIsBypassed(t *testing.T) {
	real, closed := startWorker(t, echo), closedAddress(t)
	a := newNode(t, "a", map[string]string{"w": closed}, 8)
	b := newNode(t, "b", map[string]string{"w": real}, 8)
	a.asks(b)
	for range 2 {
		conn, err := a.dialer.Dial(t.Context(), closed, false)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "ping\n")
		if line, err := bufio.NewReader(conn).ReadString('\n'); line != "ping\n" || err != nil {
			t.Errorf("got %q, %v", line, err)
		}
	}
	if !a.dialer.IsLost(closed) {
		t.Error("the path is not known to be lost")
	}
	if _, err := a.dialer.Dial(t.Context(), closed, true); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a direct connection was not refused: %v", err)
	}
}

// TestRefusalNeedsConfirmation guards against taking a worker for ended because cut-off gateways are refused: only one that still reaches
// another worker of the group counts, and without any other gateway the own view.
func TestRefusalNeedsConfirmation(t *testing.T) {
	for _, test := range []struct {
		name string
		// peers holds, for each other gateway, whether it reaches another worker of the group.
		peers       []bool
		unsupported bool
		refused     bool
	}{
		{name: "no other gateway", refused: true},
		{name: "a sound one", peers: []bool{true}, refused: true},
		{name: "cut off too", peers: []bool{false}},
		{name: "all cut off", peers: []bool{false, false, false}},
		{name: "one of three sound", peers: []bool{false, true, false}, refused: true},
		{name: "older versions", peers: []bool{true, true}, unsupported: true, refused: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			closed := closedAddress(t)
			a := newNode(t, "a", map[string]string{"w": closed, "v": closedAddress(t)}, 8)
			for i, reaches := range test.peers {
				workers := map[string]string{"w": closedAddress(t), "v": closedAddress(t)}
				if reaches {
					workers["v"] = startWorker(t, idle)
				}
				peer := newNode(t, fmt.Sprint("peer-", i), workers, 8)
				if test.unsupported {
					peer.server.Config.Handler = http.NotFoundHandler()
				}
				a.asks(peer)
			}
			_, err := a.dialer.Dial(t.Context(), closed, false)
			var unconfirmed *UnconfirmedError
			if errors.Is(err, syscall.ECONNREFUSED) != test.refused || errors.As(err, &unconfirmed) == test.refused {
				t.Errorf("got %v, want refused: %t", err, test.refused)
			}
			if unconfirmed != nil && !unconfirmed.RefusedHere() {
				t.Errorf("%v does not tell that this gateway was refused", err)
			}
		})
	}
}

// TestSilentGatewaysAreAskedLast guards against a worker that is not reached although a gateway which was not heard for a moment connects to it,
// and against waiting for a gateway that does not answer when another one can tell.
func TestSilentGatewaysAreAskedLast(t *testing.T) {
	real, sibling := startWorker(t, echo), startWorker(t, idle)
	for _, test := range []struct {
		name string
		// heard holds the workers of a gateway that is heard, or is nil, and silent the address of one that is not.
		heard     map[string]string
		silent    func(t *testing.T) string
		connected bool
		refused   bool
	}{
		{
			name: "no other one", connected: true,
			silent: func(t *testing.T) string { return newNode(t, "c", map[string]string{"w": real}, 8).peer.Address },
		},
		{
			name: "the other one is cut off", heard: map[string]string{"w": closedAddress(t), "v": closedAddress(t)}, connected: true,
			silent: func(t *testing.T) string { return newNode(t, "c", map[string]string{"w": real}, 8).peer.Address },
		},
		{
			name: "the other one can tell", heard: map[string]string{"w": closedAddress(t), "v": sibling}, refused: true,
			silent: func(t *testing.T) string { return startWorker(t, idle) },
		},
		{name: "it has ended", silent: closedAddress},
	} {
		t.Run(test.name, func(t *testing.T) {
			closed := closedAddress(t)
			a := newNode(t, "a", map[string]string{"w": closed}, 8)
			// Whoever waits for the answer of a gateway that does not answer waits for this.
			a.dialer.settings.ConnectTimeout = time.Hour
			if test.heard != nil {
				a.asks(newNode(t, "b", test.heard, 8))
			}
			a.known.peers = append(a.known.peers, Peer{Name: "c", Address: test.silent(t), Silent: true})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			conn, err := a.dialer.Dial(ctx, closed, false)
			if err == nil {
				_ = conn.Close()
			}
			if connected, refused := err == nil, errors.Is(err, syscall.ECONNREFUSED); connected != test.connected || refused != test.refused {
				t.Errorf("got %v, want connected: %t, refused: %t", err, test.connected, test.refused)
			}
		})
	}
}

// TestSilentGatewaysRankLast guards against asking a gateway that is not heard before one that is, and against leaving out one that is heard for it.
func TestSilentGatewaysRankLast(t *testing.T) {
	a := newNode(t, "a", nil, 8)
	for i := range maxAskedPeers {
		a.known.peers = append(a.known.peers, Peer{Name: fmt.Sprint("silent", i), Silent: true}, Peer{Name: fmt.Sprint("heard", i), Zone: "other"})
	}
	// A gateway that is heard ranks before silent ones even if it failed recently.
	a.dialer.avoidedUntil["heard0"] = time.Now().Add(time.Hour)
	for i := range 100 {
		ranked := a.dialer.rankedPeers(fmt.Sprint("address", i))
		if len(ranked) != maxAskedPeers || slices.ContainsFunc(ranked, func(peer Peer) bool { return peer.Silent }) {
			t.Fatalf("got %+v", ranked)
		}
	}
}

// TestWorkerThatAnyGatewayReachesIsNotEnded guards against taking a worker for ended because most gateways have lost their path to it alone.
func TestWorkerThatAnyGatewayReachesIsNotEnded(t *testing.T) {
	real, sibling := startWorker(t, echo), startWorker(t, idle)
	closed := closedAddress(t)
	a := newNode(t, "a", map[string]string{"w": closed, "v": sibling}, 8)
	for i := range 2 {
		a.asks(newNode(t, fmt.Sprint("cut-", i), map[string]string{"w": closedAddress(t), "v": sibling}, 8))
	}
	a.asks(newNode(t, "sound", map[string]string{"w": real, "v": sibling}, 8))
	conn, err := a.dialer.Dial(t.Context(), closed, false)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// TestRelayedResponseThatBrokeOffIsNotComplete guards against a response without a length that looks complete because the relaying gateway
// ended, and against one that looks broken although its worker closed the connection.
func TestRelayedResponseThatBrokeOffIsNotComplete(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(worker *net.TCPConn, relaying *node)
		want error
	}{
		{"the worker closes", func(worker *net.TCPConn, _ *node) { _ = worker.Close() }, nil},
		{"the worker resets", func(worker *net.TCPConn, _ *node) {
			_ = worker.SetLinger(0)
			_ = worker.Close()
		}, io.ErrUnexpectedEOF},
		{"the relaying gateway ends", func(_ *net.TCPConn, relaying *node) { relaying.end() }, io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			accepted := make(chan *net.TCPConn, 1)
			real := startWorker(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "part of a response")
				accepted <- conn.(*net.TCPConn)
			})
			closed := closedAddress(t)
			a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": real}, 8)
			a.asks(b)
			conn, err := a.dialer.Dial(t.Context(), closed, false)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			head := make([]byte, len("part of a response"))
			if _, err := io.ReadFull(conn, head); err != nil {
				t.Fatal(err)
			}
			test.end(<-accepted, b)
			if _, err := io.Copy(io.Discard, conn); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// end closes all relayed connections, as the end of the process does.
func (n *node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.hijacked {
		_ = conn.Close()
	}
}

// TestCancelledRequestReachesWorker guards against workers that go on with a request whose gateway has closed the relayed connection.
func TestCancelledRequestReachesWorker(t *testing.T) {
	closedByPeer := make(chan struct{})
	real := startWorker(t, func(conn net.Conn) {
		idle(conn)
		close(closedByPeer)
	})
	closed := closedAddress(t)
	a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": real}, 8)
	a.asks(b)
	conn, err := a.dialer.Dial(t.Context(), closed, false)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	select {
	case <-closedByPeer:
	case <-time.After(time.Second):
		t.Error("the connection to the worker is still open")
	}
}

// TestRelayIsOneHop guards against a cycle of gateways that are cut off and relay to each other.
func TestRelayIsOneHop(t *testing.T) {
	real := startWorker(t, echo)
	closed := closedAddress(t)
	a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": closed}, 8)
	c := newNode(t, "c", map[string]string{"w": real}, 8)
	a.asks(b)
	b.asks(a, c)
	if conn, err := b.dialer.Dial(t.Context(), closed, false); err != nil {
		t.Fatal(err)
	} else {
		_ = conn.Close()
	}
	var unconfirmed *UnconfirmedError
	if _, err := a.dialer.Dial(t.Context(), closed, false); !errors.As(err, &unconfirmed) {
		t.Errorf("got %v", err)
	}
}

// TestRelayedConnectionsAreBounded guards against a gateway that relays more connections for others than it has room for.
func TestRelayedConnectionsAreBounded(t *testing.T) {
	const limit = 2
	real, closed := startWorker(t, idle), closedAddress(t)
	a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": real}, limit)
	a.asks(b)
	for i := range limit + 1 {
		conn, err := a.dialer.Dial(t.Context(), closed, false)
		if (err == nil) != (i < limit) {
			t.Errorf("connection %d: %v", i, err)
		}
		if err == nil {
			defer conn.Close()
		}
	}
}

// TestSilentPathIsBypassed guards against requests that wait for the whole connect timeout, and against connections that were open before the
// cut and hang like the path.
func TestSilentPathIsBypassed(t *testing.T) {
	real := startWorker(t, echo)
	proxy, err := netproxy.New(real)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	proxy.Set(netproxy.ModeHang)
	silent := proxy.Address()
	a, b := newNode(t, "a", map[string]string{"w": silent}, 8), newNode(t, "b", map[string]string{"w": real}, 8)
	a.asks(b)
	opened := time.Now()
	start := time.Now()
	conn, err := a.dialer.Dial(t.Context(), silent, false)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if took := time.Since(start); took > 250*time.Millisecond {
		t.Errorf("it took %s", took)
	}
	for wait := time.Now(); !a.dialer.IsLost(silent) && time.Since(wait) < time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
	if a.dialer.Usable(&net.TCPConn{}, silent, opened) {
		t.Error("a direct connection on the lost path is used")
	}
	if !a.dialer.Usable(conn, silent, time.Now()) {
		t.Error("the relayed connection is not used")
	}
}

// TestPathsProperties checks the invariants of Paths in random histories.
func TestPathsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Bound: testBound}
		paths := NewPaths(settings)
		now := time.Now()
		lost := map[string]bool{}
		lastCheck := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			address := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				if isNew := paths.Lost(now, address, rapid.Bool().Draw(t, "silent")); isNew == lost[address] {
					t.Fatalf("lost %s: new %t", address, isNew)
				}
				lost[address], lastCheck[address] = true, now
			case 1:
				if restored := paths.Restored(now, address); restored != lost[address] {
					t.Fatalf("restored %s: %t", address, restored)
				}
				lost[address] = false
			default:
				if paths.TakeCheck(now, address) {
					if gap := now.Sub(lastCheck[address]); !lost[address] {
						t.Fatalf("check of %s %s after the last one, lost: %t", address, gap, lost[address])
					}
					lastCheck[address] = now
				} else if lost[address] && now.Sub(lastCheck[address]) > settings.Bound {
					t.Fatalf("no check of %s for %s", address, now.Sub(lastCheck[address]))
				}
			}
			for _, address := range []string{"a", "b", "c"} {
				if paths.IsLost(address) != lost[address] || (lost[address] && paths.Trusts(address, now)) {
					t.Fatalf("path %s: lost %t, want %t", address, paths.IsLost(address), lost[address])
				}
			}
		}
	})
}

// TestRestoredPathIsUsedAgain guards against a gateway that keeps using relays after its own path works again, and against one that takes a path
// for lost until the next request needs it.
func TestRestoredPathIsUsedAgain(t *testing.T) {
	real := startWorker(t, echo)
	closed, free := bindAddress(t)
	a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": real}, 8)
	a.asks(b)
	conn, err := a.dialer.Dial(t.Context(), closed, false)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	free()
	listener, err := net.Listen("tcp4", closed)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*testBound)
	defer cancel()
	for a.dialer.IsLost(closed) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	if a.dialer.IsLost(closed) || a.dialer.Usable(conn, closed, time.Now()) {
		t.Error("the relayed connection is still used")
	}
}

// TestJudge guards against taking a lost path for a fault of the worker, and the other way round, by refused and by unanswered connections.
func TestJudge(t *testing.T) {
	for _, test := range []struct {
		name string
		// own and others say how the worker answers this gateway and two others, and sibling whether the others reach another worker.
		own, others string
		sibling     bool
		want        Verdict
	}{
		{"a sound path", "accepts", "accepts", true, VerdictWorker},
		{"refused here only", "refuses", "accepts", true, VerdictPath},
		{"no answer here only", "hangs", "accepts", true, VerdictPath},
		{"refused everywhere", "refuses", "refuses", true, VerdictWorker},
		{"no answer anywhere", "hangs", "hangs", true, VerdictWorker},
		{"all cut off by resets", "refuses", "refuses", false, VerdictUnknown},
		{"all cut off silently", "hangs", "hangs", false, VerdictUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			own := answering(t, test.own)
			a := newNode(t, "a", map[string]string{"w": own, "v": closedAddress(t)}, 8)
			for i := range 2 {
				workers := map[string]string{"w": answering(t, test.others), "v": closedAddress(t)}
				if test.sibling {
					workers["v"] = startWorker(t, idle)
				}
				a.asks(newNode(t, fmt.Sprint("peer-", i), workers, 8))
			}
			if got := a.dialer.Judge(own); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// answering returns the address of a worker that accepts or refuses connections, or does not answer.
func answering(t *testing.T, how string) string {
	t.Helper()
	switch how {
	case "refuses":
		return closedAddress(t)
	case "hangs":
		proxy, err := netproxy.New(startWorker(t, idle))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(proxy.Close)
		proxy.Set(netproxy.ModeHang)
		return proxy.Address()
	default:
		return startWorker(t, idle)
	}
}

// TestConnectionsFromBeforeSilentCutAreDistrusted guards against requests that wait on connections to further workers, which hang like those
// whose paths are known to be lost, and against giving up all connections for a packet that was lost on one path.
func TestConnectionsFromBeforeSilentCutAreDistrusted(t *testing.T) {
	paths := NewPaths(Settings{Bound: testBound})
	now := time.Now()
	paths.Lost(now, "a", true)
	if !paths.Trusts("c", now.Add(-time.Second)) {
		t.Error("a connection is distrusted after one path hung")
	}
	paths.Lost(now, "b", true)
	if paths.Trusts("c", now.Add(-time.Second)) || !paths.Trusts("c", now.Add(time.Second)) {
		t.Error("after two paths hung, connections from before must not be used, and later ones must")
	}
}

// TestSlowAttemptsAreNotAllJoinedByRelays guards against a gateway that is short of processor time and opens a connection through another gateway
// for each that takes long.
func TestSlowAttemptsAreNotAllJoinedByRelays(t *testing.T) {
	a := newNode(t, "a", nil, 8)
	for i := range maxDoubtfulJoins + 1 {
		if got, want := a.dialer.beginJoin(), i < maxDoubtfulJoins; got != want {
			t.Errorf("attempt %d may be joined: %t, want %t", i, got, want)
		}
	}
	a.dialer.recordLost("w", context.DeadlineExceeded, "b")
	if !a.dialer.beginJoin() {
		t.Error("with a lost path, an attempt may not be joined")
	}
	a.dialer.endJoin()
	a.dialer.Forget("w")
	a.dialer.endJoin()
	if !a.dialer.beginJoin() {
		t.Error("after another one ended, an attempt may not be joined")
	}
}
