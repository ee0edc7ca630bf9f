package forward

// What was seen: on days on which most engines turned requests away, so that the budget of repeats was used up, all gateways together
// sent some repeats more than the bound in one window, for example 282 for 278.
// How it came about: the time of day was set ahead by more than a window on all machines, or machines were stopped and started in turn.
// Cause: each gateway remembers what it has spent for a window, and the memory was shorter than the window: it went by the time of day,
// ended with the process, was empty in one that began, and was dropped with other settings.
// What proved it: the plays below, of the code that runs in a gateway, on a fleet with made-up time. Each holds one of these causes
// alone, and broke the bound.

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

// simDispatcher returns the dispatcher of a process on a machine, with both clocks of that: the time of day, and the one since boot.
func simDispatcher(f *simFleet, slot *simSlot, settings DispatchSettings) *Dispatcher {
	timeOfDay := func() time.Time { return simEpoch.Add(f.now + slot.ahead) }
	return newDispatcher(settings, timeOfDay, func() time.Time { return simEpoch.Add(f.now) })
}

// TestBudgetsGoByTheClockSinceBoot checks that a gateway's dispatcher is given the clock that the plays give theirs.
func TestBudgetsGoByTheClockSinceBoot(t *testing.T) {
	given := NewDispatcher(DefaultDispatchSettings(), time.Now).retries.now
	if reflect.ValueOf(given).Pointer() != reflect.ValueOf(boottime.Now).Pointer() {
		t.Error("budgets of repeats go by another clock than the one since boot")
	}
}

// simEpoch is where the made-up time begins.
var simEpoch = time.Unix(1000, 0)

// TestRepeatsOfAFleetInPlays plays the files of testdata/repeats. Their lines are:
//
//	gateways N, entries N, load REQUESTS-A-SECOND, wished REPEATS-OF-EACH-REQUEST
//	at TIME ACT FIRST-LAST ...: kill, start, add, cut, heal, hang, hear, freeze, thaw, restart, ahead DURATION, back DURATION, allowance A;
//		or: add N, wish REPEATS-OF-EACH-REQUEST
//	until TIME
//	least N from TIME to TIME: so many repeats are granted at least
func TestRepeatsOfAFleetInPlays(t *testing.T) {
	files, err := filepath.Glob("testdata/repeats/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no plays: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, play := range archive.Files {
			t.Run(play.Name, func(t *testing.T) { playRepeats(t, string(play.Data)) })
		}
	}
}

