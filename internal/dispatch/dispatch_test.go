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

func TestClaimedWorkMovesOnlyAfterTombstone(t *testing.T) {
	h := newHarness(t)
	first := h.chosen("t/01HF7YAT00000000000000000A", false)
	h.event(engine.Refused{Engine: first, Incarnation: 1, Generation: 2, RequestID: "t/01HF7YAT00000000000000000A", Refusal: engine.RefusalGeneration})
	h.event(engine.Cancelled{Engine: first, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A"})
	other := lo.Ternary(first == "engine-1", "engine-2", "engine-1")
	h.expect("claims", h.claims, []string{"t/01HF7YAT00000000000000000A=" + first, "t/01HF7YAT00000000000000000A#1=" + other})
	h.decide("t/01HF7YAT00000000000000000A#1", other, false)
	h.expect("submitted to the claimed engine", h.submits()[0].Engine, other)
}

func TestClosedEngineGetsNoSubmit(t *testing.T) {
	tests := []struct {
		desc  string
		close func(view *EngineView)
	}{
		{"draining", func(view *EngineView) { view.Generation, view.Draining = 2, true }},
		{"leaving", func(view *EngineView) { view.Leaving = true }},
		{"moved to a group that may not serve the request", func(view *EngineView) { view.Group = "other" }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness(t)
			h.generate("t/01HF7YAT00000000000000000A", false, nil)
			entry := h.core.requests["t/01HF7YAT00000000000000000A"]
			entry.policy.Groups = []string{""}
			chosen := entry.engine
			test.close(&h.core.engines[chosen].view)
			h.decide("t/01HF7YAT00000000000000000A", chosen, false)
			h.expect("no submit", len(h.submits()), 0)
			h.expect("a run through another router would be joined", h.effects.Engine[0],
				engine.Attach{Engine: chosen, ExpectedIncarnation: 1, RequestID: "t/01HF7YAT00000000000000000A"})
			h.event(engine.Refused{Engine: chosen, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Refusal: engine.RefusalUnknownRun})
			h.expect("a tombstone lets another engine be claimed", len(h.cancels()), 1)
		})
	}
}

func TestCancelledRunThatHadStartedIsNotClaimedElsewhere(t *testing.T) {
	h := newHarness(t)
	first := h.chosen("t/01HF7YAT00000000000000000A", false)
	h.event(engine.Refused{Engine: first, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Refusal: engine.RefusalCancelled})
	h.expect("the engine is asked whether the run had started", len(h.cancels()), 1)
	h.event(engine.Cancelled{Engine: first, Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Started: true})
	h.expect("outcome", h.outcomes(), []granitebayv1.OutcomeKind{failed})
	h.expect("claims", len(h.claims), 1)
}

func TestClaimDecidedForAnotherEngine(t *testing.T) {
	h := newHarness(t)
	h.generate("t/01HF7YAT00000000000000000A", false, nil)
	h.expect("nothing runs before the claim", len(h.effects.Engine), 0)
	other := lo.Ternary(h.core.requests["t/01HF7YAT00000000000000000A"].engine == "engine-1", "engine-2", "engine-1")
	h.decide("t/01HF7YAT00000000000000000A", other, false)
	h.expect("the engine of the claim gets the request", h.submits()[0].Engine, other)

	h.generate("t/01HF7YAT00000000000000000B", false, nil)
	h.decide("t/01HF7YAT00000000000000000B", "engine-9", false)
	h.expect("an engine that is not known here is only asked for a run", h.effects.Engine[0],
		engine.Attach{Engine: "engine-9", ExpectedIncarnation: 1, RequestID: "t/01HF7YAT00000000000000000B"})
}

func TestOldClaimIsNotSubmittedAgain(t *testing.T) {
	h := newHarness(t)
	h.generate("t/01HF7YAT00000000000000000A", false, nil)
	h.now = h.now.Add(time.Minute)
	h.decide("t/01HF7YAT00000000000000000A", "engine-1", false)
	h.expect("no submit to an engine that may have forgotten the run", len(h.submits()), 0)
	h.event(engine.Refused{Engine: "engine-1", Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Refusal: engine.RefusalUnknownRun})
	h.expect("outcome", h.outcomes(), []granitebayv1.OutcomeKind{unknown})
}

func TestUndecidedClaims(t *testing.T) {
	tests := []struct {
		desc     string
		proposed bool
		want     granitebayv1.OutcomeKind
	}{
		{"no acceptor was asked to accept: surely not run by this router", false, notRun},
		{"an acceptor may have accepted: another router may run it", true, unknown},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness(t)
			h.generate("t/01HF7YAT00000000000000000A", false, nil)
			h.effects.Reset()
			h.core.HandleClaimResult(h.now, claim.Result{RequestID: "t/01HF7YAT00000000000000000A", Failure: claim.FailureNoMajority, Proposed: test.proposed}, &h.effects)
			h.expect("outcome", h.outcomes(), []granitebayv1.OutcomeKind{test.want})
		})
	}
}

