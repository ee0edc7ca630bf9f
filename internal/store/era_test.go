package store

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/boottime"
)

// TestRevisionOrder guards against revisions and fences that are not ordered by era and number, and against encoding the
// era.
func TestRevisionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (era, number int64, revision Revision) {
			era = rapid.Int64Range(0, MaxEras-1).Draw(t, name+" era")
			number = rapid.Int64Range(0, 1<<numberBits-1).Draw(t, name+" number")
			return era, number, NewRevision(era, number)
		}
		era, number, revision := draw("one")
		otherEra, otherNumber, other := draw("other")
		if revision.Era() != era || revision.Number() != number {
			t.Fatalf("era %d and number %d decode to %d and %d", era, number, revision.Era(), revision.Number())
		}
		if less := era < otherEra || (era == otherEra && number < otherNumber); less != (revision < other) {
			t.Fatalf("revision %d/%d < %d/%d: got %t", era, number, otherEra, otherNumber, !less)
		}
		if era > 1 && otherEra < era && revision.Fence() <= other.Fence() {
			t.Fatalf("fence of %d/%d is not greater than that of %d/%d", era, number, otherEra, otherNumber)
		}
		if encoded, err := json.Marshal(revision); err != nil || string(encoded) != string(must(json.Marshal(number))) {
			t.Fatalf("JSON encoding: %s, %v", encoded, err)
		}
	})
}

// must returns the encoded value and panics on an error.
func must(encoded []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return encoded
}

// itemInEra returns an item with a revision in an era.
func itemInEra(era int64, key string, number int64) Item { return item(key, NewRevision(era, number)) }

// TestReplicaAdoptsLaterEra guards against a replica that, after a restore with lower revision numbers, keeps missing
// items, ignores new changes or applies late data of the earlier era.
func TestReplicaAdoptsLaterEra(t *testing.T) {
	replica, recorded := newShardedReplica(&fakeStore{}, 0)
	replica.replace(Snapshot{Items: []Item{itemInEra(1, "a", 30), itemInEra(1, "b", 31)}, Revision: NewRevision(1, 31)})
	replica.replace(Snapshot{Items: []Item{itemInEra(2, "a", 5)}, Revision: NewRevision(2, 9)})
	if len(recorded.eras) != 1 || recorded.eras[0] != 2 || len(recorded.items) != 1 {
		t.Fatalf("eras %v, items %v", recorded.eras, recorded.items)
	}
	if newer := replica.recordNewer([]Event{{Item: itemInEra(1, "b", 40)}}, NewRevision(1, 40)); len(newer) > 0 {
		t.Errorf("changes of the earlier era were applied: %v", newer)
	}
	replica.replace(Snapshot{Items: []Item{itemInEra(1, "c", 50)}, Revision: NewRevision(1, 50)})
	if replica.applyChanges(boottime.Now(), Changes{Revision: NewRevision(1, 60), Full: true, Changed: []Event{{Item: itemInEra(1, "d", 60)}}}) {
		t.Error("a response of an earlier era was applied")
	}
	if newer := replica.recordNewer([]Event{{Item: itemInEra(2, "a", 10)}}, NewRevision(2, 10)); len(newer) != 1 {
		t.Errorf("got %v of the change in the later era", newer)
	}
	if snapshot, _ := replica.Snapshot(); len(snapshot.Items) != 1 || snapshot.Revision != NewRevision(2, 10) {
		t.Errorf("got snapshot %+v", snapshot)
	}
	if len(recorded.eras) != 1 {
		t.Errorf("eras %v", recorded.eras)
	}
}

// TestRequestFromEarlierEraGetsFullChanges guards against serving a request of an earlier era with the changes of the
// later one only.
func TestRequestFromEarlierEraGetsFullChanges(t *testing.T) {
	replica, _ := newShardedReplica(&fakeStore{}, 0)
	replica.replace(Snapshot{Items: []Item{itemInEra(1, "a", 30)}, Revision: NewRevision(1, 31)})
	replica.replace(Snapshot{Items: []Item{itemInEra(2, "a", 5)}, Revision: NewRevision(2, 9)})
	for _, test := range []struct {
		desc         string
		request      ChangesRequest
		served, full bool
	}{
		{"earlier era", ChangesRequest{After: NewRevision(1, 31), Shards: 1}, true, true},
		{"same era", ChangesRequest{After: NewRevision(2, 9), Shards: 1}, true, false},
		{"later era", ChangesRequest{After: NewRevision(3, 1), Shards: 1}, false, false},
		{"build without eras, up to date", ChangesRequest{After: 9, EraUnknown: true, Shards: 1}, true, false},
		{"build without eras, behind", ChangesRequest{After: 3, EraUnknown: true, Shards: 1}, true, true},
	} {
		changes, served := replica.Changes(test.request)
		if served != test.served || changes.Full != test.full {
			t.Errorf("%s: served %t, full %t", test.desc, served, changes.Full)
		}
	}
}

// TestChangesAndSnapshotsCarryEra guards against revisions that lose their era when sent as JSON, and against data of a
// build without eras that does not get the local era.
func TestChangesAndSnapshotsCarryEra(t *testing.T) {
	sent := Changes{
		Revision: NewRevision(3, 9), Era: eraPointer(NewRevision(3, 9)), GapStart: NewRevision(3, 2), GapEnd: NewRevision(3, 7),
		Changed: []Event{{Item: itemInEra(3, "a", 8)}},
	}
	var received Changes
	if err := json.Unmarshal(must(json.Marshal(sent)), &received); err != nil {
		t.Fatal(err)
	}
	received.ResolveEra(1)
	if received.Revision != sent.Revision || received.GapStart != sent.GapStart || received.GapEnd != sent.GapEnd || received.Changed[0].Revision != sent.Changed[0].Revision {
		t.Errorf("got %+v", received)
	}
	var old Changes
	if err := json.Unmarshal([]byte(`{"revision":9,"changed":[{"key":"a","revision":8}],"entries":[]}`), &old); err != nil {
		t.Fatal(err)
	}
	old.ResolveEra(2)
	if old.Revision != NewRevision(2, 9) || old.Changed[0].Revision != NewRevision(2, 8) || old.GapEnd != 0 {
		t.Errorf("from a build without eras: got %+v", old)
	}
	snapshot := Snapshot{Revision: NewRevision(3, 9), Era: eraPointer(NewRevision(3, 9)), Items: []Item{itemInEra(3, "a", 8)}}
	var receivedSnapshot Snapshot
	if err := json.Unmarshal(must(json.Marshal(snapshot)), &receivedSnapshot); err != nil {
		t.Fatal(err)
	}
	if receivedSnapshot.ResolveEra(0); receivedSnapshot.Revision != snapshot.Revision || receivedSnapshot.Items[0].Revision != snapshot.Items[0].Revision {
		t.Errorf("got snapshot %+v", receivedSnapshot)
	}
}
