package agent

import (
	"slices"
	"testing"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

func TestOutcomesAreTrue(t *testing.T) {
	deadline := func(h *harness) { h.advance(10 * time.Second) }
	said := func(attempt uint32, kind granitebayv1.OutcomeKind) *granitebayv1.Outcome {
		return &granitebayv1.Outcome{Attempt: attempt, Kind: kind, Reason: "Queue full.", Step: "queue", Peer: "r1", RetryAfterMillis: 70}
	}
	cases := []struct {
		desc       string
		repeatable bool
		// steps are done with the id of the request and the router of its first attempt.
		steps func(h *harness, id, router string)
		want  granitebayv1.OutcomeKind
	}{
		{"the only router sheds it", true, func(h *harness, id, router string) {
			h.outcome(router, with(said(1, notRun), id))
		}, notRun},
		{"shed after an attempt without an answer", true, func(h *harness, id, router string) {
			h.advance(1100 * time.Millisecond)
			h.outcome("r3", with(said(2, notRun), id))
		}, unknown},
		{"shed, and the first router proves late that it did not run", true, func(h *harness, id, router string) {
			h.advance(1100 * time.Millisecond)
			h.outcome(router, with(said(1, notRun), id))
			h.outcome("r3", with(said(2, notRun), id))
		}, notRun},
		{"a router that is not the one which accepted it says not run", true, func(h *harness, id, router string) {
			h.accepted("r9", id, 1)
			h.outcome(router, with(said(1, notRun), id))
		}, unknown},
		{"an owner that passed the request on, and the next one sheds it", true, func(h *harness, id, router string) {
			h.accepted("r9", id, 1)
			outcome := with(said(1, notRun), id)
			outcome.PassedBy = []string{"r9"}
			h.outcome(router, outcome)
		}, notRun},
		{"unknown from the router", true, func(h *harness, id, router string) {
			h.outcome(router, with(said(1, unknown), id))
		}, unknown},
		{"not run after tokens", true, func(h *harness, id, router string) {
			h.progress("r9", piece(id, 1, "e1", 0, []string{"x"}, 0))
			h.outcome("r9", with(said(1, notRun), id))
		}, failed},
		{"failed", true, func(h *harness, id, router string) {
			h.progress("r9", piece(id, 1, "e1", 0, []string{"x"}, 0))
			h.outcome("r9", with(said(1, failed), id))
		}, failed},
		{"deadline without any answer", true, func(h *harness, _, _ string) { deadline(h) }, unknown},
		{"deadline in the queue, the engine confirms the cancel", true, func(h *harness, id, router string) {
			h.keepQueued(id)
			h.outcome("r9", with(said(1, notRun), id))
		}, notRun},
		{"deadline in the queue, the cancel is not confirmed", true, func(h *harness, id, router string) {
			h.keepQueued(id)
			h.advance(200 * time.Millisecond)
		}, unknown},
		{"a withdrawn claim speaks for every attempt", false, func(h *harness, id, _ string) {
			h.advance(4900 * time.Millisecond)
			outcome := with(said(1, notRun), id)
			outcome.EveryAttempt = true
			h.outcome("r3", outcome)
		}, notRun},
		{"another engine's word under an old attempt does not speak for the last", false, func(h *harness, id, router string) {
			h.advance(4900 * time.Millisecond)
			h.outcome(router, with(said(1, notRun), id))
			h.advance(time.Second)
		}, unknown},
		{"every router sends it elsewhere", true, func(h *harness, id, router string) {
			for attempt := uint32(1); h.outcomes[1] == nil; attempt++ {
				outcome := with(said(attempt, notRun), id)
				outcome.Elsewhere = true
				h.outcome("r1", outcome)
				if h.outcomes[1] == nil {
					h.advance(h.core.requests[id].retryAt.Sub(h.now))
				}
			}
		}, notRun},
		{"the deadline passes partway", true, func(h *harness, id, _ string) {
			for h.outcomes[1] == nil {
				h.progress("r9", piece(id, 1, "e1", 0, []string{"x"}, 0))
				h.advance(200 * time.Millisecond)
			}
		}, failed},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			h := newHarness(t, nil)
			request := work()
			request.Repeatable = c.repeatable
			request.Deadline = h.now.Add(5 * time.Second)
			sent, router := h.mustSubmit(1, request)
			c.steps(h, sent.Work.RequestId, router)
			h.wantOutcome(1, c.want)
			if h.now.After(startTime.Add(5*time.Second)) && h.core.Active() != 0 {
				t.Fatalf("lives after its deadline")
			}
		})
	}
}

func with(outcome *granitebayv1.Outcome, id string) *granitebayv1.Outcome {
	outcome.RequestId = id
	return outcome
}

