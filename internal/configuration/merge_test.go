package configuration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// edited applies edits as one accepted change.
func edited(t interface{ Fatal(...any) }, document Document, changeID string, edits ...Edit) Document {
	request := EditRequest{ChangeID: changeID, BaseRevision: document.Revision, Edits: edits}
	next, conflicts, err := Preview(document, request, time.Unix(1_700_000_000, 0))
	if err != nil || len(conflicts) > 0 {
		t.Fatal(conflicts, err)
	}
	return next
}

// example returns the accepted example of Fès with one change of its priority for quick requests.
func example(t testing.TB) (document Document, quick Rule) {
	t.Helper()
	given, err := Example(ExampleFes)
	if err != nil {
		t.Fatal(err)
	}
	document = edited(t, Document{}, "first", Apply(given.Spec))
	snapshot, err := Compile(document)
	if err != nil {
		t.Fatal(err)
	}
	quick, _ = snapshot.Rule("quick")
	return document, quick
}

func TestPreviewMergesOrNamesTheOtherEdit(t *testing.T) {
	start, quick := example(t)
	urgent, slow := quick, quick
	urgent.Priority, slow.Priority = 9, 1
	tests := []struct {
		desc         string
		theirs, mine Edit
		conflict     string
		fault        string
	}{
		{desc: "labels of two engines", theirs: SetLabel("engine-a-1", "pool", "x"), mine: SetLabel("engine-a-2", "pool", "x")},
		{desc: "two labels of one engine", theirs: SetLabel("engine-a-1", "rack", "1"), mine: SetLabel("engine-a-1", "row", "2")},
		{desc: "a label and a rule", theirs: SetLabel("engine-a-1", "rack", "1"), mine: PutRule(urgent)},
		{desc: "the same value", theirs: PutRule(urgent), mine: PutRule(urgent)},
		{desc: "one label", theirs: SetLabel("engine-a-1", "pool", "x"), mine: SetLabel("engine-a-1", "pool", "y"), conflict: "label pool of engine engine-a-1"},
		{desc: "set and removed", theirs: RemoveLabel("engine-a-1", "pool"), mine: SetLabel("engine-a-1", "pool", "y"), conflict: "label pool of engine engine-a-1"},
		{desc: "one rule", theirs: PutRule(urgent), mine: PutRule(slow), conflict: "rule quick"},
		{desc: "changed and deleted", theirs: PutRule(urgent), mine: Delete(KindRule, "quick"), conflict: "rule quick"},
		{desc: "whole apply over a label", theirs: SetLabel("engine-a-1", "rack", "1"), mine: Apply(start.Spec)},
		{desc: "whole apply over the same rule", theirs: PutRule(urgent), mine: Apply(withRule(start.Spec, slow)), conflict: "rule quick"},
		{desc: "no such object", theirs: PutRule(urgent), mine: Delete(KindRule, "none"), fault: "there is no rule none"},
		{desc: "invalid together", theirs: PutRule(urgent), mine: Delete(KindGroup, "counter"), fault: "is an unknown group"},
		{desc: "no object", theirs: PutRule(urgent), mine: Edit{Kind: EditPut}, fault: "has 0 objects"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			current := edited(t, start, "theirs", test.theirs)
			request := EditRequest{ChangeID: "mine", BaseRevision: start.Revision, Edits: []Edit{test.mine}}
			next, conflicts, err := Preview(current, request, time.Unix(1_700_000_000, 0))
			switch {
			case test.fault != "":
				if err == nil || !strings.Contains(err.Error(), test.fault) {
					t.Errorf("error %v, want %q", err, test.fault)
				}
			case test.conflict != "":
				if len(conflicts) != 1 || conflicts[0].ChangeID != "theirs" || conflicts[0].Revision != 2 || conflicts[0].Field.String() != test.conflict {
					t.Errorf("conflicts %v, want one with theirs about %s", conflicts, test.conflict)
				}
			case err != nil || len(conflicts) > 0:
				t.Errorf("conflicts %v, error %v", conflicts, err)
			default:
				both := edited(t, start, "both", test.theirs)
				if _, whole := test.mine.Spec, test.mine.Kind == EditApply; !whole {
					both = edited(t, both, "both", test.mine)
				}
				if differences, _ := Diff(both.Spec, next.Spec); len(differences) > 0 {
					t.Errorf("not both edits hold: %v", differences)
				}
			}
		})
	}
}

