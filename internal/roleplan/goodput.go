package roleplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
)

// load is the demand of one class with its averages resolved to one number each.
type load struct {
	name         string
	requests     float64
	promptTokens float64
	outputTokens float64
	deadline     time.Duration
	worth        float64
	// seconds of engine time that one request takes, by role.
	prefillSeconds float64
	decodeSeconds  float64
}

// split is a number of engines by role; parts of an engine are allowed.
type split struct {
	prefill float64
	decode  float64
}

// leastSeconds keeps the ratio of engine times defined.
const leastSeconds = 1e-9

// resolve turns demand into loads; the queue counts as further arrivals. The loads are sorted by how much better prefill
// engines serve them than decode engines.
func (c *Capacity) resolve(demand Demand, settings Settings) []load {
	loads := lo.FilterMap(demand.Classes, func(class ClassDemand, _ int) (load, bool) {
		rate := believedAverage(class.Requests, settings)
		requests := rate(class.Requests)
		if requests <= 0 {
			return load{}, false
		}
		result := load{
			name:         class.Name,
			requests:     requests + queuedRate(class.Queued, settings),
			promptTokens: rate(class.PromptTokens) / requests,
			outputTokens: rate(class.OutputTokens) / requests,
			deadline:     class.Deadline,
			worth:        cmp.Or(class.Worth, 1),
		}
		result.prefillSeconds = max(leastSeconds, c.secondsPerRequest(engine.RolePrefill, result))
		result.decodeSeconds = max(leastSeconds, c.secondsPerRequest(engine.RoleDecode, result))
		return result, true
	})
	slices.SortFunc(loads, func(a, b load) int {
		return cmp.Or(cmp.Compare(a.prefillSeconds/a.decodeSeconds, b.prefillSeconds/b.decodeSeconds),
			cmp.Compare(a.name, b.name))
	})
	return loads
}

// believedAverage chooses between the averages of a class. The variance of an exponential average of random arrivals is
// their rate over twice the memory.
func believedAverage(requests Averages, settings Settings) func(Averages) float64 {
	deviation := math.Sqrt(requests.Slow / (2 * settings.FastMemory.Seconds()))
	if math.Abs(requests.Fast-requests.Slow) > settings.Confidence*deviation {
		return func(a Averages) float64 { return a.Fast }
	}
	return func(a Averages) float64 { return a.Slow }
}

// queuedRate is the rate of requests that works the queue off in the wanted time.
func queuedRate(queued int, settings Settings) float64 {
	if settings.QueueClear <= 0 {
		return 0
	}
	return float64(queued) / settings.QueueClear.Seconds()
}

// fits tells whether the engines have the time for all loads. Prefill engines take the loads that they serve best
// until they are full, decode engines the rest: with two roles no other way of sharing fits more.
func fits(loads []load, engines split) bool {
	prefill, decode := engines.prefill, engines.decode
	for _, each := range loads {
		need := each.requests * each.prefillSeconds
		if need <= prefill {
			prefill -= need
			continue
		}
		rest := each.requests * (1 - prefill/need)
		prefill = 0
		decode -= rest * each.decodeSeconds
	}
	return decode >= 0
}

// bisections bounds the search for a load that just fits.
const bisections = 24

// utilization is the share of the engines' time that the loads need; above 1 they do not fit.
func utilization(loads []load, engines split) float64 {
	if len(loads) == 0 {
		return 0
	}
	low, high := 0.0, 1.0
	for !fits(loads, engines.scaled(high)) {
		low, high = high, high*2
		if high > 1e6 {
			return math.Inf(1)
		}
	}
	for range bisections {
		middle := (low + high) / 2
		if fits(loads, engines.scaled(middle)) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

func (s split) scaled(factor float64) split {
	return split{prefill: s.prefill * factor, decode: s.decode * factor}
}

// Shape of the share of late answers below overload: negligible at half load, and lateAtFull at full load.
const (
	lateAtFull   = 0.05
	lateExponent = 6
)

// goodput is the expected worth of answers in time a second.
func goodput(loads []load, engines split, settings Settings) float64 {
	sellable := engines.scaled(settings.TargetUtilization)
	use := utilization(loads, sellable)
	if use > 1 {
		return served(loads, sellable) * (1 - lateAtFull)
	}
	offered := lo.SumBy(loads, func(each load) float64 { return each.requests * each.worth })
	return offered * (1 - lateAtFull*math.Pow(use, lateExponent))
}

// served is the worth a second of what fits under overload, when requests with the least worth for the engine time that
// they need are shed first.
func served(loads []load, engines split) float64 {
	order := lo.Range(len(loads))
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(loads[b].worthPerSecond(), loads[a].worthPerSecond())
	})
	taken := slices.Clone(loads)
	for index := range taken {
		taken[index].requests = 0
	}
	worth := 0.0
	for _, index := range order {
		taken[index].requests = fittingRequests(taken, index, loads[index].requests, engines)
		worth += taken[index].requests * loads[index].worth
	}
	return worth
}

func (l load) worthPerSecond() float64 { return l.worth / min(l.prefillSeconds, l.decodeSeconds) }

// fittingRequests is how many requests a second of one class fit beside those that are already taken.
func fittingRequests(taken []load, index int, offered float64, engines split) float64 {
	trial := slices.Clone(taken)
	trial[index].requests = offered
	if fits(trial, engines) {
		return offered
	}
	low, high := 0.0, offered
	for range bisections {
		trial[index].requests = (low + high) / 2
		if fits(trial, engines) {
			low = trial[index].requests
		} else {
			high = trial[index].requests
		}
	}
	return low
}
