package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/routing"
)

// heldConn is a connection whose reading goroutine is held at one of its reads, as in a process that has stood still and runs its timers first.
type heldConn struct {
	*net.TCPConn
	// holdBefore is the number of the read that is held while its bytes are in the kernel, and holdAfter that of the read that is held with
	// its bytes until the first look at the connection; zero holds none. Hold is how long a read is held at most.
	holdBefore, holdAfter int
	hold                  time.Duration

	reads int
	// looks counts the looks at the connection, and looked is closed after the first one.
	looks  atomic.Int32
	looked chan struct{}
}

// Read implements net.Conn. Only one goroutine reads.
func (c *heldConn) Read(buffer []byte) (int, error) {
	c.reads++
	if c.reads == c.holdBefore {
		time.Sleep(c.hold)
	}
	n, err := c.TCPConn.Read(buffer)
	if c.reads == c.holdAfter {
		select {
		case <-c.looked:
		case <-time.After(c.hold):
		}
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *heldConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	if c.looks.Add(1) == 1 && c.holdAfter > 0 {
		// The look finds nothing, since the reader has taken the bytes and not run since. It runs on before the next look.
		return lateRaw{raw, func() {
			close(c.looked)
			time.Sleep(resumeTime)
		}}, err
	}
	return raw, err
}

// resumeTime is enough for a reader to run on.
const resumeTime = 50 * time.Millisecond

// lateRaw calls a function after a look.
type lateRaw struct {
	syscall.RawConn
	after func()
}

// Control implements syscall.RawConn.
func (r lateRaw) Control(look func(uintptr)) error {
	defer r.after()
	return r.RawConn.Control(look)
}

// heldDialer opens connections that are held.
type heldDialer struct {
	holdBefore, holdAfter int
	hold                  time.Duration
}

// Reads are held for longer than workers may be silent in these tests.
const (
	responseHold = 250 * time.Millisecond
	prefillHold  = time.Second
)

// Dial implements httpclient.Dialer.
func (d heldDialer) Dial(ctx context.Context, address string, _ bool) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &heldConn{
		TCPConn: conn.(*net.TCPConn), holdBefore: d.holdBefore, hold: d.hold, holdAfter: d.holdAfter, looked: make(chan struct{}),
	}, nil
}

func (heldDialer) IsDirect(net.Conn) bool                  { return true }
func (heldDialer) Usable(net.Conn, string, time.Time) bool { return true }
func (heldDialer) Suspect(string)                          {}
func (heldDialer) Forget(string)                           {}

// part is a part of a response, sent a time after the one before.
type part struct {
	after time.Duration
	text  string
}

// eventGap is the time between two parts of a response: enough for the reader to wait for the second one.
const eventGap = 10 * time.Millisecond

// startPartWorker runs a worker that answers each request with the same parts, and returns its address.
func startPartWorker(t *testing.T, parts []part) string {
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
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for _, part := range parts {
					time.Sleep(part.after)
					_, _ = io.WriteString(conn, part.text)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// headOf returns the head of a response that ends with its connection or after a length.
func headOf(length string) string { return "HTTP/1.1 200 OK\r\n" + length + "\r\n" }

// TestArrivedResponseIsNotAbandoned guards against a worker that is abandoned as silent or stalled although its response has arrived and only
// the goroutine that reads it has not run yet.
func TestArrivedResponseIsNotAbandoned(t *testing.T) {
	stream := func(objective time.Duration) routing.Rule {
		return routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2, Objective: objective, Patience: continuationPatience}
	}
	const objective = 50 * time.Millisecond
	whole := headOf(fmt.Sprintf("Content-Length: %d\r\n", len(events(0, 8)))) + events(0, 8)
	cases := []struct {
		desc string
		rule routing.Rule
		// holds is the read that is held.
		holds int
		parts []part
	}{
		{"before a response that is not a stream", routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: objective}, 1, []part{{0, whole}}},
		{"before a stream", stream(objective), 1, []part{{0, headOf("")}, {0, events(0, 8)}}},
		{"before the first event of a stream", stream(objective), 2, []part{{0, headOf("")}, {eventGap, events(0, 8)}}},
		{"within a stream", stream(0), 2, []part{{0, headOf("") + events(0, 3)}, {eventGap, events(3, 8)}}},
		{"before the end of a stream", stream(0), 2, []part{{0, headOf("") + events(0, 8)}}},
	}
	for _, c := range cases {
		for _, dialer := range []heldDialer{{c.holds, 0, responseHold}, {0, c.holds, responseHold}} {
			t.Run(fmt.Sprintf("%s, held before read %d or after read %d", c.desc, dialer.holdBefore, dialer.holdAfter), func(t *testing.T) {
				client := httpclient.NewWithDialer(httpclient.DefaultSettings(), dialer)
				address := startPartWorker(t, c.parts)
				workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, options RunOptions) (*Response, error) {
					response, err := client.Do(ctx, address, &httpclient.Request{
						Method: http.MethodGet, Target: "/", Host: "w", Header: http.Header{}, Arrivals: options.Arrivals,
					})
					if err != nil {
						return nil, err
					}
					return &Response{Status: response.Status, Header: http.Header{}, ContentLength: -1, Body: response.Body}, nil
				}}
				f := newFixture(t, fixtureOptions{rule: c.rule, engine: true, allowance: 10}, workers)
				if _, body, err := f.get(t); err != nil || body != events(0, 8) {
					t.Errorf("got %q, %v", body, err)
				}
				if runs := len(workers.runOptions); runs != 1 {
					t.Errorf("%d runs", runs)
				}
			})
		}
	}
}

