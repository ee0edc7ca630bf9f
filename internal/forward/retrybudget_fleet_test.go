package forward

// These tests guard the bound on the retries of all gateways together across jumps of the wall clock, restarts and changes of settings.

import (
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/boottime"
)

// newSimDispatcher returns the dispatcher of a process, with the wall clock and the clock since boot of its machine.
func newSimDispatcher(f *simFleet, machine *simMachine, settings DispatchSettings) *Dispatcher {
	timeOfDay := func() time.Time { return simEpoch.Add(f.now + machine.clockOffset) }
	return newDispatcher(settings, timeOfDay, func() time.Time { return simEpoch.Add(f.now) })
}

// TestBudgetsUseClockSinceBoot guards against retry budgets that follow the wall clock, which may jump.
func TestBudgetsUseClockSinceBoot(t *testing.T) {
	given := NewDispatcher(DefaultDispatchSettings(), time.Now).retries.now
	if reflect.ValueOf(given).Pointer() != reflect.ValueOf(boottime.Now).Pointer() {
		t.Error("retry budgets do not use the clock since boot")
	}
}

// simEpoch is the start of the simulated time.
var simEpoch = time.Unix(1000, 0)

// TestFleetRetryScenarios guards against more retries than the bound allows, and against too few, in the scenarios in testdata/retrybudget.
// Their lines are:
//
//	gateways N, entries N (the number of gateways that receive requests), load REQUESTS-PER-SECOND, retries RETRIES-PER-REQUEST
//	at TIME EVENT FIRST-LAST ...: kill, start, partition, heal, stall, unstall, suspend, resume, restart, ahead DURATION, back DURATION, allowance A;
//		or: add N, retries RETRIES-PER-REQUEST
//	until TIME
//	least N from TIME to TIME: at least N retries are granted
func TestFleetRetryScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/retrybudget/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, scenario := range archive.Files {
			t.Run(scenario.Name, func(t *testing.T) { runScenario(t, string(scenario.Data)) })
		}
	}
}

