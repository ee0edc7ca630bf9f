package enginemodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

const (
	testModel       = "roast"
	testIncarnation = 7
	testClient      = "router-a-1"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recorder writes down what an engine did.
type recorder struct {
	lines []string
	// at is when each request finished.
	at map[string]time.Duration
}

func (r *recorder) add(now time.Time, format string, arguments ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%s %s", now.Sub(testStart), fmt.Sprintf(format, arguments...)))
}

func (r *recorder) RunStarted(now time.Time, run RunRecord) { r.add(now, "start %s", run.RequestID) }

func (r *recorder) RunFinished(now time.Time, run RunRecord) {
	r.add(now, "finish %s", run.RequestID)
	r.at[run.RequestID] = now.Sub(testStart)
}

func (r *recorder) RunCut(now time.Time, run RunRecord, cause CutCause) {
	r.add(now, "cut %s by %s", run.RequestID, cause)
}

func (r *recorder) OrderHandled(now time.Time, order engine.Order, accepted bool, refusal engine.Refusal) {
	r.add(now, "order %v %t %s", order.Fence, accepted, refusal)
}

// bench is an engine under test and its clock.
type bench struct {
	*Model
	*recorder
	now time.Time
}

func newBench(change func(*Settings)) *bench {
	b := &bench{recorder: &recorder{at: make(map[string]time.Duration)}, now: testStart}
	settings := DefaultSettings("engine-a-1", testIncarnation)
	settings.Start = testStart
	settings.Observer = b.recorder
	settings.InitialConfiguration = configuration(engine.RoleDecode)
	if change != nil {
		change(&settings)
	}
	b.Model = New(settings, rand.New(rand.NewPCG(1, 2)))
	return b
}

func configuration(role engine.Role) engine.Configuration {
	return engine.Configuration{Role: role, Model: testModel, ModelVersion: "1", Adapters: []string{"mill", "dock"}}
}

func (b *bench) do(command engine.Command) []engine.Event {
	b.Handle(b.now, testClient, command)
	return b.take()
}

// wait lets time pass and returns the events of all clients.
func (b *bench) wait(duration time.Duration) []engine.Event {
	b.now = b.now.Add(duration)
	b.Tick(b.now)
	return b.take()
}

func (b *bench) take() []engine.Event {
	var events []engine.Event
	for _, event := range b.TakeEvents() {
		events = append(events, event.Event)
	}
	return events
}

func submit(requestID string, promptTokens, maxTokens uint32) engine.Submit {
	return engine.Submit{
		Engine: "engine-a-1", ExpectedIncarnation: testIncarnation, RequestID: requestID, Model: testModel,
		PromptDigest: engine.PromptDigest(testModel, "", requestID), PromptTokens: promptTokens, MaxTokens: maxTokens,
	}
}

func order(epoch, generation uint64, content engine.Configuration) engine.Order {
	return engine.Order{
		ExpectedIncarnation: testIncarnation,
		Fence:               engine.Fence{Epoch: epoch, Generation: generation},
		Configuration:       content,
	}
}

// only returns the one event of its kind.
func only[T engine.Event](t *testing.T, events []engine.Event) T {
	t.Helper()
	if len(events) != 1 {
		t.Fatalf("got %d events %+v, want one", len(events), events)
	}
	event, ok := events[0].(T)
	if !ok {
		t.Fatalf("got %T %+v, want %T", events[0], events[0], event)
	}
	return event
}

func (b *bench) wantLines(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(b.lines) != fmt.Sprint(want) {
		t.Fatalf("observed\n%q, want\n%q", b.lines, want)
	}
}

func TestTimesOfARun(t *testing.T) {
	profile := RoleProfile{Slots: 2, PrefillTokensPerSecond: 1000, ChunkTokens: 100, StepBase: 10 * time.Millisecond, StepPerRun: time.Millisecond}
	blocks := []uint64{1, 2}
	tests := []struct {
		desc    string
		prepare func(*bench)
		submit  engine.Submit
		// want is the time from the submit to the end.
		want time.Duration
	}{
		{"one whole chunk and three decode steps", nil, submit("r", 100, 4), 110*time.Millisecond + 3*11*time.Millisecond},
		{"chunks and a rest", nil, submit("r", 250, 1), 2*110*time.Millisecond + 60*time.Millisecond},
		{"no prompt still takes a token", nil, submit("r", 0, 1), 11 * time.Millisecond},
		{"prior tokens are read, not produced", nil, func() engine.Submit {
			s := submit("r", 100, 54)
			s.ContinueFrom = 50
			return s
		}(), 110*time.Millisecond + 60*time.Millisecond + 3*11*time.Millisecond},
		{"everything was produced before", nil, func() engine.Submit {
			s := submit("r", 100, 50)
			s.ContinueFrom = 50
			return s
		}(), 0},
		{"cached blocks are not read again", func(b *bench) {
			first := submit("first", 600, 1)
			first.PrefixBlocks = blocks
			b.do(first)
			b.wait(time.Hour)
		}, func() engine.Submit {
			s := submit("r", 612, 1)
			s.PrefixBlocks = blocks
			return s
		}(), 110 * time.Millisecond},
		{"a decoding run gains a token with each chunk, and slows it", func(b *bench) {
			b.do(submit("first", 100, 1000))
			b.wait(111 * time.Millisecond) // in the middle of a step
		}, submit("r", 200, 1), 10*time.Millisecond + 2*111*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := newBench(func(s *Settings) { s.Decode = profile })
			if test.prepare != nil {
				test.prepare(b)
			}
			begin := b.now
			b.do(test.submit)
			b.wait(time.Hour)
			if got := b.at["r"] - begin.Sub(testStart); got != test.want {
				t.Fatalf("took %s, want %s", got, test.want)
			}
		})
	}
}

