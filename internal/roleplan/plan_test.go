package roleplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/engine"
)

var testNow = time.Unix(1_700_000_000, 0)

// testSpeeds are those of the stand-in engines.
func testSpeeds() map[engine.Role]Speed {
	return map[engine.Role]Speed{
		engine.RolePrefill: {PromptTokensPerSecond: 16000, StepSeconds: 0.021, StepSecondsPerRun: 0.001, Slots: 8},
		engine.RoleDecode:  {PromptTokensPerSecond: 6000, StepSeconds: 0.0152, StepSecondsPerRun: 0.0002, Slots: 64},
	}
}

func testEngines(prefill, decode int) []Engine {
	return lo.Times(prefill+decode, func(index int) Engine {
		return Engine{
			Name: fmt.Sprintf("engine-%02d", index),
			Role: lo.Ternary(index < prefill, engine.RolePrefill, engine.RoleDecode),
		}
	})
}

// testClass is a class whose averages agree.
func testClass(name string, requests, promptTokens, outputTokens float64) ClassDemand {
	return ClassDemand{
		Name:         name,
		Requests:     Steady(requests),
		PromptTokens: Steady(requests * promptTokens),
		OutputTokens: Steady(requests * outputTokens),
	}
}

func prompts(rate float64) Demand {
	return Demand{Classes: []ClassDemand{testClass("review", rate, 4000, 12), testClass("question", 3, 140, 300)}}
}

func answers(rate float64) Demand {
	return Demand{Classes: []ClassDemand{testClass("review", 2, 4000, 12), testClass("question", rate, 140, 300)}}
}

func TestMakePlan(t *testing.T) {
	cheap := Policy{ChangeCost: 5, MaxChanging: 3}
	tests := []struct {
		desc        string
		demand      Demand
		engines     []Engine
		policy      Policy
		wantChanges int
		wantTo      engine.Role
	}{
		{desc: "no demand, no change", engines: testEngines(6, 6), policy: cheap},
		{desc: "what fits stays", demand: prompts(5), engines: testEngines(6, 6), policy: cheap},
		{desc: "prompts beyond the prefill engines", demand: prompts(25), engines: testEngines(3, 9), policy: cheap, wantChanges: 3, wantTo: engine.RolePrefill},
		{desc: "answers beyond the decode engines", demand: answers(60), engines: testEngines(9, 3), policy: cheap, wantChanges: 3, wantTo: engine.RoleDecode},
		{desc: "a change that costs more than it gains", demand: prompts(25), engines: testEngines(3, 9), policy: Policy{ChangeCost: 1e6, MaxChanging: 3}},
		{desc: "a role that is not allowed", demand: prompts(25), engines: testEngines(3, 9), policy: Policy{AllowedRoles: []engine.Role{engine.RoleDecode}, MaxChanging: 3}},
		{desc: "a floor", demand: prompts(25), engines: testEngines(3, 9), policy: Policy{Floors: map[engine.Role]int{engine.RoleDecode: 7}, MaxChanging: 3}, wantChanges: 2, wantTo: engine.RolePrefill},
		{desc: "no bound counts as one", demand: prompts(25), engines: testEngines(3, 9), policy: Policy{}, wantChanges: 1, wantTo: engine.RolePrefill},
		{desc: "engines that are out count against the bound", demand: prompts(40), engines: lo.Map(testEngines(3, 9), func(each Engine, index int) Engine {
			each.Changing, each.Target = index > 9, engine.RolePrefill
			return each
		}), policy: cheap, wantChanges: 1, wantTo: engine.RolePrefill},
		{desc: "engines that changed just now stay", demand: prompts(25), engines: lo.Map(testEngines(3, 9), func(each Engine, _ int) Engine {
			each.ChangedAt = testNow.Add(-time.Second)
			return each
		}), policy: Policy{MinDwell: time.Minute, MaxChanging: 3}},
		{desc: "an engine without a role gets one", demand: prompts(25), engines: append(testEngines(9, 3), Engine{Name: "new"}), policy: Policy{ChangeCost: 1e6, MaxChanging: 1}, wantChanges: 1, wantTo: engine.RolePrefill},
		{desc: "a floor decides for an engine without a role", demand: prompts(25), engines: append(testEngines(9, 3), Engine{Name: "new"}), policy: Policy{ChangeCost: 1e6, Floors: map[engine.Role]int{engine.RoleDecode: 4}}, wantChanges: 1, wantTo: engine.RoleDecode},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			plan := MakePlan(testNow, test.demand, test.engines, test.policy, NewCapacity(testSpeeds()), DefaultSettings())
			if len(plan.Changes) != test.wantChanges {
				t.Fatalf("%d changes, want %d: %s", len(plan.Changes), test.wantChanges, plan.Reason)
			}
			for _, change := range plan.Changes {
				if change.To != test.wantTo || change.Reason == "" {
					t.Errorf("change %+v, want to %s with a reason", change, test.wantTo)
				}
			}
			if plan.Reason == "" {
				t.Error("the plan has no reason")
			}
		})
	}
}

