package simulation

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// naiveSeeds is the number of seeds that the router without safeguards runs.
const naiveSeeds = 24

// TestNaiveRouterBreaksPromises shows that the simulation finds what a router without safeguards does wrong.
func TestNaiveRouterBreaksPromises(t *testing.T) {
	for _, deployment := range Deployments() {
		t.Run(deployment.Name, func(t *testing.T) {
			broken := map[Promise]int{}
			for seed := uint64(1); seed <= naiveSeeds; seed++ {
				result := judge(newWorld(seed, deployment, usualPhases(), drawSchedule(seed, deployment, FaultKinds()), newNaiveRouter))
				for _, violation := range result.Violations {
					broken[violation.Promise]++
				}
			}
			for _, promise := range []Promise{PromiseNoCutByChange, PromiseNoOrderWithoutLease, PromiseNotRunIsTrue,
				PromiseAtMostOnce, PromiseLeavingGetsNothing, PromisePlannedStopCutsNone, PromiseAnswered} {
				if broken[promise] == 0 {
					t.Errorf("the router without safeguards was not found to break: %s", promise)
				}
			}
		})
	}
}

// TestSameSeedSameEvents runs a seed twice and compares all that was seen.
func TestSameSeedSameEvents(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		first, second := judge(naiveWorld(seed)), judge(naiveWorld(seed))
		if first.Trace != second.Trace || first.Events != second.Events {
			t.Errorf("seed %d: digests %x and %x of %d and %d events", seed, first.Trace, second.Trace, first.Events, second.Events)
		}
		if !slices.Equal(lines(first.History), lines(second.History)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

func naiveWorld(seed uint64) *world {
	return newWorld(seed, Fes(), usualPhases(), drawSchedule(seed, Fes(), FaultKinds()), newNaiveRouter)
}

func lines(history *History) []string {
	var all []string
	for _, observation := range history.Observations {
		all = append(all, observation.When().String()+observation.String())
	}
	return all
}

// TestShrink checks that faults which a violation does not need are dropped.
func TestShrink(t *testing.T) {
	needed := Fault{Kind: FaultKill, Target: "router-a-1"}
	schedule := []Fault{{Kind: FaultPause}, needed, {Kind: FaultCut}, {Kind: FaultStaleLoad}}
	run := func(schedule []Fault) Result {
		result := Result{Schedule: schedule}
		if slices.Contains(schedule, needed) {
			result.Violations = []Violation{{Promise: PromiseAtMostOnce}}
		}
		return result
	}
	shrunk := shrink(run(schedule), PromiseAtMostOnce, run)
	if !slices.Equal(shrunk.Schedule, []Fault{needed}) {
		t.Errorf("shrunk to %v", shrunk.Schedule)
	}
}

func TestParseFaultKinds(t *testing.T) {
	for _, test := range []struct {
		desc, text string
		want       []FaultKind
		wantError  string
	}{
		{desc: "all", text: "all", want: FaultKinds()},
		{desc: "one", text: "cut", want: []FaultKind{FaultCut}},
		{desc: "list in another order, with spaces and twice", text: "pause, kill,pause", want: []FaultKind{FaultKill, FaultPause}},
		{desc: "unknown", text: "kill,fire", wantError: `"fire" is not one of kill,pause,cut,store-outage,lost-answer,operators,engine-crash,stale-load`},
		{desc: "empty", text: "", wantError: `"" is not one of`},
		{desc: "all in a list", text: "all,kill", wantError: `"all" is not one of`},
		{desc: "planned stops cannot be chosen", text: "planned-stop", wantError: `"planned-stop" is not one of`},
	} {
		t.Run(test.desc, func(t *testing.T) {
			kinds, err := ParseFaultKinds(test.text)
			if !slices.Equal(kinds, test.want) {
				t.Errorf("kinds %v, want %v", kinds, test.want)
			}
			if (err != nil) != (test.wantError != "") || err != nil && !strings.Contains(err.Error(), test.wantError) {
				t.Errorf("error %v, want %q", err, test.wantError)
			}
		})
	}
}

// TestFaultSets checks that seeds go through each kind alone, every pair, and random mixes.
func TestFaultSets(t *testing.T) {
	alone, pairs := map[FaultKind]bool{}, map[[2]FaultKind]bool{}
	for seed := uint64(1); seed <= 64; seed++ {
		set := faultSet(seed, FaultKinds(), newRandom(seed, streamFaults))
		switch {
		case len(set) == 0:
			t.Errorf("seed %d has no faults", seed)
		case len(set) == 1:
			alone[set[0]] = true
		case len(set) == 2:
			pairs[[2]FaultKind{set[0], set[1]}] = true
		}
	}
	if len(alone) != 8 || len(pairs) != 28 {
		t.Errorf("%d kinds alone and %d pairs", len(alone), len(pairs))
	}
}

// TestSchedulesHeal checks that all faults of all schedules heal before the quiet phase.
func TestSchedulesHeal(t *testing.T) {
	for seed := uint64(1); seed <= 500; seed++ {
		for _, fault := range drawSchedule(seed, Magnolia(), FaultKinds()) {
			if fault.From < faultsBegin || fault.Until > faultsEnd || fault.From >= fault.Until {
				t.Errorf("seed %d: %s", seed, fault)
			}
		}
	}
}

func TestProcessClock(t *testing.T) {
	random := newRandom(1, streamClocks)
	for range 100 {
		clock := newProcessClock(random)
		for _, moment := range []time.Duration{0, time.Second, 37 * time.Second, 10 * time.Minute} {
			shown := clock.read(moment)
			back := clock.moment(shown)
			if clock.read(back).Before(shown) || back > moment+time.Millisecond || back < moment-time.Millisecond {
				t.Errorf("%+v: %v shows %v, which is at %v", clock, moment, shown, back)
			}
		}
	}
}

func TestCommandRefusesBadValues(t *testing.T) {
	for _, test := range []struct {
		desc    string
		command Command
		want    error
	}{
		{desc: "deployment", command: Command{Deployment: "rome", Faults: "all", Seed: 1, Seeds: 1}, want: ErrDeployment},
		{desc: "faults", command: Command{Deployment: "fes", Faults: "fire", Seed: 1, Seeds: 1}, want: ErrFaultKind},
		{desc: "seeds", command: Command{Deployment: "fes", Faults: "all", Seed: 1}, want: ErrSeeds},
		{desc: "seed", command: Command{Deployment: "fes", Faults: "all", Seeds: 1}, want: ErrSeeds},
	} {
		t.Run(test.desc, func(t *testing.T) {
			var out bytes.Buffer
			if err := test.command.Run(context.Background(), &out); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}