// An agent cancels 200 ms, or a fifth of the whole time, before the deadline. A claim that found no majority must end
// before that, while it still proves that the request was not run.
func TestClaimEndsBeforeTheAgentCancels(t *testing.T) {
	for _, test := range []struct {
		desc          string
		remaining     time.Duration
		latest, least time.Duration
	}{
		{desc: "long deadline", remaining: 10 * time.Second, latest: 9700 * time.Millisecond, least: 9 * time.Second},
		{desc: "short deadline", remaining: 300 * time.Millisecond, latest: 220 * time.Millisecond, least: 100 * time.Millisecond},
	} {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness(t)
			h.generate("t/01HF7YAT00000000000000000A", false, func(message *granitebayv1.Generate) {
				message.RemainingMillis = test.remaining.Milliseconds()
			})
			if got := h.claimDeadline.Sub(h.now); got > test.latest || got < test.least {
				t.Errorf("the claim ends after %s, want %s to %s", got, test.least, test.latest)
			}
		})
	}
}

func TestDeadlines(t *testing.T) {
	tests := []struct {
		desc       string
		repeatable bool
		answer     engine.Event
		want       []granitebayv1.OutcomeKind
	}{
		{"the engine confirms that the run did not start", true, engine.Cancelled{Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A"}, []granitebayv1.OutcomeKind{notRun}},
		{"the engine says that the run had started", true, engine.Cancelled{Incarnation: 1, RequestID: "t/01HF7YAT00000000000000000A", Started: true}, []granitebayv1.OutcomeKind{failed}},
		{"the engine restarted meanwhile: claimed work may have run", false, engine.Cancelled{Incarnation: 2, RequestID: "t/01HF7YAT00000000000000000A"}, []granitebayv1.OutcomeKind{unknown}},
		{"the engine does not answer", true, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness(t)
			chosen := h.chosen("t/01HF7YAT00000000000000000A", test.repeatable)
			h.pass(9950 * time.Millisecond)
			h.expect("cancelled shortly before the deadline", len(h.cancels()) > 0, true)
			switch answer := test.answer.(type) {
			case engine.Cancelled:
				answer.Engine = chosen
				h.event(answer)
				h.expect("outcome", h.outcomes(), test.want)
			default:
				h.pass(200 * time.Millisecond)
				h.expect("outcome at the deadline", h.outcomes(), []granitebayv1.OutcomeKind{unknown})
			}
		})
	}
}

func TestQueuedRequestIsNotRun(t *testing.T) {
	h := newHarness(t)
	h.chosen("t/01HF7YAT00000000000000000C", true)
	h.setEngines(1)
	h.setEngines(1, "engine-1", "engine-2")
	for name := range h.core.engines {
		h.core.engines[name].view.Draining = true
	}
	h.generate("t/01HF7YAT00000000000000000A", true, nil)
	h.expect("nothing submitted", len(h.submits()), 0)
	h.effects.Reset()
	h.core.HandleCancel(h.now, &granitebayv1.Cancel{RequestId: "t/01HF7YAT00000000000000000A"}, &h.effects)
	h.expect("outcome", h.outcomes(), []granitebayv1.OutcomeKind{notRun})
	h.generate("t/01HF7YAT00000000000000000A", true, nil)
	h.expect("a late repeated message gets the same outcome", h.outcomes(), []granitebayv1.OutcomeKind{notRun})
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

func TestRulesBoundRequests(t *testing.T) {
	tests := []struct {
		desc       string
		policy     Policy
		named      bool
		wantReason string
		wantWithin time.Duration
	}{
		{"a caller without a deadline gets that of the rule", Policy{DefaultDeadline: 3 * time.Second, MaximumDeadline: time.Minute}, false, "", 3 * time.Second},
		{"a named deadline is cut to the longest of the rule", Policy{DefaultDeadline: time.Second, MaximumDeadline: 4 * time.Second}, true, "", 4 * time.Second},
		{"a shorter deadline stays", Policy{MaximumDeadline: time.Minute}, true, "", 10 * time.Second},
		{"a request beyond the context of its model", Policy{MaximumContextTokens: 13}, true, "Prompt and answer take 14 tokens together; model m allows 13.", 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			h := newHarness(t)
			h.core.settings.PolicyFor = func(*granitebayv1.Work) (Policy, bool) { return test.policy, true }
			h.generate("t/01HF7YAT00000000000000000A", true, func(message *granitebayv1.Generate) { message.DeadlineNamed = test.named })
			entry := h.core.requests["t/01HF7YAT00000000000000000A"]
			h.expect("reason", entry.outcome.GetReason(), test.wantReason)
			h.expect("deadline", entry.deadline.Sub(h.now), test.wantWithin)
		})
	}
}

func TestTokensPerSecondOfATenant(t *testing.T) {
	h := newHarness(t)
	h.core.settings.PolicyFor = func(*granitebayv1.Work) (Policy, bool) { return Policy{TokensPerSecond: 7}, true }
	answers := ""
	for index := range 4 {
		h.generate(fmt.Sprintf("t/01HF7YAT0000000000000000%02d", index), true, nil)
		answers += fmt.Sprint(len(h.outcomes()))
	}
	h.expect("two requests of 14 tokens fit a burst of 35, the others are shed", answers, "0011")
	h.expect("with a time to come back", h.effects.Messages[0].Envelope.GetOutcome().GetRetryAfterMillis() >= 100, true)
	h.now = h.now.Add(5 * time.Second)
	h.generate("t/01HF7YAT000000000000000009", true, nil)
	h.expect("later there is room again", len(h.outcomes()), 0)
}

func TestLateAnswersAreGivenUpEarly(t *testing.T) {
	h := newHarness(t)
	h.generate("t/01HF7YAT00000000000000000A", true, func(message *granitebayv1.Generate) {
		message.Work.MaxTokens = 1000
		message.RemainingMillis = 1000
	})
	h.expect("outcome at once", h.outcomes(), []granitebayv1.OutcomeKind{notRun})
	h.expect("no other router is asked in vain", h.core.requests["t/01HF7YAT00000000000000000A"].outcome.GetElsewhere(), false)
}

func TestTenantsAboveTheirShareLeaveSlack(t *testing.T) {
	shares := newTenantShares()
	now := time.Unix(1_700_000_000, 0)
	give := func(tenant string, weight float64, tokens uint32) {
		shares.record(now, &request{work: &granitebayv1.Work{Tenant: tenant, MaxTokens: tokens}, policy: Policy{Weight: weight}})
	}
	give("small", 1, 10)
	give("flood", 1, 90)
	give("heavy", 9, 90)
	if got := shares.slack(now, "small"); got != 1 {
		t.Errorf("a tenant within its share has slack %v, want 1", got)
	}
	if got := shares.slack(now, "heavy"); got != 1 {
		t.Errorf("a tenant of weight 9 with 9 parts of 19 has slack %v, want 1", got)
	}
	if got := shares.slack(now, "flood"); got > 0.1 {
		t.Errorf("a tenant far above its share has slack %v, want at most 0.1", got)
	}
}

func TestFairQueue(t *testing.T) {
	entry := func(tenant string, priority int32, weight float64) *request {
		return &request{work: &granitebayv1.Work{Tenant: tenant, MaxTokens: 10}, policy: Policy{Priority: priority, Weight: weight}}
	}
	q := newFairQueue()
	for range 4 {
		q.push(entry("flood", 1, 1))
	}
	q.push(entry("small", 1, 1))
	q.push(entry("urgent", 2, 1))
	order := lo.Map(q.entries(), func(each *request, _ int) string { return each.work.GetTenant() })
	if fmt.Sprint(order) != "[urgent flood small flood flood flood]" {
		t.Fatalf("got %v", order)
	}
}
