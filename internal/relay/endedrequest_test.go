package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// errTestEnded is the cause for which requests end in these tests.
var errTestEnded = errors.New("the request has ended")

// hangingAddress returns an address at which attempts to connect get no answer.
func hangingAddress(t *testing.T) string {
	t.Helper()
	proxy, err := netproxy.New(startWorker(t, idle))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	proxy.Set(netproxy.ModeHang)
	return proxy.Address()
}

// TestDialEndsWithItsRequest guards against a request that is held after its deadline, or after its caller left, by an attempt to connect.
func TestDialEndsWithItsRequest(t *testing.T) {
	silentPeer := func(t *testing.T, a *node) {
		a.known.peers = []Peer{{Name: "silent", Address: startWorker(t, idle)}}
	}
	for _, test := range []struct {
		name    string
		prepare func(t *testing.T, a *node, address string)
	}{
		{"no relay may join", func(t *testing.T, a *node, _ string) {
			silentPeer(t, a)
			for range maxDoubtfulJoins {
				a.dialer.beginJoin()
			}
		}},
		{"no other gateway could tell", func(t *testing.T, a *node, address string) {
			silentPeer(t, a)
			a.dialer.remember(a.dialer.unknownUntil, address, time.Now().Add(time.Minute))
		}},
		{"a relay has joined", func(t *testing.T, a *node, _ string) { silentPeer(t, a) }},
		{"the relay has failed", func(t *testing.T, a *node, _ string) {
			a.known.peers = []Peer{{Name: "refusing", Address: closedAddress(t)}}
		}},
		{"the path is lost", func(t *testing.T, a *node, address string) {
			silentPeer(t, a)
			a.dialer.recordLost(address, context.DeadlineExceeded, "silent")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := hangingAddress(t)
			a := newNode(t, "a", map[string]string{"w": address}, 8)
			test.prepare(t, a, address)
			ctx, cancel := context.WithCancelCause(t.Context())
			const endsAfter, slack = 120 * time.Millisecond, 130 * time.Millisecond
			time.AfterFunc(endsAfter, func() { cancel(errTestEnded) })
			start := time.Now()
			_, err := a.dialer.Dial(ctx, address, false)
			if took := time.Since(start); took > endsAfter+slack || !errors.Is(err, errTestEnded) {
				t.Errorf("got %v after %s, the request ended after %s", err, took, endsAfter)
			}
		})
	}
}

// TestEndedRequestIsNoEvidence guards against gateways that are not asked for a relay because requests ended while they were asked before.
func TestEndedRequestIsNoEvidence(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(ctx context.Context) (context.Context, context.CancelFunc)
	}{
		{"its caller leaves", func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancelCause(ctx)
			timer := time.AfterFunc(50*time.Millisecond, func() { cancel(errTestEnded) })
			return ctx, func() { timer.Stop() }
		}},
		{"its deadline passes", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeoutCause(ctx, 50*time.Millisecond, errTestEnded)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			real, closed := startWorker(t, echo), closedAddress(t)
			a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": real}, 8)
			a.asks(b)
			// The gateway is slow to answer at first.
			serve := b.server.Config.Handler
			slow := true
			b.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if slow {
					slow = false
					time.Sleep(100 * time.Millisecond)
				}
				serve.ServeHTTP(w, r)
			})
			ctx, cancel := test.end(t.Context())
			defer cancel()
			if conn, err := a.dialer.Dial(ctx, closed, false); err == nil {
				_ = conn.Close()
				t.Fatal("the first request got a connection")
			}
			time.Sleep(100 * time.Millisecond)
			conn, err := a.dialer.Dial(t.Context(), closed, false)
			if err != nil {
				t.Fatalf("after the request ended: %v", err)
			}
			defer conn.Close()
			if ranked := a.dialer.rankedPeers(closed); len(ranked) != 1 || len(a.dialer.avoidedUntil) > 0 {
				t.Errorf("gateways are avoided: %v", a.dialer.avoidedUntil)
			}
			checkEcho(t, conn)
		})
	}
}

// checkEcho fails the test if a connection does not lead to a worker that echoes.
func checkEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	_, _ = io.WriteString(conn, "ping")
	got := make([]byte, len("ping"))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "ping" {
		t.Errorf("got %q, %v", got, err)
	}
}
