package callers

import (
	"testing"
	"time"
)

// TestPipelinedRequestKeepsItsConnection guards against a request that arrived together with the one before it, whose connection the idle timeout
// or the start of shutdown closes while it is handled.
func TestPipelinedRequestKeepsItsConnection(t *testing.T) {
	for _, c := range []struct {
		desc        string
		idleTimeout time.Duration
		stop        bool
	}{
		{"idle timeout", testDelay, false},
		{"shutdown", time.Hour, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := newTestServer(t, c.idleTimeout, time.Hour)
			s.onHook = func() {
				if c.stop {
					s.stop()
				}
				time.Sleep(testStall)
			}
			caller := s.dial(t)
			if err := caller.send(requestFor("/1") + requestFor(pathHook)); err != nil {
				t.Fatal(err)
			}
			for _, path := range []string{"/1", pathHook} {
				if err := caller.readResponse(); err != nil {
					_, ran := s.handled.Load(path)
					t.Fatalf("%s: %v, handled %v, recorded %q", path, err, ran, s.recorder.String())
				}
			}
		})
	}
}
