package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/engine"
)

func testEngine(name string, role engine.Role, change func(e *Engine)) Engine {
	result := Engine{
		Name:          name,
		Groups:        []string{"main"},
		Zone:          "a",
		Configuration: engine.Configuration{Role: role, Model: "m", ModelVersion: "1", Adapters: []string{"x"}},
		MemoryTotal:   200_000,
	}
	if change != nil {
		change(&result)
	}
	return result
}

func longPrompt() Request {
	return Request{ID: "r", Model: "m", PromptTokens: 6000, OutputTokens: 12}
}

func longAnswer() Request {
	return Request{ID: "r", Model: "m", PromptTokens: 100, OutputTokens: 300}
}

func TestPlaceFilters(t *testing.T) {
	tests := []struct {
		desc    string
		request func(r *Request)
		engine  func(e *Engine)
		want    string
		passing bool
	}{
		{desc: "excluded", request: func(r *Request) { r.ExcludedEngines = []string{"e"} }, want: FilterExcluded},
		{desc: "another group", request: func(r *Request) { r.AllowedGroups = []string{"other"} }, want: FilterGroup},
		{desc: "leaving", engine: func(e *Engine) { e.Leaving = true }, want: FilterLeaving},
		{desc: "unready", engine: func(e *Engine) { e.Unready = true }, want: FilterUnready, passing: true},
		{desc: "another model", request: func(r *Request) { r.Model = "n" }, want: FilterModel},
		{desc: "another version", request: func(r *Request) { r.ModelVersion = "2" }, want: FilterModel},
		{desc: "adapter not loaded", request: func(r *Request) { r.Adapter = "y" }, want: FilterAdapter},
		{desc: "no role", engine: func(e *Engine) { e.Configuration.Role = engine.RoleNone }, want: FilterRole},
		{desc: "longer than the memory", request: func(r *Request) { r.PromptTokens = 200_000 }, want: FilterTooLong},
		{desc: "draining", engine: func(e *Engine) { e.Draining = true }, want: FilterDraining, passing: true},
		{desc: "changing", engine: func(e *Engine) { e.Changing = true }, want: FilterChanging, passing: true},
		{desc: "circuit open", engine: func(e *Engine) { e.CircuitOpen = true }, want: FilterCircuit, passing: true},
		{desc: "no slot", engine: func(e *Engine) { e.Running = 64 }, want: FilterSlots, passing: true},
		{desc: "a prompt that holds up many runs", engine: func(e *Engine) { e.Running = 50 }, want: FilterHoldUp, passing: true},
		{desc: "the same prompt, cached", engine: func(e *Engine) { e.Running, e.CachedTokens = 50, 5000 }},
		{desc: "no memory", engine: func(e *Engine) { e.MemoryUsed = 199_000 }, want: FilterMemory, passing: true},
		{desc: "nothing against it", request: func(r *Request) { r.Adapter, r.ModelVersion, r.AllowedGroups = "x", "1", []string{"main"} }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			request := longPrompt()
			if test.request != nil {
				test.request(&request)
			}
			result := Place(request, []Engine{testEngine("e", engine.RoleDecode, test.engine)}, DefaultSettings())
			if got := result.Candidates[0].FilteredBy; got != test.want {
				t.Fatalf("filtered by %q, want %q", got, test.want)
			}
			if (result.Engine == "") != (test.want != "") || result.Reason == "" {
				t.Errorf("result %+v", result)
			}
			if Passing(test.want) != test.passing {
				t.Errorf("passing is %t", !test.passing)
			}
		})
	}
}

