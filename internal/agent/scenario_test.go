package agent

import (
	"slices"
	"testing"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

func TestAnswerIsDeliveredInOrder(t *testing.T) {
	want := tokens("t", 0, 6)
	cases := []struct {
		desc   string
		pieces [][2]int
	}{
		{"in order", [][2]int{{0, 2}, {2, 4}, {4, 6}}},
		{"reversed", [][2]int{{4, 6}, {2, 4}, {0, 2}}},
		{"doubled and overlapping", [][2]int{{0, 2}, {0, 2}, {1, 4}, {0, 4}, {3, 6}}},
		{"all at once", [][2]int{{0, 6}}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			h := newHarness(t, nil)
			sent, _ := h.mustSubmit(1, work())
			for _, p := range c.pieces {
				total := uint32(0)
				if p[1] == len(want) {
					total = uint32(len(want))
				}
				h.progress("r9", piece(sent.Work.RequestId, 1, "e1", p[0], want[p[0]:p[1]], total))
			}
			if !h.finished[1] || !slices.Equal(h.answers[1], want) {
				t.Fatalf("finished %v, got %v", h.finished[1], h.answers[1])
			}
			last := h.effects.Messages[len(h.effects.Messages)-1]
			if done := last.Envelope.GetProgressed(); last.To != "r9" || !done.GetFinished() || done.GetOffset() != 6 {
				t.Fatalf("no acknowledgement to the owner: %v", h.effects.Messages)
			}
			if h.core.Active() != 0 || !h.core.NextWake().IsZero() {
				t.Fatalf("the request still lives")
			}
		})
	}
}

func TestRetries(t *testing.T) {
	cases := []struct {
		desc string
		// happens after two tokens came from the owner r9, or before anything came.
		tokens  bool
		happens func(h *harness, id, router string)
		// sameRouter is whether the next attempt goes to the same router.
		sameRouter bool
	}{
		{"the first router never answers", false, func(h *harness, _, _ string) { h.advance(1100 * time.Millisecond) }, false},
		{"the first router is unreachable", false, func(h *harness, _, router string) {
			h.core.HandlePeerUnreachable(h.now, router, &h.effects)
		}, false},
		{"the owner falls silent", true, func(h *harness, _, _ string) { h.advance(1100 * time.Millisecond) }, false},
		{"the owner is unreachable", true, func(h *harness, _, _ string) {
			h.core.HandlePeerUnreachable(h.now, "r9", &h.effects)
		}, false},
		{"the owner moves the request", true, func(h *harness, id, _ string) {
			h.receive("r9", &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Moved{Moved: &granitebayv1.Moved{RequestId: id, Attempt: 1, Run: run("e1")}}})
		}, false},
		{"the router says elsewhere", false, func(h *harness, id, router string) {
			h.outcome(router, &granitebayv1.Outcome{RequestId: id, Attempt: 1, Kind: notRun, Elsewhere: true, Reason: "Leaving."})
			h.advance(50 * time.Millisecond)
		}, false},
		{"a gap that stays", true, func(h *harness, id, _ string) {
			h.progress("r9", piece(id, 1, "e1", 5, []string{"x"}, 0))
			h.advance(100 * time.Millisecond)
			if missing := h.effects.Messages[0].Envelope.GetProgressed(); !missing.GetMissing() || missing.GetOffset() != 2 {
				h.t.Fatalf("the gap was not named: %v", h.effects.Messages)
			}
			h.advance(200 * time.Millisecond)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			h := newHarness(t, nil)
			first, router := h.mustSubmit(1, work())
			id := first.Work.RequestId
			if c.tokens {
				h.progress("r9", piece(id, 1, "e1", 0, tokens("t", 0, 2), 0))
			}
			h.effects.Reset()
			c.happens(h, id, router)
			second, other := h.generate()
			if second.Attempt != 2 || (other == router) != c.sameRouter || second.Work.RequestId != id {
				t.Fatalf("attempt %d to %s after %s", second.Attempt, other, router)
			}
			if c.tokens && (second.ResumeOffset != 2 || len(second.PriorTokens) != 2 || second.Run.GetEngine() != "e1" || !second.MaySwitchEngine) {
				t.Fatalf("the retry does not resume: %v", second)
			}
			if len(h.decisions(decision.KindRetry)) != 1 {
				t.Fatalf("want one retry decision, got %v", h.effects.Decisions)
			}
		})
	}
}

