package gateway

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/heaptest"
	"github.com/granitebay/granitebay/internal/poison"
)

// TestDescribeDeferredAttempt guards against decision records that do not tell why an attempt was deferred.
func TestDescribeDeferredAttempt(t *testing.T) {
	attempt := forward.Attempt{Worker: "w", Candidates: 3, Score: balance.Score{Queue: 0.2, TimeToFirstToken: 0.45}, Deferred: true}
	text := describeAttempt(attempt)
	for _, fragment := range []string{"answer expected after 450 ms", "too late for its objective"} {
		if !strings.Contains(text, fragment) {
			t.Errorf("%q does not contain %q", text, fragment)
		}
	}
	attempt.Deferred = false
	if text := describeAttempt(attempt); strings.Contains(text, "too late") {
		t.Errorf("description of an attempt that was not deferred: %q", text)
	}
}

// TestDecisionsTellWhyRequestsWereOrderedOrHeldBack guards against decision records that do not tell why a request had its urgency, waited or
// was refused.
func TestDecisionsTellWhyRequestsWereOrderedOrHeldBack(t *testing.T) {
	report := &forward.Report{
		Reason: forward.ReasonNoRoom, Status: 503, HeldBack: "refused: its answer is expected to start after 3000 ms",
		Attempts: []forward.Attempt{{Worker: "w", Urgency: 8, UrgencyReason: "priority 2: it is late"}, {Worker: "v", Urgency: 5}},
	}
	inputs := newRequestDecision(report).Record().Inputs
	if inputs["held_back"] != report.HeldBack {
		t.Errorf("held_back is %q", inputs["held_back"])
	}
	if !strings.Contains(inputs["try1"], "urgency 8 at the engine (priority 2: it is late)") {
		t.Errorf("the first attempt is described as %q", inputs["try1"])
	}
	if strings.Contains(inputs["try2"], "urgency") {
		t.Errorf("the second attempt, which was not ordered, is described as %q", inputs["try2"])
	}
}

// TestDescribeContinuation guards against decision records that do not tell from what a response was continued, and why it was not.
func TestDescribeContinuation(t *testing.T) {
	for _, c := range []struct {
		attempt forward.Attempt
		want    string
	}{
		{forward.Attempt{Worker: "w", Continues: forward.ContinuesCopy}, "worker w in 0 ms, continuing from the copy"},
		{forward.Attempt{Worker: "w", Continues: forward.ContinuesLastEvent}, "worker w in 0 ms, continuing from the last event"},
		{
			forward.Attempt{Worker: "w", Backup: "b", Failure: "stalled", NotContinued: "the budget of retries is used up"},
			"worker w in 0 ms, copy kept by b: stalled, not continued: the budget of retries is used up",
		},
	} {
		if got := describeAttempt(c.attempt); got != c.want {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

// TestBrokenRequestNamesSharedParts guards against lines of broken requests that hide which parts of their prompts they have in common.
func TestBrokenRequestNamesSharedParts(t *testing.T) {
	request := &forward.Request{Demand: backend.Demand{Segments: []backend.Segment{{ID: "5c1e"}, {ID: "91bd"}, {ID: "e440"}}}}
	digest := poison.Request{}.Digest()
	inputs := newRequestDecision(&forward.Report{Request: request, RequestDigest: &digest}).Record().Inputs
	if want := "5c1e,91bd"; inputs["parts"] != want {
		t.Errorf("parts is %q, want %q: the last part belongs to the request alone", inputs["parts"], want)
	}
	if parts, found := newRequestDecision(&forward.Report{Request: request}).Record().Inputs["parts"]; found {
		t.Errorf("a request without a broken connection names its parts: %q", parts)
	}
}

// TestDecisionsHoldNoHeaders guards against a decision log whose memory grows with the headers of requests.
func TestDecisionsHoldNoHeaders(t *testing.T) {
	const headerBytes = 15 << 10
	decisions := decisionlog.New("gateway", maxDecisions)
	before := heaptest.Reachable()
	for i := range maxDecisions {
		text := strings.Repeat("x", headerBytes) + strconv.Itoa(i)
		digest := poison.Digest{}
		decisions.Append(time.Now(), newRequestDecision(&forward.Report{
			Request: &forward.Request{
				ID: text, ResumeAfter: text + "l", Resumes: text + "r", Body: []byte(text),
				Demand: backend.Demand{Segments: []backend.Segment{{ID: text[:8]}, {ID: text}, {ID: "own"}}},
			},
			Target: text + "t", Err: errors.Newf("header Deadline-Ms: %q is not allowed", text), RequestDigest: &digest,
		}))
	}
	const most = 8 << 10
	if got := (heaptest.Reachable() - before) / maxDecisions; got > most {
		t.Errorf("a decision holds %d bytes, at most %d are allowed", got, most)
	}
	runtime.KeepAlive(decisions)
}
