package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/migration"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
)

// continuationPatience is the callers' patience in these tests; a response is stalled after half of it.
const continuationPatience = 100 * time.Millisecond

// ending is how a scripted response ends.
type ending int

const (
	// endWhole ends the stream regularly, endBreak breaks it between two events and endPartial within one.
	endWhole ending = iota
	endBreak
	endPartial
	// endStall sends nothing more until the connection is closed, and endLate sends the rest just then.
	endStall
	endLate
	// endRefused refuses the request.
	endRefused
	// endLateWhole sends nothing more until the connection is closed, and the regular end just then.
	endLateWhole
)

// scriptedResponse sends events up to a number and ends.
type scriptedResponse struct {
	upTo int
	end  ending
}

// event returns an event of the scripted stream.
func event(number int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", number, number) }

// events returns the events after one number up to another.
func events(after, upTo int) string {
	var all strings.Builder
	for number := after + 1; number <= upTo; number++ {
		all.WriteString(event(number))
	}
	return all.String()
}

// scriptedBody is the body of a scripted response. It counts as open until its connection is closed.
type scriptedBody struct {
	ctx   context.Context
	parts []string
	end   ending
	late  string
	done  func()
}

func (b *scriptedBody) Read(into []byte) (int, error) {
	if len(b.parts) > 0 {
		n := copy(into, b.parts[0])
		b.parts = b.parts[1:]
		return n, nil
	}
	if b.end == endWhole {
		b.done()
		return 0, io.EOF
	}
	if b.end == endLateWhole {
		<-b.ctx.Done()
		b.done()
		return 0, io.EOF
	}
	cause := error(io.ErrUnexpectedEOF)
	if b.end == endStall || b.end == endLate {
		<-b.ctx.Done()
		cause = context.Cause(b.ctx)
		if b.late != "" {
			n := copy(into, b.late)
			b.late = ""
			return n, nil
		}
	}
	b.done()
	return 0, &httpclient.Error{Step: httpclient.StepReceive, Peer: "w", Cause: cause}
}

func (b *scriptedBody) Close() error {
	b.done()
	return nil
}

// scriptedFleet answers runs by a script, and records runs that began while another one was open.
type scriptedFleet struct {
	total     int
	responses []scriptedResponse

	mu sync.Mutex
	// open is the number of runs whose connections are open, and overlapped is set once a run began while one was.
	open       int
	overlapped bool
}

// run implements fakeWorkers.run.
func (s *scriptedFleet) run(ctx context.Context, number int, _ *backend.Worker, options RunOptions) (*Response, error) {
	script := scriptedResponse{end: endWhole}
	if number <= len(s.responses) {
		script = s.responses[number-1]
	}
	if script.end == endRefused {
		return nil, refusalError
	}
	s.mu.Lock()
	s.overlapped = s.overlapped || s.open > 0
	s.open++
	s.mu.Unlock()
	after := 0
	_, _ = fmt.Sscan(options.ResumeAfter, &after)
	upTo := max(after, script.upTo)
	if script.end == endWhole {
		upTo = s.total
	}
	body := &scriptedBody{ctx: ctx, end: script.end, done: sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open--
	})}
	for number := after + 1; number <= upTo; number++ {
		body.parts = append(body.parts, event(number))
	}
	switch script.end {
	case endPartial:
		body.parts = append(body.parts, "id: 99\nda")
	case endLate:
		body.late = events(upTo, s.total)
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: body}, nil
}

// newContinuationFixture returns a fixture whose engines keep copies, at a moment at which two of six engines have ended.
func newContinuationFixture(t *testing.T, resumable bool, scripted *scriptedFleet) *fixture {
	t.Helper()
	rule := routing.Rule{Kind: routing.KindStream, Resumable: resumable, MaxAttempts: 2, Patience: continuationPatience}
	options := fixtureOptions{rule: rule, engine: true, allowance: 10, demand: backend.Demand{PromptTokens: 10, OutputTokens: 10}}
	f := newFixture(t, options, &fakeWorkers{run: scripted.run})
	engine := f.handler.Table().Configuration().Groups[0].Engine
	engine.KeepsCopies, engine.BytesPerToken = true, 1000
	dispatcher := f.handler.dispatcher
	for _, id := range []string{"prefill0", "prefill1"} {
		dispatcher.migration.Risk().Ended(dispatcher.now(), id)
	}
	dispatcher.migration.ObserveRun("", time.Second)
	return f
}

