package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/completeness"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
)

// partsDemand is the demand of a request whose prompt has one part that others may share.
var partsDemand = backend.Demand{Segments: []backend.Segment{{ID: "5c1e", Tokens: 1}, {ID: "e440", Tokens: 1}}}

// unframedStream returns a stream that has neither a length nor chunks and ends with its connection, between two events.
func unframedStream() *Response {
	return &Response{
		Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, EndsWithConnection: true,
		Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n")),
	}
}

// TestStreamEndedByCrashIsNotComplete guards against a stream that passes for a complete one because its worker crashed between two events, and
// against such an end clearing the part of the prompt that crashed the worker.
func TestStreamEndedByCrashIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name         string
		crashes      bool
		wantComplete bool
	}{{"the worker crashes", true, false}, {"the worker lives on", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			workers, prober := &fakeWorkers{}, &crashProber{crashed: map[string]bool{}}
			workers.run = func(_ context.Context, _ int, worker *backend.Worker, _ RunOptions) (*Response, error) {
				if c.crashes {
					prober.crash(worker.ID)
				}
				return unframedStream(), nil
			}
			f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream}, demand: partsDemand}, workers)
			var answered bool
			guard := poison.NewGuard(poison.DefaultSettings(), prober, time.Now, func(event poison.Event) {
				_, isCleared := event.(poison.Cleared)
				answered = answered || isCleared
			})
			f.handler.SetGuard(guard)
			_, body, err := f.get(t)
			if isComplete := err == nil; isComplete != c.wantComplete || !strings.Contains(body, "data: a") {
				t.Errorf("got %q and %v, want a complete stream: %t", body, err, c.wantComplete)
			}
			if guard.HasSuspects() != c.crashes {
				t.Errorf("the guard has suspects: %t, want %t", guard.HasSuspects(), c.crashes)
			}
			if answered {
				t.Error("the end cleared a suspect")
			}
		})
	}
}

// TestStreamEndedByCrashContinues guards against giving up a stream that may continue at another worker after such an end.
func TestStreamEndedByCrashContinues(t *testing.T) {
	workers, prober := &fakeWorkers{}, &crashProber{crashed: map[string]bool{}}
	workers.run = func(_ context.Context, number int, worker *backend.Worker, options RunOptions) (*Response, error) {
		if number == 1 {
			prober.crash(worker.ID)
			return unframedStream(), nil
		}
		if options.ResumeAfter != "1" {
			t.Errorf("the stream continues after event %q, want 1", options.ResumeAfter)
		}
		return wholeResponse(http.StatusOK, "id: 2\ndata: b\n\n"), nil
	}
	rule := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2}
	f := newFixture(t, fixtureOptions{rule: rule, allowance: 10, demand: partsDemand}, workers)
	f.handler.SetGuard(poison.NewGuard(poison.DefaultSettings(), prober, time.Now, func(poison.Event) {}))
	f.addWorkers()
	if _, body, err := f.get(t); err != nil || !strings.Contains(body, "data: a") || !strings.Contains(body, "data: b") {
		t.Errorf("got %q and %v, want both events", body, err)
	}
}

// withGuard adds a guard to the handler of a fixture and registers its workers.
func (f *fixture) withGuard(prober poison.Prober, emit func(poison.Event)) {
	guard := poison.NewGuard(poison.DefaultSettings(), prober, time.Now, emit)
	registered := backend.Set{}
	for _, id := range []string{"0", "1", "2"} {
		registered[id] = &backend.Worker{ID: id, Group: "g", Address: id}
	}
	guard.UpdateWorkers(registered.Diff(backend.Set{}))
	f.handler.SetGuard(guard)
}

// addWorkers adds workers to the group. In a smaller one a suspect request waits for the worker that it crashed to be replaced.
func (f *fixture) addWorkers() {
	set := backend.Set{}
	for i := range 12 {
		id := fmt.Sprint("more-", i)
		set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Slots: 4}
	}
	f.handler.dispatcher.SetWorkers(set)
}

// unknownProber is a poison.Prober that can't determine whether workers run, as behind a proxy that accepts their connections.
type unknownProber struct{}

// RefusesConnections implements poison.Prober.
func (unknownProber) RefusesConnections(context.Context, *backend.Worker) (bool, error) {
	return false, io.ErrUnexpectedEOF
}

// Look implements poison.Prober.
func (unknownProber) Look(context.Context, *backend.Worker, time.Duration) completeness.Worker {
	return completeness.WorkerCloses
}

// TestUnprovedEndCountsWhenRecordGoes guards against a crash that is never counted, because its stream ended between two events and the address of
// the worker neither refused nor accepted connections, and against such a stream that passes for a complete one.
func TestUnprovedEndCountsWhenRecordGoes(t *testing.T) {
	worker := &backend.Worker{}
	workers := &fakeWorkers{run: func(_ context.Context, _ int, at *backend.Worker, _ RunOptions) (*Response, error) {
		worker = at
		return unframedStream(), nil
	}}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream}, demand: partsDemand}, workers)
	var crashed []poison.Part
	guard := poison.NewGuard(poison.DefaultSettings(), unknownProber{}, time.Now, func(event poison.Event) {
		if ended, is := event.(poison.WorkerCrashed); is {
			crashed = ended.Parts
		}
	})
	f.handler.SetGuard(guard)
	registered := backend.Set{}
	for _, id := range []string{"0", "1", "2"} {
		registered[id] = &backend.Worker{ID: id, Group: "g", Address: id}
	}
	guard.UpdateWorkers(registered.Diff(backend.Set{}))
	if _, body, err := f.get(t); err == nil || !strings.Contains(body, "data: a") {
		t.Errorf("got %q and %v, want a stream that is cut off after its event", body, err)
	}
	guard.UpdateWorkers(backend.Changes{Removed: []string{worker.ID}})
	if len(crashed) != 1 || crashed[0] != poison.NewPart("g", "5c1e") {
		t.Errorf("the crash counts against the parts %v, want 5c1e", crashed)
	}
}

// TestStreamOfLostServiceIsNotComplete guards against streams that pass for complete ones because all workers of their service have ended, so that no
// gateway can confirm that the addresses refuse connections.
func TestStreamOfLostServiceIsNotComplete(t *testing.T) {
	prober := &crashProber{crashed: map[string]bool{}, unconfirmed: map[string]bool{"0": true, "1": true, "2": true}}
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return unframedStream(), nil
	}}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream}, demand: partsDemand}, workers)
	answered := false
	f.withGuard(prober, func(event poison.Event) {
		_, isCleared := event.(poison.Cleared)
		answered = answered || isCleared
	})
	if _, body, err := f.get(t); err == nil || !strings.Contains(body, "data: a") {
		t.Errorf("got %q and %v, want a stream that is cut off after its event", body, err)
	}
	if answered {
		t.Error("the end cleared a suspect")
	}
}
