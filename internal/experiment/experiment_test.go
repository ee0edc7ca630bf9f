package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// small is a deployment whose runs take a moment. Its mix swings once.
func small() deployment {
	return deployment{
		name: "small", engines: 4, tenants: 3, duration: 50 * time.Second,
		policy: roleplan.Policy{Floors: map[engine.Role]int{engine.RoleDecode: 1}, MaxChanging: 2},
		classes: []class{
			{
				name: "long", prompt: tokenRange{3000, 5000}, output: tokenRange{6, 18}, timeLimit: 5 * time.Second,
				sharedPrefix: tokenRange{1000, 2000}, owners: 10, rate: steps(point{0, 12}, point{25 * time.Second, 1}),
			},
			{
				name: "short", prompt: tokenRange{40, 240}, output: tokenRange{200, 400}, timeLimit: 14 * time.Second, owners: 10,
				rate: steps(point{0, 1}, point{25 * time.Second, 18}),
			},
		},
	}
}

func TestWorkloadIsAFunctionOfItsSeed(t *testing.T) {
	first, again, other := small().workload(1, 1), small().workload(1, 1), small().workload(2, 1)
	if !reflect.DeepEqual(first, again) {
		t.Error("two workloads of one seed differ")
	}
	if reflect.DeepEqual(first.Requests, other.Requests) {
		t.Error("workloads of two seeds are equal")
	}
	for index, each := range first.Requests {
		if index > 0 && each.At < first.Requests[index-1].At {
			t.Fatalf("request %d arrives before the one before it", index)
		}
		if len(each.PrefixBlocks) != each.PromptTokens/engine.PrefixBlockTokens {
			t.Fatalf("request %d has %d blocks and %d tokens", index, len(each.PrefixBlocks), each.PromptTokens)
		}
	}
}

func TestCurve(t *testing.T) {
	stepped := steps(point{0, 10}, point{10 * time.Second, 20}).then(point{20 * time.Second, 40})
	stepped.bursts = []burst{{5 * time.Second, time.Second, 7}}
	tests := []struct {
		desc string
		at   time.Duration
		want float64
	}{
		{"start", 0, 10},
		{"before the step", 9 * time.Second, 10},
		{"at the step", 10 * time.Second, 20},
		{"within the ramp", 15 * time.Second, 30},
		{"after the end", time.Minute, 40},
		{"burst", 5500 * time.Millisecond, 17},
		{"after the burst", 6 * time.Second, 10},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := stepped.at(test.at); got != test.want {
				t.Errorf("rate %g, want %g", got, test.want)
			}
			if got := stepped.at(test.at); got > stepped.peak() {
				t.Errorf("rate %g above the peak %g", got, stepped.peak())
			}
		})
	}
}

func TestFairQueue(t *testing.T) {
	queued := func(id, tenant string, priority int32) *call {
		return &call{request: &Request{ID: id, Tenant: tenant, Priority: priority, PromptTokens: 100}}
	}
	tests := []struct {
		desc     string
		settings frontSettings
		want     string
	}{
		{"in order of arrival", frontSettings{}, "a1 a2 a3 b1 c1"},
		{"priority first", frontSettings{priorities: true}, "c1 a1 a2 a3 b1"},
		{"tenants in turn", frontSettings{fair: true}, "a1 b1 c1 a2 a3"},
		{"priority first, then tenants in turn", frontSettings{fair: true, priorities: true}, "c1 a1 b1 a2 a3"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			queue := newFairQueue(test.settings)
			for _, each := range []*call{queued("a1", "a", 0), queued("a2", "a", 0), queued("a3", "a", 0), queued("b1", "b", 0), queued("c1", "c", 1)} {
				queue.push(each)
			}
			var order []string
			for queue.head() != nil {
				order = append(order, queue.head().request.ID)
				queue.remove(queue.head())
			}
			if got := strings.Join(order, " "); got != test.want {
				t.Errorf("order %s, want %s", got, test.want)
			}
		})
	}
}

func TestTenantShares(t *testing.T) {
	shares := newTenantShares()
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		shares.record(now, "even", 100)
		shares.record(now, "other", 100)
		shares.record(now, "flood", 1000)
	}
	if got := shares.demand(now, "even"); got != 1 {
		t.Errorf("%g of the demand of a tenant within its share counts", got)
	}
	if got := shares.demand(now, "flood"); got > 0.2 {
		t.Errorf("%g of the demand of a flood counts", got)
	}
	if got := shares.slack(now.Add(10*time.Minute), "flood"); got != 1 {
		t.Errorf("a tenant that was quiet for long has a slack of %g", got)
	}
}

// TestEveryRequestEnds runs the policies that change roles, and checks that changes cut nothing and the counts add up.
func TestEveryRequestEnds(t *testing.T) {
	workload := small().workload(1, 1)
	for _, each := range []policy{granitebayPolicy(workload), reactivePolicies(workload)[0].policy, clairvoyantPolicies(workload)[0].policy} {
		t.Run(each.name, func(t *testing.T) {
			finished := simulate(workload, each)
			if len(finished.calls) != len(workload.Requests) {
				t.Fatalf("%d calls of %d requests", len(finished.calls), len(workload.Requests))
			}
			for _, each := range finished.calls {
				if each.finished.IsZero() != each.shed {
					t.Fatalf("%s: finished at %s, shed %t", each.request.ID, each.finished, each.shed)
				}
				if !each.shed && each.received != each.request.OutputTokens {
					t.Fatalf("%s got %d of %d tokens", each.request.ID, each.received, each.request.OutputTokens)
				}
			}
			for _, each := range finished.front.engines {
				if each.running != 0 || each.pendingPromptTokens != 0 || each.pendingOutputTokens != 0 || each.memoryUsed != 0 {
					t.Errorf("%s ends with %d runs, %d and %d tokens, %d of memory", each.name, each.running,
						each.pendingPromptTokens, each.pendingOutputTokens, each.memoryUsed)
				}
			}
		})
	}
}

func TestRunsAreRepeatable(t *testing.T) {
	workload := small().workload(3, 1)
	first, again := simulate(workload, granitebayPolicy(workload)).result(), simulate(workload, granitebayPolicy(workload)).result()
	if !reflect.DeepEqual(first, again) {
		t.Errorf("two runs of one seed gave %+v and %+v", first, again)
	}
	if first.RoleChanges == 0 {
		t.Error("the plan changed no role while the mix swung")
	}
}

func TestOutput(t *testing.T) {
	workload := small().workload(1, 1)
	command := MixShiftCommand{Policies: []string{PolicyGranitebay, PolicyReactive, PolicyBestStatic, PolicyClairvoyant}}
	compared, err := compare(context.Background(), workload, command.variants(workload), 2)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := writeTable(&out, compared); err != nil {
		t.Fatal(err)
	}
	if err := writeJSON(&out, summarize([]*comparison{compared})); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var line summary
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &line); err != nil {
		t.Fatal(err)
	}
	for _, name := range command.Policies {
		if result, found := line.Policies[name]; !found || result.Goodput <= 0 || result.Goodput > 1 {
			t.Errorf("%s: %+v", name, result)
		}
	}
	file := filepath.Join(t.TempDir(), "report.html")
	if err := writeReport(file, compared); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(page), "<svg") != 4 || regexp.MustCompile(`(src|href)="?(https?:)?//`).Match(page) {
		t.Error("the report lacks plots or needs a network")
	}
}
