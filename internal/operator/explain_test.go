package operator

import (
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/decision"
)

// checkOrder checks that a text holds others, in this order.
func checkOrder(t *testing.T, text string, order ...string) {
	t.Helper()
	rest := text
	for _, want := range order {
		_, after, found := strings.Cut(rest, want)
		if !found {
			t.Fatalf("%q is not in order in %q", want, text)
		}
		rest = after
	}
}

// TestExplainFindsAllProcesses asks one router, which knows the others.
func TestExplainFindsAllProcesses(t *testing.T) {
	came := time.Unix(1_700_000_000, 0).UTC()
	request := "cafe-1/" + ulid.MustNew(ulid.Timestamp(came), strings.NewReader("0123456789")).String()
	record := func(process string, after time.Duration, reason string) decision.Record {
		return decision.Record{Sequence: 8, Time: came.Add(after), Process: process, Kind: decision.KindRoute, Subject: request, Reason: reason}
	}
	earlier := decision.Record{Sequence: 7, Time: came.Add(-time.Minute), Process: "router-b-1", Kind: decision.KindPlan, Subject: "counter"}
	owner := &fakeRouter{name: "router-b-1", decisions: []decision.Record{earlier, record("router-b-1", 2*time.Millisecond, "Second.")}}
	agent := &fakeRouter{name: "agent-a-1", decisions: []decision.Record{record("agent-a-1", 3*time.Millisecond, "Third.")}}
	asked := &fakeRouter{name: "router-a-1", decisions: []decision.Record{record("router-a-1", time.Millisecond, "First.")}}
	asked.routers = []adminapi.RouterStatus{
		{Name: "router-b-1", AdminAddress: serve(t, owner)}, {Name: "router-c-1", AdminAddress: unreachable}, {Name: "router-d-1"}, {Name: "router-e-1", State: "dead"},
	}
	address := serve(t, asked)

	code, stdout, stderr := runLine(t, address, "explain", request, "--agent", "http://"+serve(t, agent))
	if code != 0 {
		t.Fatalf("exit code %d, %q", code, stderr)
	}
	checkOrder(t, stdout, "3 decisions", "First.", "Second.", "Third.", "gaps",
		"router-a-1 has decisions only since 2023-11-14T22:13:20Z, which is after the request came",
		"router-c-1 at "+unreachable+" did not answer", "router-d-1 was not asked: its admin address is not known", "router-e-1 was not asked: it is dead")
	if strings.Contains(stdout, "router-b-1 has decisions only since") || strings.Contains(stdout, "--agent") {
		t.Errorf("a gap is named that is none: %q", stdout)
	}

	_, stdout, _ = runLine(t, address, "explain", request)
	checkOrder(t, stdout, "2 decisions", "gaps", "the agent of the caller was not asked")
}

func TestDecisionsOfAllRouters(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	record := func(process string, sequence uint64) decision.Record {
		return decision.Record{Sequence: sequence, Time: start.Add(time.Duration(sequence) * time.Second), Process: process, Kind: decision.KindPlan, Subject: "counter", Reason: "Of " + process + "."}
	}
	owner := &fakeRouter{name: "router-b-1", decisions: []decision.Record{record("router-b-1", 2)}}
	asked := &fakeRouter{name: "router-a-1", decisions: []decision.Record{record("router-a-1", 1), record("router-a-1", 3)}}
	asked.routers = []adminapi.RouterStatus{{Name: "router-b-1", AdminAddress: serve(t, owner)}, {Name: "router-c-1", AdminAddress: unreachable}}
	address := serve(t, asked)

	_, stdout, stderr := runLine(t, address, "decisions")
	checkOrder(t, stdout, "Of router-a-1", "Of router-b-1", "Of router-a-1")
	checkOrder(t, stderr, "missing", "router-c-1 at "+unreachable)
	if _, stdout, _ = runLine(t, address, "decisions", "--last", "2"); strings.Count(stdout, "\n") != 2 {
		t.Errorf("--last 2 printed %q", stdout)
	}
	if _, stdout, _ = runLine(t, address, "decisions", "--this-router"); strings.Contains(stdout, "router-b-1") {
		t.Errorf("--this-router printed %q", stdout)
	}
}
