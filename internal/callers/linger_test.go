package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/netdial"
)

// unreadCase is what a caller has sent that the server does not read before it closes the connection.
type unreadCase struct {
	desc string
	// request is sent first, and unread behind it, if not empty only after the handler has returned.
	request, unread string
	isUnreadLate    bool
	wantStatus      int
	wantBytes       int
}

// largeResponse is the size of a response that does not fit into the receive buffer of a caller.
const largeResponse = 1 << 20

// unreadCases are the ways in which bytes are left unread when a connection is closed behind a response.
var unreadCases = []unreadCase{
	{desc: "a pipelined request", request: requestFor("/1"), unread: requestFor("/2"), wantStatus: 200, wantBytes: largeResponse},
	{desc: "a request pipelined after the response", request: requestFor("/1"), unread: requestFor("/2"), isUnreadLate: true, wantStatus: 200, wantBytes: largeResponse},
	{desc: "many pipelined requests", request: requestFor("/1"), unread: strings.Repeat(requestFor("/2"), 2000), wantStatus: 200, wantBytes: largeResponse},
	{desc: "a body", request: "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n", unread: strings.Repeat("b", 200_000), wantStatus: 200, wantBytes: largeResponse},
	{desc: "a large body", request: "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n", unread: strings.Repeat("b", 900_000), wantStatus: 200, wantBytes: largeResponse},
	{desc: "the rest of an invalid request", request: "GET / HTTP/1.1\r\nHost: a\r\nno header\r\n\r\n", unread: strings.Repeat("b", 200_000), wantStatus: 400, wantBytes: 1},
}

// TestResponseIsWholeBesideUnreadBytes guards against a response that is lost because its connection is closed with unread bytes: the kernel then
// resets the connection, and drops what the caller has not received. A pipelined request must not reach the handler.
func TestResponseIsWholeBesideUnreadBytes(t *testing.T) {
	for _, test := range unreadCases {
		t.Run(test.desc, func(t *testing.T) { test.run(t) })
	}
}

// run plays a case with a caller that does not read until the server has written its response.
func (c *unreadCase) run(t *testing.T) {
	var requests atomic.Int32
	returned := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			return
		}
		defer close(returned)
		w.Header().Set("Connection", "close")
		writeLargeResponse(w)
	})
	conn := s.dialSlowCaller(t)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(conn, c.request)
		if c.isUnreadLate {
			<-returned
			time.Sleep(testDelay)
		}
		// The server may stop reading.
		_, _ = io.WriteString(conn, c.unread)
	}()
	time.Sleep(testStall)
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != c.wantStatus || len(body) < c.wantBytes {
		t.Errorf("got status %d, %d bytes, %v", response.StatusCode, len(body), err)
	}
	<-sent
	if got := requests.Load(); got > 1 {
		t.Errorf("%d requests reached the handler", got)
	}
}

// servedServer is a running server and its listener.
type servedServer struct {
	*Server
	listener netdial.Listener
}

// startServer serves callers with a handler.
func startServer(t *testing.T, handle http.HandlerFunc) *servedServer {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := NewServer(handle, &Traffic{}, &recordingObserver{}, logrus.NewEntry(logger))
	listener, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Close)
	return &servedServer{s, listener}
}

// dialSlowCaller opens a connection that takes little of a response which is not read.
func (s *servedServer) dialSlowCaller(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	return conn.(*net.TCPConn)
}

// writeLargeResponse writes a response of largeResponse bytes.
func writeLargeResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
	_, _ = io.WriteString(w, strings.Repeat("r", largeResponse))
}

// idleCloseCase is why a connection is closed as idle as soon as a response was written.
type idleCloseCase struct {
	desc string
	// idleTimeout is the idle timeout, and stops is set if the server is shut down during the response.
	idleTimeout time.Duration
	stops       bool
	// wantEvent begins the events.
	wantEvent string
}

// idleCloseCases are the ways in which a connection is closed as idle.
var idleCloseCases = []idleCloseCase{
	{"shutdown", time.Hour, true, "request after the close by stop"},
	{"idle timeout", time.Millisecond, false, "idle timeout, request after the close by bound on rest"},
}