// TestContinuations guards against a response that is cut although another engine could continue it, and against one that continues where
// it may not.
func TestContinuations(t *testing.T) {
	cases := []struct {
		desc      string
		resumable bool
		responses []scriptedResponse
		// wantWhole is set if the caller gets the whole stream, and wantRuns is the number of runs that engines were asked for.
		wantWhole bool
		wantRuns  int
		// wantContinues is what the last attempt continues from.
		wantContinues Continuation
	}{
		{"a break is continued from the copy", false, []scriptedResponse{{3, endBreak}}, true, 2, ContinuesCopy},
		{"an event broken midway is continued from the copy", false, []scriptedResponse{{3, endPartial}}, true, 2, ContinuesCopy},
		{"a stall is continued from the copy", false, []scriptedResponse{{3, endStall}}, true, 2, ContinuesCopy},
		{"late events of a stalled engine are dropped", false, []scriptedResponse{{3, endLate}}, true, 2, ContinuesCopy},
		{"a regular end that arrives as the run is abandoned is the end", false, []scriptedResponse{{8, endLateWhole}}, true, 1, ContinuesNothing},
		{"it is the end of a run that may be resumed, too", true, []scriptedResponse{{8, endLateWhole}}, true, 1, ContinuesNothing},
		{"a copy that is missing leaves the run cut", false, []scriptedResponse{{3, endBreak}, {0, endRefused}}, false, 2, ContinuesCopy},
		{"a copy is used once", false, []scriptedResponse{{3, endBreak}, {5, endBreak}}, false, 2, ContinuesCopy},
		{"nothing is continued before the first event", false, []scriptedResponse{{0, endBreak}}, false, 1, ContinuesNothing},
		{"a stall is resumed elsewhere", true, []scriptedResponse{{3, endStall}}, true, 2, ContinuesLastEvent},
		{"late events are dropped before a resumption", true, []scriptedResponse{{3, endLate}}, true, 2, ContinuesLastEvent},
		{"a stall beyond the attempts of the rule stays", true, []scriptedResponse{{3, endBreak}, {5, endBreak}}, false, 2, ContinuesLastEvent},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			scripted := &scriptedFleet{total: 8, responses: c.responses}
			f := newContinuationFixture(t, c.resumable, scripted)
			_, body, err := f.get(t)
			if want := events(0, 8); c.wantWhole != (err == nil && body == want) {
				t.Errorf("got %q, %v", body, err)
			}
			f.server.Close()
			if runs := len(f.workers.runOptions); runs != c.wantRuns {
				t.Errorf("%d runs", runs)
			}
			f.reports.mutex.Lock()
			defer f.reports.mutex.Unlock()
			attempts := f.reports.last.Attempts
			if last := attempts[len(attempts)-1]; last.Continues != c.wantContinues {
				t.Errorf("the last attempt continues from %q: %+v", last.Continues, attempts)
			}
			if inUse := f.handler.dispatcher.MigrationTotals().CopyBytesInUse; inUse != 0 {
				t.Errorf("%d bytes of copies are in use after the request", inUse)
			}
		})
	}
}

// TestContinuationIsAskedOfTheBackup guards against a copy at the engine itself, and against a continuation that is sent to another engine or
// without the last event.
func TestContinuationIsAskedOfTheBackup(t *testing.T) {
	f := newContinuationFixture(t, false, &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endBreak}}})
	if _, _, err := f.get(t); err != nil {
		t.Fatal(err)
	}
	f.server.Close()
	first, second := f.workers.runOptions[0], f.workers.runOptions[1]
	if first.Backup == nil || first.Backup.ID == f.workers.ranAt[0] || first.Backup.ID != f.workers.ranAt[1] {
		t.Errorf("ran at %v with the backup %v", f.workers.ranAt, first.Backup)
	}
	if first.Continue || !second.Continue || second.ResumeAfter != "3" {
		t.Errorf("got %+v, %+v", first, second)
	}
}

// pausingRun returns a fakeWorkers.run whose streams pause after the third event for longer than the limit of a stall, and end regularly.
// BeforePause is called with the options of the run.
func pausingRun(beforePause func(RunOptions)) func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
	return func(ctx context.Context, _ int, _ *backend.Worker, options RunOptions) (*Response, error) {
		reader, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, events(0, 3))
			beforePause(options)
			select {
			case <-time.After(2 * continuationPatience):
				_, _ = io.WriteString(writer, events(3, 8))
				_ = writer.Close()
			case <-ctx.Done():
				_ = writer.CloseWithError(&httpclient.Error{Step: httpclient.StepReceive, Peer: "w", Cause: context.Cause(ctx)})
			}
		}()
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: reader}, nil
	}
}

// TestStallWithoutTheBackupIsKept guards against a response that is cut because it was abandoned for a copy whose engine is gone, although
// its own engine continues later.
func TestStallWithoutTheBackupIsKept(t *testing.T) {
	f := newContinuationFixture(t, false, &scriptedFleet{})
	f.workers.run = pausingRun(func(options RunOptions) {
		if options.Backup == nil {
			t.Error("the run has no backup")
			return
		}
		set := backend.Set{}
		for i := range 3 {
			id := fmt.Sprint(backend.RoleDecode, i)
			set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Role: backend.RoleDecode, Slots: 4}
		}
		delete(set, options.Backup.ID)
		f.handler.dispatcher.SetWorkers(set)
	})
	if _, body, err := f.get(t); err != nil || body != events(0, 8) {
		t.Errorf("got %q, %v", body, err)
	}
	f.server.Close()
	if runs := len(f.workers.runOptions); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// TestContinuationIsNoWholeRun guards against an expected duration of runs that is too short because the rest of a run counted as a whole
