package operator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/poison"
)

// fakeGateway keeps the configuration in memory.
type fakeGateway struct {
	adminapi.Backend
	name      string
	mutex     sync.Mutex
	document  configuration.Document
	decisions []decision.Record
	// gateways that it lists; may include itself.
	gateways []adminapi.PeerStatus
}

func (g *fakeGateway) Status() adminapi.GatewayStatus {
	return adminapi.GatewayStatus{
		Gateway: g.name, Zone: "zone-a", Ready: true, Workers: map[string]int{"ready": 12}, Revision: g.Document().Revision,
	}
}
func (g *fakeGateway) Workers() []adminapi.WorkerStatus {
	return []adminapi.WorkerStatus{{Address: "w1", Groups: []string{"counter"}, Role: "prefill", Running: 3}}
}
func (g *fakeGateway) Barred() []adminapi.BarredStatus {
	return []adminapi.BarredStatus{{Digest: barredRequest, Rule: "quick", Workers: []string{"i-1", "i-2", "i-3"}, Times: 1, Until: time.Unix(1_700_000_000, 0)}}
}
func (g *fakeGateway) Queues() []adminapi.QueueStatus {
	return []adminapi.QueueStatus{{Group: "counter", Queue: "slots", Urgency: 8, Waiting: 31, SentPerSecond: 12.34, StartedPerSecond: 9}}
}
func (g *fakeGateway) Release(_ context.Context, digest poison.Digest) (bool, error) {
	return digest.String() == barredRequest, nil
}
func (g *fakeGateway) Gateways() []adminapi.PeerStatus { return g.gateways }
func (g *fakeGateway) Document() configuration.Document {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.document
}
func (g *fakeGateway) Propose(_ context.Context, request configuration.EditRequest) configuration.ProposalResult {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	next, conflicts, err := configuration.Preview(g.document, request, time.Unix(1_700_000_000, 0))
	result := configuration.ProposalResult{ChangeID: request.ChangeID, Conflicts: conflicts, Err: err}
	if err == nil && len(conflicts) == 0 {
		result.Accepted, result.Unchanged = true, next.Revision == g.document.Revision
		g.document = next
		result.Revision = next.Revision
	}
	return result
}
func (g *fakeGateway) KnownWorkers() []configuration.WorkerInfo {
	return []configuration.WorkerInfo{{Address: "w1", Service: "roastmind", Labels: map[string]string{"zone": "zone-a"}}}
}
func (g *fakeGateway) KnownRequests() []map[string]string { return nil }
func (g *fakeGateway) Decisions(since uint64) []decision.Record {
	return adminapi.DecisionFilter{Since: since}.Select(g.decisions)
}

