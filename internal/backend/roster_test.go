package backend

import (
	"testing"
	"time"
)

// TestRecordsThatGoWithAnOutageFade guards against losing all workers when the store comes back without their records, which
// they write anew only with their next heartbeats.
func TestWorkersAreRetainedAfterOutage(t *testing.T) {
	epoch := time.Unix(1000, 0)
	settings := RosterSettings{FadeTime: 1500 * time.Millisecond, OutageMemory: 5 * time.Second}
	ready, draining := &Worker{ID: "ready"}, &Worker{ID: "draining", Draining: true}
	newRoster := func() *Roster {
		roster := NewRoster(settings)
		roster.Put(epoch, ready)
		roster.Put(epoch, draining)
		return roster
	}
	countInUse := func(roster *Roster, now time.Time) int {
		roster.Changes(now)
		return len(roster.reported)
	}
	roster := newRoster()
	roster.Remove(epoch, "ready")
	if countInUse(roster, epoch) != 1 {
		t.Error("a worker stays in use although its record is gone in quiet times")
	}
	roster = newRoster()
	roster.Outage(epoch)
	roster.Reset(epoch.Add(time.Second), nil)
	_, next := roster.Changes(epoch.Add(time.Second))
	if len(roster.reported) != 1 || roster.reported["ready"] == nil {
		t.Errorf("after an outage: %v", roster.reported)
	}
	if want := epoch.Add(time.Second + settings.FadeTime); !next.Equal(want) {
		t.Errorf("the next one fades at %s, want %s", next, want)
	}
	if countInUse(roster, next) != 0 {
		t.Error("a worker without a record stays in use for too long")
	}
	roster.Put(epoch, ready)
	if countInUse(roster, next) != 1 {
		t.Error("a worker that recorded itself again is not in use")
	}
}

// TestAWorkerThatStartsAgainUnderItsRecordIsAnother has a worker start again, and then its record say nothing that can be used.
func TestRestartUnderSameRecordReplacesWorker(t *testing.T) {
	roster, now := NewRoster(RosterSettings{}), time.Unix(1000, 0)
	roster.Put(now, &Worker{ID: "i@1", Record: "i", Address: "a"})
	roster.Put(now, &Worker{ID: "other", Record: "other", Address: "b"})
	roster.Changes(now)
	roster.Put(now, &Worker{ID: "i@2", Record: "i", Address: "a"})
	changes, _ := roster.Changes(now)
	if len(changes.Gone) != 1 || changes.Gone[0] != "i@1" || len(changes.Put) != 1 || changes.Put[0].ID != "i@2" {
		t.Errorf("started again: %+v", changes)
	}
	roster.Drop("i")
	changes, _ = roster.Changes(now)
	if len(changes.Gone) != 1 || changes.Gone[0] != "i@2" || len(changes.Put) != 0 {
		t.Errorf("unreadable: %+v", changes)
	}
	if changes, _ = roster.Changes(now); !changes.Empty() {
		t.Errorf("nothing has changed: %+v", changes)
	}
}

// TestAWorkerThatSaidThatItLeavesIsDraining guards against what may come after the word of a worker: its old record, alone or with a list, as
// while the store is behind or has come back from a copy; that its record goes around an outage; and its next life.
func TestLeavingWorkerStaysDraining(t *testing.T) {
	now := time.Unix(1000, 0)
	ready := &Worker{ID: "i@1", Record: "i", Address: "a"}
	for _, test := range []struct {
		desc  string
		event func(roster *Roster)
		// wantIDs are the workers in use, and want whether the first is draining.
		wantID       string
		wantDraining bool
	}{
		{"nothing else", func(*Roster) {}, "i@1", true},
		{"its record again", func(r *Roster) { r.Put(now, ready) }, "i@1", true},
		{"a list with its record", func(r *Roster) { r.Reset(now, []*Worker{ready}) }, "i@1", true},
		{"its record goes and comes again", func(r *Roster) { r.Remove(now, "i"); r.Changes(now); r.Put(now, ready) }, "i@1", true},
		{"its record goes around an outage", func(r *Roster) { r.Outage(now); r.Remove(now, "i") }, "", false},
		{"its next life", func(r *Roster) { r.Put(now, &Worker{ID: "i@2", Record: "i", Address: "a"}) }, "i@2", false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			for source, leave := range map[string]func(roster *Roster) bool{
				"answer": func(r *Roster) bool { return r.Leaves(now, "i@1") },
				"record": func(r *Roster) bool { r.Put(now, ready.AsDraining()); return true },
			} {
				roster := NewRoster(RosterSettings{FadeTime: time.Second, OutageMemory: time.Second})
				roster.Put(now, ready)
				roster.Changes(now)
				if !leave(roster) || roster.Leaves(now, "i@1") {
					t.Errorf("%s: the word is news once", source)
				}
				test.event(roster)
				roster.Changes(now)
				inUse := ""
				for id, worker := range roster.reported {
					inUse = id
					if worker.Draining != test.wantDraining {
						t.Errorf("%s: %+v", source, worker)
					}
				}
				if inUse != test.wantID || len(roster.reported) > 1 {
					t.Errorf("%s: in use are %v, want %q", source, roster.reported, test.wantID)
				}
			}
		})
	}
}

// TestAFadingWorkerThatLeavesIsDraining has a worker whose record went around an outage say that it leaves.
func TestRetainedWorkerThatLeavesIsDraining(t *testing.T) {
	now := time.Unix(1000, 0)
	roster := NewRoster(RosterSettings{FadeTime: time.Second, OutageMemory: time.Second})
	roster.Put(now, &Worker{ID: "i"})
	roster.Outage(now)
	roster.Remove(now, "i")
	roster.Changes(now)
	if !roster.Leaves(now, "i") {
		t.Error("the word is no news")
	}
	changes, _ := roster.Changes(now)
	if len(changes.Put) != 1 || !changes.Put[0].Draining {
		t.Errorf("%+v", changes)
	}
}
