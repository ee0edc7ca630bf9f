package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// harness drives a dispatch core with two engines and notes what it asks for.
type harness struct {
	t       *testing.T
	core    *Core
	now     time.Time
	effects core.Effects
	claims  []string
	// claimDeadline is the deadline of the latest claim.
	claimDeadline time.Time
}

func (h *harness) Propose(_ time.Time, instance string, value *granitebayv1.ClaimValue, deadline time.Time, _ *core.Effects) {
	h.claimDeadline = deadline
	h.claims = append(h.claims, instance+"="+claimName(value))
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.UnixMilli(int64(ulid.MustParse("01HF7YAT00000000000000000A").Time()))}
	settings := Settings{Self: "router-1", PolicyFor: func(work *granitebayv1.Work) (Policy, bool) {
		return Policy{Rule: "all", Weight: 1, MaxQueued: 8}, work.GetLabels()["class"] != "unmatched"
	}}
	h.core = New(settings, h, rand.New(rand.NewPCG(1, 1)))
	h.setEngines(1, "engine-1", "engine-2")
	return h
}

func (h *harness) setEngines(generation uint64, names ...string) {
	views := lo.Map(names, func(name string, _ int) EngineView {
		return EngineView{
			Name: name, Incarnation: 1, Generation: generation, Ready: true, Owned: true,
			Configuration: engine.Configuration{Role: engine.RoleDecode, Model: "m"},
		}
	})
	h.core.SetEngines(h.now, views, &h.effects)
}

func (h *harness) generate(id string, repeatable bool, change func(*granitebayv1.Generate)) Admission {
	message := &granitebayv1.Generate{
		Work:            &granitebayv1.Work{RequestId: id, Tenant: "t", Model: "m", PromptTokens: 10, MaxTokens: 4, Repeatable: repeatable},
		Attempt:         1,
		RemainingMillis: 10_000,
		AgentName:       "agent-1",
	}
	if change != nil {
		change(message)
	}
	h.effects.Reset()
	return h.core.HandleGenerate(h.now, message, &h.effects)
}

func (h *harness) event(event engine.Event) {
	h.effects.Reset()
	h.core.HandleEngineEvent(h.now, event, &h.effects)
}

func (h *harness) pass(duration time.Duration) {
	h.effects.Reset()
	for end := h.now.Add(duration); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.core.Tick(h.now, &h.effects)
	}
}

func (h *harness) submits() []engine.Submit {
	return lo.FilterMap(h.effects.Engine, func(command engine.Command, _ int) (engine.Submit, bool) {
		submit, ok := command.(engine.Submit)
		return submit, ok
	})
}

func (h *harness) cancels() []engine.Cancel {
	return lo.FilterMap(h.effects.Engine, func(command engine.Command, _ int) (engine.Cancel, bool) {
		cancel, ok := command.(engine.Cancel)
		return cancel, ok
	})
}

func (h *harness) outcomes() []granitebayv1.OutcomeKind {
	return lo.FilterMap(h.effects.Messages, func(message core.Message, _ int) (granitebayv1.OutcomeKind, bool) {
		outcome := message.Envelope.GetOutcome()
		return outcome.GetKind(), outcome != nil
	})
}

func (h *harness) tokens() []string {
	return lo.FlatMap(h.effects.Messages, func(message core.Message, _ int) []string {
		return message.Envelope.GetProgress().GetTokens()
	})
}

func (h *harness) expect(desc string, got, want any) {
	h.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		h.t.Fatalf("%s: got %v, want %v", desc, got, want)
	}
}

// chosen submits a request and returns the engine that got it.
func (h *harness) chosen(id string, repeatable bool) string {
	h.t.Helper()
	h.generate(id, repeatable, nil)
	if !repeatable {
		h.decide(id, h.core.requests[id].engine, false)
	}
	h.expect("submits", len(h.submits()), 1)
	return h.submits()[0].Engine
}

// decide ends a claim.
func (h *harness) decide(instance, engineName string, withdrawn bool) {
	h.effects.Reset()
	value := &granitebayv1.ClaimValue{Engine: engineName, EngineIncarnation: 1, Withdrawn: withdrawn}
	h.core.HandleClaimResult(h.now, claim.Result{RequestID: instance, Decided: true, Value: value}, &h.effects)
}

const (
	notRun  = granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
	unknown = granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN
	failed  = granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED
)

