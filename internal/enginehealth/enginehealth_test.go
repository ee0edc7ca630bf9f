package enginehealth

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

// engine returns an engine at the given address.
func engine(id, address string) *backend.Worker {
	return &backend.Worker{ID: id, Address: address, Role: backend.RoleDecode}
}

// TestAbsenceEnds guards against engines that stay absent after their report expired, they responded or their record
// was removed.
func TestAbsenceEnds(t *testing.T) {
	settings := DefaultSettings()
	for _, test := range []struct {
		desc string
		end  func(table *Table, worker *backend.Worker)
		at   time.Duration
		want bool
	}{
		{"before the report expires", func(*Table, *backend.Worker) {}, settings.ReportTTL - 1, true},
		{"the report has expired", func(*Table, *backend.Worker) {}, settings.ReportTTL, false},
		{"reported again", func(table *Table, worker *backend.Worker) { table.Refused(epoch.Add(time.Second), worker, false) }, settings.ReportTTL, true},
		{"the engine responds", func(table *Table, worker *backend.Worker) { table.Responded(epoch, worker) }, 0, false},
		{"the record is removed", func(table *Table, _ *backend.Worker) {
			table.ApplyChanges(epoch, backend.Changes{Removed: []string{"a"}})
		}, 0, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			table, worker := New(settings), engine("a", "x")
			if !table.Refused(epoch, worker, true) {
				t.Fatal("the first report is not new")
			}
			test.end(table, worker)
			if got, _ := table.Absent(epoch.Add(test.at), "a"); got != test.want {
				t.Errorf("absent: %v, want %v", got, test.want)
			}
		})
	}
}

// TestPartitionedReporterIsIgnoredAfterAnswer guards against a partitioned gateway that keeps reporting an engine as
// absent that others can reach.
func TestPartitionedReporterIsIgnoredAfterAnswer(t *testing.T) {
	table, worker := New(DefaultSettings()), engine("a", "x")
	timesAbsent := 0
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		if table.Refused(now, worker, false) {
			timesAbsent++
			table.Responded(now.Add(5*time.Millisecond), worker)
		}
	}
	if timesAbsent != 1 {
		t.Errorf("the engine became absent %d times within a second, want once", timesAbsent)
	}
	now := epoch.Add(time.Second)
	if !table.Refused(now, worker, true) {
		t.Error("a refused connection of this process was ignored")
	}
}

// TestReturnTimeIsLearned guards against wrong estimates of when an engine is back, after engines that returned under
// another ID in a constant time.
func TestReturnTimeIsLearned(t *testing.T) {
	table := New(DefaultSettings())
	now := epoch
	for i := range 10 {
		previous, next := engine(fmt.Sprint("a", i), "x"), engine(fmt.Sprint("a", i+1), "x")
		table.ApplyChanges(now, backend.Changes{Updated: []*backend.Worker{previous}})
		table.Refused(now, previous, true)
		// The estimate is the default of 3 s at first, and then near the actual 2 s.
		if at, learned := table.ExpectedReturn(previous.ID); learned != (i > 0) || at.Sub(now) < time.Second || at.Sub(now) > 4*time.Second {
			t.Errorf("incarnation %d: expected back in %s, learned: %v", i, at.Sub(now), learned)
		}
		now = now.Add(2 * time.Second)
		table.ApplyChanges(now, backend.Changes{Removed: []string{previous.ID}})
		returned := table.ApplyChanges(now, backend.Changes{Updated: []*backend.Worker{next}})
		if len(returned) != 1 || returned[0].Away != 2*time.Second {
			t.Fatalf("incarnation %d: returned %+v", i, returned)
		}
	}
}

// TestTableInvariants guards against engines that stay absent without a recent report, or are confirmed as absent without
// a refused connection of this process.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		table, now := New(settings), epoch
		set := backend.Set{}
		for i := range 4 {
			worker := engine(fmt.Sprint("e", i), fmt.Sprint("x", i))
			set[worker.ID] = worker
		}
		reportedAt, direct := map[string]time.Time{}, map[string]bool{}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			worker := set[fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "engine"))]
			switch rapid.IntRange(0, 3).Draw(t, "report") {
			case 0:
				table.Refused(now, worker, true)
				reportedAt[worker.ID], direct[worker.ID] = now, true
			case 1:
				table.Refused(now, worker, false)
				reportedAt[worker.ID] = now
			case 2:
				table.Responded(now, worker)
				delete(reportedAt, worker.ID)
				delete(direct, worker.ID)
			default:
				table.ApplyChanges(now, set.Diff(nil))
			}
			for id := range set {
				absent, confirmed := table.Absent(now, id)
				at, reported := reportedAt[id]
				if absent && (!reported || now.Sub(at) >= settings.ReportTTL) {
					t.Fatalf("%s is absent, last reported at %s, now %s", id, at, now)
				}
				if confirmed && (!absent || !direct[id]) {
					t.Fatalf("%s is confirmed without a refused connection of this process", id)
				}
			}
		}
	})
}
