package configuration

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"
	"pgregory.net/rapid"
	"sigs.k8s.io/yaml"
)

// validText is a small valid document; tests replace parts of it.
const validText = `
spec:
  models:
    - {name: review, versions: ["1"], adapters: [rates]}
  groups:
    - {name: dock, engineSelector: pool=dock, models: [{model: review, version: "1", adapters: [rates]}]}
    - {name: desk, engineSelector: "pool in (desk, spare)", models: [{model: review, version: "1"}]}
  rules:
    - {name: quick, precedence: 2, requestSelector: "class=quick,model=review", groups: [desk, dock]}
    - {name: other, groups: [dock]}
  tenants:
    - {name: mill, limits: {maximumInFlight: 3}}
  engineLabels:
    engine-a-1: {pool: dock}
`

func TestValidateFindsAllFaults(t *testing.T) {
	tests := []struct {
		desc string
		// replace pairs of old and new text.
		replace []string
		// want are the paths of the fields with faults.
		want []string
	}{
		{desc: "valid"},
		{"unknown field", []string{"groups: [dock]}", "groups: [dock], urgent: yes}"}, []string{"spec.rules[other].urgent"}},
		{"text in place of a number", []string{"precedence: 2", "precedence: 2, priority: high"}, []string{"spec.rules[quick].priority"}},
		{"broken number", []string{"precedence: 2", "precedence: 2, priority: 2.5"}, []string{"spec.rules[quick].priority"}},
		{"number in place of text", []string{`version: "1"}`, `version: 1}`}, []string{"spec.groups[desk].models[0].version", "spec.groups[desk].models[review].version"}},
		{"not a duration", []string{"precedence: 2", "precedence: 2, defaultDeadline: 5"}, []string{"spec.rules[quick].defaultDeadline"}},
		{"names", []string{"name: mill", "name: Mill"}, []string{"spec.tenants[Mill].name"}},
		{"name twice", []string{"name: other", "name: quick"}, []string{"spec.rules[quick].name"}},
		{"bounds", []string{"precedence: 2", "precedence: 2, priority: 10, weight: 0, maximumQueue: -1, defaultDeadline: 20m"},
			[]string{"spec.rules[quick].priority", "spec.rules[quick].maximumDeadline", "spec.rules[quick].weight", "spec.rules[quick].maximumQueue"}},
		{"unknown references", []string{"[desk, dock]", "[desks, dock]", "adapters: [rates]}]", "adapters: [maps]}]"},
			[]string{"spec.groups[dock].models[review].adapters[0]", "spec.rules[quick].groups[0]"}},
		{"unknown model of a rule", []string{"model=review", "model=reviews"}, []string{"spec.rules[quick].requestSelector"}},
		{"model that no group of the rule serves", []string{"versions: [\"1\"], adapters: [rates]}", "versions: [\"1\"], adapters: [rates]}\n    - {name: map, versions: [\"1\"]}", "model=review,", "model=map,", "model=review\"", "model=map\""},
			[]string{"spec.rules[quick].groups"}},
		{"broken selector", []string{"pool=dock,", "pool in (,"}, []string{"spec.groups[dock].engineSelector"}},
		{"groups overlap", []string{"engineSelector: pool=dock", "engineSelector: zone=zone-a"}, []string{"spec.groups[desk].engineSelector"}},
		{"group selects every engine", []string{"engineSelector: pool=dock, ", ""}, []string{"spec.groups[desk].engineSelector"}},
		{"groups apart by absence", []string{"engineSelector: pool=dock", `engineSelector: "!pool"`}, nil},
		{"selector contradicts itself", []string{"class=quick,", "class=quick,class!=quick,"}, []string{"spec.rules[quick].requestSelector"}},
		{"repeatable is neither", []string{"class=quick,", "repeatable=maybe,"}, []string{"spec.rules[quick].requestSelector"}},
		{"rule is shadowed", []string{"precedence: 2", "precedence: -1"}, []string{"spec.rules[quick].requestSelector"}},
		{"labels", []string{"{pool: dock}", `{pool: dock, zone: zone-b, "a b": c, rack: "-"}`},
			[]string{"spec.engineLabels[engine-a-1][a b]", "spec.engineLabels[engine-a-1][rack]", "spec.engineLabels[engine-a-1][zone]"}},
		{"role policy", []string{"engineSelector: pool=dock", "rolePolicy: {allowedRoles: [decode, fast], floors: {prefill: -1}, changeCost: -2, minimumDwell: -1s}, engineSelector: pool=dock"},
			[]string{"spec.groups[dock].rolePolicy.allowedRoles[1]", "spec.groups[dock].rolePolicy.floors[prefill]", "spec.groups[dock].rolePolicy.floors[prefill]",
				"spec.groups[dock].rolePolicy.changeCost", "spec.groups[dock].rolePolicy.minimumDwell"}},
		{"key twice", []string{"precedence: 2", "precedence: 2, precedence: 3"}, []string{"(document)"}},
		{"not YAML", []string{"spec:", "spec: ["}, []string{"(document)"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			text := strings.NewReplacer(test.replace...).Replace(validText)
			_, faults := ParseAndValidate([]byte(text))
			got := lo.Map(faults, func(fault FieldError, _ int) string { return fault.Field })
			if !slices.Equal(got, test.want) {
				t.Errorf("faults %q\nwant fields %q", faults, test.want)
			}
			for _, fault := range faults {
				if fault.Problem == "" || (fault.Allowed == "" && fault.Field != "(document)") {
					t.Errorf("%v does not tell what is wrong and what is allowed", fault)
				}
			}
		})
	}
}

