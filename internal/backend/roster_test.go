package backend

import (
	"testing"
	"time"
)

// TestRecordsThatGoWithAnOutageFade guards against losing all workers when the store comes back without their records, which
// they write anew only with their next heartbeats.
func TestRecordsThatGoWithAnOutageFade(t *testing.T) {
	epoch := time.Unix(1000, 0)
	settings := RosterSettings{FadeTime: 1500 * time.Millisecond, OutageMemory: 5 * time.Second}
	ready, draining := &Worker{ID: "ready"}, &Worker{ID: "draining", Draining: true}
	fill := func() *Roster {
		roster := NewRoster(settings)
		roster.Put(ready)
		roster.Put(draining)
		return roster
	}
	inUse := func(roster *Roster, now time.Time) int {
		roster.Changes(now)
		return len(roster.told)
	}
	roster := fill()
	roster.Remove(epoch, "ready")
	if inUse(roster, epoch) != 1 {
		t.Error("a worker stays in use although its record is gone in quiet times")
	}
	roster = fill()
	roster.Outage(epoch)
	roster.Reset(epoch.Add(time.Second), nil)
	_, next := roster.Changes(epoch.Add(time.Second))
	if len(roster.told) != 1 || roster.told["ready"] == nil {
		t.Errorf("after an outage: %v", roster.told)
	}
	if want := epoch.Add(time.Second + settings.FadeTime); !next.Equal(want) {
		t.Errorf("the next one fades at %s, want %s", next, want)
	}
	if inUse(roster, next) != 0 {
		t.Error("a worker without a record stays in use for too long")
	}
	roster.Put(ready)
	if inUse(roster, next) != 1 {
		t.Error("a worker that recorded itself again is not in use")
	}
}

// TestAWorkerThatStartsAgainUnderItsRecordIsAnother has a worker start again, and then its record say nothing that can be used.
func TestAWorkerThatStartsAgainUnderItsRecordIsAnother(t *testing.T) {
	roster, now := NewRoster(RosterSettings{}), time.Unix(1000, 0)
	roster.Put(&Worker{ID: "i@1", Record: "i", Address: "a"})
	roster.Put(&Worker{ID: "other", Record: "other", Address: "b"})
	roster.Changes(now)
	roster.Put(&Worker{ID: "i@2", Record: "i", Address: "a"})
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
