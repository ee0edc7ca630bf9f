package roles

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
)

// epoch is where the tests begin.
var epoch = time.Unix(1000, 0)

// fleetOf returns engines, each with the same load for its role.
func fleetOf(readers, writers, readingTokens, running int) []Engine {
	var engines []Engine
	for i := range readers {
		worker := &backend.Worker{ID: fmt.Sprint("r", i), Role: backend.RolePrefill, Slots: 32}
		engines = append(engines, Engine{Worker: worker, ReadingTokens: readingTokens, Usable: true})
	}
	for i := range writers {
		worker := &backend.Worker{ID: fmt.Sprint("w", i), Role: backend.RoleDecode, Slots: 32}
		engines = append(engines, Engine{Worker: worker, Running: running, Usable: true})
	}
	return engines
}

func TestRolesFollowASustainedBacklog(t *testing.T) {
	cases := []struct {
		desc                                     string
		readers, writers, readingTokens, running int
		want                                     backend.Role
	}{
		{"nothing to do", 5, 7, 0, 2, ""},
		{"prompts wait and there is room", 5, 7, 40_000, 2, backend.RolePrefill},
		{"prompts wait and there is no room", 5, 7, 40_000, 20, ""},
		{"prompts wait and the least share is reached", 7, 5, 40_000, 2, ""},
		{"writers are full and readers idle", 7, 5, 0, 30, backend.RoleDecode},
		{"one writer is left", 2, 1, 40_000, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			planner := NewPlanner(DefaultSettings())
			engines := fleetOf(c.readers, c.writers, c.readingTokens, c.running)
			if change := planner.Next(epoch, engines); change != nil {
				t.Fatalf("a passing backlog changed %+v", change)
			}
			var got backend.Role
			if change := planner.Next(epoch.Add(time.Second), engines); change != nil {
				got = change.Role
			}
			if got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestEachRoleKeepsItsShare plays random loads and carries every change out.
func TestEachRoleKeepsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		planner := NewPlanner(settings)
		engines := fleetOf(rapid.IntRange(1, 9).Draw(t, "readers"), rapid.IntRange(1, 9).Draw(t, "writers"), 0, 0)
		now := epoch
		for range 60 {
			now = now.Add(250 * time.Millisecond)
			for i := range engines {
				engines[i].ReadingTokens = rapid.IntRange(0, 60_000).Draw(t, "tokens")
				engines[i].Running = rapid.IntRange(0, 32).Draw(t, "running")
			}
			change := planner.Next(now, engines)
			if change == nil {
				continue
			}
			from := change.Worker.Role
			change.Worker.Role = change.Role
			left := 0
			for _, engine := range engines {
				if engine.Worker.Role == from {
					left++
				}
			}
			if left < 1 || float64(left) < settings.LeastShare*float64(len(engines)) {
				t.Fatalf("%d of %d engines are left with the role %s", left, len(engines), from)
			}
		}
	})
}

func TestFloorsOfOperatorsHold(t *testing.T) {
	settings := DefaultSettings()
	settings.LeastOfRole = map[backend.Role]int{backend.RoleDecode: 4}
	for writers, want := range map[int]bool{4: false, 5: true} {
		planner := NewPlanner(settings)
		engines := fleetOf(20, writers, 40_000, 2)
		planner.Next(epoch, engines)
		if change := planner.Next(epoch.Add(time.Second), engines); (change != nil) != want {
			t.Errorf("%d writers with a floor of 4: change %+v", writers, change)
		}
	}
}
