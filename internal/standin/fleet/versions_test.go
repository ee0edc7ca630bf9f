package fleet

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestVersionsOfEvents guards against signatures that callers take for a part of a stream, or that are counted for events which did not arrive
// completely.
func TestVersionsOfEvents(t *testing.T) {
	signed := func(version string, number int) string { return versionComment + version + "\n" + Event("r", number) }
	whole := signed("a", 1) + signed("b", 2)
	want := Event("r", 1) + Event("r", 2)
	for cut := range len(whole) + 1 {
		body, versions := splitVersions(whole[:cut])
		if !strings.HasPrefix(want, body) {
			t.Errorf("cut after %d bytes: body %q", cut, body)
		}
		events := strings.Count(whole[:cut], "\n\n")
		if !slices.Equal(versions, []string{"a", "b"}[:events]) {
			t.Errorf("cut after %d bytes: versions %q", cut, versions)
		}
		id := ""
		if events > 0 {
			id = strconv.Itoa(events)
		}
		if got := (Response{Body: body}).LastEventID(); got != id {
			t.Errorf("cut after %d bytes: last event %q, want %q", cut, got, id)
		}
	}
	if body, versions := splitVersions(want); body != want || versions != nil {
		t.Errorf("without signatures: body %q, versions %q", body, versions)
	}
}

// TestWorkerRestartsAsOtherVersion guards against a restarted worker whose record keeps the version or the start of the one before, and against
// callers that get no version of a resumed stream.
func TestWorkerRestartsAsOtherVersion(t *testing.T) {
	fleet := NewFleet()
	worker, err := fleet.Start(WorkerOptions{ID: "w", Service: "llm", Stage: "decode", Version: "a", Slots: 4, Events: 5, Work: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { worker.Stop(true) })
	caller := NewCaller(false)
	first := caller.Do(context.Background(), worker.Address(), Request{ID: "one", Path: "/stream/x", AbortAfter: 2, Deadline: time.Second})
	if !errors.Is(first.Err, ErrAborted) || first.LastEventID() != "2" || !slices.Equal(first.Versions, []string{"a", "a"}) {
		t.Errorf("first try: %+v", first)
	}
	before, _ := fleet.Store.Value("servers/w")
	if err := worker.RestartAs("b"); err != nil {
		t.Fatal(err)
	}
	after, _ := fleet.Store.Value("servers/w")
	if !strings.Contains(string(before), `"version":"a"`) || !strings.Contains(string(after), `"version":"b"`) || !strings.Contains(string(after), `"born":`) {
		t.Errorf("record before the restart: %s, after it: %s", before, after)
	}
	worker.Drain()
	if latest, _ := fleet.Store.Value("servers/w"); string(latest) != string(after) {
		t.Errorf("the replaced worker has written %s", latest)
	}
	second := caller.Do(context.Background(), worker.Address(), Request{ID: "two", Path: "/stream/x", LastEventID: "2", Resumes: "one", Deadline: time.Second})
	if second.Err != nil || second.Body != Event("two", 3)+Event("two", 4)+Event("two", 5) || !slices.Equal(second.Versions, []string{"b", "b", "b"}) {
		t.Errorf("resumed: %+v", second)
	}
}

// TestRestartKeepsPort guards against a worker whose port another process takes, or whose address refuses connections, while it restarts at once.
func TestRestartKeepsPort(t *testing.T) {
	const restarts = 50
	worker, err := NewFleet().Start(WorkerOptions{ID: "w", Service: "llm", Stage: "decode", Version: "a", Slots: 4, Events: 5})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { worker.Stop(true) })
	done := make(chan struct{})
	dialed := make(chan error, 1)
	go func() {
		for {
			conn, err := net.Dial("tcp4", worker.Address())
			if err != nil {
				dialed <- err
				return
			}
			_ = conn.Close()
			select {
			case <-done:
				dialed <- nil
				return
			default:
			}
		}
	}()
	for number := range restarts {
		if err := worker.Latest().RestartAs([]string{"b", "a"}[number%2]); err != nil {
			t.Errorf("restart %d: %v", number, err)
		}
	}
	close(done)
	if err := <-dialed; err != nil {
		t.Error(err)
	}
}
