package streamversion

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// epoch is the start of fake time.
var epoch = time.Unix(1000, 0)

// at returns the fake time after some seconds.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// versionA and versionB are two versions of one service.
var (
	versionA = Version{Service: "s", Software: "a"}
	versionB = Version{Service: "s", Software: "b"}
)

// TestRecordIsFoundUntilItsLifetimeEnds guards against a stream that can't go on although its version was told, and against records that are
// kept for ever.
func TestRecordIsFoundUntilItsLifetimeEnds(t *testing.T) {
	table := NewTable(10)
	record := Record{Key: KeyOf("", "r1"), Version: versionA, Lifetime: 6 * time.Second}
	table.Put(at(0), record)
	if version, age, found := table.Find(at(5), record.Key); !found || version != versionA || age != 5*time.Second {
		t.Errorf("after 5 s: %v, %v, %t", version, age, found)
	}
	table.Put(at(5), record)
	if _, _, found := table.Find(at(10), record.Key); !found {
		t.Error("the record was not extended")
	}
	if _, _, found := table.Find(at(11), record.Key); found {
		t.Error("the record outlived its lifetime")
	}
	table.Put(at(13), Record{Key: 7, Version: versionA, Lifetime: time.Second})
	if table.Len() != 1 {
		t.Errorf("the table holds %d records", table.Len())
	}
}

// TestTwoVersionsOfOneNameAreUnknown guards against a stream that goes on at the wrong version because two requests had the same id.
func TestTwoVersionsOfOneNameAreUnknown(t *testing.T) {
	table := NewTable(10)
	table.Put(at(0), Record{Key: 1, Version: versionA, Lifetime: time.Second})
	table.Put(at(0), Record{Key: 1, Version: versionB, Lifetime: time.Second})
	table.Put(at(0), Record{Key: 1, Version: versionA, Lifetime: time.Second})
	if version, _, found := table.Find(at(0), 1); found {
		t.Errorf("found %v", version)
	}
	if all := table.TakeAll(at(0)); len(all) != 0 {
		t.Errorf("%v would be told to others", all)
	}
}

// TestTableIsBounded guards against records that use up the memory.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(3)
	for key := range Key(5) {
		if added := table.Put(at(0), Record{Key: key + 1, Version: versionA, Lifetime: time.Second}); added != (key < 3) {
			t.Errorf("record %d: added %t", key+1, added)
		}
	}
	if !table.Put(at(2), Record{Key: 9, Version: versionA, Lifetime: time.Second}) {
		t.Error("expired records were not removed")
	}
}

// TestUnsharedRecordsAreTakenOnce guards against streams that began while one version served and are not told to others when a second comes.
func TestUnsharedRecordsAreTakenOnce(t *testing.T) {
	table := NewTable(10)
	table.PutLocal(at(0), Record{Key: 1, Version: versionA, Lifetime: 6 * time.Second}, false)
	table.PutLocal(at(0), Record{Key: 2, Version: versionA, Lifetime: 6 * time.Second}, true)
	table.Put(at(0), Record{Key: 3, Version: versionA, Lifetime: 6 * time.Second})
	unshared := table.TakeUnshared(at(2))
	if len(unshared) != 1 || unshared[0] != (Record{Key: 1, Version: versionA, Lifetime: 4 * time.Second}) {
		t.Errorf("got %v", unshared)
	}
	if again := table.TakeUnshared(at(2)); len(again) != 0 {
		t.Errorf("taken again: %v", again)
	}
}

// worker returns a worker of service s.
func worker(id, software string) *backend.Worker {
	return &backend.Worker{ID: id, Group: "s", SoftwareVersion: software}
}

