package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// TestWhenWritersAreBroughtBack ends writers of a group at one moment, and counts the readers that are ordered at that moment.
func TestRecoverLostDecodeEngines(t *testing.T) {
	for _, c := range []struct {
		desc                  string
		prefill, decode, gone int
		changing              int
		backIn                time.Duration
		minEngines            map[backend.Role]int
		want                  int
	}{
		{desc: "all live", prefill: 8, decode: 4, want: 0},
		{desc: "one of four", prefill: 8, decode: 4, gone: 1, want: 0},
		{desc: "two of four: a third of the ten that live write", prefill: 8, decode: 4, gone: 2, want: 2},
		{desc: "all", prefill: 8, decode: 4, gone: 4, want: 3},
		{desc: "all, and two are changing already", prefill: 8, decode: 4, gone: 4, changing: 2, want: 0},
		{desc: "all, back sooner than a change takes", prefill: 8, decode: 4, gone: 4, backIn: 500 * time.Millisecond, want: 0},
		{desc: "all, back later than a change takes", prefill: 8, decode: 4, gone: 4, backIn: 2 * time.Second, want: 3},
		{desc: "all, and should be back already", prefill: 8, decode: 4, gone: 4, backIn: -time.Second, want: 3},
		{desc: "all, of two engines that read one writes", prefill: 2, decode: 4, gone: 4, want: 1},
		{desc: "one reader is left, which reads for whoever comes back", prefill: 1, decode: 4, gone: 4, want: 0},
		{desc: "without any writer the floor of readers gives way", prefill: 8, decode: 4, gone: 4,
			minEngines: map[backend.Role]int{backend.RolePrefill: 8, backend.RoleDecode: 3}, want: 3},
		{desc: "with one writer the floor of readers holds", prefill: 8, decode: 4, gone: 3,
			minEngines: map[backend.Role]int{backend.RolePrefill: 8, backend.RoleDecode: 3}, want: 0},
		{desc: "all records are gone too", prefill: 8, decode: 0, want: 3},
	} {
		t.Run(c.desc, func(t *testing.T) {
			settings := DefaultSettings()
			settings.MinEngines = c.minEngines
			engines := newEngines(c.prefill, c.decode, 0)
			for i := range engines {
				writer := i - c.prefill
				if writer >= 0 && writer < c.gone {
					engines[i].Gone, engines[i].Usable = true, false
					if c.backIn != 0 {
						engines[i].BackAt = epoch.Add(c.backIn)
					}
				}
				if i < c.changing {
					engines[i].Becoming, engines[i].Usable = backend.RoleDecode, false
				}
			}
			planner := NewPlanner(settings)
			planner.delayNextChange(epoch)
			got := planner.Recover(epoch, &Group{Engines: engines, Wrote: true, RoleChange: time.Second})
			if len(got) != c.want {
				t.Fatalf("%d orders, want %d: %+v", len(got), c.want, got)
			}
			seen := map[string]bool{}
			for _, change := range got {
				if !change.Urgent || change.Role != backend.RoleDecode || change.Worker.Role != backend.RolePrefill || seen[change.Worker.ID] {
					t.Errorf("got %+v", change)
				}
				seen[change.Worker.ID] = true
			}
		})
	}
}

func TestNoRecoveryBeforeFirstDecodeRecord(t *testing.T) {
	if got := NewPlanner(DefaultSettings()).Recover(epoch, &Group{Engines: newEngines(8, 0, 0)}); len(got) > 0 {
		t.Errorf("%d orders before any writer was recorded", len(got))
	}
}

// TestAFlappingRoleTakesFewOrders ends all writers that there are every four seconds for five minutes; each is back two seconds later, as
// a writer. Callers keep readers busy all the while, so that the plan of the mix wants the readers back each time.
func TestFlappingRoleCausesFewOrders(t *testing.T) {
	const tick, period, downtime, duration = 250 * time.Millisecond, 4 * time.Second, 2 * time.Second, 5 * time.Minute
	engines := newEngines(8, 4, 5)
	planner := NewPlanner(DefaultSettings())
	var orders, available, ticks int
	changingUntil := map[string]time.Time{}
	for at := time.Duration(0); at < duration; at += tick {
		now := epoch.Add(at)
		for i := range engines {
			engine := &engines[i]
			if at%period == 0 && engine.Worker.Role == backend.RoleDecode {
				engine.Gone, engine.Usable = true, false
			}
			if at%period == downtime && engine.Gone {
				engine.Gone, engine.Usable = false, true
			}
			if done, changing := changingUntil[engine.Worker.ID]; changing && !now.Before(done) {
				delete(changingUntil, engine.Worker.ID)
				engine.Worker.Role, engine.Becoming, engine.Usable = engine.Becoming, backend.RoleNone, true
			}
		}
		group := &Group{Engines: engines, ReadingDemand: 5, Wrote: true, RoleChange: time.Second}
		changes := planner.Recover(now, group)
		if change := planner.Next(now, group); len(changes) == 0 && change != nil {
			changes = append(changes, *change)
		}
		for _, change := range changes {
			orders++
			changingUntil[change.Worker.ID] = now.Add(time.Second)
			for i := range engines {
				if engines[i].Worker.ID == change.Worker.ID {
					engines[i].Becoming, engines[i].Usable = change.Role, false
				}
			}
		}
		ticks++
		for _, engine := range engines {
			if engine.Worker.Role == backend.RoleDecode && !engine.Gone {
				available++
				break
			}
		}
	}
	// 75 losses. Each of them may take as many orders as the first, and as many back, without the calm: 450.
	if orders > 60 {
		t.Errorf("%d orders in %s", orders, duration)
	}
	if share := float64(available) / float64(ticks); share < 0.5 {
		t.Errorf("there were writers for %.2f of the time", share)
	}
}

// BenchmarkRescue decides what brings 2,600 lost writers of 5,200 engines back.
func BenchmarkRecover(b *testing.B) {
	engines := newEngines(2600, 2600, 5)
	for i := range engines {
		engines[i].Gone = engines[i].Worker.Role == backend.RoleDecode
	}
	group := &Group{Engines: engines, Wrote: true, RoleChange: time.Second}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		planner := NewPlanner(DefaultSettings())
		if changes := planner.Recover(epoch.Add(time.Duration(i)), group); len(changes) != 867 {
			b.Fatal(fmt.Sprint(len(changes), " orders"))
		}
	}
}

// TestEnginesThatTakeNoOrderAreNotAskedAgainAtOnce has the idlest readers fail their orders while all writers are gone. The next ones are
// ordered, and orders that nobody took are no loss that has the writers kept for longer.
func TestFailedEnginesAreTriedLast(t *testing.T) {
	engines := newEngines(8, 4, 0)
	for i := range engines {
		engines[i].Gone = engines[i].Worker.Role == backend.RoleDecode
	}
	planner := NewPlanner(DefaultSettings())
	group := &Group{Engines: engines, Wrote: true, RoleChange: time.Second}
	ordered := map[string]bool{}
	now := epoch
	for range 2 {
		changes := planner.Recover(now, group)
		if len(changes) != 3 {
			t.Fatalf("%d orders", len(changes))
		}
		for _, change := range changes {
			if ordered[change.Worker.ID] {
				t.Errorf("%s was asked again", change.Worker.ID)
			}
			ordered[change.Worker.ID] = true
			planner.OrderFailed(now, change.Worker.ID)
		}
		planner.RecoveryFailed()
		now = now.Add(2 * time.Second)
	}
	if planner.recovery.holds(now) {
		t.Error("writers are kept after orders that nobody took")
	}
}