func TestMakePlanChangesTheEngineWithTheLeastWork(t *testing.T) {
	engines := testEngines(3, 9)
	for index := range engines {
		engines[index].Pending = time.Duration(20-index) * time.Second
	}
	plan := MakePlan(testNow, prompts(25), engines, Policy{}, NewCapacity(testSpeeds()), DefaultSettings())
	if len(plan.Changes) != 1 || plan.Changes[0].Engine != "engine-11" {
		t.Errorf("changes %+v, want engine-11", plan.Changes)
	}
}

func TestMakePlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.SliceOfN(rapid.Custom(drawEngine), 1, 12).Draw(t, "engines")
		for index := range engines {
			engines[index].Name = fmt.Sprintf("engine-%02d", index)
		}
		policy := Policy{
			Floors:      map[engine.Role]int{engine.RolePrefill: rapid.IntRange(0, 3).Draw(t, "prefill"), engine.RoleDecode: rapid.IntRange(0, 3).Draw(t, "decode")},
			ChangeCost:  rapid.Float64Range(0, 50).Draw(t, "cost"),
			MinDwell:    10 * time.Second,
			MaxChanging: rapid.IntRange(0, 4).Draw(t, "changing"),
		}
		demand := Demand{Classes: []ClassDemand{
			testClass("review", rapid.Float64Range(0, 40).Draw(t, "reviews"), 4000, 12),
			testClass("question", rapid.Float64Range(0, 80).Draw(t, "questions"), 140, 300),
		}}
		plan := MakePlan(testNow, demand, engines, policy, NewCapacity(testSpeeds()), DefaultSettings())
		checkPlan(t, plan, engines, policy)

		slices.Reverse(engines)
		slices.Reverse(demand.Classes)
		again := MakePlan(testNow, demand, engines, policy, NewCapacity(testSpeeds()), DefaultSettings())
		if fmt.Sprint(plan) != fmt.Sprint(again) {
			t.Fatalf("the plan depends on the order of its arguments: %v and %v", plan, again)
		}
	})
}

func drawEngine(t *rapid.T) Engine {
	return Engine{
		Role:      rapid.SampledFrom([]engine.Role{engine.RoleNone, engine.RolePrefill, engine.RoleDecode}).Draw(t, "role"),
		Changing:  rapid.IntRange(0, 4).Draw(t, "changing") == 0,
		Target:    rapid.SampledFrom(engine.Roles()).Draw(t, "target"),
		ChangedAt: testNow.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "ago")) * time.Second),
		Unusable:  rapid.IntRange(0, 5).Draw(t, "unusable") == 0,
	}
}

// checkPlan checks what must hold of every plan.
func checkPlan(t *rapid.T, plan Plan, engines []Engine, policy Policy) {
	byName := lo.KeyBy(engines, func(each Engine) string { return each.Name })
	moved, out := 0, 0
	after := map[engine.Role]int{}
	for _, each := range engines {
		if each.Changing && !each.Unusable {
			out++
		}
		if !each.Unusable {
			after[lo.Ternary(each.Changing, each.Target, each.Role)]++
		}
	}
	before := map[engine.Role]int{engine.RolePrefill: after[engine.RolePrefill], engine.RoleDecode: after[engine.RoleDecode]}
	for _, change := range plan.Changes {
		each := byName[change.Engine]
		if each.Changing || each.Unusable || each.Role != change.From || change.To == change.From {
			t.Fatalf("change %+v of engine %+v", change, each)
		}
		after[change.From]--
		after[change.To]++
		if change.From == engine.RoleNone {
			continue
		}
		moved++
		if testNow.Sub(each.ChangedAt) < policy.MinDwell {
			t.Fatalf("%s changed %s ago", each.Name, testNow.Sub(each.ChangedAt))
		}
	}
	if moved > max(0, max(1, policy.MaxChanging)-out) {
		t.Fatalf("%d changes with %d engines out, allowed are %d", moved, out, policy.MaxChanging)
	}
	for role, floor := range policy.Floors {
		if after[role] < min(floor, before[role]) {
			t.Fatalf("%d %s engines after the changes and %d before, the floor is %d", after[role], role, before[role], floor)
		}
	}
}
