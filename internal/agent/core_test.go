package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/samber/lo"
)

const (
	notRun  = granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
	unknown = granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN
	failed  = granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED
)

var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// harness drives one core by hand.
type harness struct {
	t       *testing.T
	core    *Core
	now     time.Time
	effects core.Effects
	// answers holds what each call got, outcomes its outcome, finished whether it was whole.
	answers  map[uint64][]string
	outcomes map[uint64]*granitebayv1.Outcome
	finished map[uint64]bool
	events   map[uint64]int
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	settings := Settings{
		Name: "agent-1", Address: "127.0.0.1:1", Zone: "a",
		Routers: []Router{
			{Name: "r1", Address: "127.0.0.1:11", Zone: "a"},
			{Name: "r2", Address: "127.0.0.1:12", Zone: "a"},
			{Name: "r3", Address: "127.0.0.1:13", Zone: "b"},
		},
	}
	if change != nil {
		change(&settings)
	}
	return &harness{
		t: t, core: New(settings, rand.New(rand.NewPCG(1, 2))), now: startTime,
		answers: map[uint64][]string{}, outcomes: map[uint64]*granitebayv1.Outcome{}, finished: map[uint64]bool{}, events: map[uint64]int{},
	}
}

func work() CallerRequest {
	return CallerRequest{Tenant: "cafe-1", Model: "m", PromptDigest: 7, PromptTokens: 10, MaxTokens: 100, Repeatable: true}
}

func (h *harness) submit(call uint64, request CallerRequest) error {
	err := h.core.Submit(h.now, call, request, &h.effects)
	h.collect()
	return err
}

// mustSubmit submits and returns the first Generate and the router that it went to.
func (h *harness) mustSubmit(call uint64, request CallerRequest) (*granitebayv1.Generate, string) {
	h.t.Helper()
	h.effects.Reset()
	if err := h.submit(call, request); err != nil {
		h.t.Fatalf("Submit: %v", err)
	}
	return h.generate()
}

// collect checks that each call gets its tokens without gaps and exactly one end.
func (h *harness) collect() {
	h.t.Helper()
	for _, event := range h.effects.Caller {
		if h.finished[event.Call] || h.outcomes[event.Call] != nil {
			h.t.Fatalf("call %d got an event after its end", event.Call)
		}
		if int(event.Offset) != len(h.answers[event.Call]) {
			h.t.Fatalf("call %d: offset %d after %d tokens", event.Call, event.Offset, len(h.answers[event.Call]))
		}
		h.answers[event.Call] = append(h.answers[event.Call], event.Tokens...)
		h.finished[event.Call] = event.Finished
		h.outcomes[event.Call] = event.Outcome
		h.events[event.Call]++
	}
	h.effects.Caller = nil
}

func (h *harness) receive(from string, envelope *granitebayv1.Envelope) {
	h.effects.Reset()
	envelope.From = &granitebayv1.Peer{Name: from, Address: from + ":1", Incarnation: 1}
	h.core.HandleEnvelope(h.now, envelope, &h.effects)
	h.collect()
}

func (h *harness) progress(from string, progress *granitebayv1.Progress) {
	h.receive(from, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Progress{Progress: progress}})
}

func (h *harness) accepted(from, id string, attempt uint32) {
	h.receive(from, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Accepted{Accepted: &granitebayv1.Accepted{RequestId: id, Attempt: attempt}}})
}

func (h *harness) outcome(from string, outcome *granitebayv1.Outcome) {
	h.receive(from, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Outcome{Outcome: outcome}})
}

// advance lets time pass, with a tick at each wake. It leaves the effects of the whole time.
func (h *harness) advance(duration time.Duration) {
	h.effects.Reset()
	until := h.now.Add(duration)
	for wake := h.core.NextWake(); !wake.IsZero() && !wake.After(until); wake = h.core.NextWake() {
		h.now = lo.Ternary(wake.After(h.now), wake, h.now)
		h.core.Tick(h.now, &h.effects)
		h.collect()
	}
	h.now = until
}

// generate returns the last Generate among the effects and its receiver.
func (h *harness) generate() (*granitebayv1.Generate, string) {
	h.t.Helper()
	sent := lo.Filter(h.effects.Messages, func(message core.Message, _ int) bool { return message.Envelope.GetGenerate() != nil })
	if len(sent) == 0 {
		h.t.Fatalf("no Generate was sent")
	}
	return lo.LastOrEmpty(sent).Envelope.GetGenerate(), lo.LastOrEmpty(sent).To
}

// cancels returns the receivers of Cancel messages.
func (h *harness) cancels() []string {
	return lo.FilterMap(h.effects.Messages, func(message core.Message, _ int) (string, bool) {
		return message.To, message.Envelope.GetCancel() != nil
	})
}

func (h *harness) decisions(kind decision.Kind) []decision.Record {
	return lo.Filter(h.effects.Decisions, func(record decision.Record, _ int) bool { return record.Kind == kind })
}

func (h *harness) wantOutcome(call uint64, kind granitebayv1.OutcomeKind) {
	h.t.Helper()
	outcome := h.outcomes[call]
	if outcome == nil {
		h.t.Fatalf("call %d has no outcome, finished %v", call, h.finished[call])
	}
	if outcome.GetKind() != kind {
		h.t.Fatalf("call %d: outcome %v (%s), want %v", call, outcome.GetKind(), outcome.GetReason(), kind)
	}
	if outcome.GetRetryAfterMillis() <= 0 || outcome.GetReason() == "" || outcome.GetStep() == "" || outcome.GetPeer() == "" {
		h.t.Fatalf("call %d: outcome lacks a field: %v", call, outcome)
	}
}

func run(engine string) *granitebayv1.RunReference {
	return &granitebayv1.RunReference{Engine: engine, EngineIncarnation: 1}
}

func tokens(prefix string, from, to int) []string {
	return lo.Map(lo.RangeFrom(from, to-from), func(i int, _ int) string { return prefix + string(rune('a'+i%26)) })
}

// piece makes a Progress. A total of zero means that the answer goes on.
func piece(id string, attempt uint32, engine string, offset int, tokens []string, total uint32) *granitebayv1.Progress {
	return &granitebayv1.Progress{
		RequestId: id, Attempt: attempt, Run: run(engine), Offset: uint32(offset), Tokens: tokens,
		Finished: total > 0, TotalTokens: total, Started: true,
	}
}