// withRule returns a spec with another version of a rule.
func withRule(spec Spec, rule Rule) Spec {
	changed, err := ApplyEdits(spec, []Edit{PutRule(rule)})
	if err != nil {
		panic(err)
	}
	return changed
}

// TestHistoryGivesEveryBaseBack makes many edits and compares each kept base with what was in force then.
func TestHistoryGivesEveryBaseBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var documents []Document
		document := Document{}
		for i := range rapid.IntRange(1, MaximumHistory+20).Draw(t, "edits") {
			documents = append(documents, document)
			engineName := fmt.Sprintf("engine-%d", rapid.IntRange(1, 3).Draw(t, "engine"))
			label := rapid.SampledFrom([]string{"pool", "rack"}).Draw(t, "label")
			edit := RemoveLabel(engineName, label)
			if rapid.Bool().Draw(t, "set") {
				edit = SetLabel(engineName, label, fmt.Sprint(i))
			}
			document = edited(t, document, fmt.Sprint("change-", i), edit)
		}
		if len(document.History) > MaximumHistory {
			t.Errorf("history has %d changes", len(document.History))
		}
		for _, earlier := range documents {
			base, known, err := document.At(earlier.Revision)
			if err != nil || known != (earlier.Revision >= document.OldestBase()) {
				t.Fatalf("revision %d: known %t, %v", earlier.Revision, known, err)
			}
			if differences, _ := Diff(base.Spec, earlier.Spec); known && len(differences) > 0 {
				t.Fatalf("revision %d: %v", earlier.Revision, differences)
			}
		}
	})
}

func TestDiffInWords(t *testing.T) {
	document, quick := example(t)
	quick.Priority = 9
	quick.PerTenant.MaximumInFlight = 8
	after := edited(t, document, "mine", PutRule(quick), SetLabel("engine-a-1", "pool", "x"),
		SetLabel("engine-a-2", "rack", "7"), RemoveLabel("engine-a-3", "pool"), Delete(KindTenant, "municipal-office"))
	differences, err := Diff(document.Spec, after.Spec)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		`label pool of engine engine-a-1: "counter" -> "x"`,
		`label rack of engine engine-a-2: set to "7"`,
		`label pool of engine engine-a-3: removed`,
		`rule quick: perTenant.maximumInFlight 32 -> 8; priority 7 -> 9`,
		`tenant municipal-office: removed`,
	}
	if got := fmt.Sprint(differences); got != fmt.Sprint(want) {
		t.Errorf("got  %s\nwant %s", got, fmt.Sprint(want))
	}
}

func TestWhatIf(t *testing.T) {
	before, quick := example(t)
	quick.RequestSelector = "class=quick,tenant=cafe"
	after := edited(t, before, "mine", PutRule(quick), RemoveLabel("engine-b-2", "pool"))
	consequences, err := WhatIf(before, after, exampleEngines("abcd", 3), []map[string]string{
		{"class": "quick", "tenant": "cafe", "repeatable": "true"}, {"class": "quick", "tenant": "mill", "repeatable": "true"},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := "[engine engine-b-2: counter -> none] [requests {class=quick,repeatable=true,tenant=mill}: quick -> other]"
	if got := fmt.Sprint(consequences.EngineMoves, " ", consequences.RequestMoves); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if len(consequences.Warnings) != 1 || consequences.Warnings[0] != "engine engine-b-2: no group selects it" {
		t.Errorf("warnings %v", consequences.Warnings)
	}
}