// playRepeats plays one play and checks the bound.
func playRepeats(t *testing.T, script string) {
	fleet := map[string]int{}
	var f *simFleet
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		switch words[0] {
		case "gateways", "entries", "load", "wished":
			fleet[words[0]] = simNumber(t, words[1])
			continue
		}
		if f == nil {
			f = newSimFleet(t, fleet["gateways"], fleet["entries"], float64(fleet["load"]), fleet["wished"])
		}
		switch words[0] {
		case "at":
			f.run(simTime(t, words[1]))
			simAct(t, f, words[2:])
		case "until":
			f.run(simTime(t, words[1]))
		case "least":
			from, to := simTime(t, words[3]), simTime(t, words[5])
			if granted := within(f.grants, from, to); granted < simNumber(t, words[1]) {
				t.Errorf("%d repeats were granted from %s to %s, expected at least %s", granted, from, to, words[1])
			}
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	f.check()
	f.checkEarned()
}

// simNumber reads a number.
func simNumber(t *testing.T, word string) int {
	number, err := strconv.Atoi(word)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// simTime reads a duration.
func simTime(t *testing.T, word string) time.Duration {
	duration, err := time.ParseDuration(word)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

// simAct does what a line says.
func simAct(t *testing.T, f *simFleet, words []string) {
	first, last, found := strings.Cut(words[1], "-")
	if !found {
		last = first
	}
	slots := f.slots
	if words[0] == "wish" {
		f.wished = simNumber(t, first)
		return
	}
	if words[0] != "add" {
		slots = f.slots[simNumber(t, first) : simNumber(t, last)+1]
	}
	switch words[0] {
	case "add":
		for range simNumber(t, first) {
			f.add(200 * time.Millisecond)
		}
	case "ahead":
		simEach(slots, func(slot *simSlot) { slot.ahead += simTime(t, words[2]) })
	case "back":
		simEach(slots, func(slot *simSlot) { slot.ahead -= simTime(t, words[2]) })
	case "allowance":
		settings := simBudget
		settings.Allowance = float64(simNumber(t, words[2]))
		simEach(slots, func(slot *simSlot) { slot.process.dispatcher.SetBudget(settings) })
	default:
		act, known := simActs[words[0]]
		if !known {
			t.Fatalf("unknown act %q", words[0])
		}
		simEach(slots, func(slot *simSlot) { act(f, slot) })
	}
}

// simActs are what may befall a machine.
var simActs = map[string]func(f *simFleet, slot *simSlot){
	"kill":   func(_ *simFleet, slot *simSlot) { slot.kill() },
	"start":  func(f *simFleet, slot *simSlot) { slot.startsAt = f.now + simBoot },
	"cut":    func(_ *simFleet, slot *simSlot) { slot.cut = true },
	"heal":   func(_ *simFleet, slot *simSlot) { slot.cut = false },
	"hang":   func(_ *simFleet, slot *simSlot) { slot.hung = true },
	"hear":   func(_ *simFleet, slot *simSlot) { slot.hung = false },
	"freeze": func(_ *simFleet, slot *simSlot) { slot.frozen = true },
	"thaw":   func(_ *simFleet, slot *simSlot) { slot.frozen = false },
	"restart": func(f *simFleet, slot *simSlot) {
		slot.kill()
		slot.startsAt = f.now + simBoot
	},
	"ahead": func(_ *simFleet, slot *simSlot) { slot.ahead += 11 * time.Second },
	"back":  func(_ *simFleet, slot *simSlot) { slot.ahead -= 7 * time.Second },
	"reload": func(_ *simFleet, slot *simSlot) {
		if slot.process != nil {
			slot.process.dispatcher.SetBudget(simBudget)
		}
	},
}

// TestRepeatsOfAFleetWithLateLists lets others join while the watch of the first ones is silent, though their registrations are renewed,
// for as long as it takes to notice; or while all that they are told is that late.
func TestRepeatsOfAFleetWithLateLists(t *testing.T) {
	for _, fleet := range []struct {
		old, joining int
		late         time.Duration
	}{{3, 6, 0}, {1, 3, 0}, {4, 4, 0}, {3, 6, 22 * time.Second}, {1, 3, 22 * time.Second}, {4, 4, 15 * time.Second}} {
		f := newSimFleet(t, fleet.old, 0, 20, 0)
		if fleet.late > 0 {
			simEach(f.slots, func(slot *simSlot) { slot.late = fleet.late })
		}
		f.run(30 * time.Second)
		simEach(f.slots, func(slot *simSlot) { slot.hung = fleet.late == 0 })
		f.run(31 * time.Second)
		for range fleet.joining {
			f.add(200 * time.Millisecond)
		}
		f.run(42 * time.Second)
		f.wished = 3
		f.run(53 * time.Second)
		simEach(f.slots, func(slot *simSlot) { slot.hung = false })
		f.run(70 * time.Second)
		f.check()
		f.checkEarned()
	}
}

// TestFirstStartsOfAFleetKeepTheBound starts whole fleets for the first time, and leaves the word of that with processes that are started
// again.
func TestFirstStartsOfAFleetKeepTheBound(t *testing.T) {
	for _, late := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		for _, gateways := range []int{1, 3, 7, 16, 40} {
			for _, apart := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond} {
				for _, kills := range []int{0, 2} {
					f := newSimFleet(t, gateways, 0, 5*float64(gateways), 3)
					f.firstStart = true
					for i, slot := range f.slots {
						slot.late, slot.startsAt = late, simBoot+time.Duration(i)*apart
					}
					for range kills {
						f.run(f.now + 3*time.Second)
						simEach(f.slots, func(slot *simSlot) { simActs["restart"](f, slot) })
					}
					f.run(f.now + 40*time.Second)
					f.check()
					f.checkEarned()
				}
			}
		}
	}
}

// TestFirstStartsOfAFleetWithListsThatDiffer has every other gateway hear of the list a second late. What is earned without room does not
// hold there, and the bound does.
func TestFirstStartsOfAFleetWithListsThatDiffer(t *testing.T) {
	for _, gateways := range []int{2, 7, 16, 40} {
		for _, apart := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond} {
			f := newSimFleet(t, gateways, 0, 5*float64(gateways), 3)
			f.firstStart = true
			for i, slot := range f.slots {
				slot.late, slot.startsAt = 50*time.Millisecond, simBoot+time.Duration(i)*apart
				if i%2 == 0 {
					slot.late = time.Second
				}
			}
			f.run(f.now + 40*time.Second)
			f.check()
		}
	}
}

