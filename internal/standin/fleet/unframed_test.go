package fleet

import (
	"slices"
	"testing"
	"time"
)

// TestKilledWorkerCutsResponsesThatLookWhole guards against plays that check nothing: a response without a length has to look whole to its reader
// when its worker is killed, and one with a length or chunks must not. The worker has to serve again after its restart.
func TestKilledWorkerCutsResponsesThatLookWhole(t *testing.T) {
	plain, stream := WorkerOptions{Work: time.Millisecond}, WorkerOptions{Stage: "decode", Work: 50 * time.Millisecond, Events: 10}
	for _, test := range []struct {
		name     string
		options  WorkerOptions
		unframed bool
		body     string
		want     string
	}{
		{"plain", plain, true, "b", PlainAnswer("r", []byte("b"))},
		{"plain with a length", plain, false, "b " + LongBody, PlainAnswer("r", []byte("b "+LongBody))},
		{"stream", stream, true, "b", StreamAnswer("r", 10)},
		{"stream in chunks", stream, false, "b", StreamAnswer("r", 10)},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := NewFleet()
			var told []bool
			fleet.NotifyDown(func(_ string, down bool) { told = append(told, down) })
			test.options.ID, test.options.Service, test.options.Slots = "w", "app", 2
			worker, err := fleet.Start(test.options)
			if err != nil {
				t.Fatal(err)
			}
			defer worker.Stop(true)
			worker.SetUnframed(test.unframed)
			call := Request{ID: "r", Path: "/x", Body: test.body, Deadline: 5 * time.Second}
			killed := time.AfterFunc(unframedPause*3/4, func() { worker.Kill() })
			defer killed.Stop()
			cut := NewCaller(false).Do(t.Context(), worker.Address(), call)
			if looksWhole := cut.Err == nil; looksWhole != test.unframed || cut.Body == test.want || looksWhole && cut.Body == "" {
				t.Errorf("got %q, %v from the worker that was killed", cut.Body, cut.Err)
			}
			if got := awaitCut(fleet, "r", test.unframed); (got == 1) != test.unframed {
				t.Errorf("%d cuts", got)
			}
			if refused := NewCaller(false).Do(t.Context(), worker.Address(), call); refused.Err == nil {
				t.Errorf("got %q from a worker that is down", refused.Body)
			}
			worker.Restart()
			if whole := NewCaller(false).Do(t.Context(), worker.Address(), call); whole.Err != nil || whole.Body != test.want {
				t.Errorf("got %q, %v after the restart", whole.Body, whole.Err)
			}
			if !slices.Equal(told, []bool{false, true, false}) {
				t.Errorf("told down: %v", told)
			}
		})
	}
}

// awaitCut waits until a cut of a response is recorded, if one is expected, and returns their number.
func awaitCut(f *Fleet, id string, expected bool) int {
	for end := time.Now().Add(5 * time.Second); expected && f.Cuts()[id] == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return f.Cuts()[id]
}
