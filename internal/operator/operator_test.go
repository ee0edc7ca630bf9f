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
)

// fakeRouter keeps the configuration in memory.
type fakeRouter struct {
	adminapi.Backend
	name      string
	mutex     sync.Mutex
	document  configuration.Document
	decisions []decision.Record
	// routers that it knows, itself included or not.
	routers []adminapi.RouterStatus
}

func (r *fakeRouter) FleetStatus(context.Context) (adminapi.FleetStatus, error) {
	return adminapi.FleetStatus{Router: r.name, Zone: "zone-a", Ready: true, Engines: 12, EngineStates: map[string]int{"ready": 12}}, nil
}
func (r *fakeRouter) RouterView(context.Context) (adminapi.RouterView, error) {
	return adminapi.RouterView{Router: r.name}, nil
}
func (r *fakeRouter) Engines(context.Context) ([]adminapi.EngineStatus, error) {
	return []adminapi.EngineStatus{{Name: "engine-a-1", Group: "counter", Role: "prefill", MemoryUsed: 1, MemoryTotal: 4}}, nil
}
func (r *fakeRouter) Routers(context.Context) ([]adminapi.RouterStatus, error) {
	return r.routers, nil
}
func (r *fakeRouter) Configuration(context.Context) (configuration.Document, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.document, nil
}
func (r *fakeRouter) ConfigStatus(context.Context) (adminapi.ConfigStatus, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return adminapi.ConfigStatus{Accepted: r.document.Revision, InForceEverywhere: r.document.Revision}, nil
}
func (r *fakeRouter) Propose(_ context.Context, request configuration.EditRequest) (configuration.ProposeResult, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next, conflicts, err := configuration.Preview(r.document, request, time.Unix(1_700_000_000, 0))
	result := configuration.ProposeResult{ChangeID: request.ChangeID, Conflicts: conflicts, Err: err}
	if err == nil && len(conflicts) == 0 {
		result.Accepted, result.Unchanged = true, next.Revision == r.document.Revision
		r.document = next
		result.Revision = next.Revision
	}
	return result, nil
}
func (r *fakeRouter) KnownEngines(context.Context) ([]configuration.EngineInfo, error) {
	return []configuration.EngineInfo{{Name: "engine-a-1", Labels: map[string]string{"zone": "zone-a"}}}, nil
}
func (r *fakeRouter) KnownRequests(context.Context) ([]map[string]string, error) { return nil, nil }
func (r *fakeRouter) Decisions(since uint64) []decision.Record {
	return adminapi.DecisionFilter{Since: since}.Select(r.decisions)
}