func TestZoneFirst(t *testing.T) {
	h := newHarness(t, nil)
	for call := uint64(1); call <= 20; call++ {
		if _, router := h.mustSubmit(call, work()); router == "r3" {
			t.Fatalf("call %d went to another zone", call)
		}
	}
	h.core.HandlePeerUnreachable(h.now, "r1", &h.effects)
	h.core.HandlePeerUnreachable(h.now, "r2", &h.effects)
	if _, router := h.mustSubmit(21, work()); router != "r3" {
		t.Fatalf("went to %s, which just failed", router)
	}
}

func TestWorkThatMayNotBeRepeated(t *testing.T) {
	h := newHarness(t, nil)
	request := work()
	request.Repeatable = false
	sent, _ := h.mustSubmit(1, request)
	id := sent.Work.RequestId
	h.progress("r9", piece(id, 1, "e1", 0, tokens("t", 0, 2), 0))
	h.advance(1100 * time.Millisecond)
	second, _ := h.generate()
	if second.MaySwitchEngine || len(second.PriorTokens) != 0 || second.ResumeOffset != 2 {
		t.Fatalf("the retry may start a second run: %v", second)
	}
	// A token of the same run under the older attempt fits.
	h.progress("r9", piece(id, 1, "e1", 2, tokens("t", 2, 3), 0))
	if len(h.answers[1]) != 3 {
		t.Fatalf("a late token of the only run was dropped")
	}
	// Another run must not exist.
	h.progress("r8", piece(id, 2, "e2", 3, tokens("u", 3, 4), 0))
	h.wantOutcome(1, failed)
	if len(h.answers[1]) != 3 {
		t.Fatalf("tokens of a second run were delivered")
	}
}

func TestRunsAreNotMixed(t *testing.T) {
	h := newHarness(t, nil)
	sent, _ := h.mustSubmit(1, work())
	id := sent.Work.RequestId
	h.progress("r8", piece(id, 1, "e1", 0, tokens("t", 0, 2), 0))
	h.advance(1100 * time.Millisecond)
	h.progress("r8", piece(id, 1, "e1", 2, tokens("t", 2, 5), 0)) // an old attempt
	if len(h.answers[1]) != 2 {
		t.Fatalf("tokens of an old attempt were used")
	}
	h.progress("r9", piece(id, 2, "e2", 2, tokens("u", 2, 4), 0)) // continued from the agent's tokens
	if len(h.answers[1]) != 4 {
		t.Fatalf("the continued run was not used: %v", h.answers[1])
	}
	h.progress("r9", piece(id, 2, "e1", 4, tokens("t", 4, 5), 0)) // the run that was left
	if len(h.answers[1]) != 4 {
		t.Fatalf("tokens of a run that was left were used")
	}
	if third, _ := h.generate(); third.Attempt != 3 || third.ResumeOffset != 4 || third.Run != nil {
		t.Fatalf("want a third attempt, got %v", third)
	}
}

func TestTwoOwnersOfOneAttempt(t *testing.T) {
	h := newHarness(t, nil)
	sent, _ := h.mustSubmit(1, work())
	id := sent.Work.RequestId
	h.progress("r8", piece(id, 1, "e1", 0, tokens("t", 0, 2), 0))
	h.progress("r9", piece(id, 1, "e2", 2, tokens("u", 2, 4), 0)) // began with other tokens than r8
	if len(h.answers[1]) != 2 {
		t.Fatalf("two texts were mixed: %v", h.answers[1])
	}
	h.progress("r8", piece(id, 1, "e1", 2, tokens("t", 2, 4), 4))
	if !h.finished[1] || !slices.Equal(h.answers[1], tokens("t", 0, 4)) {
		t.Fatalf("got %v", h.answers[1])
	}
}

