package demo

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/decision"
)

var testNow = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func TestStatsCountEachRequestOnce(t *testing.T) {
	stats := newStats()
	results := []result{
		{outcome: outcomeAnswered, outcomeReported: true, latency: time.Second},
		{outcome: outcomeAnswered, outcomeReported: true, latency: time.Minute},
		{outcome: outcomeAnswered, outcomeReported: true, wrong: true},
		{outcome: outcomeNotRun, outcomeReported: true},
		{outcome: outcomeNotRun, outcomeReported: true},
		{outcome: outcomeUnknown, outcomeReported: true},
		{outcome: outcomeUnknown},
		{outcome: outcomeFailed, outcomeReported: true},
	}
	runs := map[string]int{}
	for i, res := range results {
		res.request = testRequest
		res.request.id = fmt.Sprint("request-", i)
		res.request.class.nonIdempotent = i < 4
		stats.recordSent(res.request)
		stats.recordResult(res)
		runs[res.request.id] = 1
	}
	runs["request-0"], runs["request-3"] = 3, 0
	for wait := range 100 {
		stats.recordFirstToken(testNow, time.Duration(wait+1)*time.Millisecond)
	}
	state := stats.nextSnapshot(testNow)
	want := summary{Sent: 8, Answered: 3, NotRun: 2, Unknown: 2, Failed: 1, WrongAnswers: 1, Late: 1, Unreported: 1}
	if state.summary != want || state.inFlight != 0 {
		t.Errorf("summary %+v with %d in flight, want %+v", state.summary, state.inFlight, want)
	}
	if duplicates, falsely := stats.duplicateRuns(runs), stats.falseNotRun(runs); duplicates != 2 || falsely != 1 {
		t.Errorf("%d duplicate runs and %d falsely reported as not run, want 2 and 1", duplicates, falsely)
	}
	if state.p95 != 95*time.Millisecond {
		t.Errorf("p95 is %s", state.p95)
	}
	if again := stats.nextSnapshot(testNow.Add(firstTokenWindow + 1)); again.p95 != 0 {
		t.Error("times to first token outside the window are included")
	}
}

func TestSummaryGuaranteesKept(t *testing.T) {
	tests := []struct {
		desc  string
		total summary
		want  bool
	}{
		{desc: "all answered", total: summary{Sent: 2, Answered: 2}, want: true},
		{desc: "correct outcomes without an answer", total: summary{Sent: 3, NotRun: 1, Unknown: 1, Failed: 1}, want: true},
		{desc: "wrong answer", total: summary{Sent: 1, Answered: 1, WrongAnswers: 1}},
		{desc: "duplicate run", total: summary{Sent: 1, Answered: 1, DuplicateRuns: 1}},
		{desc: "outcome not reported", total: summary{Sent: 1, Unknown: 1, Unreported: 1}},
		{desc: "run although reported as not run", total: summary{Sent: 1, NotRun: 1, FalseNotRun: 1}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := test.total.guaranteesKept(); got != test.want {
				t.Errorf("guaranteesKept is %t", got)
			}
		})
	}
}

func TestRoleChangesAreDrainedOnceInOrder(t *testing.T) {
	changes := &roleChangeLog{}
	for _, record := range []decision.Record{
		{Kind: decision.KindRequest, Subject: "request-1", Outcome: "200"},
		{Kind: decision.KindAuthority, Process: "gateway-a", Reason: "Nobody held the key."},
		{Kind: decision.KindRole, Process: "gateway-a", Subject: "w1", Inputs: map[string]string{"group": "counter", "role": "prefill"}, Reason: "Prompts wait."},
	} {
		changes.record(record)
	}
	want := []string{
		"gateway-a now issues the orders. Nobody held the key.",
		"gateway-a orders worker w1 of group counter to become prefill. Prompts wait.",
	}
	if got := changes.drain(); !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	if again := changes.drain(); len(again) != 0 {
		t.Errorf("drained twice: %q", again)
	}
}
