package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/netdial"
)

// TestShutdownClosesIdleConnectionsImmediately guards against a shutdown that waits for idle connections, or that does not wait
// for an active request.
func TestShutdownClosesIdleConnectionsImmediately(t *testing.T) {
	s := newTestServer(t, time.Hour, time.Hour)
	idle := s.dial(t)
	idle.request(t, "/1")
	start := time.Now()
	active := s.dial(t)
	var done <-chan struct{}
	s.onHook = func() {
		done = s.stop()
		if !idle.closedWithin(testTimeout) {
			t.Error("an idle connection was not closed")
		}
		select {
		case <-done:
			t.Error("shutdown did not wait for the active request")
		default:
		}
	}
	active.request(t, pathHook)
	<-done
	if took := time.Since(start); took > NewConnGrace {
		t.Errorf("shutdown took %v", took)
	}
	if _, err := net.Dial("tcp4", s.listener.Addr().String()); err == nil {
		t.Error("a stopped server accepts connections")
	}
	if open := s.traffic.Open.Load(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}

// TestFinalReadSurvivesShutdown guards against a lost request that arrives just before the final read of an idle connection:
// shutdown sets a past deadline on idle connections, which must not prevent that read.
func TestFinalReadSurvivesShutdown(t *testing.T) {
	s := newTestServer(t, testDelay, time.Hour)
	caller := s.dial(t)
	var blocked <-chan struct{}
	s.onHook = func() { blocked = s.listener.beforeFinalRead.close() }
	caller.request(t, pathHook)
	<-blocked
	if err := caller.send(requestFor("/2")); err != nil {
		t.Fatal(err)
	}
	s.stop()
	time.Sleep(NewConnGrace / 3)
	s.listener.beforeFinalRead.open()
	if err := caller.readResponse(); err != nil {
		t.Errorf("a request that arrived before the final read got no response: %v", err)
	}
}

// TestShutdownWaitsForStartedRequests guards against a shutdown that cuts off requests and headers in progress, or a connection
// that is just being accepted.
func TestShutdownWaitsForStartedRequests(t *testing.T) {
	const longRequest = 2 * NewConnGrace
	t.Run("an active request", func(t *testing.T) {
		s := newTestServer(t, time.Hour, time.Hour)
		s.onHook = func() {
			s.stop()
			time.Sleep(longRequest)
		}
		s.dial(t).request(t, pathHook)
	})
	t.Run("a partial header", func(t *testing.T) {
		s := newTestServer(t, time.Hour, time.Hour)
		caller := s.dial(t)
		head := requestFor("/1")
		if err := caller.send(head[:5]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testDelay) // The bytes are read.
		s.stop()
		time.Sleep(longRequest)
		caller.finishRequest(t, head[5:])
	})
	t.Run("a connection accepted as shutdown begins", func(t *testing.T) {
		s := newTestServer(t, time.Hour, time.Hour)
		blocked := s.listener.afterAccept.close()
		caller := s.dial(t)
		if err := caller.send(requestFor("/1")); err != nil {
			t.Fatal(err)
		}
		<-blocked
		s.stop()
		time.Sleep(NewConnGrace / 3)
		s.listener.afterAccept.open()
		if err := caller.readResponse(); err != nil {
			t.Error(err)
		}
	})
	t.Run("a long poll is answered immediately", func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		listener, err := netdial.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		internal := NewInternalServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			_, _ = io.WriteString(w, "no changes")
		}), &recordingObserver{}, logrus.NewEntry(logger))
		s := &testServer{Server: internal, listener: &gatedListener{Listener: listener}}
		go func() { _ = internal.Serve(s.listener) }()
		caller := s.dial(t)
		if err := caller.send(requestFor("/1")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testDelay) // The request is active.
		start := time.Now()
		done := s.stop()
		if err := caller.readResponse(); err != nil {
			t.Error(err)
		}
		<-done
		if took := time.Since(start); took > NewConnGrace {
			t.Errorf("shutdown took %v", took)
		}
	})
	t.Run("not beyond the deadline", func(t *testing.T) {
		s := newTestServer(t, time.Hour, time.Hour)
		handled, release := make(chan struct{}), make(chan struct{})
		s.onHook = func() {
			close(handled)
			<-release
		}
		defer close(release)
		if err := s.dial(t).send(requestFor(pathHook)); err != nil {
			t.Fatal(err)
		}
		<-handled
		for _, grace := range []time.Duration{longRequest, -longRequest} {
			start := time.Now()
			Shutdown(start.Add(grace), s.Server)
			earliest := max(grace, NewConnGrace)
			if took := time.Since(start); took < earliest || took > earliest+NewConnGrace {
				t.Errorf("with %v until the deadline, shutdown took %v", grace, took)
			}
		}
	})
	t.Run("not for callers that send nothing", func(t *testing.T) {
		s := newTestServer(t, time.Hour, time.Hour)
		silent, idle := s.dial(t), s.dial(t)
		idle.request(t, "/1")
		start := time.Now()
		<-s.stop()
		if took := time.Since(start); took > longRequest {
			t.Errorf("shutdown took %v", took)
		}
		if !silent.closedWithin(testDelay) || !idle.closedWithin(testDelay) {
			t.Error("a connection is open after shutdown")
		}
	})
}

