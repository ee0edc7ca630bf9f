package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// TestAStopEndsRestingConnectionsAtOnce stops beside connections that rest and one with a request in hand.
func TestAStopEndsRestingConnectionsAtOnce(t *testing.T) {
	b := newCallerBench(t, time.Hour, time.Hour)
	resting := b.dial(t)
	resting.ask(t, "/1")
	begun := time.Now()
	inHand := b.dial(t)
	var ended <-chan struct{}
	b.turn = func() {
		ended = b.stop()
		if !resting.closedWithin(testPatience) {
			t.Error("a resting connection was not closed")
		}
		select {
		case <-ended:
			t.Error("the stop did not wait for the request in hand")
		default:
		}
	}
	inHand.ask(t, pathTurn)
	<-ended
	if took := time.Since(begun); took > silenceWhileStopping {
		t.Errorf("the stop took %v", took)
	}
	if _, err := net.Dial("tcp4", b.listener.Addr().String()); err == nil {
		t.Error("a stopped server takes connections")
	}
	if open := b.traffic.Open.Load(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}

// TestALastLookIsMadeBesideAStop has a stop begin, and a request come, just before the last look of a connection whose bound has passed: the
// stop hurries the reading of connections that rest, and may not end the look before it was made.
func TestALastLookIsMadeBesideAStop(t *testing.T) {
	b := newCallerBench(t, testBound, time.Hour)
	caller := b.dial(t)
	var looking <-chan struct{}
	b.turn = func() { looking = b.listener.look.close() }
	caller.ask(t, pathTurn)
	<-looking
	if err := caller.send(headOf("/2")); err != nil {
		t.Fatal(err)
	}
	b.stop()
	time.Sleep(silenceWhileStopping / 3)
	b.listener.look.open()
	if err := caller.answer(); err != nil {
		t.Errorf("a request that had come before the last look got no answer: %v", err)
	}
}

// TestAStopWaitsForWhatHasCome stops beside requests and heads that take longer than connections that rest, and beside one that was
// accepted just then.
func TestAStopWaitsForWhatHasCome(t *testing.T) {
	const lasting = 2 * silenceWhileStopping
	t.Run("a request in hand", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		b.turn = func() {
			b.stop()
			time.Sleep(lasting)
		}
		b.dial(t).ask(t, pathTurn)
	})
	t.Run("a head under way", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		caller := b.dial(t)
		head := headOf("/1")
		if err := caller.send(head[:5]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testBound) // The bytes are read.
		b.stop()
		time.Sleep(lasting)
		caller.askRest(t, head[5:])
	})
	t.Run("a connection accepted as the stop begins", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		waiting := b.listener.accepted.close()
		caller := b.dial(t)
		if err := caller.send(headOf("/1")); err != nil {
			t.Fatal(err)
		}
		<-waiting
		b.stop()
		time.Sleep(silenceWhileStopping / 3)
		b.listener.accepted.open()
		if err := caller.answer(); err != nil {
			t.Error(err)
		}
	})
	t.Run("a question that waits for news is answered at once", func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		side := NewSideServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			_, _ = io.WriteString(w, "nothing new")
		}), &counted{}, logrus.NewEntry(logger))
		b := &callerBench{Server: side, listener: &heldListener{Listener: listener}}
		go func() { _ = side.Serve(b.listener) }()
		asker := b.dial(t)
		if err := asker.send(headOf("/1")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testBound) // The question is in hand.
		begun := time.Now()
		ended := b.stop()
		if err := asker.answer(); err != nil {
			t.Error(err)
		}
		<-ended
		if took := time.Since(begun); took > silenceWhileStopping {
			t.Errorf("the stop took %v", took)
		}
	})
	t.Run("but not beyond the grace", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		handled, goOn := make(chan struct{}), make(chan struct{})
		b.turn = func() {
			close(handled)
			<-goOn
		}
		defer close(goOn)
		if err := b.dial(t).send(headOf(pathTurn)); err != nil {
			t.Fatal(err)
		}
		<-handled
		for _, grace := range []time.Duration{lasting, -lasting} {
			begun := time.Now()
			ShutDown(begun.Add(grace), b.Server)
			least := max(grace, silenceWhileStopping)
			if took := time.Since(begun); took < least || took > least+silenceWhileStopping {
				t.Errorf("with %v of the grace the stop took %v", grace, took)
			}
		}
	})
	t.Run("but not for callers that send nothing", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		silent, resting := b.dial(t), b.dial(t)
		resting.ask(t, "/1")
		begun := time.Now()
		<-b.stop()
		if took := time.Since(begun); took > lasting {
			t.Errorf("the stop took %v", took)
		}
		if !silent.closedWithin(testBound) || !resting.closedWithin(testBound) {
			t.Error("a connection is open after a stop")
		}
	})
}

// TestAStopAnswersQuestionsThatHaveCome holds, while the gateway stops, a question that was read at one of the ports that are not for
// callers: where to connect, what changed in the store, whether the gateway is ready.
func TestAStopAnswersQuestionsThatHaveCome(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	side := NewSideServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "told") }),
		&counted{}, logrus.NewEntry(logger))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: listener}
	go func() { _ = side.Serve(held) }()
	t.Cleanup(side.Close)
	asker := (&callerBench{listener: held}).dial(t)
	asker.ask(t, "/1")
	time.Sleep(testBound) // The connection rests.
	waiting := held.after.close()
	if err := asker.send(headOf("/2")); err != nil {
		t.Fatal(err)
	}
	<-waiting
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceWhileStopping)
		defer cancel()
		side.shutDown(ctx)
	}()
	time.Sleep(silenceWhileStopping / 3)
	held.after.open()
	if err := asker.answer(); err != nil {
		t.Errorf("a question that had come got no answer: %v", err)
	}
}