func TestDefaultsAndRoundTrip(t *testing.T) {
	document, faults := ParseAndValidate([]byte(validText))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	quick, dock := document.Rules[0], document.Groups[0]
	if quick.Priority != DefaultPriority || quick.Weight != DefaultWeight || dock.RolePolicy.ChangeCost != DefaultChangeCost || dock.Models[0].MinimumEngines != 1 {
		t.Errorf("defaults are missing: %+v, %+v", quick, dock)
	}
	accepted := edited(t, Document{}, "first", Apply(document.Spec))
	accepted = edited(t, accepted, "second", SetLabel("engine-a-1", "rack", "7"))
	text, err := yaml.Marshal(accepted)
	if err != nil {
		t.Fatal(err)
	}
	again, faults := ParseAndValidate(text)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want, err := Encode(accepted)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Encode(again); err != nil || !bytes.Equal(got, want) {
		t.Errorf("read again %s, %v\nwant %s", got, err, want)
	}
}

func TestSnapshotMatches(t *testing.T) {
	document, faults := ParseAndValidate([]byte(validText))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	snapshot, err := Compile(document)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		desc   string
		engine string
		labels map[string]string
		want   string
	}{
		{"label of the operators over that of the platform", "engine-a-1", map[string]string{"pool": "desk"}, "dock"},
		{"label of the platform", "engine-a-2", map[string]string{"pool": "spare"}, "desk"},
		{"no label", "engine-a-2", nil, ""},
	}
	for _, test := range tests {
		if group, found := snapshot.GroupOf(test.engine, test.labels); group.Name != test.want || found != (test.want != "") {
			t.Errorf("%s: group %q, want %q", test.desc, group.Name, test.want)
		}
	}
	if rule, _ := snapshot.RuleFor(map[string]string{"class": "quick", "model": "review"}); rule.Name != "quick" {
		t.Errorf("rule %q", rule.Name)
	}
	if rule, _ := snapshot.RuleFor(map[string]string{"class": "quick"}); rule.Name != "other" {
		t.Errorf("rule %q", rule.Name)
	}
	quick, _ := snapshot.Rule("quick")
	if snapshot.LimitsOf(quick, "mill").MaximumInFlight != 3 || snapshot.LimitsOf(quick, "farm").MaximumInFlight != 0 {
		t.Error("limits of tenants")
	}
}

func TestWarnings(t *testing.T) {
	document, faults := ParseAndValidate([]byte(validText))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	document.Rules[0].Groups = []string{"desk"}
	for i := 1; i <= 5; i++ {
		document.EngineLabels[fmt.Sprintf("engine-x-%d", i)] = map[string]string{"pool": "desk"}
	}
	got := Warnings(document, []EngineInfo{{Name: "engine-b-1"}, {Name: "engine-a-1"}})
	want := []string{
		"engine engine-b-1: no group selects it",
		`group desk: its selector "pool in (desk, spare)" matches no engine`,
		"rule quick: none of its groups has an engine",
		"engineLabels: there are labels on engines that do not exist now: engine-x-1, engine-x-2, engine-x-3 and 2 more",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	document.Rules = document.Rules[:1]
	got = RequestWarnings(document, []map[string]string{
		{"class": "slow"}, {"class": "quick", "model": "review"},
	})
	if want := []string{"requests {class=slow}: no rule selects them"}; !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

// drawSelector draws a selector over a few keys and values.
func drawSelector(t *rapid.T, name string) labels.Selector {
	requirement := rapid.Custom(func(t *rapid.T) string {
		key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		values := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"1", "2", "3"}), 1, 2, rapid.ID).Draw(t, "values")
		forms := []string{
			key + " in (" + strings.Join(values, ",") + ")", key + " notin (" + strings.Join(values, ",") + ")",
			key, "!" + key, key + ">" + values[0], key + "<" + values[0],
		}
		return rapid.SampledFrom(forms).Draw(t, "form")
	})
	text := strings.Join(rapid.SliceOfN(requirement, 0, 4).Draw(t, name), ",")
	selector, err := labels.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return selector
}

// TestSelectorLogic compares what is concluded from selectors with all sets of labels over a few values.
func TestSelectorLogic(t *testing.T) {
	var sets []labels.Set
	for _, a := range []string{"", "0", "1", "2", "3", "4", "x"} {
		for _, b := range []string{"", "0", "1", "2", "3", "4", "x"} {
			set := labels.Set{"a": a, "b": b}
			sets = append(sets, lo.OmitByValues(set, []string{""}))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		one, two := drawSelector(t, "one"), drawSelector(t, "two")
		both := constrain(append(slices.Clone(requirementsOf(one)), requirementsOf(two)...)...)
		common := lo.SomeBy(sets, func(set labels.Set) bool { return one.Matches(set) && two.Matches(set) })
		witness, found := both.witness()
		if common != found {
			t.Fatalf("%q and %q: overlap %t, found %t", one, two, common, found)
		}
		if found && (!one.Matches(witness) || !two.Matches(witness)) {
			t.Fatalf("%q and %q do not match the example {%s}", one, two, witness)
		}
		contained := lo.EveryBy(sets, func(set labels.Set) bool { return !one.Matches(set) || two.Matches(set) })
		if implies(requirementsOf(one), requirementsOf(two)) && !contained {
			t.Fatalf("%q does not imply %q", one, two)
		}
	})
}