// TestShutdownAnswersReceivedInternalRequests guards against a shutdown that drops a request that an internal server has already
// read.
func TestShutdownAnswersReceivedInternalRequests(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	internal := NewInternalServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		&recordingObserver{}, logrus.NewEntry(logger))
	listener, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gated := &gatedListener{Listener: listener}
	go func() { _ = internal.Serve(gated) }()
	t.Cleanup(internal.Close)
	caller := (&testServer{listener: gated}).dial(t)
	caller.request(t, "/1")
	time.Sleep(testDelay) // The connection is idle.
	blocked := gated.afterRead.close()
	if err := caller.send(requestFor("/2")); err != nil {
		t.Fatal(err)
	}
	<-blocked
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), NewConnGrace)
		defer cancel()
		internal.shutdown(ctx)
	}()
	time.Sleep(NewConnGrace / 3)
	gated.afterRead.open()
	if err := caller.readResponse(); err != nil {
		t.Errorf("a received request got no response: %v", err)
	}
}

// TestQueuedConnectionsAreServedAtShutdown guards against connections in the queue of the listener that the start of shutdown resets.
func TestQueuedConnectionsAreServedAtShutdown(t *testing.T) {
	const queued = 32
	s := newTestServer(t, time.Hour, time.Hour)
	blocked := s.listener.afterAccept.close()
	s.dial(t)
	<-blocked
	var queue []*testCaller
	for range queued {
		caller := s.dial(t)
		if err := caller.send(requestFor("/1")); err != nil {
			t.Fatal(err)
		}
		queue = append(queue, caller)
	}
	done := s.stop()
	s.awaitShutdown()
	s.listener.afterAccept.open()
	for i, caller := range queue {
		if err := caller.readResponse(); err != nil {
			t.Errorf("connection %d of %d in the queue: %v", i, queued, err)
		}
		_ = caller.Close()
	}
	<-done
	if _, err := net.Dial("tcp4", s.listener.Addr().String()); err == nil {
		t.Error("a stopped server accepts connections")
	}
}

// TestConnectionAcceptedLateHasTimeAtShutdown guards against a connection that waited in the queue, for example while the process stood still, and
// is closed as it is accepted although its first request is in transit.
func TestConnectionAcceptedLateHasTimeAtShutdown(t *testing.T) {
	s := newTestServer(t, time.Hour, time.Hour)
	blocked := s.listener.afterAccept.close()
	caller := s.dial(t)
	<-blocked
	s.stop()
	s.awaitShutdown()
	time.Sleep(NewConnGrace)
	s.listener.afterAccept.open()
	if caller.closedWithin(NewConnGrace / 3) {
		t.Fatal("the connection was closed as it was accepted")
	}
	caller.finishRequest(t, requestFor("/1"))
}

// awaitShutdown waits until the server has begun to close its listener.
func (s *testServer) awaitShutdown() {
	for {
		s.mu.Lock()
		begun := s.drained != nil
		s.mu.Unlock()
		if begun {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
