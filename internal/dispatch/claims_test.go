package dispatch

import (
	"testing"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/engine"
)

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