func TestSubmitIsRefused(t *testing.T) {
	tests := []struct {
		desc    string
		prepare func(*bench)
		change  func(*engine.Submit)
		want    engine.Refusal
	}{
		{"incarnation", nil, func(s *engine.Submit) { s.ExpectedIncarnation++ }, engine.RefusalIncarnation},
		{"later generation", nil, func(s *engine.Submit) { s.ExpectedGeneration++ }, engine.RefusalGeneration},
		{"drained generation", func(b *bench) { b.do(order(1, 1, configuration(engine.RoleDecode))) }, nil, engine.RefusalGeneration},
		{"changing", func(b *bench) { b.do(order(1, 1, configuration(engine.RolePrefill))) }, nil, engine.RefusalChanging},
		{"model", nil, func(s *engine.Submit) { s.Model = "grind" }, engine.RefusalModel},
		{"adapter", nil, func(s *engine.Submit) { s.Adapter = "grind" }, engine.RefusalModel},
		{"memory", nil, func(s *engine.Submit) { s.MaxTokens = 200_000 }, engine.RefusalTooLong},
		{"cancelled", func(b *bench) { b.do(engine.Cancel{RequestID: "r"}) }, nil, engine.RefusalCancelled},
		{"full", func(b *bench) {
			for i := range 3 {
				b.do(submit(fmt.Sprint(i), 10, 1000))
			}
		}, nil, engine.RefusalFull},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := newBench(func(s *Settings) { s.MaxWaiting, s.Decode.Slots = 1, 2 })
			if test.prepare != nil {
				test.prepare(b)
			}
			request := submit("r", 10, 10)
			if test.change != nil {
				test.change(&request)
			}
			refused := only[engine.Refused](t, b.do(request))
			if refused.Refusal != test.want || refused.RequestID != "r" {
				t.Fatalf("got %+v, want %s", refused, test.want)
			}
			b.wait(time.Hour)
			if _, finished := b.at["r"]; finished {
				t.Fatal("a refused request ran")
			}
		})
	}
}

func TestPriorityRunsEarlier(t *testing.T) {
	b := newBench(func(s *Settings) { s.Decode.Slots = 1 })
	b.do(submit("running", 10, 10))
	for i, priority := range []int32{0, 5, 0, 5, -1} {
		request := submit(fmt.Sprintf("%d/%d", priority, i), 10, 1)
		request.Priority = priority
		b.do(request)
	}
	b.wait(time.Hour)
	for _, pair := range [][2]string{{"running", "5/1"}, {"5/1", "5/3"}, {"5/3", "0/0"}, {"0/0", "0/2"}, {"0/2", "-1/4"}} {
		if b.at[pair[0]] == 0 || b.at[pair[0]] >= b.at[pair[1]] {
			t.Fatalf("%s finished at %s, %s at %s", pair[0], b.at[pair[0]], pair[1], b.at[pair[1]])
		}
	}
}

