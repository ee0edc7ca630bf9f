package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/completeness"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
)

// unframedResponse returns a plain response that has neither a length nor chunks and ends with its connection.
func unframedResponse(status int, body string) *Response {
	response := wholeResponse(status, body)
	response.ContentLength, response.EndsWithConnection = -1, true
	return response
}

// TestPlainResponseEndedByCrashIsNotComplete guards against half of a plain response that reaches the caller as a whole one with a length, because its
// worker crashed while it sent it.
func TestPlainResponseEndedByCrashIsNotComplete(t *testing.T) {
	repeatable := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}
	for _, c := range []struct {
		name                 string
		rule                 routing.Rule
		status               int
		crashes, unconfirmed bool
		wantStatus, wantRuns int
	}{
		{"crash, may run once", routing.Rule{Kind: routing.KindAtMostOnce}, 200, true, false, 502, 1},
		{"crash, repeatable", repeatable, 200, true, false, 200, 2},
		{"crash, the last attempt", routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 1}, 200, true, false, 502, 1},
		{"crash within an error", routing.Rule{Kind: routing.KindAtMostOnce}, 500, true, false, 502, 1},
		{"crash within a rejection", routing.Rule{Kind: routing.KindAtMostOnce}, 404, true, false, 502, 1},
		{"unconfirmed, may run once", routing.Rule{Kind: routing.KindAtMostOnce}, 200, false, true, 502, 1},
		{"unconfirmed, repeatable", repeatable, 200, false, true, 200, 2},
		{"the worker lives on", routing.Rule{Kind: routing.KindAtMostOnce}, 200, false, false, 200, 1},
		{"the worker lives on after a rejection", routing.Rule{Kind: routing.KindAtMostOnce}, 404, false, false, 404, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			workers, prober := &fakeWorkers{}, &crashProber{crashed: map[string]bool{}, unconfirmed: map[string]bool{}}
			workers.run = func(_ context.Context, number int, worker *backend.Worker, _ RunOptions) (*Response, error) {
				if number > 1 {
					return wholeResponse(http.StatusOK, "whole"), nil
				}
				prober.mutex.Lock()
				defer prober.mutex.Unlock()
				prober.crashed[worker.ID], prober.unconfirmed[worker.ID] = c.crashes, c.unconfirmed
				return unframedResponse(c.status, "half"), nil
			}
			f := newFixture(t, fixtureOptions{rule: c.rule, allowance: 10}, workers)
			f.addWorkers()
			f.withGuard(prober, func(poison.Event) {})
			response, body, err := f.get(t)
			if err != nil || response.StatusCode != c.wantStatus || len(workers.ranAt) != c.wantRuns {
				t.Fatalf("got %v, %v after %d runs, want status %d after %d", response, err, len(workers.ranAt), c.wantStatus, c.wantRuns)
			}
			if lives := !c.crashes && !c.unconfirmed; strings.Contains(body, "half") != lives {
				t.Errorf("got the body %q of a worker that lives on: %t", body, lives)
			}
		})
	}
}

// TestHalfResponseClearsNoSuspect guards against a plain response that a crash cut off and that clears the request that crashed the worker.
func TestHalfResponseClearsNoSuspect(t *testing.T) {
	workers, prober := &fakeWorkers{}, &crashProber{crashed: map[string]bool{}}
	workers.run = func(_ context.Context, _ int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		prober.crash(worker.ID)
		return unframedResponse(http.StatusOK, "half"), nil
	}
	rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 1}
	f := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers)
	cleared := false
	f.withGuard(prober, func(event poison.Event) {
		_, isCleared := event.(poison.Cleared)
		cleared = cleared || isCleared
	})
	for range 2 {
		_, _, _ = f.get(t)
	}
	if cleared || !f.handler.guard.HasSuspects() {
		t.Errorf("cleared: %t, suspects: %t; want only suspects", cleared, f.handler.guard.HasSuspects())
	}
}