// serve starts a router on loopback with the example of Fès as its first edit, and returns its address.
func serve(t *testing.T, router *fakeRouter) string {
	t.Helper()
	example, err := configuration.Example(configuration.ExampleFes)
	if err != nil {
		t.Fatal(err)
	}
	first := configuration.EditRequest{ChangeID: "first", Edits: []configuration.Edit{configuration.Apply(example.Spec)}}
	if result, _ := router.Propose(t.Context(), first); !result.Accepted {
		t.Fatal(result.Err)
	}
	mux := http.NewServeMux()
	adminapi.Register(humago.New(mux, huma.DefaultConfig("granitebay", "1")), router)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// runLine runs a command line against routers and returns the exit code and what it printed.
func runLine(t *testing.T, routers string, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = Run(t.Context(), append([]string{"--router", routers}, arguments...), &out, &errs)
	return code, out.String(), errs.String()
}

// unreachable is an address on which nothing listens.
const unreachable = "127.0.0.1:1"

func TestCommands(t *testing.T) {
	tests := []struct {
		desc      string
		arguments []string
		code      int
		// stdout and stderr that the command must print, among others.
		stdout, stderr []string
	}{
		{desc: "help", arguments: []string{"--help"}, stdout: []string{"Exit codes: 0 done, 1 failed, 2 bad"}},
		{desc: "unknown command", arguments: []string{"reboot"}, code: 2, stderr: []string{"reboot"}},
		{desc: "status", arguments: []string{"status"}, stdout: []string{"router-a-1", "12 (ready 12)"}},
		{desc: "status as JSON", arguments: []string{"-o", "json", "status"}, stdout: []string{`"router": "router-a-1"`}},
		{desc: "engines", arguments: []string{"get", "engines"}, stdout: []string{"NAME", "engine-a-1", "counter", "25%"}},
		{desc: "engines as YAML", arguments: []string{"-o", "yaml", "get", "engines"}, stdout: []string{"group: counter"}},
		{desc: "configuration", arguments: []string{"get", "config"}, stdout: []string{"revision: 1", "changeCost: 5"}},
		{desc: "label", arguments: []string{"label", "engine", "engine-a-1", "pool=x", "rack=7"}, stdout: []string{"accepted as revision 2"}},
		{desc: "label already there", arguments: []string{"label", "engine", "engine-a-1", "pool=counter"}, stdout: []string{"nothing to change"}},
		{desc: "label removed", arguments: []string{"label", "engine", "engine-a-1", "pool-", "--wait", "5s"}, stderr: []string{"in force everywhere"}},
		{
			desc: "dry run", arguments: []string{"label", "engine", "engine-a-1", "pool-", "--dry-run"},
			stdout: []string{"label pool of engine engine-a-1: removed", "engine engine-a-1: counter -> none"},
		},
		{desc: "neither label nor removal", arguments: []string{"label", "engine", "engine-a-1", "pool"}, code: 2, stderr: []string{"neither"}},
		{desc: "label of the platform", arguments: []string{"label", "engine", "engine-a-1", "zone=zone-b"}, code: 2, stderr: []string{"spec.engineLabels[engine-a-1][zone]"}},
		{desc: "one kind of object in the singular", arguments: []string{"get", "engine"}, stdout: []string{"engine-a-1"}},
		{desc: "label of an unknown engine", arguments: []string{"label", "engine", "engine-z-9", "pool=x"}, stdout: []string{"accepted"}, stderr: []string{"no engine engine-z-9 is known"}},
		{desc: "unknown kind of decisions", arguments: []string{"decisions", "--kind", "reboot"}, code: 2, stderr: []string{`no kind "reboot"`, "plan"}},
		{desc: "no decision", arguments: []string{"decisions", "--kind", "plan"}, stderr: []string{"no decision that is kept fits"}},
		{desc: "missing file", arguments: []string{"apply", "-f", "testdata/none.yaml"}, code: 2, stderr: []string{"none.yaml"}},
		{desc: "unknown request", arguments: []string{"explain", "req-9"}, code: 1, stderr: []string{"no router"}},
		{
			desc: "command to one engine", arguments: []string{"drain", "engine-b-2", "--force"}, code: 2,
			stderr: []string{"no command \"drain\"", "granitebay label engine engine-b-2 pool-"},
		},
		{desc: "order to one engine", arguments: []string{"order", "engine-b-2", "decode"}, code: 2, stderr: []string{"rolePolicy"}},
		{
			desc: "file with five faults", arguments: []string{"validate", "-f", "testdata/five-faults.yaml"}, code: 2,
			stderr: []string{
				"5 faults", "spec.rules[quick].urgent: is an unknown field", "spec.groups[counter].engineSelector",
				"spec.groups[counter].models[roast-verdict].version: \"2\"", "spec.rules[quick].groups[0]: \"counters\"",
				"spec.rules[quick].priority: 12",
			},
		},
		{desc: "valid file", arguments: []string{"validate", "-f", "../configuration/examples/magnolia.yaml"}, stdout: []string{"2 groups, 4 rules"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			address := serve(t, &fakeRouter{name: "router-a-1"})
			code, stdout, stderr := runLine(t, unreachable+","+address, test.arguments...)
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

// TestAddressAsURL takes an address as the demo and browsers show it.
func TestAddressAsURL(t *testing.T) {
	code, stdout, stderr := runLine(t, "http://"+serve(t, &fakeRouter{name: "router-a-1"})+"/", "status")
	if code != 0 || !strings.Contains(stdout, "router-a-1") {
		t.Errorf("exit code %d, %q, %q", code, stdout, stderr)
	}
}

func TestNoRouterAnswers(t *testing.T) {
	code, _, stderr := runLine(t, unreachable, "status")
	if code != 1 || !strings.Contains(stderr, "ask router "+unreachable) {
		t.Errorf("exit code %d, %q", code, stderr)
	}
}

// TestFileOfAnOlderRevision edits a file that was read before another operator's edit.
func TestFileOfAnOlderRevision(t *testing.T) {
	address := serve(t, &fakeRouter{name: "router-a-1"})
	_, text, _ := runLine(t, address, "get", "config")
	runLine(t, address, "label", "engine", "engine-a-1", "pool=spare", "--change-id", "theirs")
	file := filepath.Join(t.TempDir(), "edited.yaml")
	write := func(old, new string) {
		if !strings.Contains(text, old) {
			t.Fatalf("the configuration has no %q", old)
		}
		if err := os.WriteFile(file, []byte(strings.Replace(text, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	write("changeCost: 5", "changeCost: 6")
	code, stdout, stderr := runLine(t, address, "diff", "-f", file)
	if code != 0 || !strings.Contains(stdout, "group counter: rolePolicy.changeCost 5 -> 6") || strings.Contains(stdout, "label pool of") {
		t.Errorf("diff: exit code %d, %q, %q", code, stdout, stderr)
	}
	if code, _, stderr = runLine(t, address, "apply", "-f", file); code != 0 {
		t.Errorf("apply: exit code %d, %q", code, stderr)
	}
	if _, now, _ := runLine(t, address, "get", "config"); !strings.Contains(now, "pool: spare") || !strings.Contains(now, "changeCost: 6") {
		t.Errorf("one of two disjoint edits was lost: %s", now)
	}

	write("engine-a-1:\n      pool: counter", "engine-a-1:\n      pool: billing")
	code, _, stderr = runLine(t, address, "apply", "-f", file)
	if code != 1 || !strings.Contains(stderr, "label pool of engine engine-a-1 was also changed by edit theirs") {
		t.Errorf("conflict: exit code %d, %q", code, stderr)
	}
}

func TestExplainAsksAllRouters(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	ingress := &fakeRouter{name: "router-a-1", decisions: []decision.Record{
		{Sequence: 1, Time: start, Process: "router-a-1", Kind: decision.KindRoute, Subject: "req-1", Outcome: "router-b-1", Reason: "Shortest queue."},
		{Sequence: 2, Time: start.Add(time.Second), Process: "router-a-1", Kind: decision.KindOutcome, Subject: "req-1", Reason: "Answered."},
	}}
	owner := &fakeRouter{name: "router-b-1", decisions: []decision.Record{{
		Sequence: 7, Time: start.Add(time.Millisecond), Process: "router-b-1", Kind: decision.KindDispatch, Subject: "req-1", Reason: "Least loaded.",
		Candidates: []decision.Candidate{{Name: "engine-b-1", Score: 1}, {Name: "engine-b-2", FilteredBy: "draining"}},
	}}}
	routers := strings.Join([]string{serve(t, ingress), serve(t, owner), unreachable}, ",")
	code, stdout, _ := runLine(t, routers, "explain", "req-1")
	order := []string{"3 decisions", "Shortest queue.", "Least loaded.", "engine-b-2 left out by draining", "Answered.", unreachable}
	for _, want := range order {
		_, rest, found := strings.Cut(stdout, want)
		if code != 0 || !found {
			t.Fatalf("exit code %d, %q, want %q in this place", code, stdout, want)
		}
		stdout = rest
	}
}
