package experiment

import (
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// foresight makes a schedule of roles from all arrivals of a workload, which it knows beforehand. It weighs steps of the
// run by dynamic programming over the number of prefill engines. A change costs what the engines that are out would
// have answered. The schedule is then run like any other policy, so that it pays drains and change times in full.
type foresight struct {
	workload *Workload
	capacity *roleplan.Capacity
	settings roleplan.Settings
	// step is the length of a step, and window the time over which arrivals are averaged around it.
	step   time.Duration
	window time.Duration
	// cached is the part of the shared prefixes that counts as cached.
	cached float64
	// lead is how long before a step its changes begin.
	lead time.Duration
	// goodputs holds the expected goodput by step and number of prefill engines.
	goodputs [][]float64
}

// schedule returns the wanted number of prefill engines for each step.
func (f *foresight) schedule() []int {
	f.goodputs = f.expectedGoodputs()
	steps, states := len(f.goodputs), f.workload.Engines+1
	value := make([]float64, states)
	choice := make([][]int, steps)
	for step := steps - 1; step >= 0; step-- {
		next := value
		value = make([]float64, states)
		choice[step] = make([]int, states)
		for from := range states {
			value[from], choice[step][from] = f.bestMove(step, from, next)
		}
	}
	state := bestState(value)
	wanted := make([]int, steps)
	for step := range wanted {
		state = choice[step][state]
		wanted[step] = state
	}
	return f.advanced(wanted)
}

// bestMove returns the best number of prefill engines in a step after another one, and the value from there on.
func (f *foresight) bestMove(step, from int, next []float64) (float64, int) {
	best, bestTo := math.Inf(-1), from
	for to := f.workload.Policy.Floors[engine.RolePrefill]; to <= f.workload.Engines-f.workload.Policy.Floors[engine.RoleDecode]; to++ {
		value := f.goodputs[step][to]*f.step.Seconds() + next[to] - f.moveLoss(step, from, to)
		if value > best {
			best, bestTo = value, to
		}
	}
	return best, bestTo
}

// moveLoss is what is not answered while engines are out: the share of an engine in the goodput of the whole fleet, for
// as long as a change takes.
func (f *foresight) moveLoss(step, from, to int) float64 {
	moves := math.Abs(float64(to - from))
	share := f.goodputs[step][to] / float64(f.workload.Engines)
	return moves * share * (f.settings.ChangeTime + f.settings.DrainTime).Seconds()
}

func bestState(values []float64) int {
	best := 0
	for state, value := range values {
		if value > values[best] {
			best = state
		}
	}
	return best
}

// advanced moves a schedule forward by the lead.
func (f *foresight) advanced(wanted []int) []int {
	lead := int(f.lead / f.step)
	return lo.Map(wanted, func(_ int, step int) int { return wanted[min(len(wanted)-1, step+lead)] })
}

// expectedGoodputs returns the expected goodput by step and number of prefill engines.
func (f *foresight) expectedGoodputs() [][]float64 {
	steps := int(f.workload.Duration / f.step)
	result := make([][]float64, steps)
	for step := range result {
		middle := time.Duration(step)*f.step + f.step/2
		demand := f.demandBetween(middle-f.window/2, middle+f.window/2)
		result[step] = make([]float64, f.workload.Engines+1)
		for prefill := range result[step] {
			engines := map[engine.Role]float64{
				engine.RolePrefill: float64(prefill),
				engine.RoleDecode:  float64(f.workload.Engines - prefill),
			}
			result[step][prefill] = roleplan.ExpectedGoodput(demand, engines, f.capacity, f.settings)
		}
	}
	return result
}

// demandBetween is the true demand of a stretch of time, by class.
func (f *foresight) demandBetween(from, to time.Duration) roleplan.Demand {
	from, to = max(0, from), min(f.workload.Duration, to)
	seconds := max(1, (to - from).Seconds())
	classes := map[string]*roleplan.ClassDemand{}
	var demand roleplan.Demand
	for _, request := range f.workload.between(from, to) {
		class, known := classes[request.Class]
		if !known {
			class = &roleplan.ClassDemand{Name: request.Class, Deadline: request.TimeLimit}
			classes[request.Class] = class
		}
		class.Requests.Fast += 1 / seconds
		class.PromptTokens.Fast += (float64(request.PromptTokens) - f.cached*float64(request.SharedTokens)) / seconds
		class.OutputTokens.Fast += float64(request.OutputTokens) / seconds
	}
	for _, name := range sortedKeys(classes) {
		class := classes[name]
		class.Requests.Slow, class.PromptTokens.Slow, class.OutputTokens.Slow = class.Requests.Fast, class.PromptTokens.Fast, class.OutputTokens.Fast
		demand.Classes = append(demand.Classes, *classes[name])
	}
	return demand
}