// runScenario runs one scenario and checks the bound.
func runScenario(t *testing.T, script string) {
	fleet := map[string]int{}
	var f *simFleet
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		switch words[0] {
		case "gateways", "entries", "load", "retries":
			fleet[words[0]] = parseNumber(t, words[1])
			continue
		}
		if f == nil {
			f = newSimFleet(t, fleet["gateways"], fleet["entries"], float64(fleet["load"]), fleet["retries"])
		}
		switch words[0] {
		case "at":
			f.run(parseTime(t, words[1]))
			applyEvent(t, f, words[2:])
		case "until":
			f.run(parseTime(t, words[1]))
		case "least":
			from, to := parseTime(t, words[3]), parseTime(t, words[5])
			if granted := countWithin(f.grants, from, to); granted < parseNumber(t, words[1]) {
				t.Errorf("%d retries were granted from %s to %s, want at least %s", granted, from, to, words[1])
			}
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	f.check()
	f.checkAccrued()
}

// parseNumber parses a number.
func parseNumber(t *testing.T, word string) int {
	number, err := strconv.Atoi(word)
	if err != nil {
		t.Fatalf("number %q: %v", word, err)
	}
	return number
}

// parseTime parses a duration.
func parseTime(t *testing.T, word string) time.Duration {
	duration, err := time.ParseDuration(word)
	if err != nil {
		t.Fatalf("duration %q: %v", word, err)
	}
	return duration
}

// applyEvent applies the event of a line.
func applyEvent(t *testing.T, f *simFleet, words []string) {
	first, last, found := strings.Cut(words[1], "-")
	if !found {
		last = first
	}
	machines := f.machines
	if words[0] == "retries" {
		f.retriesPerRequest = parseNumber(t, first)
		return
	}
	if words[0] != "add" {
		machines = f.machines[parseNumber(t, first) : parseNumber(t, last)+1]
	}
	switch words[0] {
	case "add":
		for range parseNumber(t, first) {
			f.add(200 * time.Millisecond)
		}
	case "ahead":
		forEachMachine(machines, func(machine *simMachine) { machine.clockOffset += parseTime(t, words[2]) })
	case "back":
		forEachMachine(machines, func(machine *simMachine) { machine.clockOffset -= parseTime(t, words[2]) })
	case "allowance":
		settings := simBudget
		settings.Allowance = float64(parseNumber(t, words[2]))
		forEachMachine(machines, func(machine *simMachine) { machine.process.dispatcher.SetBudget(settings) })
	default:
		event, known := machineEvents[words[0]]
		if !known {
			t.Fatalf("unknown event %q", words[0])
		}
		forEachMachine(machines, func(machine *simMachine) { event(f, machine) })
	}
}

// machineEvents are events that affect one machine. Scripts give their own durations for ahead and back.
var machineEvents = map[string]func(f *simFleet, machine *simMachine){
	"kill":      func(_ *simFleet, machine *simMachine) { machine.kill() },
	"start":     func(f *simFleet, machine *simMachine) { machine.startsAt = f.now + simStartup },
	"partition": func(_ *simFleet, machine *simMachine) { machine.partitioned = true },
	"heal":      func(_ *simFleet, machine *simMachine) { machine.partitioned = false },
	"stall":     func(_ *simFleet, machine *simMachine) { machine.watchStalled = true },
	"unstall":   func(_ *simFleet, machine *simMachine) { machine.watchStalled = false },
	"suspend":   func(_ *simFleet, machine *simMachine) { machine.suspended = true },
	"resume":    func(_ *simFleet, machine *simMachine) { machine.suspended = false },
	"restart": func(f *simFleet, machine *simMachine) {
		machine.kill()
		machine.startsAt = f.now + simStartup
	},
	"ahead": func(_ *simFleet, machine *simMachine) { machine.clockOffset += 11 * time.Second },
	"back":  func(_ *simFleet, machine *simMachine) { machine.clockOffset -= 7 * time.Second },
	"reload": func(_ *simFleet, machine *simMachine) {
		if machine.process != nil {
			machine.process.dispatcher.SetBudget(simBudget)
		}
	},
}

// TestFleetRetriesWithStaleRegistrations guards against exceeding the bound while gateways do not know the new ones yet, because their
// watch is stalled or their updates are delayed.
func TestFleetRetriesWithStaleRegistrations(t *testing.T) {
	for _, fleet := range []struct {
		old, joining int
		storeDelay   time.Duration
	}{{3, 6, 0}, {1, 3, 0}, {4, 4, 0}, {3, 6, 22 * time.Second}, {1, 3, 22 * time.Second}, {4, 4, 15 * time.Second}} {
		f := newSimFleet(t, fleet.old, 0, 20, 0)
		if fleet.storeDelay > 0 {
			forEachMachine(f.machines, func(machine *simMachine) { machine.storeDelay = fleet.storeDelay })
		}
		f.run(30 * time.Second)
		forEachMachine(f.machines, func(machine *simMachine) { machine.watchStalled = fleet.storeDelay == 0 })
		f.run(31 * time.Second)
		for range fleet.joining {
			f.add(200 * time.Millisecond)
		}
		f.run(42 * time.Second)
		f.retriesPerRequest = 3
		f.run(53 * time.Second)
		forEachMachine(f.machines, func(machine *simMachine) { machine.watchStalled = false })
		f.run(70 * time.Second)
		f.check()
		f.checkAccrued()
	}
}

// TestFirstStartKeepsRetryBound guards against exceeding the bound when all gateways start with an initial balance, also after restarts.
func TestFirstStartKeepsRetryBound(t *testing.T) {
	for _, storeDelay := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		for _, gateways := range []int{1, 3, 7, 16, 40} {
			for _, interval := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond} {
				for _, restarts := range []int{0, 2} {
					f := newSimFleet(t, gateways, 0, 5*float64(gateways), 3)
					f.firstStart = true
					for i, machine := range f.machines {
						machine.storeDelay, machine.startsAt = storeDelay, simStartup+time.Duration(i)*interval
					}
					for range restarts {
						f.run(f.now + 3*time.Second)
						forEachMachine(f.machines, func(machine *simMachine) { machineEvents["restart"](f, machine) })
					}
					f.run(f.now + 40*time.Second)
					f.check()
					f.checkAccrued()
				}
			}
		}
	}
}

