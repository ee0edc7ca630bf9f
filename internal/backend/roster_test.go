package backend

import (
	"testing"
	"time"
)

// TestWorkersAreRetainedAfterOutage guards against losing all workers when the store recovers without their records,
// which they write again only with their next heartbeats, and against keeping workers whose record disappeared without an
// outage.
func TestWorkersAreRetainedAfterOutage(t *testing.T) {
	epoch := time.Unix(1000, 0)
	settings := RosterSettings{OutageGrace: 1500 * time.Millisecond, OutageWindow: 5 * time.Second}
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
		t.Error("a worker without a record stays in use although there was no outage")
	}
	roster = newRoster()
	roster.Outage(epoch)
	roster.Reset(epoch.Add(time.Second), nil)
	_, next := roster.Changes(epoch.Add(time.Second))
	if len(roster.reported) != 1 || roster.reported["ready"] == nil {
		t.Errorf("after an outage: %v", roster.reported)
	}
	if want := epoch.Add(time.Second + settings.OutageGrace); !next.Equal(want) {
		t.Errorf("the next retained worker expires at %s, want %s", next, want)
	}
	if countInUse(roster, next) != 0 {
		t.Error("a worker without a record is in use after OutageGrace")
	}
	roster.Put(epoch, ready)
	if countInUse(roster, next) != 1 {
		t.Error("a worker that registered again is not in use")
	}
}

// TestRestartUnderSameRecordReplacesWorker guards against two incarnations of a record in use, and against keeping a
// worker whose record became unusable.
func TestRestartUnderSameRecordReplacesWorker(t *testing.T) {
	roster, now := NewRoster(RosterSettings{}), time.Unix(1000, 0)
	roster.Put(now, &Worker{ID: "i@1", Record: "i", Address: "a"})
	roster.Put(now, &Worker{ID: "other", Record: "other", Address: "b"})
	roster.Changes(now)
	roster.Put(now, &Worker{ID: "i@2", Record: "i", Address: "a"})
	changes, _ := roster.Changes(now)
	if len(changes.Removed) != 1 || changes.Removed[0] != "i@1" || len(changes.Updated) != 1 || changes.Updated[0].ID != "i@2" {
		t.Errorf("after a restart: %+v", changes)
	}
	roster.Invalidate("i")
	changes, _ = roster.Changes(now)
	if len(changes.Removed) != 1 || changes.Removed[0] != "i@2" || len(changes.Updated) != 0 {
		t.Errorf("after the record became unusable: %+v", changes)
	}
	if changes, _ = roster.Changes(now); !changes.Empty() {
		t.Errorf("got changes although nothing changed: %+v", changes)
	}
}

// TestLeavingWorkerStaysDraining guards against stale records that undo a worker's announcement that it is leaving,
// against retaining it after an outage, and against draining its next incarnation.
func TestLeavingWorkerStaysDraining(t *testing.T) {
	now := time.Unix(1000, 0)
	ready := &Worker{ID: "i@1", Record: "i", Address: "a"}
	for _, test := range []struct {
		desc       string
		laterEvent func(roster *Roster)
		// wantID is the worker in use, if any, and wantDraining whether it is draining.
		wantID       string
		wantDraining bool
	}{
		{"no other event", func(*Roster) {}, "i@1", true},
		{"stale record", func(r *Roster) { r.Put(now, ready) }, "i@1", true},
		{"list with a stale record", func(r *Roster) { r.Reset(now, []*Worker{ready}) }, "i@1", true},
		{"record removed and added again", func(r *Roster) { r.Remove(now, "i"); r.Changes(now); r.Put(now, ready) }, "i@1", true},
		{"record removed around an outage", func(r *Roster) { r.Outage(now); r.Remove(now, "i") }, "", false},
		{"restart", func(r *Roster) { r.Put(now, &Worker{ID: "i@2", Record: "i", Address: "a"}) }, "i@2", false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			for source, leave := range map[string]func(roster *Roster) bool{
				"response": func(r *Roster) bool { return r.AnnounceLeaving(now, "i@1") },
				"record":   func(r *Roster) bool { r.Put(now, ready.AsDraining()); return true },
			} {
				roster := NewRoster(RosterSettings{OutageGrace: time.Second, OutageWindow: time.Second})
				roster.Put(now, ready)
				roster.Changes(now)
				if !leave(roster) || roster.AnnounceLeaving(now, "i@1") {
					t.Errorf("%s: an announcement must be new exactly once", source)
				}
				test.laterEvent(roster)
				roster.Changes(now)
				inUse := ""
				for id, worker := range roster.reported {
					inUse = id
					if worker.Draining != test.wantDraining {
						t.Errorf("%s: wrong draining state of %+v", source, worker)
					}
				}
				if inUse != test.wantID || len(roster.reported) > 1 {
					t.Errorf("%s: workers in use are %v, want %q", source, roster.reported, test.wantID)
				}
			}
		})
	}
}

// TestRetainedWorkerThatLeavesIsDraining guards against ignoring the announcement of a worker whose record was lost in
// an outage.
func TestRetainedWorkerThatLeavesIsDraining(t *testing.T) {
	now := time.Unix(1000, 0)
	roster := NewRoster(RosterSettings{OutageGrace: time.Second, OutageWindow: time.Second})
	roster.Put(now, &Worker{ID: "i"})
	roster.Outage(now)
	roster.Remove(now, "i")
	roster.Changes(now)
	if !roster.AnnounceLeaving(now, "i") {
		t.Error("the announcement did not make the worker draining")
	}
	changes, _ := roster.Changes(now)
	if len(changes.Updated) != 1 || !changes.Updated[0].Draining {
		t.Errorf("got changes %+v, want one draining worker", changes)
	}
}
