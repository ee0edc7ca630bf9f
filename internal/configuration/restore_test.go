package configuration

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestRestoreWritesLostEdits guards against edits that stay lost, and against a restore that overwrites edits that the known
// document lacks.
func TestRestoreWritesLostEdits(t *testing.T) {
	edit := func(target *memoryStore, id, label string) Document {
		t.Helper()
		current, _, err := Read(context.Background(), target)
		if err != nil {
			t.Fatal(err)
		}
		result := Propose(t.Context(), target, EditRequest{ChangeID: id, BaseRevision: current.Revision, Edits: []Edit{SetLabel("10.0.0.1:80", "tier", label)}})
		if !result.Accepted {
			t.Fatalf("%s: %+v", id, result)
		}
		document, _, err := Read(context.Background(), target)
		if err != nil {
			t.Fatal(err)
		}
		return document
	}
	source := &memoryStore{}
	first := edit(source, "one", "a")
	earlier := *source
	edit(source, "two", "b")
	known := edit(source, "three", "c")
	current := *source
	edit(source, "four", "d")
	later := *source
	diverged := earlier
	edit(&diverged, "another", "z")
	for _, test := range []struct {
		desc     string
		store    memoryStore
		written  bool
		diverged bool
		revision uint64
	}{
		{"no document", memoryStore{}, true, false, 3},
		{"earlier revision", earlier, true, false, 3},
		{"same revision", current, false, false, 3},
		{"later revision", later, false, false, 4},
		{"diverged document", diverged, false, true, 2},
	} {
		t.Run(test.desc, func(t *testing.T) {
			written, err := Restore(t.Context(), &test.store, known)
			if written != test.written || errors.Is(err, ErrDiverged) != test.diverged || (err != nil && !test.diverged) {
				t.Errorf("written %t, error %v, want written %t, diverged %t", written, err, test.written, test.diverged)
			}
			if document, _, err := Read(t.Context(), &test.store); err != nil || document.Revision != test.revision {
				t.Errorf("the store holds revision %d, %v", document.Revision, err)
			}
		})
	}
	if first.Revision != 1 {
		t.Errorf("the first revision is %d", first.Revision)
	}
}
