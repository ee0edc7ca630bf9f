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

// TestValidateNamesAllInvalidFields guards against invalid fields that are accepted, and errors that hide others.
func TestValidateNamesAllInvalidFields(t *testing.T) {
	cases := readTestCases(t, "testdata/validate.txtar")
	for _, name := range cases.names {
		t.Run(name, func(t *testing.T) {
			var replace []string
			for _, line := range cases.lines(name, "replace") {
				old, replacement, _ := strings.Cut(line, " => ")
				replace = append(replace, old, replacement)
			}
			_, fieldErrors := ParseAndValidate([]byte(strings.NewReplacer(replace...).Replace(cases.files["base.yaml"])))
			got := lo.Map(fieldErrors, func(fieldError FieldError, _ int) string { return fieldError.Field })
			if !slices.Equal(got, cases.lines(name, "want")) {
				t.Errorf("errors %q\nwant fields %q", fieldErrors, cases.lines(name, "want"))
			}
			for _, fieldError := range fieldErrors {
				if fieldError.Problem == "" || (fieldError.Allowed == "" && fieldError.Field != "(document)") {
					t.Errorf("%v does not state the problem and the allowed values", fieldError)
				}
			}
		})
	}
}

// validDocument returns the base document of testdata/validate.txtar.
func validDocument(t *testing.T) Document {
	t.Helper()
	document, fieldErrors := ParseAndValidate([]byte(readTestCases(t, "testdata/validate.txtar").files["base.yaml"]))
	if len(fieldErrors) > 0 {
		t.Fatal(fieldErrors)
	}
	return document
}

// TestDefaultsAndRoundTrip guards against missing defaults, and against fields that are lost when a document is written as
// YAML and parsed again.
func TestDefaultsAndRoundTrip(t *testing.T) {
	document := validDocument(t)
	quick := document.Rules[0]
	if quick.Priority != DefaultPriority || quick.Timeout != DefaultTimeout || quick.Groups[0].Weight != DefaultWeight {
		t.Errorf("defaults are missing: %+v", quick)
	}
	accepted := mustAccept(t, Document{}, "first", Apply(document.Spec))
	accepted = mustAccept(t, accepted, "second", SetLabel("10.0.0.1:80", "rack", "7"))
	text, err := yaml.Marshal(accepted)
	if err != nil {
		t.Fatal(err)
	}
	reparsed, fieldErrors := ParseAndValidate(text)
	if len(fieldErrors) > 0 {
		t.Fatal(fieldErrors)
	}
	want, err := Encode(accepted)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Encode(reparsed); err != nil || !bytes.Equal(got, want) {
		t.Errorf("after round trip %s, %v\nwant %s", got, err, want)
	}
}

// TestSnapshotSelectsGroupsAndRules guards against a group or rule chosen despite its selector, service or precedence.
func TestSnapshotSelectsGroupsAndRules(t *testing.T) {
	snapshot, err := Compile(validDocument(t))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		desc    string
		address string
		labels  map[string]string
		want    string
	}{
		{"operator label overrides worker label", "10.0.0.1:80", map[string]string{"pool": "desk"}, "dock"},
		{"worker label", "10.0.0.2:80", map[string]string{"pool": "spare"}, "desk"},
		{"no label", "10.0.0.2:80", nil, ""},
	}
	for _, test := range tests {
		group, found := snapshot.GroupOf(WorkerInfo{Address: test.address, Service: "review", Labels: test.labels})
		if group.Name != test.want || found != (test.want != "") {
			t.Errorf("%s: group %q, want %q", test.desc, group.Name, test.want)
		}
	}
	if group, found := snapshot.GroupOf(WorkerInfo{Address: "10.0.0.1:80", Service: "other"}); found {
		t.Errorf("a worker of another service is in group %q", group.Name)
	}
	if rule, _ := snapshot.RuleFor(map[string]string{"class": "quick", "tenant": "mill"}); rule.Name != "quick" {
		t.Errorf("class quick, tenant mill: rule %q, want quick", rule.Name)
	}
	if rule, _ := snapshot.RuleFor(map[string]string{"class": "quick"}); rule.Name != "other" {
		t.Errorf("class quick, no tenant: rule %q, want other", rule.Name)
	}
}

// TestWarningsNameEmptyGroupsAndUnknownWorkers guards against likely mistakes that operators are not told about.
func TestWarningsNameEmptyGroupsAndUnknownWorkers(t *testing.T) {
	document := validDocument(t)
	document.Groups[0].RoleFloors["prefill"] = 1
	document.Rules[0].Groups = []GroupShare{{Group: "desk", Weight: 1}}
	for i := 1; i <= 5; i++ {
		document.WorkerLabels[fmt.Sprintf("x-%d", i)] = map[string]string{"pool": "desk"}
	}
	got := Warnings(document, []WorkerInfo{{Address: "b", Service: "review"}, {Address: "10.0.0.1:80", Service: "review"}})
	want := []string{
		`group desk: its selector "pool in (desk, spare)" matches no worker of service review`,
		"group dock: its roleFloors require 2 workers but it has 1",
		"rule quick: none of its groups has workers",
		"workerLabels: labels are set on workers that do not exist: x-1, x-2, x-3 and 2 more",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	document.Rules = document.Rules[:1]
	got = RequestWarnings(document, []map[string]string{{"class": "slow"}, {"class": "quick", "tenant": "mill"}})
	if want := []string{"requests {class=slow}: no rule selects them"}; !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

// drawSelector draws a selector over two keys and three values.
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

// TestSatisfiableAndImpliesMatchEnumeration compares satisfiability with an enumeration of label sets, and requires that
// implies is never true where a label set contradicts it.
func TestSatisfiableAndImpliesMatchEnumeration(t *testing.T) {
	var sets []labels.Set
	for _, a := range []string{"", "0", "1", "2", "3", "4", "x"} {
		for _, b := range []string{"", "0", "1", "2", "3", "4", "x"} {
			set := labels.Set{"a": a, "b": b}
			sets = append(sets, lo.OmitByValues(set, []string{""}))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawSelector(t, "one"), drawSelector(t, "two")
		both := newConstraints(append(slices.Clone(requirementsOf(first)), requirementsOf(second)...)...)
		overlap := lo.SomeBy(sets, func(set labels.Set) bool { return first.Matches(set) && second.Matches(set) })
		example, found := both.satisfyingLabels()
		if overlap != found {
			t.Fatalf("%q and %q: overlap %t, found %t", first, second, overlap, found)
		}
		if found && (!first.Matches(example) || !second.Matches(example)) {
			t.Fatalf("%q and %q do not match the example {%s}", first, second, example)
		}
		implied := lo.EveryBy(sets, func(set labels.Set) bool { return !first.Matches(set) || second.Matches(set) })
		if implies(requirementsOf(first), requirementsOf(second)) && !implied {
			t.Fatalf("implies(%q, %q) is true, but a label set matches only the first", first, second)
		}
	})
}