func TestAnswerIsRelayedAndKept(t *testing.T) {
	h := newHarness(t)
	chosen := h.chosen("t/01HF7YAT00000000000000000A", true)
	h.event(engine.Tokens{Engine: chosen, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Offset: 0, Tokens: []string{"w", "x"}})
	h.event(engine.Tokens{Engine: chosen, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Offset: 1, Tokens: []string{"x", "y", "z"}, Finished: true, Total: 4})
	h.expect("tokens after an overlap", h.tokens(), []string{"y", "z"})
	h.generate("t/01HF7YAT00000000000000000A", true, func(message *granitebayv1.Generate) { message.Attempt = 2 })
	h.expect("a repeated message gets the kept answer", h.tokens(), []string{"w", "x", "y", "z"})
	h.expect("and starts nothing", len(h.effects.Engine), 0)
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		desc       string
		refusal    engine.Refusal
		repeatable bool
		wantSubmit bool
		wantCancel bool
	}{
		{"repeatable work leaves an engine of another generation", engine.RefusalGeneration, true, true, false},
		{"repeatable work leaves a full engine", engine.RefusalFull, true, true, false},
		{"repeatable work leaves a restarted engine", engine.RefusalIncarnation, true, true, false},
		{"claimed work gets a tombstone before another engine is claimed", engine.RefusalGeneration, false, false, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness(t)
			first := h.chosen("t/01HF7YAT00000000000000000A", test.repeatable)
			h.event(engine.Refused{Engine: first, Incarnation: 1, Generation: 2, RequestID: "t/01HF7YAT00000000000000000A", Refusal: test.refusal})
			h.expect("submitted again", len(h.submits()) == 1, test.wantSubmit)
			h.expect("cancelled", len(h.cancels()) == 1, test.wantCancel)
			if test.wantSubmit && test.refusal != engine.RefusalIncarnation {
				h.expect("elsewhere", h.submits()[0].Engine != first, true)
			}
		})
	}
}

func TestTombstonedEnginesAreNotAskedAgain(t *testing.T) {
	h := newHarness(t)
	first := h.chosen("t/01HF7YAT00000000000000000A", true)
	h.event(engine.Refused{Engine: first, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Refusal: engine.RefusalCancelled})
	second := h.submits()[0].Engine
	h.expect("another engine is asked", second != first, true)
	h.event(engine.Refused{Engine: second, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Refusal: engine.RefusalCancelled})
	h.expect("nothing more is submitted", len(h.submits()), 0)
	h.expect("outcome", h.outcomes(), []granitebayv1.OutcomeKind{notRun})
	h.expect("another owner may have an engine without tombstone", h.core.requests["t/01HF7YAT00000000000000000A"].outcome.GetElsewhere(), true)
}

func TestUnansweredSubmitAtClosedEngineIsLookedFor(t *testing.T) {
	h := newHarness(t)
	chosen := h.chosen("t/01HF7YAT00000000000000000A", true)
	h.core.engines[chosen].view.Leaving = true
	h.pass(1100 * time.Millisecond)
	h.expect("the run is looked for where it may be", h.effects.Engine[0],
		engine.Attach{Engine: chosen, ExpectedIncarnation: 1, RequestID: "t/01HF7YAT00000000000000000A"})
}

func TestRequestMovesOnWhenNoEngineIsLeft(t *testing.T) {
	h := newHarness(t)
	chosen := h.chosen("t/01HF7YAT00000000000000000A", true)
	for name := range h.core.engines {
		h.core.engines[name].view.Owned = false
	}
	h.event(engine.Refused{Engine: chosen, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Refusal: engine.RefusalChanging})
	moved := lo.CountBy(h.effects.Messages, func(message core.Message) bool { return message.Envelope.GetMoved() != nil })
	h.expect("moved", moved, 1)
}

func TestRefusedRequestDoesNotGoRoundWithoutPause(t *testing.T) {
	h := newHarness(t)
	h.chosen("t/01HF7YAT00000000000000000A", true)
	submits := 0
	for range 100 {
		asked := h.core.requests["t/01HF7YAT00000000000000000A"].engine
		h.event(engine.Refused{Engine: asked, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Refusal: engine.RefusalUnknownRun})
		submits += len(h.submits())
	}
	h.expect("submits without a pause", submits, returnsWithoutDelay)
}

func TestRefusalOfAnEarlierAttemptProvesNothingOfALaterOne(t *testing.T) {
	h := newHarness(t)
	h.generate("t/01HF7YAT00000000000000000A", false, func(message *granitebayv1.Generate) { message.RemainingMillis = 1 })
	h.expect("the first attempt is refused", h.outcomes(), []granitebayv1.OutcomeKind{notRun})
	h.effects.Reset()
	h.core.HandleCancel(h.now, &granitebayv1.Cancel{RequestId: "t/01HF7YAT00000000000000000A", Attempt: 2, AgentName: "agent-1"}, &h.effects)
	h.expect("nothing is said of the second", len(h.outcomes()), 0)
	h.expect("the claim is to tell", h.claims, []string{"t/01HF7YAT00000000000000000A=withdrawn"})
}

