package operator

import (
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/decision"
)

// assertOrder checks that a text contains strings in the given order.
func assertOrder(t *testing.T, text string, order ...string) {
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

// TestExplainQueriesListedGatewaysAndNamesGaps guards against an explanation that omits a gateway, or does not say what could not
// be read.
func TestExplainQueriesListedGatewaysAndNamesGaps(t *testing.T) {
	arrival := time.Unix(1_700_000_000, 0).UTC()
	request := "cafe-1/" + ulid.MustNew(ulid.Timestamp(arrival), strings.NewReader("0123456789")).String()
	record := func(process string, after time.Duration, reason string) decision.Record {
		return decision.Record{Sequence: 8, Time: arrival.Add(after), Process: process, Kind: decision.KindRequest, Subject: request, Reason: reason}
	}
	earlier := decision.Record{Sequence: 7, Time: arrival.Add(-time.Minute), Process: "gateway-b-1", Kind: decision.KindRole, Subject: "counter"}
	other := &fakeGateway{name: "gateway-b-1", decisions: []decision.Record{earlier, record("gateway-b-1", 2*time.Millisecond, "Second.")}}
	queried := &fakeGateway{name: "gateway-a-1", decisions: []decision.Record{record("gateway-a-1", time.Millisecond, "First.")}}
	queried.gateways = []adminapi.PeerStatus{
		{Name: "gateway-b-1", AdminAddress: startGateway(t, other)}, {Name: "gateway-c-1", AdminAddress: unreachable}, {Name: "gateway-d-1"},
	}
	code, stdout, stderr := runCommand(t, startGateway(t, queried), "explain", request)
	if code != 0 {
		t.Fatalf("exit code %d, %q", code, stderr)
	}
	assertOrder(t, stdout, "2 decisions", "First.", "Second.", "gaps",
		"gateway-a-1 has decisions only since 2023-11-14T22:13:20Z, which is after the request arrived",
		"gateway-c-1 at "+unreachable+" did not respond", "gateway-d-1 was not queried: its admin address is not known")
	if strings.Contains(stdout, "gateway-b-1 has decisions only since") {
		t.Errorf("unexpected gap: %q", stdout)
	}
}

// TestDecisionsFromAllGateways guards against decisions that are missing, repeated or out of order.
func TestDecisionsFromAllGateways(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	record := func(process string, sequence uint64) decision.Record {
		return decision.Record{Sequence: sequence, Time: start.Add(time.Duration(sequence) * time.Second), Process: process, Kind: decision.KindRole, Subject: "counter", Reason: "Of " + process + "."}
	}
	other := &fakeGateway{name: "gateway-b-1", decisions: []decision.Record{record("gateway-b-1", 2)}}
	queried := &fakeGateway{name: "gateway-a-1", decisions: []decision.Record{record("gateway-a-1", 1), record("gateway-a-1", 3)}}
	queried.gateways = []adminapi.PeerStatus{{Name: "gateway-b-1", AdminAddress: startGateway(t, other)}, {Name: "gateway-c-1", AdminAddress: unreachable}}
	address := startGateway(t, queried)

	_, stdout, stderr := runCommand(t, address, "decisions")
	assertOrder(t, stdout, "Of gateway-a-1", "Of gateway-b-1", "Of gateway-a-1")
	assertOrder(t, stderr, "missing", "gateway-c-1 at "+unreachable)
	if _, stdout, _ = runCommand(t, address, "decisions", "--last", "2"); strings.Count(stdout, "\n") != 2 {
		t.Errorf("--last 2 printed %q", stdout)
	}
	if _, stdout, _ = runCommand(t, address, "decisions", "--this-gateway"); strings.Contains(stdout, "gateway-b-1") {
		t.Errorf("--this-gateway printed %q", stdout)
	}
}