// startGateway starts a gateway on loopback with the Fès example as its first edit, and returns its address.
func startGateway(t *testing.T, gateway *fakeGateway) string {
	t.Helper()
	example, err := configuration.Example(configuration.ExampleFes)
	if err != nil {
		t.Fatal(err)
	}
	example.WorkerLabels = map[string]map[string]string{"w1": {"pool": "counter"}}
	first := configuration.EditRequest{ChangeID: "first", Edits: []configuration.Edit{configuration.Apply(example.Spec)}}
	if result := gateway.Propose(t.Context(), first); !result.Accepted {
		t.Fatal(result.Err)
	}
	mux := http.NewServeMux()
	adminapi.Register(humago.New(mux, huma.DefaultConfig("granitebay", "1")), gateway)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// runCommand runs a command line against gateways and returns the exit code and the output.
func runCommand(t *testing.T, gateways string, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = Run(t.Context(), append([]string{"--gateway", gateways}, arguments...), &out, &errs)
	return code, out.String(), errs.String()
}

// barredRequest is the digest of the request that the fake gateway bars.
const barredRequest = "00112233445566778899aabbccddeeff"

// unreachable is an address on which nothing listens.
const unreachable = "127.0.0.1:1"

// TestCommands guards against a wrong exit code or output of a command, and a command that stops at an unreachable gateway.
func TestCommands(t *testing.T) {
	tests := []struct {
		desc      string
		arguments []string
		code      int
		// stdout and stderr are strings that the output must contain.
		stdout, stderr []string
	}{
		{desc: "help", arguments: []string{"--help"}, stdout: []string{"Exit codes: 0 done, 1 failed, 2 bad"}},
		{desc: "unknown command", arguments: []string{"reboot"}, code: 2, stderr: []string{"reboot"}},
		{desc: "status", arguments: []string{"status"}, stdout: []string{"gateway-a-1", "ready 12"}},
		{desc: "status as JSON", arguments: []string{"-o", "json", "status"}, stdout: []string{`"gateway": "gateway-a-1"`}},
		{desc: "workers", arguments: []string{"get", "workers"}, stdout: []string{"ADDRESS", "w1", "counter", "prefill"}},
		{desc: "workers as YAML", arguments: []string{"-o", "yaml", "get", "workers"}, stdout: []string{"- counter"}},
		{desc: "configuration", arguments: []string{"get", "config"}, stdout: []string{"revision: 1", "tenantInFlight: 16"}},
		{desc: "label", arguments: []string{"label", "worker", "w1", "pool=x", "rack=7"}, stdout: []string{"accepted as revision 2"}},
		{desc: "label already there", arguments: []string{"label", "worker", "w1", "pool=counter"}, stdout: []string{"nothing to change"}},
		{desc: "label removed", arguments: []string{"label", "worker", "w1", "pool-", "--wait", "5s"}, stderr: []string{"in use by all gateways"}},
		{
			desc: "dry run", arguments: []string{"label", "worker", "w1", "pool-", "--dry-run"},
			stdout: []string{"label pool of worker w1: removed", "worker w1: counter -> none"},
		},
		{desc: "neither label nor removal", arguments: []string{"label", "worker", "w1", "pool"}, code: 2, stderr: []string{"neither"}},
		{desc: "label of the platform", arguments: []string{"label", "worker", "w1", "zone=zone-b"}, code: 2, stderr: []string{"spec.workerLabels[w1][zone]"}},
		{desc: "one kind of object in the singular", arguments: []string{"get", "worker"}, stdout: []string{"w1"}},
		{desc: "label of an unknown worker", arguments: []string{"label", "worker", "w9", "pool=x"}, stdout: []string{"accepted"}, stderr: []string{"no worker at w9 is known"}},
		{desc: "unknown kind of decisions", arguments: []string{"decisions", "--kind", "reboot"}, code: 2, stderr: []string{`no kind "reboot"`, "role"}},
		{desc: "no decision", arguments: []string{"decisions", "--kind", "role"}, stderr: []string{"no matching decisions"}},
		{desc: "missing file", arguments: []string{"apply", "-f", "testdata/none.yaml"}, code: 2, stderr: []string{"none.yaml"}},
		{desc: "barred requests", arguments: []string{"get", "barred"}, stdout: []string{barredRequest, "quick", "i-1,i-2,i-3", "2023-11-14T22:13:20Z"}},
		{desc: "queues", arguments: []string{"get", "queues"}, stdout: []string{"counter", "slots", "8", "31", "12.3", "9.0"}},
		{desc: "release", arguments: []string{"release", barredRequest}, stdout: []string{"request " + barredRequest + " is released"}},
		{desc: "release of another", arguments: []string{"release", strings.Repeat("0", 32)}, stdout: []string{"was not barred"}},
		{desc: "release of no digest", arguments: []string{"release", "r-7"}, code: 2, stderr: []string{`digest: "r-7" is not allowed; 32 hexadecimal digits`}},
		{desc: "unknown request", arguments: []string{"explain", "req-9"}, code: 1, stderr: []string{"no gateway"}},
		{
			desc: "command to one worker", arguments: []string{"drain", "w2", "--force"}, code: 2,
			stderr: []string{"no command \"drain\"", "granitebay label worker w2 pool-"},
		},
		{desc: "order to one worker", arguments: []string{"order", "w2", "decode"}, code: 2, stderr: []string{"roleFloors"}},
		{
			desc: "file with five errors", arguments: []string{"validate", "-f", "testdata/five-errors.yaml"}, code: 2,
			stderr: []string{
				"5 errors", "spec.rules[quick].urgent: is an unknown field", "spec.groups[counter].workerSelector",
				"spec.groups[counter].service: is missing", "spec.rules[quick].groups[0].group: \"counters\"",
				"spec.rules[quick].priority: 12",
			},
		},
		{desc: "valid file", arguments: []string{"validate", "-f", "../configuration/examples/magnolia.yaml"}, stdout: []string{"2 groups, 4 rules"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			address := startGateway(t, &fakeGateway{name: "gateway-a-1"})
			code, stdout, stderr := runCommand(t, unreachable+","+address, test.arguments...)
			if code != test.code {
				t.Errorf("exit code %d, want %d", code, test.code)
			}
			for _, want := range test.stdout {
				if !strings.Contains(stdout, want) {
					t.Errorf("printed %q, want %q", stdout, want)
				}
			}
			for _, want := range test.stderr {
				if !strings.Contains(stderr, want) {
					t.Errorf("printed error %q, want %q", stderr, want)
				}
			}
		})
	}
}

// TestGatewayAddressMayBeURL guards against a gateway address that is rejected because it is a URL.
func TestGatewayAddressMayBeURL(t *testing.T) {
	code, stdout, stderr := runCommand(t, "http://"+startGateway(t, &fakeGateway{name: "gateway-a-1"})+"/", "status")
	if code != 0 || !strings.Contains(stdout, "gateway-a-1") {
		t.Errorf("exit code %d, %q, %q", code, stdout, stderr)
	}
}

// TestNoReachableGateway guards against an error that does not name the gateway.
func TestNoReachableGateway(t *testing.T) {
	code, _, stderr := runCommand(t, unreachable, "status")
	if code != 1 || !strings.Contains(stderr, "ask gateway "+unreachable) {
		t.Errorf("exit code %d, %q", code, stderr)
	}
}

// TestApplyFileOfOlderRevision guards against an older file that undoes edits of other fields, and a conflict in the same field
// that is not reported.
func TestApplyFileOfOlderRevision(t *testing.T) {
	address := startGateway(t, &fakeGateway{name: "gateway-a-1"})
	_, text, _ := runCommand(t, address, "get", "config")
	runCommand(t, address, "label", "worker", "w1", "pool=spare", "--change-id", "theirs")
	file := filepath.Join(t.TempDir(), "edited.yaml")
	write := func(old, new string) {
		if !strings.Contains(text, old) {
			t.Fatalf("the configuration has no %q", old)
		}
		if err := os.WriteFile(file, []byte(strings.Replace(text, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	write("tenantInFlight: 16", "tenantInFlight: 17")
	code, stdout, stderr := runCommand(t, address, "diff", "-f", file)
	if code != 0 || !strings.Contains(stdout, "rule history: tenantInFlight 16 -> 17") || strings.Contains(stdout, "label pool of") {
		t.Errorf("diff: exit code %d, %q, %q", code, stdout, stderr)
	}
	if code, _, stderr = runCommand(t, address, "apply", "-f", file); code != 0 {
		t.Errorf("apply: exit code %d, %q", code, stderr)
	}
	if _, now, _ := runCommand(t, address, "get", "config"); !strings.Contains(now, "pool: spare") || !strings.Contains(now, "tenantInFlight: 17") {
		t.Errorf("one of two disjoint edits was lost: %s", now)
	}

	write("w1:\n      pool: counter", "w1:\n      pool: billing")
	code, _, stderr = runCommand(t, address, "apply", "-f", file)
	if code != 1 || !strings.Contains(stderr, "label pool of worker w1 was also changed by edit theirs") {
		t.Errorf("conflict: exit code %d, %q", code, stderr)
	}
}

// TestExplainQueriesGivenGateways guards against given gateways that are not queried because the first one does not list them.
func TestExplainQueriesGivenGateways(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	first := &fakeGateway{name: "gateway-a-1", decisions: []decision.Record{
		{Sequence: 1, Time: start, Process: "gateway-a-1", Kind: decision.KindRefusal, Subject: "req-1", Reason: "The gateway is stopping."},
	}}
	second := &fakeGateway{name: "gateway-b-1", decisions: []decision.Record{{
		Sequence: 7, Time: start.Add(time.Millisecond), Process: "gateway-b-1", Kind: decision.KindRequest, Subject: "req-1", Reason: "Served.",
		Inputs: map[string]string{"try1": "w1 in 20 ms"},
	}}}
	gateways := strings.Join([]string{startGateway(t, first), startGateway(t, second), unreachable}, ",")
	code, stdout, _ := runCommand(t, gateways, "explain", "req-1")
	order := []string{"2 decisions", "The gateway is stopping.", "Served.", "try1=w1 in 20 ms", unreachable}
	for _, want := range order {
		_, rest, found := strings.Cut(stdout, want)
		if code != 0 || !found {
			t.Fatalf("exit code %d, %q, want %q at this point", code, stdout, want)
		}
		stdout = rest
	}
}