// TestFirstStartWithDifferingRegistrations guards against exceeding the bound on retries when every other gateway gets updates a second
// later. checkAccrued does not apply, since it assumes that all gateways know the same registrations.
func TestFirstStartWithDifferingRegistrations(t *testing.T) {
	for _, gateways := range []int{2, 7, 16, 40} {
		for _, interval := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond} {
			f := newSimFleet(t, gateways, 0, 5*float64(gateways), 3)
			f.firstStart = true
			for i, machine := range f.machines {
				machine.storeDelay, machine.startsAt = 50*time.Millisecond, simStartup+time.Duration(i)*interval
				if i%2 == 0 {
					machine.storeDelay = time.Second
				}
			}
			f.run(f.now + 40*time.Second)
			f.check()
		}
	}
}

// TestRetriesAfterSimultaneousRestart guards against a change of the retries granted when all seven gateways restart at once: for the first
// 7 s only those that requests accrue, because the share of the allowance has to be confirmed again.
func TestRetriesAfterSimultaneousRestart(t *testing.T) {
	for _, test := range []struct {
		load float64
		// before is the number of retries in 7 s before the restart, atRestart in 7 s from the restart, and later in 10 s from a second after
		// that.
		before, atRestart, later int
	}{{20, 42, 0, 56}, {40, 63, 42, 84}, {110, 133, 119, 196}} {
		f := newSimFleet(t, 7, 0, test.load, 2)
		f.run(50 * time.Second)
		forEachMachine(f.machines, func(machine *simMachine) { machineEvents["restart"](f, machine) })
		f.run(70 * time.Second)
		restarted := 50*time.Second + simStartup
		before, atRestart := countWithin(f.grants, 43*time.Second, 50*time.Second), countWithin(f.grants, restarted, restarted+7*time.Second)
		later := countWithin(f.grants, restarted+8*time.Second, restarted+18*time.Second)
		if before != test.before || atRestart != test.atRestart || later != test.later {
			t.Errorf("%v requests a second: %d retries in 7 s before, %d in 7 s after, %d in 10 s from 8 s on; want %d, %d, %d",
				test.load, before, atRestart, later, test.before, test.atRestart, test.later)
		}
		f.check()
		f.checkAccrued()
	}
}

// drawStoreDelay draws the delay of updates from the store: up to a second, or up to the time in which a stalled watch is detected.
func drawStoreDelay(t *rapid.T) time.Duration {
	limit := rapid.SampledFrom([]int{1000, 1000, 8000, 22000}).Draw(t, "longest delay")
	return time.Duration(rapid.IntRange(0, limit).Draw(t, "delay")) * time.Millisecond
}

// TestFleetRetriesKeepBound guards against exceeding the bound on retries after any sequence of events.
func TestFleetRetriesKeepBound(t *testing.T) {
	events := []string{"kill", "start", "partition", "heal", "stall", "unstall", "suspend", "resume", "restart", "ahead", "back", "reload", "add", "load", "settings", "retries", "retries"}
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 16).Draw(t, "gateways")
		entries := rapid.SampledFrom([]int{0, 0, 6}).Draw(t, "entries")
		load := float64(rapid.IntRange(5, 200).Draw(t, "load"))
		f := newSimFleet(t, gateways, entries, load, rapid.IntRange(0, 3).Draw(t, "retries"))
		for _, machine := range f.machines {
			machine.storeDelay = drawStoreDelay(t)
		}
		f.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "quiet")) * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			event := rapid.SampledFrom(events).Draw(t, "event")
			from := rapid.IntRange(0, len(f.machines)-1).Draw(t, "first")
			to := rapid.IntRange(from, len(f.machines)-1).Draw(t, "last")
			switch event {
			case "add":
				f.add(drawStoreDelay(t))
			case "retries":
				f.retriesPerRequest = rapid.IntRange(0, 3).Draw(t, "retries")
			case "load":
				f.load = load * float64(rapid.IntRange(7, 13).Draw(t, "factor")) / 10
			case "settings":
				settings := simBudget
				settings.Allowance -= float64(rapid.IntRange(0, 10).Draw(t, "less"))
				forEachMachine(f.machines[from:to+1], func(machine *simMachine) {
					if machine.process != nil {
						machine.process.dispatcher.SetBudget(settings)
					}
				})
			default:
				forEachMachine(f.machines[from:to+1], func(machine *simMachine) {
					if event != "start" || machine.process == nil {
						machineEvents[event](f, machine)
					}
				})
			}
			f.run(f.now + time.Duration(rapid.IntRange(1, 16000).Draw(t, "pause"))*time.Millisecond)
		}
		f.retriesPerRequest = 3
		f.run(f.now + 15*time.Second)
		f.check()
		f.checkAccrued()
	})
}
