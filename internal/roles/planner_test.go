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

// epoch is where the tests begin.
var epoch = time.Unix(1000, 0)

// fleetOf returns engines with 32 places; those that write have so many runs each.
func fleetOf(readers, writers, running int) []Engine {
	var engines []Engine
	for i := range readers {
		worker := &backend.Worker{ID: fmt.Sprint("r", i), Role: backend.RolePrefill, Slots: 32}
		engines = append(engines, Engine{Worker: worker, Usable: true})
	}
	for i := range writers {
		worker := &backend.Worker{ID: fmt.Sprint("w", i), Role: backend.RoleDecode, Slots: 32}
		engines = append(engines, Engine{Worker: worker, Load: backend.Load{Running: running}, Usable: true})
	}
	return engines
}

// day plays a scripted day of one group and returns its changes, as moment and role.
type day struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	group   *Group
	// until holds when the engines that change have their new role.
	until   map[string]time.Time
	changes []string
}

// play plays a line: for how long which reading demand, in engines, and how many runs there are.
func (d *day) play(line string) {
	var seconds int
	var reading float64
	var runs int
	if _, err := fmt.Sscanf(line, "for %ds reading %g runs %d", &seconds, &reading, &runs); err != nil {
		d.t.Fatalf("%q: %v", line, err)
	}
	for range seconds * 4 {
		d.now = d.now.Add(250 * time.Millisecond)
		d.group.ReadingDemand = reading
		d.spread(runs)
		for change := d.planner.Next(d.now, d.group); change != nil; change = d.planner.Next(d.now, d.group) {
			d.changes = append(d.changes, string(change.Role))
			d.until[change.Worker.ID] = d.now.Add(2 * time.Second)
			d.spread(runs)
		}
	}
}

// spread gives the engines that write their part of the runs, and carries changes out.
func (d *day) spread(runs int) {
	var writers []int
	for i := range d.group.Engines {
		engine := &d.group.Engines[i]
		until, changing := d.until[engine.Worker.ID]
		engine.Usable, engine.Becoming, engine.Load = !changing, backend.RoleNone, backend.Load{}
		other := backend.RolePrefill
		if engine.Worker.Role == backend.RolePrefill {
			other = backend.RoleDecode
		}
		switch {
		case changing && !d.now.Before(until):
			delete(d.until, engine.Worker.ID)
			engine.Worker.Role, engine.Usable = other, true
		case changing:
			engine.Becoming = other
		}
		if engine.Worker.Role == backend.RoleDecode {
			writers = append(writers, i)
		}
	}
	for i := range runs {
		d.group.Engines[writers[i%len(writers)]].Load.Running++
	}
}

// TestDays plays the days of testdata/days.txtar.
func TestDays(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/days.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			d := &day{t: t, planner: NewPlanner(DefaultSettings()), now: epoch, until: map[string]time.Time{}}
			for line := range strings.Lines(string(file.Data)) {
				line = strings.TrimSpace(line)
				var readers, writers int
				if want, found := strings.CutPrefix(line, "changes "); found {
					want = repeated(want)
					if got := strings.Join(append(d.changes, "."), " "); got != want {
						t.Errorf("changes to %s, want %s", got, want)
					}
					d.changes = nil
				} else if _, err := fmt.Sscanf(line, "engines prefill %d decode %d", &readers, &writers); err == nil {
					d.group = &Group{Engines: fleetOf(readers, writers, 0)}
				} else {
					d.play(line)
				}
			}
		})
	}
}

// repeated writes out roles that have a number before them.
func repeated(changes string) string {
	var all []string
	times := 1
	for word := range strings.FieldsSeq(changes) {
		if number, err := strconv.Atoi(word); err == nil {
			times = number
			continue
		}
		for range times {
			all = append(all, word)
		}
		times = 1
	}
	return strings.Join(all, " ")
}

// TestEachRoleKeepsItsShare plays random loads and carries every change out.
func TestEachRoleKeepsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		planner := NewPlanner(settings)
		engines := fleetOf(rapid.IntRange(1, 9).Draw(t, "readers"), rapid.IntRange(1, 9).Draw(t, "writers"), 0)
		now := epoch
		for range 60 {
			now = now.Add(250 * time.Millisecond)
			for i := range engines {
				engines[i].Load.Running = rapid.IntRange(0, 40).Draw(t, "running")
			}
			change := planner.Next(now, &Group{Engines: engines, ReadingDemand: rapid.Float64Range(0, 20).Draw(t, "reading")})
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
		group := &Group{Engines: fleetOf(20, writers, 0), ReadingDemand: 15}
		if change := planner.Next(epoch.Add(time.Second), group); (change != nil) != want {
			t.Errorf("%d writers with a floor of 4: change %+v", writers, change)
		}
	}
}
