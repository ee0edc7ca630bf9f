package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// TestRecoverLostDecodeEngines guards against too few or too many orders to prefill engines when decode engines are lost.
func TestRecoverLostDecodeEngines(t *testing.T) {
	for _, c := range []struct {
		desc                   string
		prefill, decode, ended int
		changing               int
		expectedIn             time.Duration
		minEngines             map[backend.Role]int
		want                   int
	}{
		{desc: "none lost", prefill: 8, decode: 4, want: 0},
		{desc: "one of four lost", prefill: 8, decode: 4, ended: 1, want: 0},
		{desc: "two of four lost: the minimum is a third of the ten live engines", prefill: 8, decode: 4, ended: 2, want: 2},
		{desc: "all lost", prefill: 8, decode: 4, ended: 4, want: 3},
		{desc: "all lost, two engines are changing already", prefill: 8, decode: 4, ended: 4, changing: 2, want: 0},
		{desc: "all lost, back sooner than a change takes", prefill: 8, decode: 4, ended: 4, expectedIn: 500 * time.Millisecond, want: 0},
		{desc: "all lost, back later than a change takes", prefill: 8, decode: 4, ended: 4, expectedIn: 2 * time.Second, want: 3},
		{desc: "all lost, overdue to be back", prefill: 8, decode: 4, ended: 4, expectedIn: -time.Second, want: 3},
		{desc: "all lost, one of two prefill engines changes", prefill: 2, decode: 4, ended: 4, want: 1},
		{desc: "all lost, the only prefill engine stays", prefill: 1, decode: 4, ended: 4, want: 0},
		{desc: "all lost, the prefill minimum is ignored", prefill: 8, decode: 4, ended: 4,
			minEngines: map[backend.Role]int{backend.RolePrefill: 8, backend.RoleDecode: 3}, want: 3},
		{desc: "one decode engine live, the prefill minimum holds", prefill: 8, decode: 4, ended: 3,
			minEngines: map[backend.Role]int{backend.RolePrefill: 8, backend.RoleDecode: 3}, want: 0},
		{desc: "all lost with their records", prefill: 8, decode: 0, want: 3},
	} {
		t.Run(c.desc, func(t *testing.T) {
			settings := DefaultSettings()
			settings.MinEngines = c.minEngines
			engines := newEngines(c.prefill, c.decode, 0)
			for i := range engines {
				decodeIndex := i - c.prefill
				if decodeIndex >= 0 && decodeIndex < c.ended {
					engines[i].Ended, engines[i].Usable = true, false
					if c.expectedIn != 0 {
						engines[i].ExpectedAt = epoch.Add(c.expectedIn)
					}
				}
				if i < c.changing {
					engines[i].TargetRole, engines[i].Usable = backend.RoleDecode, false
				}
			}
			planner := NewPlanner(settings)
			planner.delayNextChange(epoch)
			got := planner.Recover(epoch, &Group{Engines: engines, HadDecode: true, RoleChangeTime: time.Second})
			if len(got) != c.want {
				t.Fatalf("%d orders, want %d: %+v", len(got), c.want, got)
			}
			seen := map[string]bool{}
			for _, change := range got {
				if !change.Urgent || change.Role != backend.RoleDecode || change.Worker.Role != backend.RolePrefill || seen[change.Worker.ID] {
					t.Errorf("change: %+v, want an urgent one of another prefill engine to decode", change)
				}
				seen[change.Worker.ID] = true
			}
		})
	}
}

func TestNoRecoveryBeforeFirstDecodeRecord(t *testing.T) {
	if got := NewPlanner(DefaultSettings()).Recover(epoch, &Group{Engines: newEngines(8, 0, 0)}); len(got) > 0 {
		t.Errorf("%d orders before any decode engine had a record, want 0", len(got))
	}
}

