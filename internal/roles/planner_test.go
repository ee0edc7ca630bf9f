package roles

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

// newEngines returns engines with 32 slots each. Decode engines run the given number of requests each.
func newEngines(prefill, decode, running int) []Engine {
	var engines []Engine
	for i := range prefill {
		worker := &backend.Worker{ID: fmt.Sprint("r", i), Role: backend.RolePrefill, Slots: 32}
		engines = append(engines, Engine{Worker: worker, Usable: true})
	}
	for i := range decode {
		worker := &backend.Worker{ID: fmt.Sprint("w", i), Role: backend.RoleDecode, Slots: 32}
		engines = append(engines, Engine{Worker: worker, Load: backend.Load{Running: running}, Usable: true})
	}
	return engines
}

// scenario runs a script for one group and collects the roles of its changes.
type scenario struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	group   *Group
	// changingUntil is when changing engines get their new role.
	changingUntil map[string]time.Time
	changes       []string
}

// run runs a "for" line of the script.
func (s *scenario) run(line string) {
	var seconds int
	var prefillDemand float64
	var requests int
	if _, err := fmt.Sscanf(line, "for %ds prefill-demand %g requests %d", &seconds, &prefillDemand, &requests); err != nil {
		s.t.Fatalf("%q: %v", line, err)
	}
	for range seconds * 4 {
		s.now = s.now.Add(250 * time.Millisecond)
		s.group.PrefillDemand = prefillDemand
		s.applyLoad(requests)
		for change := s.planner.Next(s.now, s.group); change != nil; change = s.planner.Next(s.now, s.group) {
			s.changes = append(s.changes, string(change.Role))
			s.changingUntil[change.Worker.ID] = s.now.Add(2 * time.Second)
			s.applyLoad(requests)
		}
	}
}

// applyLoad distributes the requests over the decode engines, and completes changes.
func (s *scenario) applyLoad(requests int) {
	var decode []int
	for i := range s.group.Engines {
		engine := &s.group.Engines[i]
		done, changing := s.changingUntil[engine.Worker.ID]
		engine.Usable, engine.TargetRole, engine.Load = !changing, backend.RoleNone, backend.Load{}
		otherRole := backend.RolePrefill
		if engine.Worker.Role == backend.RolePrefill {
			otherRole = backend.RoleDecode
		}
		switch {
		case changing && !s.now.Before(done):
			delete(s.changingUntil, engine.Worker.ID)
			engine.Worker.Role, engine.Usable = otherRole, true
		case changing:
			engine.TargetRole = otherRole
		}
		if engine.Worker.Role == backend.RoleDecode {
			decode = append(decode, i)
		}
	}
	for i := range requests {
		s.group.Engines[decode[i%len(decode)]].Load.Running++
	}
}

// TestPlannerScenarios guards against unneeded, missing or repeated role changes.
func TestPlannerScenarios(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/scenarios.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			s := &scenario{t: t, planner: NewPlanner(DefaultSettings()), now: epoch, changingUntil: map[string]time.Time{}}
			for line := range strings.Lines(string(file.Data)) {
				line = strings.TrimSpace(line)
				var prefill, decode int
				if want, found := strings.CutPrefix(line, "changes "); found {
					want = expandCounts(want)
					if got := strings.Join(append(s.changes, "."), " "); got != want {
						t.Errorf("changes at %s: %s, want %s", s.now.Sub(epoch), got, want)
					}
					s.changes = nil
				} else if _, err := fmt.Sscanf(line, "engines prefill %d decode %d", &prefill, &decode); err == nil {
					s.group = &Group{Engines: newEngines(prefill, decode, 0)}
				} else {
					s.run(line)
				}
			}
		})
	}
}

// expandCounts repeats each role that has a number before it.
func expandCounts(changes string) string {
	var all []string
	count := 1
	for word := range strings.FieldsSeq(changes) {
		if number, err := strconv.Atoi(word); err == nil {
			count = number
			continue
		}
		for range count {
			all = append(all, word)
		}
		count = 1
	}
	return strings.Join(all, " ")
}

// TestChangesKeepMinShare guards against changes that leave a role less than its minimum share under random load.
func TestChangesKeepMinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		planner := NewPlanner(settings)
		engines := newEngines(rapid.IntRange(1, 9).Draw(t, "prefill engines"), rapid.IntRange(1, 9).Draw(t, "decode engines"), 0)
		now := epoch
		for range 60 {
			now = now.Add(250 * time.Millisecond)
			for i := range engines {
				engines[i].Load.Running = rapid.IntRange(0, 40).Draw(t, "running")
			}
			change := planner.Next(now, &Group{Engines: engines, PrefillDemand: rapid.Float64Range(0, 20).Draw(t, "prefill demand")})
			if change == nil {
				continue
			}
			from := change.Worker.Role
			change.Worker.Role = change.Role
			remaining := 0
			for _, engine := range engines {
				if engine.Worker.Role == from {
					remaining++
				}
			}
			if remaining < 1 || float64(remaining) < settings.MinShare*float64(len(engines)) {
				t.Fatalf("%d of %d engines keep the role %s, want a share of at least %.2f", remaining, len(engines), from, settings.MinShare)
			}
		}
	})
}

// TestConfiguredMinimumStopsChanges guards against a change that leaves a role less than its configured minimum.
func TestConfiguredMinimumStopsChanges(t *testing.T) {
	settings := DefaultSettings()
	settings.MinEngines = map[backend.Role]int{backend.RoleDecode: 4}
	for decode, want := range map[int]bool{4: false, 5: true} {
		planner := NewPlanner(settings)
		group := &Group{Engines: newEngines(20, decode, 0), PrefillDemand: 15}
		if change := planner.Next(epoch.Add(time.Second), group); (change != nil) != want {
			t.Errorf("%d decode engines with a minimum of 4: change %+v, want a change: %t", decode, change, want)
		}
	}
}