// keepQueued keeps a request with a deadline of 5 s in the queue of r9 until it is cancelled.
func (h *harness) keepQueued(id string) {
	for h.now.Before(startTime.Add(4800 * time.Millisecond)) {
		h.accepted("r9", id, 1)
		h.advance(240 * time.Millisecond)
	}
	if got := h.cancels(); !slices.Equal(got, []string{"r9"}) {
		h.t.Fatalf("cancelled at %v, want the owner", got)
	}
}

func TestAttemptsOfAnEarlierCallCount(t *testing.T) {
	h := newHarness(t, nil)
	request := work()
	request.Repeatable = false
	request.IdempotencyKey = "01KJM6JM00" + "0123456789ABCDEF"
	request.Deadline = h.now.Add(time.Second / 2)
	sent, _ := h.mustSubmit(1, request)
	h.advance(time.Second)
	h.wantOutcome(1, unknown)
	request.Deadline = h.now.Add(5 * time.Second)
	again, router := h.mustSubmit(2, request)
	if again.Work.RequestId != sent.Work.RequestId || again.Attempt != 2 {
		t.Fatalf("the key did not name the same request: %v", again)
	}
	h.outcome(router, &granitebayv1.Outcome{RequestId: again.Work.RequestId, Attempt: 2, Kind: notRun, Reason: "Queue full.", Step: "queue"})
	h.wantOutcome(2, unknown)
}

func TestRetryBudget(t *testing.T) {
	h := newHarness(t, func(settings *Settings) {
		settings.RetryReserve = 3
		settings.RetriesPerSecond = 0.001
	})
	const calls = 10
	for call := uint64(1); call <= calls; call++ {
		h.mustSubmit(call, work())
	}
	h.advance(1100 * time.Millisecond)
	givenUp := 0
	for call := uint64(1); call <= calls; call++ {
		if h.outcomes[call] != nil {
			givenUp++
		}
	}
	if givenUp != calls-3 {
		t.Fatalf("gave up %d of %d, want all but the reserve of 3", givenUp, calls)
	}
}

func TestCallerRequestErrors(t *testing.T) {
	cases := []struct {
		desc   string
		change func(*CallerRequest)
		fields []string
	}{
		{"nothing wrong", func(*CallerRequest) {}, nil},
		{"everything wrong", func(r *CallerRequest) {
			*r = CallerRequest{Labels: map[string]string{"a b": "c d"}, IdempotencyKey: "x", Deadline: startTime}
		}, []string{"idempotency_key", "tenant", "labels", "labels[a b]", "model", "prompt", "max_tokens", "deadline"}},
		{"a tenant that would break the id", func(r *CallerRequest) { r.Tenant = "a/b" }, []string{"tenant"}},
		{"prompt too long", func(r *CallerRequest) { r.PromptTokens = 32769 }, []string{"prompt"}},
		{"too many tokens", func(r *CallerRequest) { r.MaxTokens = 8193 }, []string{"max_tokens"}},
		{"deadline too far", func(r *CallerRequest) { r.Deadline = startTime.Add(time.Hour) }, []string{"deadline"}},
		{"plain key for repeatable work", func(r *CallerRequest) { r.IdempotencyKey = "order-1" }, nil},
		{"plain key for work that may not be repeated", func(r *CallerRequest) { r.IdempotencyKey = "order-1"; r.Repeatable = false }, []string{"idempotency_key"}},
		{"UUIDv4", func(r *CallerRequest) {
			r.IdempotencyKey = "9b2d7a8e-4d1c-4c5e-8a44-0f2b1c3d4e5f"
			r.Repeatable = false
		}, []string{"idempotency_key"}},
		{"UUIDv7", func(r *CallerRequest) {
			r.IdempotencyKey = "019ca869-5000-7c5e-8a44-0f2b1c3d4e5f"
			r.Repeatable = false
		}, nil},
		{"UUIDv7 from last year", func(r *CallerRequest) { r.IdempotencyKey = "0195a838-0a80-7c5e-8a44-0f2b1c3d4e5f" }, []string{"idempotency_key"}},
		{"ULID from the future", func(r *CallerRequest) { r.IdempotencyKey = "02KJM6JM000123456789ABCDEF" }, []string{"idempotency_key"}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			h := newHarness(t, nil)
			request := work()
			c.change(&request)
			err := h.submit(1, request)
			var fields []string
			if invalid, ok := err.(*InvalidRequestError); ok {
				for _, each := range invalid.Fields {
					fields = append(fields, each.Field)
				}
			}
			if !slices.Equal(slices.Compact(fields), c.fields) || (err == nil) != (c.fields == nil) {
				t.Fatalf("got %v (%v), want %v", fields, err, c.fields)
			}
			if err != nil && (h.core.Active() != 0 || len(h.effects.Messages) != 0) {
				t.Fatalf("a refused request left something behind")
			}
		})
	}
}
