package callers

import (
	"testing"
	"time"
)

// waitingCallers bring a connection to the states in which the server waits for a request.
var waitingCallers = map[string]func(t *testing.T, caller *testCaller){
	"idle":  func(t *testing.T, caller *testCaller) { caller.request(t, "/1") },
	"fresh": func(*testing.T, *testCaller) {},
}

// TestDecidedCloseIsVisible guards against requests that are lost on a connection which is open for the caller, although the server has decided to
// close it: between the last look at what has arrived and the close the process may stand still.
func TestDecidedCloseIsVisible(t *testing.T) {
	for desc, prepare := range waitingCallers {
		t.Run(desc, func(t *testing.T) {
			s := newTestServer(t, testDelay, testDelay)
			caller, isOpen := s.dial(t), make(chan bool, 1)
			s.recorder.setOnIdleTimeout(func() {
				open := true
				for start := time.Now(); open && time.Since(start) < testStall; time.Sleep(testDelay / 10) {
					open = isEstablished(caller.Conn)
				}
				isOpen <- open
			})
			prepare(t, caller)
			if <-isOpen {
				t.Error("the connection was open after the server had decided to close it")
			}
		})
	}
}

// TestRequestAfterDecidedCloseIsReset guards against a request that is acknowledged after the server has decided to close its connection. Its caller
// can't know that nobody reads it, for as long as the process stands still before the close.
func TestRequestAfterDecidedCloseIsReset(t *testing.T) {
	for desc, prepare := range waitingCallers {
		t.Run(desc, func(t *testing.T) {
			s := newTestServer(t, testDelay, testDelay)
			caller, isReset := s.dial(t), make(chan bool, 1)
			s.recorder.setOnIdleTimeout(func() {
				err := caller.send(requestFor("/late"))
				for start := time.Now(); err == nil && time.Since(start) < testStall; time.Sleep(testDelay / 10) {
					err = caller.send("G")
				}
				isReset <- err != nil
			})
			prepare(t, caller)
			if !<-isReset {
				t.Error("the request was acknowledged, although nobody would read it")
			}
			if _, handled := s.handled.Load("/late"); handled {
				t.Error("the request was handled")
			}
		})
	}
}
