package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

func TestOrderObeysTheFence(t *testing.T) {
	decode, prefill := configuration(engine.RoleDecode), configuration(engine.RolePrefill)
	reordered := configuration(engine.RoleDecode)
	reordered.Adapters = []string{"dock", "mill"}
	wrongIncarnation := order(9, 9, decode)
	wrongIncarnation.ExpectedIncarnation--
	tests := []struct {
		desc    string
		order   engine.Order
		refusal engine.Refusal
		// changing tells whether the engine goes out of service.
		changing bool
	}{
		{"same fence and content", order(5, 5, decode), "", false},
		{"same content in another order of adapters", order(5, 5, reordered), "", false},
		{"same fence, other content", order(5, 5, prefill), engine.RefusalConflict, false},
		{"higher epoch, other content of the generation", order(6, 5, prefill), engine.RefusalConflict, false},
		{"higher epoch, same content", order(6, 5, decode), "", false},
		{"lower epoch", order(4, 6, decode), engine.RefusalEpoch, false},
		{"lower generation", order(6, 4, decode), engine.RefusalGeneration, false},
		{"higher generation, same content", order(5, 6, decode), "", false},
		{"higher generation, other content", order(5, 6, prefill), "", true},
		{"other incarnation", wrongIncarnation, engine.RefusalIncarnation, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := newBench(nil)
			b.do(order(5, 5, decode))
			got := only[engine.OrderResult](t, b.do(test.order))
			want := engine.Fence{Epoch: 5, Generation: 5}
			if test.refusal == "" {
				want = test.order.Fence
			}
			if got.Accepted != (test.refusal == "") || got.Refusal != test.refusal || got.Current != want || got.Fence != test.order.Fence {
				t.Fatalf("got %+v, want refusal %q and fence %v", got, test.refusal, want)
			}
			b.wait(2 * time.Second)
			if status := b.Status(b.now); status.Changing != test.changing || status.Fence != want {
				t.Fatalf("got status %+v", status)
			}
		})
	}
}

func TestChangeTakesTheEngineOut(t *testing.T) {
	other := func(change func(*engine.Configuration)) engine.Configuration {
		c := configuration(engine.RoleDecode)
		change(&c)
		return c
	}
	tests := []struct {
		desc    string
		content engine.Configuration
		want    time.Duration
	}{
		{"role", other(func(c *engine.Configuration) { c.Role = engine.RolePrefill }), 4 * time.Second},
		{"version", other(func(c *engine.Configuration) { c.ModelVersion = "2" }), 20 * time.Second},
		{"adapters", other(func(c *engine.Configuration) { c.Adapters = nil }), 20 * time.Second},
		{"role and version", other(func(c *engine.Configuration) { c.Role, c.ModelVersion = engine.RolePrefill, "2" }), 20 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := newBench(nil)
			b.do(order(1, 1, test.content))
			request := submit("r", 10, 1)
			request.ExpectedGeneration = 1
			b.wait(test.want - time.Nanosecond)
			if got := only[engine.Refused](t, b.do(request)); got.Refusal != engine.RefusalChanging {
				t.Fatalf("got %+v", got)
			}
			b.wait(time.Nanosecond)
			if events := b.do(request); len(events) != 0 {
				t.Fatalf("got %+v", events)
			}
		})
	}
}

func TestChangeCutsRunsAndRefusesWaitingOnes(t *testing.T) {
	b := newBench(func(s *Settings) { s.Decode.Slots = 1 })
	b.do(submit("running", 10, 1000))
	b.do(submit("waiting", 10, 1000))
	b.wait(2 * time.Second)
	events := b.do(order(1, 1, configuration(engine.RolePrefill)))
	if len(events) != 3 {
		t.Fatalf("got %+v", events)
	}
	cut := events[0].(engine.Tokens)
	if cut.RequestID != "running" || cut.Error == "" || cut.Finished {
		t.Fatalf("got %+v", cut)
	}
	if refused := events[1].(engine.Refused); refused.RequestID != "waiting" || refused.Refusal != engine.RefusalChanging {
		t.Fatalf("got %+v", refused)
	}
	b.wait(10 * time.Second)
	b.wantLines(t, "0s start running", "2s order {1 1} true ", "2s cut running by change")
	attach := engine.Attach{ExpectedIncarnation: testIncarnation, RequestID: "running"}
	again := only[engine.Tokens](t, b.do(attach))
	if again.Error == "" || uint32(len(again.Tokens)) != cut.Offset+uint32(len(cut.Tokens)) {
		t.Fatalf("got %+v, want the %d tokens before the cut", again, cut.Offset)
	}
}

func TestEqualOrderCutsNothing(t *testing.T) {
	b := newBench(nil)
	b.do(submit("r", 10, 20))
	b.do(order(1, 1, configuration(engine.RoleDecode)))
	b.wait(time.Minute)
	if b.at["r"] == 0 {
		t.Fatalf("the run did not finish: %q", b.lines)
	}
}

func TestEngineCanCrashDuringAChange(t *testing.T) {
	b := newBench(func(s *Settings) { s.CrashDuringChangeProbability = 1 })
	b.do(order(1, 1, configuration(engine.RolePrefill)))
	if b.Crashed() {
		t.Fatal("crashed before the change began")
	}
	b.wait(4 * time.Second)
	if !b.Crashed() {
		t.Fatal("did not crash")
	}
	if events := b.do(engine.Probe{}); len(events) != 0 || !b.NextWake().IsZero() {
		t.Fatalf("a crashed engine answered %+v", events)
	}
}

func TestKillCutsRuns(t *testing.T) {
	b := newBench(nil)
	b.do(submit("r", 10, 1000))
	b.wait(time.Second)
	b.Kill(b.now)
	b.wait(time.Minute)
	b.wantLines(t, "0s start r", "1s cut r by crash")
}

func TestLoadReportLags(t *testing.T) {
	b := newBench(nil)
	b.now = b.now.Add(100 * time.Millisecond)
	b.do(submit("r", 10, 1000))
	b.do(order(1, 1, configuration(engine.RoleDecode)))
	tests := []struct {
		at   time.Duration
		asOf time.Duration
		want string
	}{
		{1400 * time.Millisecond, 0, "0 running, generation 0"},
		{1500 * time.Millisecond, time.Second, "1 running, generation 1"},
		{2400 * time.Millisecond, time.Second, "1 running, generation 1"},
		{2500 * time.Millisecond, 2 * time.Second, "1 running, generation 1"},
		{time.Hour, time.Hour - time.Second, "0 running, generation 1"},
	}
	for _, test := range tests {
		b.wait(testStart.Add(test.at).Sub(b.now))
		status := only[engine.Status](t, b.do(engine.Probe{}))
		got := fmt.Sprintf("%d running, generation %d", status.Running, status.Fence.Generation)
		if asOf := status.AsOf.Sub(testStart); asOf != test.asOf || got != test.want {
			t.Fatalf("at %s: got %s as of %s, want %s as of %s", test.at, got, asOf, test.want, test.asOf)
		}
	}
}