// TestOutlook guards against a version that has just gone and is forgotten, and against a history that is taken for complete before all
// workers were watched for long enough.
func TestOutlook(t *testing.T) {
	history, known := NewHistory(), backend.Set{}
	change := func(seconds float64, changes backend.Changes) {
		history.Change(at(seconds), known, changes)
		changes.Apply(known)
	}
	history.Restart(at(0))
	change(1, backend.Changes{Updated: []*backend.Worker{worker("w1", "a"), {ID: "x", Group: "other", SoftwareVersion: "z"}}})
	change(20, backend.Changes{Updated: []*backend.Worker{worker("w2", "b")}})
	change(30, backend.Changes{Removed: []string{"w1"}})
	change(31, backend.Changes{Updated: []*backend.Worker{worker("w2", "b")}})
	cases := []struct {
		seconds  float64
		services []string
		want     Outlook
	}{
		{5, []string{"s"}, Outlook{Versions: 2}},
		{35, []string{"s"}, Outlook{Versions: 2, IsComplete: true}},
		{41, []string{"s"}, Outlook{Versions: 1, Only: versionB, IsComplete: true}},
		{41, []string{"s", "other"}, Outlook{Versions: 2, IsComplete: true}},
		{41, []string{"none"}, Outlook{IsComplete: true}},
	}
	for _, c := range cases {
		if got := history.Outlook(at(c.seconds), c.services, 10*time.Second); got != c.want {
			t.Errorf("%v at %v: got %+v, want %+v", c.services, c.seconds, got, c.want)
		}
	}
	history.Restart(at(41))
	if got := history.Outlook(at(45), []string{"s"}, 10*time.Second); got.IsComplete {
		t.Error("the history is complete after changes may have been missed")
	}
}

// TestDeduce guards against a version that is guessed while another may have begun the stream, and against streams that can't go on although
// one version alone has served.
func TestDeduce(t *testing.T) {
	const horizon = 12 * time.Second
	sole, soleB := Outlook{Versions: 1, Only: versionA, IsComplete: true}, Outlook{Versions: 1, Only: versionB, IsComplete: true}
	young, mixed, empty := Outlook{Versions: 1, Only: versionA}, Outlook{Versions: 2, IsComplete: true}, Outlook{}
	cases := []struct {
		desc      string
		own       Outlook
		staleness time.Duration
		peers     []Outlook
		peerCount int
		want      bool
	}{
		{"one version all along", sole, time.Second, []Outlook{sole, sole}, 8, true},
		{"two witnesses of eight are needed", sole, time.Second, []Outlook{sole}, 8, false},
		{"a gateway without others", sole, time.Second, nil, 0, true},
		{"one other gateway", sole, time.Second, []Outlook{young}, 1, true},
		{"the list is too old", sole, horizon, []Outlook{sole, sole}, 8, false},
		{"two versions here", mixed, 0, []Outlook{sole, sole}, 8, false},
		{"two versions at a peer", sole, 0, []Outlook{sole, mixed}, 8, false},
		{"another version at a peer", sole, 0, []Outlook{sole, soleB}, 8, false},
		{"a young gateway beside an old one", young, 0, []Outlook{young, sole}, 8, true},
		{"young gateways only", young, 0, []Outlook{young, young}, 8, false},
		{"peers without workers are no witnesses", sole, 0, []Outlook{empty, empty}, 8, false},
		{"no worker known", empty, 0, []Outlook{sole, sole}, 8, false},
	}
	for _, c := range cases {
		evidence := Evidence{Own: c.own, Staleness: c.staleness, Horizon: horizon, Peers: c.peers, PeerCount: c.peerCount}
		if version, got := evidence.Deduce(); got != c.want || (got && version != versionA) {
			t.Errorf("%s: got %v, %t", c.desc, version, got)
		}
	}
}

