package store

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/boottime"
)

// TestRevisionsAreOrderedByErasAndNumbers compares revisions, and takes them apart again.
func TestRevisionsAreOrderedByErasAndNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (era, number int64, revision Revision) {
			era = rapid.Int64Range(0, MostEras-1).Draw(t, name+" era")
			number = rapid.Int64Range(0, 1<<numberBits-1).Draw(t, name+" number")
			return era, number, NewRevision(era, number)
		}
		era, number, revision := draw("one")
		otherEra, otherNumber, other := draw("other")
		if revision.Era() != era || revision.Number() != number {
			t.Fatalf("%d and %d are %d and %d", era, number, revision.Era(), revision.Number())
		}
		if less := era < otherEra || (era == otherEra && number < otherNumber); less != (revision < other) {
			t.Fatalf("%d/%d before %d/%d: %t", era, number, otherEra, otherNumber, !less)
		}
		if era > 1 && otherEra < era && revision.Fence() <= other.Fence() {
			t.Fatalf("the fence of %d/%d is not above that of %d/%d", era, number, otherEra, otherNumber)
		}
		if encoded, err := json.Marshal(revision); err != nil || string(encoded) != string(must(json.Marshal(number))) {
			t.Fatalf("as JSON: %s, %v", encoded, err)
		}
	})
}

// must returns what can't fail.
func must(encoded []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return encoded
}

// inEra returns an item of an era.
func inEra(era int64, key string, number int64) Item { return item(key, NewRevision(era, number)) }

// TestAReplicaFollowsALaterEra has the store come back with lower numbers. What it does not hold is gone, what is written next is taken, and
// what comes late of the era before changes nothing.
func TestAReplicaFollowsALaterEra(t *testing.T) {
	replica, recorded := newSharded(&fakeStore{}, 0)
	replica.replace(Snapshot{Items: []Item{inEra(1, "a", 30), inEra(1, "b", 31)}, Revision: NewRevision(1, 31)})
	replica.replace(Snapshot{Items: []Item{inEra(2, "a", 5)}, Revision: NewRevision(2, 9)})
	if len(recorded.eras) != 1 || recorded.eras[0] != 2 || len(recorded.items) != 1 {
		t.Fatalf("eras %v, items %v", recorded.eras, recorded.items)
	}
	if fresh := replica.fresh([]Event{{Item: inEra(1, "b", 40)}}, NewRevision(1, 40)); len(fresh) > 0 {
		t.Errorf("late: %v", fresh)
	}
	replica.replace(Snapshot{Items: []Item{inEra(1, "c", 50)}, Revision: NewRevision(1, 50)})
	if replica.take(boottime.Now(), Changes{Revision: NewRevision(1, 60), Full: true, Changed: []Event{{Item: inEra(1, "d", 60)}}}) {
		t.Error("a teller of an earlier era was heard")
	}
	if fresh := replica.fresh([]Event{{Item: inEra(2, "a", 10)}}, NewRevision(2, 10)); len(fresh) != 1 {
		t.Errorf("what was written next: %v", fresh)
	}
	if snapshot, _ := replica.Snapshot(); len(snapshot.Items) != 1 || snapshot.Revision != NewRevision(2, 10) {
		t.Errorf("known: %+v", snapshot)
	}
	if len(recorded.eras) != 1 {
		t.Errorf("eras %v", recorded.eras)
	}
}

// TestWhoKnowsAnEarlierEraIsToldEverything asks a replica that has seen the store come back.
func TestWhoKnowsAnEarlierEraIsToldEverything(t *testing.T) {
	replica, _ := newSharded(&fakeStore{}, 0)
	replica.replace(Snapshot{Items: []Item{inEra(1, "a", 30)}, Revision: NewRevision(1, 31)})
	replica.replace(Snapshot{Items: []Item{inEra(2, "a", 5)}, Revision: NewRevision(2, 9)})
	for _, test := range []struct {
		desc        string
		question    Question
		known, full bool
	}{
		{"the era before", Question{After: NewRevision(1, 31), Shards: 1}, true, true},
		{"this era", Question{After: NewRevision(2, 9), Shards: 1}, true, false},
		{"a later era", Question{After: NewRevision(3, 1), Shards: 1}, false, false},
		{"a build that knows no eras, up to date", Question{After: 9, AnyEra: true, Shards: 1}, true, false},
		{"a build that knows no eras, behind", Question{After: 3, AnyEra: true, Shards: 1}, true, true},
	} {
		changes, known := replica.Changes(test.question)
		if known != test.known || changes.Full != test.full {
			t.Errorf("%s: known %t, full %t", test.desc, known, changes.Full)
		}
	}
}

// TestWhatIsToldNamesItsEra sends changes and a snapshot as JSON, to a build that knows eras and from one that does not.
func TestWhatIsToldNamesItsEra(t *testing.T) {
	told := Changes{
		Revision: NewRevision(3, 9), Era: eraOf(NewRevision(3, 9)), After: NewRevision(3, 2), Until: NewRevision(3, 7),
		Changed: []Event{{Item: inEra(3, "a", 8)}},
	}
	var heard Changes
	if err := json.Unmarshal(must(json.Marshal(told)), &heard); err != nil {
		t.Fatal(err)
	}
	heard.Adopt(1)
	if heard.Revision != told.Revision || heard.After != told.After || heard.Until != told.Until || heard.Changed[0].Revision != told.Changed[0].Revision {
		t.Errorf("heard %+v", heard)
	}
	var old Changes
	if err := json.Unmarshal([]byte(`{"revision":9,"changed":[{"key":"a","revision":8}],"entries":[]}`), &old); err != nil {
		t.Fatal(err)
	}
	old.Adopt(2)
	if old.Revision != NewRevision(2, 9) || old.Changed[0].Revision != NewRevision(2, 8) || old.Until != 0 {
		t.Errorf("of a build that names no era: %+v", old)
	}
	snapshot := Snapshot{Revision: NewRevision(3, 9), Era: eraOf(NewRevision(3, 9)), Items: []Item{inEra(3, "a", 8)}}
	var known Snapshot
	if err := json.Unmarshal(must(json.Marshal(snapshot)), &known); err != nil {
		t.Fatal(err)
	}
	if known.Adopt(0); known.Revision != snapshot.Revision || known.Items[0].Revision != snapshot.Items[0].Revision {
		t.Errorf("a snapshot: %+v", known)
	}
}
