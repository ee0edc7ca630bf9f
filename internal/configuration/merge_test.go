package configuration

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"
)

// mustAccept applies edits as one change, which must be accepted. t is a *testing.T or a *rapid.T.
func mustAccept(t interface{ Fatal(...any) }, document Document, changeID string, edits ...Edit) Document {
	request := EditRequest{ChangeID: changeID, BaseRevision: document.Revision, Edits: edits}
	next, conflicts, err := Preview(document, request, time.Unix(1_700_000_000, 0))
	if err != nil || len(conflicts) > 0 {
		t.Fatal(conflicts, err)
	}
	return next
}

// acceptedExample returns the accepted Fès example with labels on four workers, and its rule "quick".
func acceptedExample(t testing.TB) (document Document, quick Rule) {
	t.Helper()
	shipped, err := Example(ExampleFes)
	if err != nil {
		t.Fatal(err)
	}
	shipped.WorkerLabels = map[string]map[string]string{}
	for i := range 4 {
		shipped.WorkerLabels[fmt.Sprintf("w%d", i+1)] = map[string]string{"pool": "counter"}
	}
	document = mustAccept(t, Document{}, "first", Apply(shipped.Spec))
	quick, _ = lo.Find(document.Rules, func(rule Rule) bool { return rule.Name == "quick" })
	return document, quick
}

// parseScriptedEdit parses an edit in testdata/merge.txtar.
func parseScriptedEdit(t *testing.T, start Document, quick Rule, line string) Edit {
	t.Helper()
	words := append(strings.Fields(line), "", "")
	rule := func() Rule {
		quick.Priority, _ = strconv.Atoi(words[2])
		return quick
	}
	switch words[0] {
	case "label":
		key, value, _ := strings.Cut(words[2], "=")
		return SetLabel(words[1], key, value)
	case "unlabel":
		return RemoveLabel(words[1], words[2])
	case "put-rule":
		return PutRule(rule())
	case "delete":
		return Delete(Kind(words[1]), words[2])
	case "apply":
		return Apply(start.Spec)
	case "apply-rule":
		return Apply(withRule(start.Spec, rule()))
	case "empty-put":
		return Edit{Kind: EditPut}
	}
	t.Fatalf("unknown edit %q", line)
	return Edit{}
}

// TestPreviewMergesOrNamesTheOtherEdit guards against a merge that loses an edit, and a conflict that does not name the other
// edit.
func TestPreviewMergesOrNamesTheOtherEdit(t *testing.T) {
	start, quick := acceptedExample(t)
	cases := readTestCases(t, "testdata/merge.txtar")
	for _, name := range cases.names {
		t.Run(name, func(t *testing.T) {
			lines := cases.lines(name, "edits")
			theirs, mine := parseScriptedEdit(t, start, quick, lines[0]), parseScriptedEdit(t, start, quick, lines[1])
			current := mustAccept(t, start, "theirs", theirs)
			request := EditRequest{ChangeID: "mine", BaseRevision: start.Revision, Edits: []Edit{mine}}
			next, conflicts, err := Preview(current, request, time.Unix(1_700_000_000, 0))
			outcome, detail, _ := strings.Cut(cases.lines(name, "want")[0], " ")
			switch outcome {
			case "error":
				if err == nil || !strings.Contains(err.Error(), detail) {
					t.Errorf("error %v, want %q", err, detail)
				}
			case "conflict":
				if len(conflicts) != 1 || conflicts[0].ChangeID != "theirs" || conflicts[0].Revision != 2 || conflicts[0].Field.String() != detail {
					t.Errorf("conflicts %v, want one with edit theirs about %s", conflicts, detail)
				}
			default:
				if err != nil || len(conflicts) > 0 {
					t.Fatalf("conflicts %v, error %v", conflicts, err)
				}
				both := mustAccept(t, start, "both", theirs)
				if mine.Kind != EditApply {
					both = mustAccept(t, both, "both", mine)
				}
				if differences, _ := Diff(both.Spec, next.Spec); len(differences) > 0 {
					t.Errorf("the merged spec does not contain both edits: %v", differences)
				}
			}
		})
	}
}