// one.
func TestContinuationIsNoWholeRun(t *testing.T) {
	f := newContinuationFixture(t, false, &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endBreak}}})
	if _, _, err := f.get(t); err != nil {
		t.Fatal(err)
	}
	f.server.Close()
	dispatcher := f.handler.dispatcher
	run := migration.Run{Group: "g", Engine: "decode0", Tokens: 1, Deadline: dispatcher.now().Add(time.Hour)}
	if expected := dispatcher.migration.Expected(dispatcher.now(), run); expected != time.Second {
		t.Errorf("runs are expected to last %v", expected)
	}
}

// TestContinuationTakesARetry guards against continuations beyond the budget of retries.
func TestContinuationTakesARetry(t *testing.T) {
	f := newContinuationFixture(t, false, &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endBreak}}})
	for f.handler.dispatcher.RetryBudget("g").takeRetry() {
	}
	if _, body, err := f.get(t); err == nil {
		t.Errorf("continued without a retry: %q", body)
	}
}

// TestErrorAfterTheFirstEventIsNotForwarded guards against an error response in the middle of a stream.
func TestErrorAfterTheFirstEventIsNotForwarded(t *testing.T) {
	scripted := &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endBreak}}}
	f := newContinuationFixture(t, true, scripted)
	f.workers.run = func(ctx context.Context, number int, worker *backend.Worker, options RunOptions) (*Response, error) {
		if number > 1 {
			return wholeResponse(http.StatusNotFound, "no such thing"), nil
		}
		return scripted.run(ctx, number, worker, options)
	}
	_, body, err := f.get(t)
	if err == nil || body != events(0, 3) {
		t.Errorf("got %q, %v", body, err)
	}
}

// TestEventsOnceAndInOrder guards against events that are lost or repeated, and against two runs at work at once, whatever breaks when.
func TestEventsOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		scripted := &scriptedFleet{total: 6}
		for range rapid.IntRange(0, 3).Draw(r, "responses") {
			scripted.responses = append(scripted.responses, scriptedResponse{
				upTo: rapid.IntRange(0, 6).Draw(r, "upTo"), end: ending(rapid.IntRange(int(endWhole), int(endRefused)).Draw(r, "end")),
			})
		}
		resumable := rapid.Bool().Draw(r, "resumable")
		f := newContinuationFixture(t, resumable, scripted)
		f.handler.Table().Configuration().Rules[0].Timeout = 400 * time.Millisecond
		_, body, err := f.get(t)
		f.server.Close()
		if whole := events(0, 6); err == nil && body != whole && len(f.workers.runOptions) > 0 && strings.HasPrefix(body, "id:") {
			r.Fatalf("a stream that ended regularly has %q", body)
		}
		if strings.HasPrefix(body, "id:") && !strings.HasPrefix(events(0, 6), body) {
			r.Fatalf("got %q", body)
		}
		scripted.mu.Lock()
		defer scripted.mu.Unlock()
		if scripted.overlapped {
			r.Fatalf("two runs were at work at once")
		}
		if !resumable {
			started := 0
			for _, options := range f.workers.runOptions {
				if !options.Continue {
					started++
				}
			}
			if refused := countEndings(scripted.responses, endRefused); started > 1+refused {
				r.Fatalf("a request that may run once was started %d times, %d refused", started, refused)
			}
		}
	})
}

// countEndings counts the responses that end in a way.
func countEndings(responses []scriptedResponse, end ending) int {
	count := 0
	for _, response := range responses {
		if response.end == end {
			count++
		}
	}
	return count
}

// TestBegunStreamIsNotDeferred guards against a stream that continues behind all requests that are on time, because its first event is long
// due: its caller leaves after a short silence.
func TestBegunStreamIsNotDeferred(t *testing.T) {
	rule := &routing.Rule{Objective: 300 * time.Millisecond}
	c := &call{
		match: routing.Match{Rule: rule, Group: &routing.Group{}}, report: &Report{Arrived: time.Now().Add(-time.Second)},
		attempts: attempts{rule: rule}, request: &Request{},
	}
	if options := c.placeOptions(poison.Clear, poison.Bar{}); options.Objective != rule.Objective || options.Remaining >= 0 {
		t.Errorf("before the first event: %+v", options)
	}
	c.relay.started = true
	options := c.placeOptions(poison.Clear, poison.Bar{})
	if options.Objective != 0 || options.Remaining != 0 || options.Admission.Objective != 0 || options.Rule != rule {
		t.Errorf("after the first event: %+v", options)
	}
}