// socketWorkers runs requests at workers on real connections.
type socketWorkers struct {
	fakeWorkers
	*httpclient.Client
	// asks is set if the workers have a health path.
	asks bool
}

// Run implements Workers.
func (s *socketWorkers) Run(ctx context.Context, worker *backend.Worker, request *Request, options RunOptions) (*Response, error) {
	response, err := s.Do(ctx, worker.Address, &httpclient.Request{
		Method: http.MethodGet, Target: request.Target, Host: "w", Header: http.Header{}, Arrivals: options.Arrivals, MaySend: options.MaySend,
	})
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: response.Status, Header: http.Header{}, ContentLength: response.ContentLength,
		EndsWithConnection: response.EndsWithConnection, Body: response.Body,
	}, nil
}

// Connect implements Workers.
func (s *socketWorkers) Connect(ctx context.Context, worker *backend.Worker) error {
	return s.Client.Connect(ctx, worker.Address)
}

// RefusesConnections implements poison.Prober.
func (s *socketWorkers) RefusesConnections(ctx context.Context, worker *backend.Worker) (bool, error) {
	return s.Client.RefusesConnections(ctx, worker.Address)
}

// Look implements poison.Prober.
func (s *socketWorkers) Look(ctx context.Context, worker *backend.Worker, settle time.Duration) completeness.Worker {
	if s.asks {
		question := &httpclient.Request{Method: http.MethodGet, Target: healthPath, Host: "w", Header: http.Header{}}
		return s.Client.Ask(ctx, worker.Address, question, func(http.Header) bool { return true }, settle)
	}
	return s.Client.Look(ctx, worker.Address, settle)
}

// healthPath is where workers on real connections are asked whether they live.
const healthPath = "/health"

// serveUnframed answers requests with a body that ends with the connection, in two halves, and those of the health path with a length. It returns the
// address.
func serveUnframed(t *testing.T, body string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		for ; err == nil && request.URL.Path == healthPath; request, err = http.ReadRequest(reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body[:len(body)/2])
		_, _ = io.WriteString(conn, body[len(body)/2:])
	}
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

// TestLiveWorkerThatEndsResponsesWithConnectionsLosesNothing guards against responses that are lost or late because their worker always ends them
// with their connections, and against connections that show it alive and that no request uses.
func TestLiveWorkerThatEndsResponsesWithConnectionsLosesNothing(t *testing.T) {
	const (
		requests = 1000
		// maxOpened is a connection for each, which the look at the worker opens for the next, and a few more.
		maxOpened = requests + 10
		body      = "the whole body of the response"
	)
	for _, asks := range []bool{false, true} {
		t.Run(fmt.Sprintf("health path: %t", asks), func(t *testing.T) {
			workers := &socketWorkers{Client: httpclient.New(httpclient.WorkerSettings()), asks: asks}
			f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindAtMostOnce}}, &workers.fakeWorkers)
			f.handler.workers = workers
			address := serveUnframed(t, body)
			f.handler.dispatcher.SetWorkers(backend.Set{"0": {ID: "0", Group: "g", Address: address, Slots: 64}})
			f.withGuard(workers, func(poison.Event) {})
			took := make([]time.Duration, 0, requests)
			for number := range requests {
				start := time.Now()
				response, got, err := f.get(t)
				took = append(took, time.Since(start))
				if err != nil || response.StatusCode != http.StatusOK || got != body {
					t.Fatalf("request %d: got %v, %q, %v", number, response, got, err)
				}
			}
			slices.Sort(took)
			opened := workers.ConnectionsOpened()
			t.Logf("latency: median %v, 99th percentile %v; %d connections", took[requests/2], took[requests*99/100], opened)
			if opened > maxOpened {
				t.Errorf("%d connections were opened for %d responses, at most %d are allowed", opened, requests, maxOpened)
			}
		})
	}
}