// withRule returns a spec with the given version of a rule.
func withRule(spec Spec, rule Rule) Spec {
	changed, err := ApplyEdits(spec, []Edit{PutRule(rule)})
	if err != nil {
		panic(err)
	}
	return changed
}

// TestHistoryReconstructsKeptRevisions guards against an undo that restores another value than the edit replaced.
func TestHistoryReconstructsKeptRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var documents []Document
		document := Document{}
		for i := range rapid.IntRange(1, MaximumHistory+20).Draw(t, "edits") {
			documents = append(documents, document)
			address := fmt.Sprintf("w%d", rapid.IntRange(1, 3).Draw(t, "worker"))
			label := rapid.SampledFrom([]string{"pool", "rack"}).Draw(t, "label")
			edit := RemoveLabel(address, label)
			if rapid.Bool().Draw(t, "set") {
				edit = SetLabel(address, label, fmt.Sprint(i))
			}
			document = mustAccept(t, document, fmt.Sprint("change-", i), edit)
		}
		if len(document.History) > MaximumHistory {
			t.Errorf("history has %d changes", len(document.History))
		}
		for _, earlier := range documents {
			base, known, err := document.At(earlier.Revision)
			if err != nil || known != (earlier.Revision >= document.OldestRevision()) {
				t.Fatalf("revision %d: known %t, %v", earlier.Revision, known, err)
			}
			if differences, _ := Diff(base.Spec, earlier.Spec); known && len(differences) > 0 {
				t.Fatalf("revision %d: %v", earlier.Revision, differences)
			}
		}
	})
}

// TestDiffDescribesChanges guards against changes that a preview omits or describes wrongly.
func TestDiffDescribesChanges(t *testing.T) {
	document, quick := acceptedExample(t)
	quick.Priority = 9
	quick.TenantInFlight = 8
	after := mustAccept(t, document, "mine", PutRule(quick), SetLabel("w1", "pool", "x"),
		SetLabel("w2", "rack", "7"), RemoveLabel("w3", "pool"), Delete(KindRule, "other"))
	differences, err := Diff(document.Spec, after.Spec)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"rule other: removed",
		"rule quick: priority 2 -> 9; tenantInFlight 32 -> 8",
		`label pool of worker w1: "counter" -> "x"`,
		`label rack of worker w2: set to "7"`,
		"label pool of worker w3: removed",
	}
	if got := fmt.Sprint(differences); got != fmt.Sprint(want) {
		t.Errorf("got  %s\nwant %s", got, fmt.Sprint(want))
	}
}

// TestPreviewEffectsListsChangedGroupsAndRules guards against a preview that omits workers or requests that an edit moves.
func TestPreviewEffectsListsChangedGroupsAndRules(t *testing.T) {
	before, quick := acceptedExample(t)
	quick.RequestSelector = "class=quick,tenant=cafe"
	after := mustAccept(t, before, "mine", PutRule(quick), RemoveLabel("w2", "pool"))
	var workers []WorkerInfo
	for i := range 4 {
		workers = append(workers, WorkerInfo{Address: fmt.Sprintf("w%d", i+1), Service: "roastmind"})
	}
	consequences, err := PreviewEffects(before, after, workers, []map[string]string{
		{"class": "quick", "tenant": "cafe", "repeatable": "true"}, {"class": "quick", "tenant": "mill", "repeatable": "true"},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := "[worker w2: counter -> none] [requests {class=quick,repeatable=true,tenant=mill}: quick -> other]"
	if got := fmt.Sprint(consequences.WorkerMoves, " ", consequences.RequestMoves); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if len(consequences.Warnings) != 1 || !strings.HasPrefix(consequences.Warnings[0], "group counter: its roleFloors require 4") {
		t.Errorf("warnings %v", consequences.Warnings)
	}
}