// TestResponseOutlastsConnectionToAnother guards against a worker that is abandoned as silent although its response arrived while a connection to
// another one was opened.
func TestResponseOutlastsConnectionToAnother(t *testing.T) {
	connecting, sent := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-connecting:
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		close(sent)
	}))
	defer server.Close()
	// The reader is held until after the connection was opened.
	client := httpclient.NewWithDialer(httpclient.DefaultSettings(), heldDialer{holdBefore: 1, hold: 3 * responseTimeoutBase})
	workers := &fakeWorkers{
		run: func(ctx context.Context, number int, _ *backend.Worker, options RunOptions) (*Response, error) {
			if number > 1 {
				return wholeResponse(http.StatusOK, "second"), nil
			}
			response, err := client.Do(ctx, server.Listener.Addr().String(), &httpclient.Request{
				Method: http.MethodGet, Target: "/", Host: "w", Header: http.Header{}, Arrivals: options.Arrivals,
			})
			if err != nil {
				return nil, err
			}
			return &Response{Status: response.Status, Header: http.Header{}, ContentLength: -1, Body: response.Body}, nil
		},
		connect: func(*backend.Worker) error {
			close(connecting)
			<-sent
			return nil
		},
	}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Timeout: 5 * time.Second}, allowance: 10}, workers)
	if _, body, err := f.get(t); err != nil || body != "first" {
		t.Errorf("got %q, %v after attempts at %v", body, err, workers.ranAt)
	}
	select {
	case <-sent:
	default:
		t.Error("no connection was opened, so the test checks nothing")
	}
}

// TestArrivedPromptIsNotAbandoned guards against an engine that is abandoned as silent although its response to a prefill call has arrived.
func TestArrivedPromptIsNotAbandoned(t *testing.T) {
	for _, dialer := range []heldDialer{{1, 0, prefillHold}, {0, 1, prefillHold}} {
		client := httpclient.NewWithDialer(httpclient.DefaultSettings(), dialer)
		address := startPartWorker(t, []part{{0, headOf("Content-Length: 1\r\n") + "h"}})
		workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
			return wholeResponse(http.StatusOK, "answer"), nil
		}}
		workers.prefill = func(ctx context.Context, number int, worker *backend.Worker) (*PrefilledPrompt, error) {
			options := workers.prefillOptions[number-1]
			response, err := client.Do(ctx, address, &httpclient.Request{
				Method: http.MethodGet, Target: "/", Host: "w", Header: http.Header{}, Arrivals: options.Arrivals,
			})
			if err != nil {
				return nil, err
			}
			_, err = io.ReadAll(response.Body)
			return &PrefilledPrompt{Engine: worker, Handle: "h"}, err
		}
		rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 100 * time.Millisecond}
		f := newFixture(t, fixtureOptions{rule: rule, engine: true, allowance: 10, demand: backend.Demand{PromptTokens: 4_000}}, workers)
		if _, body, err := f.get(t); err != nil || body != "answer" {
			t.Errorf("%+v: got %q, %v", dialer, body, err)
		}
		if calls := len(workers.prefilledAt); calls != 1 {
			t.Errorf("%+v: %d prefill calls", dialer, calls)
		}
	}
}

// TestSilentConnectionIsAbandonedOnTime guards against looks at what has arrived that keep a worker which sent nothing, or a part of an event.
func TestSilentConnectionIsAbandonedOnTime(t *testing.T) {
	rule := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2, Objective: 50 * time.Millisecond, Patience: continuationPatience}
	const silent = 10 * time.Second
	for desc, parts := range map[string][]part{
		"no response":      {{silent, ""}},
		"no event":         {{0, headOf("")}, {silent, ""}},
		"part of an event": {{0, headOf("") + events(0, 3) + "id: 4\nda"}, {silent, ""}},
	} {
		client := httpclient.New(httpclient.DefaultSettings())
		address := startPartWorker(t, parts)
		abandoned := make(chan time.Duration, 1)
		workers := &fakeWorkers{run: func(ctx context.Context, number int, _ *backend.Worker, options RunOptions) (*Response, error) {
			if number > 1 {
				return wholeResponse(http.StatusOK, events(0, 8)), nil
			}
			start := time.Now()
			context.AfterFunc(ctx, func() { abandoned <- time.Since(start) })
			response, err := client.Do(ctx, address, &httpclient.Request{
				Method: http.MethodGet, Target: "/", Host: "w", Header: http.Header{}, Arrivals: options.Arrivals,
			})
			if err != nil {
				return nil, err
			}
			return &Response{Status: response.Status, Header: http.Header{}, ContentLength: -1, Body: response.Body}, nil
		}}
		f := newFixture(t, fixtureOptions{rule: rule, engine: true, allowance: 10}, workers)
		_, body, err := f.get(t)
		f.server.Close()
		if err != nil || body != events(0, 8) || len(workers.runOptions) != 2 {
			t.Errorf("%s: got %q, %v after %d runs", desc, body, err, len(workers.runOptions))
		}
		const limit = 4 * continuationPatience
		select {
		case after := <-abandoned:
			if after > limit {
				t.Errorf("%s: abandoned after %s, want at most %s", desc, after, limit)
			}
		case <-time.After(limit):
			t.Errorf("%s: not abandoned", desc)
		}
	}
}
