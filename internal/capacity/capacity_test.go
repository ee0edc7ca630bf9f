package capacity

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/samber/lo"
)

func TestMeasureCountsControl(t *testing.T) {
	results, err := Measure(Options{Nodes: 30, Workers: 240, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	roles := lo.Map(results, func(r Result, _ int) string { return r.Role })
	for _, role := range []string{"owner", "representative", "planner", "watcher"} {
		if !strings.Contains(strings.Join(roles, ", "), role) {
			t.Errorf("no router is the %s among %v", role, roles)
		}
	}
	for _, result := range results {
		if result.ProcessorPercent <= 0 || result.Memory <= 0 || result.Sent <= 0 || result.Received <= 0 {
			t.Errorf("%s: nothing was measured: %+v", result.Role, result)
		}
		if result.InForce <= 0 || result.InForce > budgetInForce {
			t.Errorf("%s: edits in force after %v", result.Role, result.InForce)
		}
		for _, kind := range []string{"Ping", "ConfigurationDigest", "RecordsDigest"} {
			if result.SentByKind[kind].Messages == 0 {
				t.Errorf("%s sent no %s", result.Role, kind)
			}
		}
		for _, kind := range []string{"KeepAlive", listMembers} {
			if result.RequestsByKind[kind] == 0 {
				t.Errorf("%s asked no %s", result.Role, kind)
			}
		}
	}
}

func TestCommandEndsWithALineOfJSON(t *testing.T) {
	var out bytes.Buffer
	command := Command{Nodes: 8, Workers: 32, Seed: 1}
	if err := command.Run(&out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var fields map[string]float64
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &fields); err != nil {
		t.Fatalf("last line %q: %v", lines[len(lines)-1], err)
	}
	for _, name := range []string{
		"nodes", "workers", "cpu_percent_of_core", "memory_mb", "control_bytes_per_second", "config_in_force_seconds", "store_requests_per_second",
	} {
		if _, found := fields[name]; !found {
			t.Errorf("no %s in %q", name, lines[len(lines)-1])
		}
	}
	if fields["nodes"] != 8 || fields["workers"] != 32 {
		t.Errorf("sizes %v and %v", fields["nodes"], fields["workers"])
	}
}

func TestMarkShowsWhatIsOverTheBudget(t *testing.T) {
	tests := []struct {
		desc  string
		value float64
		want  string
	}{
		{"within", 3, "3.0"},
		{"at the budget", 4, "4.0"},
		{"over", 4.5, "4.5 OVER"},
		{"never in force", -1, "-1.0 OVER"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := mark("%.1f", test.value, 4); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func BenchmarkMeasure(b *testing.B) {
	for range b.N {
		if _, err := Measure(Options{Nodes: 160, Workers: 2600, Seed: 1}); err != nil {
			b.Fatal(err)
		}
	}
}

func TestEditsAreInForceAfterTheLossOfAZone(t *testing.T) {
	results, err := Measure(Options{Nodes: 34, Workers: 170, Seed: 1, LoseZone: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, result := range results {
		if result.InForce <= 0 || result.InForce > budgetInForce {
			t.Errorf("%s: edits in force after %v", result.Role, result.InForce)
		}
	}
}