// TestFlappingRoleCausesFewOrders guards against engines that change back and forth when the decode engines crash every four seconds, while
// prompts keep the prefill engines busy.
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
				engine.Ended, engine.Usable = true, false
			}
			if at%period == downtime && engine.Ended {
				engine.Ended, engine.Usable = false, true
			}
			if done, changing := changingUntil[engine.Worker.ID]; changing && !now.Before(done) {
				delete(changingUntil, engine.Worker.ID)
				engine.Worker.Role, engine.TargetRole, engine.Usable = engine.TargetRole, backend.RoleNone, true
			}
		}
		group := &Group{Engines: engines, PrefillDemand: 5, HadDecode: true, RoleChangeTime: time.Second}
		changes := planner.Recover(now, group)
		if change := planner.Next(now, group); len(changes) == 0 && change != nil {
			changes = append(changes, *change)
		}
		for _, change := range changes {
			orders++
			changingUntil[change.Worker.ID] = now.Add(time.Second)
			for i := range engines {
				if engines[i].Worker.ID == change.Worker.ID {
					engines[i].TargetRole, engines[i].Usable = change.Role, false
				}
			}
		}
		ticks++
		for _, engine := range engines {
			if engine.Worker.Role == backend.RoleDecode && !engine.Ended {
				available++
				break
			}
		}
	}
	// Without RecoveryHold, each of the 75 losses could cause three orders and three back.
	if orders > 60 {
		t.Errorf("%d orders in %s, want at most 60", orders, duration)
	}
	if share := float64(available) / float64(ticks); share < 0.5 {
		t.Errorf("decode engines were available for %.2f of the time, want at least 0.5", share)
	}
}

// BenchmarkRecover measures the recovery from the loss of all decode engines among 5,200 engines.
func BenchmarkRecover(b *testing.B) {
	engines := newEngines(2600, 2600, 5)
	for i := range engines {
		engines[i].Ended = engines[i].Worker.Role == backend.RoleDecode
	}
	group := &Group{Engines: engines, HadDecode: true, RoleChangeTime: time.Second}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		planner := NewPlanner(DefaultSettings())
		// The minimum is a third of the 2,600 live engines, rounded up.
		if changes := planner.Recover(epoch.Add(time.Duration(i)), group); len(changes) != 867 {
			b.Fatal(fmt.Sprint(len(changes), " orders, want 867"))
		}
	}
}

// TestFailedEnginesAreTriedLast guards against repeated orders to the same engines that fail them. A failed recovery must not hold decode
// engines in their role.
func TestFailedEnginesAreTriedLast(t *testing.T) {
	engines := newEngines(8, 4, 0)
	for i := range engines {
		engines[i].Ended = engines[i].Worker.Role == backend.RoleDecode
	}
	planner := NewPlanner(DefaultSettings())
	group := &Group{Engines: engines, HadDecode: true, RoleChangeTime: time.Second}
	ordered := map[string]bool{}
	now := epoch
	for range 2 {
		changes := planner.Recover(now, group)
		if len(changes) != 3 {
			t.Fatalf("%d orders, want 3", len(changes))
		}
		for _, change := range changes {
			if ordered[change.Worker.ID] {
				t.Errorf("%s got another order after it failed one", change.Worker.ID)
			}
			ordered[change.Worker.ID] = true
			planner.OrderFailed(now, change.Worker.ID)
		}
		planner.RecoveryFailed(now)
		now = now.Add(2 * time.Second)
	}
	if planner.recovery.holds(now) {
		t.Error("decode engines are held after a recovery that no engine accepted")
	}
}

// TestFailedRecoveriesPauseLonger guards against a controller that reaches no engine and sends the same orders over and over.
func TestFailedRecoveriesPauseLonger(t *testing.T) {
	engines := newEngines(8, 4, 0)
	for i := range engines {
		engines[i].Ended = engines[i].Worker.Role == backend.RoleDecode
	}
	planner := NewPlanner(DefaultSettings())
	group := &Group{Engines: engines, HadDecode: true, RoleChangeTime: time.Second}
	const duration, maxRecoveries = 10 * time.Second, 10
	recoveries := 0
	for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(time.Millisecond) {
		if len(planner.Recover(now, group)) > 0 {
			recoveries++
			planner.RecoveryFailed(now)
		}
	}
	if recoveries < 2 || recoveries > maxRecoveries {
		t.Errorf("%d recoveries in %s, want 2 to %d", recoveries, duration, maxRecoveries)
	}
	planner.RecoverySucceeded()
	if len(planner.Recover(epoch.Add(duration), group)) == 0 {
		t.Error("no recovery after one that succeeded")
	}
}

// TestPlannedChangeAvoidsFailedEngines guards against a controller that has lost its path to one engine and orders that one again each time.
func TestPlannedChangeAvoidsFailedEngines(t *testing.T) {
	planner := NewPlanner(DefaultSettings())
	group := func() *Group { return &Group{Engines: newEngines(5, 7, 1), PrefillDemand: 5} }
	first := planner.Next(epoch, group())
	if first == nil {
		t.Fatal("no change although prompts keep the prefill engines busy")
	}
	planner.OrderFailed(epoch, first.Worker.ID)
	second := planner.Next(epoch.Add(time.Second), group())
	if second == nil || second.Worker.ID == first.Worker.ID {
		t.Errorf("after %s failed its order, got %+v", first.Worker.ID, second)
	}
}