func TestPlaceChooses(t *testing.T) {
	prefill, decode := engine.RolePrefill, engine.RoleDecode
	tests := []struct {
		desc    string
		request Request
		engines []Engine
		want    string
	}{
		{"a long prompt goes to a prefill engine", longPrompt(), []Engine{testEngine("p", prefill, nil), testEngine("d", decode, nil)}, "p"},
		{"a long answer goes to a decode engine", longAnswer(), []Engine{testEngine("p", prefill, nil), testEngine("d", decode, nil)}, "d"},
		{"a long answer goes to a decode engine that works", longAnswer(), []Engine{
			testEngine("p", prefill, nil), testEngine("d", decode, func(e *Engine) { e.Running, e.PendingOutputTokens = 20, 4000 }),
		}, "d"},
		{"the shorter queue", longPrompt(), []Engine{
			testEngine("p1", prefill, func(e *Engine) { e.PendingPromptTokens, e.Running = 6000, 1 }), testEngine("p2", prefill, nil),
		}, "p2"},
		{"the cached prefix", longPrompt(), []Engine{
			testEngine("p1", prefill, nil), testEngine("p2", prefill, func(e *Engine) { e.CachedTokens = 4096 }),
		}, "p2"},
		{"a cached prefix does not outweigh a long queue", longPrompt(), []Engine{
			testEngine("p1", prefill, nil),
			testEngine("p2", prefill, func(e *Engine) { e.CachedTokens, e.Running, e.PendingPromptTokens = 4096, 6, 30000 }),
		}, "p1"},
		{"the engine that reads less", longAnswer(), []Engine{
			testEngine("d1", decode, func(e *Engine) { e.ReadingShare = 0.5 }), testEngine("d2", decode, nil),
		}, "d2"},
		{"the emptier memory", longAnswer(), []Engine{
			testEngine("d1", decode, func(e *Engine) { e.MemoryUsed = 195_000 }), testEngine("d2", decode, nil),
		}, "d2"},
		{"slow start after a recovery", longAnswer(), []Engine{
			testEngine("d1", decode, func(e *Engine) { e.Running, e.Recovering = 3, 1 }),
			testEngine("d2", decode, func(e *Engine) { e.Running = 4 }),
		}, "d2"},
		{"the near zone", Request{ID: "r", Model: "m", Zone: "a", PromptTokens: 100, OutputTokens: 10}, []Engine{
			testEngine("d1", decode, func(e *Engine) { e.Zone = "b" }), testEngine("d2", decode, nil),
		}, "d2"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			result := Place(test.request, test.engines, DefaultSettings())
			if result.Engine != test.want {
				t.Errorf("chose %s, want %s: %s", result.Engine, test.want, result.Reason)
			}
			if !strings.HasPrefix(result.Reason, "Least expected delay") || result.FinishSeconds < result.FirstTokenSeconds {
				t.Errorf("result %+v", result)
			}
		})
	}
}

func TestPlaceSharesBetweenEqualEngines(t *testing.T) {
	engines := []Engine{testEngine("a", engine.RoleDecode, nil), testEngine("b", engine.RoleDecode, nil)}
	counts := map[string]int{}
	for index := range 1000 {
		request := longAnswer()
		request.ID = fmt.Sprint(index)
		counts[Place(request, engines, DefaultSettings()).Engine]++
	}
	if counts["a"] < 400 || counts["b"] < 400 {
		t.Errorf("shared as %v", counts)
	}
}

func TestPlaceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		for index := range rapid.IntRange(0, 8).Draw(t, "engines") {
			engines = append(engines, testEngine(fmt.Sprint("e", index), rapid.SampledFrom(engine.Roles()).Draw(t, "role"), func(e *Engine) {
				e.Running = rapid.IntRange(0, 70).Draw(t, "running")
				e.PendingPromptTokens = rapid.IntRange(0, 20_000).Draw(t, "pending")
				e.CachedTokens = rapid.IntRange(0, 10_000).Draw(t, "cached")
				e.Draining = rapid.Bool().Draw(t, "draining")
				e.MemoryUsed = rapid.IntRange(0, 200_000).Draw(t, "memory")
			}))
		}
		request := Request{ID: "r", Model: "m", PromptTokens: rapid.IntRange(1, 9000).Draw(t, "prompt"), OutputTokens: rapid.IntRange(1, 400).Draw(t, "output")}
		result := Place(request, engines, DefaultSettings())
		if len(result.Candidates) != len(engines) {
			t.Fatalf("%d candidates of %d engines", len(result.Candidates), len(engines))
		}
		for _, each := range engines {
			if each.Name == result.Engine && removedBy(&request, &each, &Settings{Speeds: DefaultSettings().Speeds}) != noFilterRemoved {
				t.Fatalf("chose %s, which a filter removes", each.Name)
			}
		}
		slices.Reverse(engines)
		if again := Place(request, engines, DefaultSettings()); fmt.Sprint(again) != fmt.Sprint(result) {
			t.Fatalf("the result depends on the order of engines: %v and %v", result, again)
		}
	})
}