func TestCancelLeavesATombstone(t *testing.T) {
	tests := []struct {
		desc    string
		prepare func(*bench)
		started bool
	}{
		{"unknown", func(*bench) {}, false},
		{"waiting", func(b *bench) { b.do(submit("other", 10, 1000)); b.do(submit("r", 10, 10)) }, false},
		{"running", func(b *bench) { b.do(submit("r", 10, 1000)) }, true},
		{"finished", func(b *bench) { b.do(submit("r", 10, 1)); b.wait(time.Second) }, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := newBench(func(s *Settings) { s.Decode.Slots = 1 })
			test.prepare(b)
			for range 2 {
				if got := only[engine.Cancelled](t, b.do(engine.Cancel{RequestID: "r"})); got.Started != test.started {
					t.Fatalf("started is %t, want %t", got.Started, test.started)
				}
				b.wait(time.Minute)
			}
			b.wait(9*time.Minute - time.Second)
			attach := engine.Attach{ExpectedIncarnation: testIncarnation, RequestID: "r"}
			if got := only[engine.Refused](t, b.do(attach)); got.Refusal != engine.RefusalCancelled {
				t.Fatalf("got %+v before the tombstone is forgotten", got)
			}
			b.wait(2 * time.Second)
			if got := only[engine.Refused](t, b.do(attach)); got.Refusal != engine.RefusalUnknownRun {
				t.Fatalf("got %+v after the tombstone is forgotten", got)
			}
		})
	}
}

func TestNewestClientGetsTheStream(t *testing.T) {
	b := newBench(nil)
	b.do(submit("r", 10, 100))
	b.wait(500 * time.Millisecond)
	b.Handle(b.now, "router-b-1", engine.Attach{ExpectedIncarnation: testIncarnation, RequestID: "r", StreamOffset: 5})
	b.Tick(b.now.Add(time.Hour))
	offset := uint32(5)
	for _, event := range b.TakeEvents() {
		tokens := event.Event.(engine.Tokens)
		if event.Client != "router-b-1" || tokens.Offset != offset {
			t.Fatalf("got %+v, want offset %d", event, offset)
		}
		offset += uint32(len(tokens.Tokens))
	}
	if offset != 100 {
		t.Fatalf("the stream ended at %d", offset)
	}
}

func TestTokensComeInTime(t *testing.T) {
	const step = 16 * time.Millisecond
	tests := []struct {
		desc     string
		interval int
		// want is the number of tokens that were sent after each step.
		want []uint32
	}{
		{"each step", 1, []uint32{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}},
		{"every fourth step, and at once the first and the last", 4, []uint32{1, 1, 1, 4, 4, 4, 4, 8, 8, 10}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := newBench(func(s *Settings) {
				s.TokenEventInterval = test.interval
				s.Decode = RoleProfile{Slots: 2, PrefillTokensPerSecond: 1e12, ChunkTokens: 100, StepBase: step}
			})
			b.do(submit("r", 1, 10))
			sent := uint32(0)
			for i, want := range test.want {
				for _, event := range b.wait(step) {
					sent += uint32(len(event.(engine.Tokens).Tokens))
				}
				if sent != want {
					t.Fatalf("%d tokens after step %d, want %d", sent, i+1, want)
				}
			}
		})
	}
}

func TestFinishedAnswerIsKeptForAWhile(t *testing.T) {
	b := newBench(nil)
	b.do(submit("r", 10, 20))
	b.wait(30 * time.Second)
	if got := only[engine.Tokens](t, b.do(submit("r", 10, 20))); len(got.Tokens) != 20 || !got.Finished {
		t.Fatalf("got %+v", got)
	}
	b.wait(time.Minute)
	attach := engine.Attach{ExpectedIncarnation: testIncarnation, RequestID: "r"}
	if got := only[engine.Refused](t, b.do(attach)); got.Refusal != engine.RefusalUnknownRun {
		t.Fatalf("got %+v", got)
	}
}