// TestResponseOutlastsIdleClose guards against a response that is lost because its connection is closed as idle before the caller has received it,
// and the caller sends another request on it: the kernel then resets the connection.
func TestResponseOutlastsIdleClose(t *testing.T) {
	const maxPlays = 5
	for _, test := range idleCloseCases {
		t.Run(test.desc, func(t *testing.T) {
			for range maxPlays {
				if test.play(t) {
					return
				}
			}
			t.Errorf("the second request was late in %d plays", maxPlays)
		})
	}
}

// maxRequestDelay is the longest time from a close to a request behind it that the server has to read. It leaves time for a server that is slow.
const maxRequestDelay = 5 * testDelay

// play plays a case with a caller that sends another request behind the close, before it reads the response. It returns false if that request was
// late.
func (c *idleCloseCase) play(t *testing.T) bool {
	var s *servedServer
	s = startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if c.stops {
			go Shutdown(time.Now().Add(testTimeout), s.Server)
		}
		writeLargeResponse(w)
	})
	s.SetTimeouts(c.idleTimeout, 0)
	conn := s.dialSlowCaller(t)
	if _, err := io.WriteString(conn, requestFor("/1")); err != nil {
		t.Fatal(err)
	}
	closedAfter := s.awaitCloseBehindResponse(t)
	// A connection that lingers is not closed yet.
	for start := time.Now(); s.traffic.Open.Load() > 0 && time.Since(start) < testStall; {
		time.Sleep(time.Millisecond)
	}
	_, err := io.WriteString(conn, requestFor("/2"))
	if time.Since(closedAfter) > maxRequestDelay {
		return false
	}
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || len(body) != largeResponse {
		t.Errorf("got %d bytes, %v", len(body), err)
	}
	events := s.observer.(*recordingObserver)
	for start := time.Now(); !strings.HasPrefix(events.String(), c.wantEvent); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatalf("recorded %q, want %q", events, c.wantEvent)
		}
	}
	return true
}

// awaitCloseBehindResponse waits until the server has written a large response and closes the connection. It returns the last time at which it had not.
func (s *servedServer) awaitCloseBehindResponse(t *testing.T) time.Time {
	t.Helper()
	start := time.Now()
	notYet := start
	for {
		lookedAt := time.Now()
		switch {
		case s.traffic.Sent.Load() >= largeResponse && s.closesAll():
			return notYet
		case lookedAt.Sub(start) > testTimeout:
			t.Fatalf("the connection was not closed; %d bytes were written", s.traffic.Sent.Load())
		}
		notYet = lookedAt
		time.Sleep(time.Millisecond)
	}
}

// closesAll reports whether the server closes all its connections, or has closed them.
func (s *servedServer) closesAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.openConns(), func(conn *connection) bool { return !conn.closed.Load() })
}

// TestLingeringIsBounded guards against callers that keep a closed connection, and its resources, by never closing it or by sending on and on.
func TestLingeringIsBounded(t *testing.T) {
	for _, sendsOn := range []bool{false, true} {
		s := newTestServer(t, time.Hour, time.Hour)
		caller := s.dial(t)
		if err := caller.send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if err := caller.readResponse(); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		for s.traffic.Open.Load() > 0 && time.Since(start) < testTimeout {
			if sendsOn {
				// This fails once the connection is closed.
				_ = caller.send(requestFor("/2"))
			}
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(start); took > lingerTime+testStall {
			t.Errorf("sends on %t: the connection was open for %v", sendsOn, took)
		}
		if _, handled := s.handled.Load("/2"); handled {
			t.Errorf("sends on %t: a request behind the last response was handled", sendsOn)
		}
	}
}

// TestHijackedConnectionIsClosedAtOnce guards against a handler that waits for its peer although it ends the connection itself, as relays do.
func TestHijackedConnectionIsClosedAtOnce(t *testing.T) {
	took := make(chan time.Duration, 1)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
		start := time.Now()
		_ = conn.Close()
		took <- time.Since(start)
	}), &Traffic{}, &recordingObserver{}, logrus.NewEntry(logger))
	listener, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, requestFor("/1")); err != nil {
		t.Fatal(err)
	}
	if got := <-took; got > lingerTime/2 {
		t.Errorf("the close took %v", got)
	}
}