func TestOwnerChangesEngineWithinOneAttempt(t *testing.T) {
	h := newHarness(t, nil)
	sent, _ := h.mustSubmit(1, work())
	id := sent.Work.RequestId
	h.progress("r9", piece(id, 1, "e2", 3, tokens("t", 3, 5), 0)) // overtook the last tokens of e1
	h.progress("r9", piece(id, 1, "e1", 0, tokens("t", 0, 3), 0))
	h.progress("r9", piece(id, 1, "e2", 5, tokens("t", 5, 6), 6))
	if !h.finished[1] || !slices.Equal(h.answers[1], tokens("t", 0, 6)) {
		t.Fatalf("got %v", h.answers[1])
	}
}

func TestCallerGone(t *testing.T) {
	h := newHarness(t, nil)
	sent, router := h.mustSubmit(1, work())
	id := sent.Work.RequestId
	h.effects.Reset()
	h.core.CallerGone(h.now, 1, &h.effects)
	if got := h.cancels(); !slices.Equal(got, []string{router}) {
		t.Fatalf("cancelled at %v, want %s", got, router)
	}
	h.progress("r9", piece(id, 1, "e1", 0, tokens("t", 0, 2), 0))
	if got := h.cancels(); !slices.Equal(got, []string{"r9"}) || h.events[1] != 0 {
		t.Fatalf("a late owner was not told to stop: %v", h.effects.Messages)
	}
}

func TestCallsWithOneKeyShareARequest(t *testing.T) {
	h := newHarness(t, nil)
	request := work()
	request.IdempotencyKey = "order-17"
	sent, _ := h.mustSubmit(1, request)
	id := sent.Work.RequestId
	h.progress("r9", piece(id, 1, "e1", 0, tokens("t", 0, 2), 0))
	h.effects.Reset()
	if err := h.submit(2, request); err != nil || len(h.effects.Messages) != 0 {
		t.Fatalf("the second call did not join: %v, %v", err, h.effects.Messages)
	}
	changed := request
	changed.MaxTokens = 5
	if _, conflict := h.submit(3, changed).(*ConflictError); !conflict {
		t.Fatalf("another request under the key was not refused")
	}
	h.core.CallerGone(h.now, 1, &h.effects)
	h.progress("r9", piece(id, 1, "e1", 2, tokens("t", 2, 3), 3))
	if !h.finished[2] || len(h.answers[2]) != 3 || h.finished[1] {
		t.Fatalf("calls got %v", h.answers)
	}
	h.effects.Reset()
	if err := h.submit(4, request); err != nil || !h.finished[4] || len(h.effects.Messages) != 0 {
		t.Fatalf("the kept answer was not given again: %v", err)
	}
}

func TestTwoRunsOfTheCoreGiveTheSame(t *testing.T) {
	trace := func() []string {
		h := newHarness(t, nil)
		var sent []string
		for call := uint64(1); call <= 30; call++ {
			generate, router := h.mustSubmit(call, work())
			sent = append(sent, generate.Work.RequestId+router)
		}
		h.effects.Reset()
		h.core.HandlePeerUnreachable(h.now, "r1", &h.effects)
		h.collect()
		first := slices.Clone(h.effects.Messages)
		h.advance(5 * time.Second)
		for _, message := range append(first, h.effects.Messages...) {
			sent = append(sent, messageName(message))
		}
		return sent
	}
	if first, second := trace(), trace(); !slices.Equal(first, second) {
		t.Fatalf("two runs differ")
	}
}

func messageName(message core.Message) string { return message.To + message.Envelope.String() }
