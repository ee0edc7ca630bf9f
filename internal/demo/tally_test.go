package demo

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
)

var testNow = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func TestTallyCountsEachRequestOnce(t *testing.T) {
	counts := newTally()
	results := []struct {
		got  result
		runs int
	}{
		{got: result{outcome: outcomeAnswered, told: true, whole: time.Second}, runs: 1},
		{got: result{outcome: outcomeAnswered, told: true, whole: time.Minute}, runs: 1},
		{got: result{outcome: outcomeAnswered, told: true, wrong: true}, runs: 1},
		{got: result{outcome: outcomeNotRun, told: true}},
		{got: result{outcome: outcomeNotRun, told: true}, runs: 1},
		{got: result{outcome: outcomeUnknown, told: true}},
		{got: result{outcome: outcomeUnknown}},
		{got: result{outcome: outcomeFailed, told: true}, runs: 1},
	}
	for _, each := range results {
		each.got.order = testOrder
		counts.sent(each.got.order)
		counts.finished(testOrder.requestID(), engine.RoleDecode)
		counts.ended(each.got, each.runs)
	}
	for wait := range 100 {
		counts.began(testNow, time.Duration(wait+1)*time.Millisecond)
	}
	state := counts.take(testNow)
	want := summary{Sent: 8, Answered: 3, NotRun: 2, Unknown: 2, Failed: 1, WrongAnswers: 1, Late: 1, Untold: 1, FalseNotRun: 1}
	if state.summary != want || state.waiting != 0 {
		t.Errorf("summary %+v with %d waiting, want %+v", state.summary, state.waiting, want)
	}
	if state.p95 != 95*time.Millisecond {
		t.Errorf("p95 is %s", state.p95)
	}
	if got := state.served[servedKey{class: "quick", role: engine.RoleDecode}]; got != len(results) {
		t.Errorf("%d answers of decode engines, want %d", got, len(results))
	}
	if again := counts.take(testNow.Add(firstTokenWindow + 1)); len(again.served) != 0 || again.p95 != 0 {
		t.Error("a line shows what an earlier one has shown")
	}
}

func TestSummaryIsWellOnlyIfEveryPromiseHolds(t *testing.T) {
	tests := []struct {
		desc  string
		total summary
		want  bool
	}{
		{desc: "all answered", total: summary{Sent: 2, Answered: 2}, want: true},
		{desc: "true outcomes without an answer", total: summary{Sent: 3, NotRun: 1, Unknown: 1, Failed: 1}, want: true},
		{desc: "a wrong answer", total: summary{Sent: 1, Answered: 1, WrongAnswers: 1}},
		{desc: "a duplicate run", total: summary{Sent: 1, Answered: 1, DuplicateRuns: 1}},
		{desc: "no outcome", total: summary{Sent: 1, Unknown: 1, Untold: 1}},
		{desc: "run although not run", total: summary{Sent: 1, NotRun: 1, FalseNotRun: 1}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := test.total.well(); got != test.want {
				t.Errorf("well is %t", got)
			}
		})
	}
}

func TestChangesAreToldOnceAndInOrder(t *testing.T) {
	plan := decision.Record{Kind: decision.KindPlan, Subject: "counter", Outcome: "3 prefill, 9 decode", Reason: "The split changes: it gains."}
	inputs := map[string]string{"role": "decode"}
	records := []decision.Record{
		{Kind: decision.KindEngine, Subject: "engine-a-1", Outcome: "ready", Inputs: inputs}, // the start
		plan,
		plan,
		{Kind: decision.KindDrain, Subject: "engine-a-1", Reason: "engine-a-1 goes from prefill to decode. The split changes: it gains."},
		{Kind: decision.KindDispatch, Subject: "cafe/1", Outcome: "engine-a-1"},
		{Kind: decision.KindEngine, Subject: "engine-a-1", Outcome: "changing", Inputs: inputs},
		{Kind: decision.KindEngine, Subject: "engine-a-1", Outcome: "ready", Inputs: inputs},
		{Kind: decision.KindEngine, Subject: "engine-a-1", Outcome: "ready", Inputs: inputs}, // a new owner
		{Kind: decision.KindDrain, Subject: "engine-a-2", Reason: "engine-a-2 goes from prefill to decode."},
		{Kind: decision.KindWithdraw, Subject: "engine-a-2", Reason: "It was not empty in time."},
	}
	want := []string{
		"New plan for the engines of group counter: The split changes: it gains.",
		"engine-a-1 takes no new work and finishes what it has: engine-a-1 goes from prefill to decode.",
		"engine-a-1 is empty and goes out of service for some seconds to become decode.",
		"engine-a-1 serves again, as a decode engine.",
		"engine-a-2 takes no new work and finishes what it has: engine-a-2 goes from prefill to decode.",
		"engine-a-2 stays as it is. It was not empty in time.",
	}
	told := newChanges()
	for _, record := range records {
		told.note(record)
	}
	got := told.take()
	if len(got) != len(want) {
		t.Fatalf("%d sentences, want %d: %q", len(got), len(want), got)
	}
	for index := range want {
		if got[index] != want[index] {
			t.Errorf("sentence %d is %q, want %q", index, got[index], want[index])
		}
	}
	if again := told.take(); len(again) != 0 {
		t.Errorf("told again: %q", again)
	}
}