// TestWhatIsLeftOfTheRepeatsWhenAllAreStartedAnew states what callers get whose gateways, seven, are all started anew at once with the
// share of the allowance to be confirmed again: in the first 7 s the ratio part alone, and of that nothing where a gateway is asked less
// than some 3 times a second.
func TestWhatIsLeftOfTheRepeatsWhenAllAreStartedAnew(t *testing.T) {
	for _, test := range []struct {
		load float64
		// steady repeats of 7 s before, and those of 7 s from the start and of 10 s from a second after that.
		steady, first, then int
	}{{20, 42, 0, 56}, {40, 63, 42, 84}, {110, 133, 119, 196}} {
		f := newSimFleet(t, 7, 0, test.load, 2)
		f.run(50 * time.Second)
		simEach(f.slots, func(slot *simSlot) { simActs["restart"](f, slot) })
		f.run(70 * time.Second)
		began := 50*time.Second + simBoot
		steady, first := within(f.grants, 43*time.Second, 50*time.Second), within(f.grants, began, began+7*time.Second)
		then := within(f.grants, began+8*time.Second, began+18*time.Second)
		if steady != test.steady || first != test.first || then != test.then {
			t.Errorf("%v requests a second: %d repeats in 7 s before, %d in 7 s from the start, %d in 10 s from 8 s on; expected %d, %d, %d",
				test.load, steady, first, then, test.steady, test.first, test.then)
		}
		f.check()
		f.checkEarned()
	}
}

// simLate draws how late the list of the store is: by a second at most, or by as long as it takes to notice that a watch is silent.
func simLate(t *rapid.T) time.Duration {
	most := rapid.SampledFrom([]int{1000, 1000, 8000, 22000}).Draw(t, "most late")
	return time.Duration(rapid.IntRange(0, most).Draw(t, "late")) * time.Millisecond
}

// TestRepeatsOfAFleetKeepTheBound lets anything befall a fleet at any time, and checks every window.
func TestRepeatsOfAFleetKeepTheBound(t *testing.T) {
	acts := []string{"kill", "start", "cut", "heal", "hang", "hear", "freeze", "thaw", "restart", "ahead", "back", "reload", "add", "load", "settings", "wish", "wish"}
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 16).Draw(t, "gateways")
		entries := rapid.SampledFrom([]int{0, 0, 6}).Draw(t, "entries")
		load := float64(rapid.IntRange(5, 200).Draw(t, "load"))
		f := newSimFleet(t, gateways, entries, load, rapid.IntRange(0, 3).Draw(t, "wished"))
		for _, slot := range f.slots {
			slot.late = simLate(t)
		}
		f.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "quiet")) * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "acts") {
			act := rapid.SampledFrom(acts).Draw(t, "act")
			from := rapid.IntRange(0, len(f.slots)-1).Draw(t, "first")
			to := rapid.IntRange(from, len(f.slots)-1).Draw(t, "last")
			switch act {
			case "add":
				f.add(simLate(t))
			case "wish":
				f.wished = rapid.IntRange(0, 3).Draw(t, "wished")
			case "load":
				f.load = load * float64(rapid.IntRange(7, 13).Draw(t, "factor")) / 10
			case "settings":
				settings := simBudget
				settings.Allowance -= float64(rapid.IntRange(0, 10).Draw(t, "less"))
				simEach(f.slots[from:to+1], func(slot *simSlot) {
					if slot.process != nil {
						slot.process.dispatcher.SetBudget(settings)
					}
				})
			default:
				simEach(f.slots[from:to+1], func(slot *simSlot) {
					if act != "start" || slot.process == nil {
						simActs[act](f, slot)
					}
				})
			}
			f.run(f.now + time.Duration(rapid.IntRange(1, 16000).Draw(t, "pause"))*time.Millisecond)
		}
		f.wished = 3
		f.run(f.now + 15*time.Second)
		f.check()
		f.checkEarned()
	})
}
