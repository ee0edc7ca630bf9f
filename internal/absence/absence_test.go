package absence

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
)

// epoch is where the tests begin.
var epoch = time.Unix(1000, 0)

// engine returns one at an address of its own.
func engine(id, address string) *backend.Worker {
	return &backend.Worker{ID: id, Address: address, Role: backend.RoleDecode}
}

// TestAnAbsenceEnds has an engine refuse a connection, and each of the ways in which it is not held to be absent any more.
func TestAbsenceEnds(t *testing.T) {
	settings := DefaultSettings()
	for _, c := range []struct {
		desc string
		end  func(table *Table, worker *backend.Worker)
		at   time.Duration
		want bool
	}{
		{"nothing", func(*Table, *backend.Worker) {}, settings.Mark - 1, true},
		{"nobody says anything", func(*Table, *backend.Worker) {}, settings.Mark, false},
		{"it is said again", func(table *Table, worker *backend.Worker) { table.Refused(epoch.Add(time.Second), worker, false) }, settings.Mark, true},
		{"it answers", func(table *Table, worker *backend.Worker) { table.Answers(epoch, worker) }, 0, false},
		{"its record goes", func(table *Table, _ *backend.Worker) { table.Change(epoch, backend.Changes{Gone: []string{"a"}}) }, 0, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			table, worker := New(settings), engine("a", "x")
			if !table.Refused(epoch, worker, true) {
				t.Fatal("the first word is no news")
			}
			c.end(table, worker)
			if got, _ := table.Absent(epoch.Add(c.at), "a"); got != c.want {
				t.Errorf("absent: %v, want %v", got, c.want)
			}
		})
	}
}

// TestTheWordOfOneThatIsCutOffCountsOnce plays a gateway that reaches no engine and says so over and over, while others find the engine
// well.
func TestPartitionedReporterIsIgnoredAfterAnswer(t *testing.T) {
	table, worker := New(DefaultSettings()), engine("a", "x")
	excluded := 0
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		if table.Refused(now, worker, false) {
			excluded++
			table.Answers(now.Add(5*time.Millisecond), worker)
		}
	}
	if excluded != 1 {
		t.Errorf("the engine was passed over %d times within a second", excluded)
	}
	now := epoch.Add(time.Second)
	if !table.Refused(now, worker, true) {
		t.Error("what this process saw itself does not count")
	}
}

// TestReturnsAreLearnt ends engines that come back with another id after about as long, and asks when the next is expected.
func TestReturnTimeIsLearned(t *testing.T) {
	table := New(DefaultSettings())
	now := epoch
	for i := range 10 {
		previous, next := engine(fmt.Sprint("a", i), "x"), engine(fmt.Sprint("a", i+1), "x")
		table.Change(now, backend.Changes{Put: []*backend.Worker{previous}})
		table.Refused(now, previous, true)
		if at, learned := table.BackAt(previous.ID); learned != (i > 0) || at.Sub(now) < time.Second || at.Sub(now) > 4*time.Second {
			t.Errorf("life %d: expected back in %s, learnt: %v", i, at.Sub(now), learned)
		}
		now = now.Add(2 * time.Second)
		table.Change(now, backend.Changes{Gone: []string{previous.ID}})
		returned := table.Change(now, backend.Changes{Put: []*backend.Worker{next}})
		if len(returned) != 1 || returned[0].Away != 2*time.Second {
			t.Fatalf("life %d: returned %+v", i, returned)
		}
	}
}

// TestOnlyWhatIsSaidIsAbsent plays words in any order and checks the invariants.
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
			switch rapid.IntRange(0, 3).Draw(t, "word") {
			case 0:
				table.Refused(now, worker, true)
				reportedAt[worker.ID], direct[worker.ID] = now, true
			case 1:
				table.Refused(now, worker, false)
				reportedAt[worker.ID] = now
			case 2:
				table.Answers(now, worker)
				delete(reportedAt, worker.ID)
				delete(direct, worker.ID)
			default:
				table.Change(now, set.Since(nil))
			}
			for id := range set {
				absent, confirmed := table.Absent(now, id)
				at, reported := reportedAt[id]
				if absent && (!reported || now.Sub(at) >= settings.Mark) {
					t.Fatalf("%s is absent, last heard of at %s, now %s", id, at, now)
				}
				if confirmed && (!absent || !direct[id]) {
					t.Fatalf("%s is confirmed and was not seen", id)
				}
			}
		}
	})
}