func TestCancelOfAnotherAgentStopsNothing(t *testing.T) {
	h := newHarness(t)
	h.chosen("t/01HF7YAT00000000000000000A", true)
	h.generate("t/01HF7YAT00000000000000000A", true, func(message *granitebayv1.Generate) { message.AgentName = "agent-2" })
	h.effects.Reset()
	h.core.HandleCancel(h.now, &granitebayv1.Cancel{RequestId: "t/01HF7YAT00000000000000000A", AgentName: "agent-1"}, &h.effects)
	h.expect("the run goes on for the newer agent", len(h.cancels()), 0)
	h.core.HandleCancel(h.now, &granitebayv1.Cancel{RequestId: "t/01HF7YAT00000000000000000A", AgentName: "agent-2"}, &h.effects)
	h.expect("its own cancel stops it", len(h.cancels()), 1)
}

func TestUnreachableEngine(t *testing.T) {
	h := newHarness(t)
	first := h.chosen("t/01HF7YAT00000000000000000A", true)
	h.event(engine.Tokens{Engine: first, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Tokens: []string{"w"}})
	for range 3 {
		h.event(engine.Unreachable{Engine: first, RequestID: "t/01HF7YAT00000000000000000A", Reason: "broken"})
	}
	h.expect("goes on at the other engine", len(h.submits()), 1)
	h.expect("from the token that is there", h.submits()[0].ContinueFrom, 1)

	claimed := h.chosen("t/01HF7YAT00000000000000000B", false)
	for range 9 {
		h.event(engine.Unreachable{Engine: claimed, RequestID: "t/01HF7YAT00000000000000000B", Reason: "broken"})
	}
	h.expect("claimed work never starts a second run", len(h.submits()), 0)
}

func TestRestartedEngineEndsItsRuns(t *testing.T) {
	tests := []struct {
		desc       string
		repeatable bool
		want       string
	}{
		{"repeatable work goes on", true, "submits 1 outcomes []"},
		{"other work is told at once", false, "submits 0 outcomes [OUTCOME_KIND_FAILED]"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness(t)
			chosen := h.chosen("t/01HF7YAT00000000000000000A", test.repeatable)
			h.event(engine.Tokens{Engine: chosen, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Tokens: []string{"w"}})
			h.effects.Reset()
			views := lo.Map(h.core.names, func(name string, _ int) EngineView {
				view := h.core.engines[name].view
				view.Incarnation = lo.Ternary[uint64](name == chosen, 2, 1)
				return view
			})
			h.core.SetEngines(h.now, views, &h.effects)
			h.expect("effects", fmt.Sprintf("submits %d outcomes %v", len(h.submits()), h.outcomes()), test.want)
		})
	}
}

func TestHoldAfterPause(t *testing.T) {
	h := newHarness(t)
	h.core.Hold(h.now.Add(time.Second))
	h.generate("t/01HF7YAT00000000000000000A", true, nil)
	h.generate("t/01HF7YAT00000000000000000B", false, nil)
	h.expect("nothing goes to an engine", len(h.effects.Engine), 0)
	h.pass(1100 * time.Millisecond)
	h.expect("the work goes out afterwards", len(h.submits())+len(h.claims), 2)
}

func TestStopMovesRequests(t *testing.T) {
	h := newHarness(t)
	h.chosen("t/01HF7YAT00000000000000000A", true)
	h.effects.Reset()
	h.core.Stop(h.now, &h.effects)
	moved := lo.CountBy(h.effects.Messages, func(message core.Message) bool { return message.Envelope.GetMoved() != nil })
	h.expect("moved", moved, 1)
	h.expect("active", h.core.Active(), 0)
	h.generate("t/01HF7YAT00000000000000000B", true, nil)
	h.expect("new work is sent elsewhere", h.effects.Messages[0].Envelope.GetOutcome().GetElsewhere(), true)
}

func TestResumeAtOffset(t *testing.T) {
	h := newHarness(t)
	h.generate("t/01HF7YAT00000000000000000A", false, func(message *granitebayv1.Generate) {
		message.ResumeOffset = 2
		message.Run = &granitebayv1.RunReference{Engine: "engine-2", EngineIncarnation: 1}
	})
	h.expect("attached", h.effects.Engine[0], engine.Attach{Engine: "engine-2", ExpectedIncarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", StreamOffset: 2})
	h.event(engine.Tokens{Engine: "engine-2", Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Offset: 2, Tokens: []string{"y", "z"}, Finished: true, Total: 4})
	h.expect("only the rest is sent", h.tokens(), []string{"y", "z"})

	h.generate("t/01HF7YAT00000000000000000A", false, func(message *granitebayv1.Generate) { message.AgentName = "agent-2" })
	h.expect("another agent that has nothing gets the whole answer from the engine", h.effects.Engine[0],
		engine.Attach{Engine: "engine-2", ExpectedIncarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", StreamOffset: 0})
}
