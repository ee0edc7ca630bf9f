package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/engine"
)

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