// TestNeedsRecord guards against streams of which nobody is told although others can't conclude their version.
func TestNeedsRecord(t *testing.T) {
	sole := Outlook{Versions: 1, Only: versionA, IsComplete: true}
	cases := []struct {
		desc      string
		own       Outlook
		staleness time.Duration
		want      bool
	}{
		{"one version all along", sole, 0, false},
		{"two versions", Outlook{Versions: 2, IsComplete: true}, 0, true},
		{"a young gateway", Outlook{Versions: 1, Only: versionA}, 0, true},
		{"an old list of workers", sole, shareFrom, true},
	}
	for _, c := range cases {
		if got := NeedsRecord(c.own, c.staleness); got != c.want {
			t.Errorf("%s: got %t", c.desc, got)
		}
	}
}

// TestHistoryStaysMixedForTheLongestStreams guards against records that are not handed over although the streams of a version that has gone may
// still be taken up.
func TestHistoryStaysMixedForTheLongestStreams(t *testing.T) {
	history, known := NewHistory(), backend.Set{}
	change := func(seconds float64, changes backend.Changes) {
		history.Change(at(seconds), known, changes)
		changes.Apply(known)
	}
	change(0, backend.Changes{Updated: []*backend.Worker{worker("w1", "a")}})
	if history.IsMixed(at(1)) {
		t.Error("one version is mixed")
	}
	change(1, backend.Changes{Updated: []*backend.Worker{worker("w2", "b")}, Removed: []string{"w1"}})
	for seconds, want := range map[float64]bool{2: true, MaxLifetime.Seconds(): true, 1 + maxHorizon.Seconds(): false} {
		if got := history.IsMixed(at(seconds)); got != want {
			t.Errorf("after %v s: mixed %t", seconds, got)
		}
	}
}

// TestVersionReplacesItsIncarnation guards against a stream that can't go on although the record of its worker has told the version since, and
// against a version that is forgotten because what stood for it arrives later.
func TestVersionReplacesItsIncarnation(t *testing.T) {
	var (
		unknown = Version{Service: versionA.Service, Incarnation: UnknownIncarnation}
		first   = Version{Service: versionA.Service, Incarnation: "w@1"}
		second  = Version{Service: versionA.Service, Incarnation: "w@2"}
	)
	for _, c := range []struct {
		desc string
		puts []Version
		want Version
		// wantFound is not set if the version is not known.
		wantFound bool
	}{
		{"told late", []Version{unknown, first, versionA}, versionA, true},
		{"in another order", []Version{versionA, unknown, first}, versionA, true},
		{"an incarnation", []Version{unknown, first, unknown, first}, first, true},
		{"nothing", []Version{unknown, unknown}, unknown, true},
		{"two incarnations", []Version{first, second}, Version{}, false},
		{"two versions", []Version{unknown, versionA, versionB}, Version{}, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			table := NewTable(10)
			for _, version := range c.puts {
				table.Put(at(0), Record{Key: 1, Version: version, Lifetime: time.Second})
			}
			if got, _, found := table.Find(at(0), 1); got != c.want || found != c.wantFound {
				t.Errorf("found %+v, %t, want %+v, %t", got, found, c.want, c.wantFound)
			}
			wantUntold := 0
			if c.wantFound && !c.want.IsTold() {
				wantUntold = 1
			}
			if got := len(table.TakeUntold(at(0))); got != wantUntold {
				t.Errorf("%d records tell no version, want %d", got, wantUntold)
			}
		})
	}
}

// TestVersionsAreEncoded guards against an incarnation that another gateway takes for a version, and against a version that is taken for an
// incarnation.
func TestVersionsAreEncoded(t *testing.T) {
	for _, version := range []Version{
		versionA, {Service: "s"}, {Service: "s", Incarnation: "w@1"}, {Service: "s", Incarnation: UnknownIncarnation}, {Service: "s", Software: "incarnation w"},
	} {
		if got := DecodeVersion(version.Service, version.Encode()); got != version {
			t.Errorf("%+v is decoded as %+v", version, got)
		}
		if !version.IsTold() && version.Encode() == version.Incarnation {
			t.Errorf("%+v could be taken for a version", version)
		}
	}
}
