package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// WorkerLimits makes a worker name how many requests a second it takes, for a time, and another number in its second half.
type WorkerLimits struct {
	Worker       int
	First, Later float64
	For          time.Duration
}

func (WorkerLimits) isFault() {}

func (f WorkerLimits) String() string {
	return fmt.Sprintf("worker %d takes %.1f and then %.1f requests a second, for %s altogether", f.Worker, f.First, f.Later, f.For)
}

const (
	// limitStream is the stream of random numbers that decides about limits of workers.
	limitStream = 1 << 35
	// limitSeeds is the first seed whose rounds have them.
	limitSeeds = 9000
)

// limitsOf returns the limits that workers name in a round: two rounds in three have some.
func limitsOf(seed uint64, number, workers int) []Timed {
	random := rand.New(rand.NewPCG(seed, limitStream+uint64(number)))
	if seed < limitSeeds || random.IntN(3) == 0 {
		return nil
	}
	rate := func() float64 { return []float64{0.4, 1.1, 2, 5.4, 20}[random.IntN(5)] }
	var faults []Timed
	for _, worker := range random.Perm(workers)[:1+random.IntN(min(3, workers))] {
		at := time.Duration(random.Int64N(int64(faultTime / 2)))
		faults = append(faults, Timed{At: at, Fault: WorkerLimits{worker, rate(), rate(), time.Duration(5000+random.IntN(5000)) * time.Millisecond}})
	}
	return faults
}

// injectLimit has a worker name limits, and none any more once the time is over.
func (s *system) injectLimit(f WorkerLimits) {
	worker := s.workers[f.Worker].current()
	worker.Limit(f.First)
	s.background.Go(func() {
		time.Sleep(f.For / 2)
		worker.Limit(f.Later)
		time.Sleep(f.For / 2)
		worker.Limit(0)
	})
}

// Bounds of what workers with limits may get.
const (
	// limitSettles is how long after a worker first named a limit the bound holds, and limitTold how long a gateway has known it whose
	// requests count.
	limitSettles = 3 * time.Second
	limitTold    = 500 * time.Millisecond
	// limitWindow is the time in which requests are counted, limitFactor how much more than the limit may come in it, and limitSlack how
	// many requests beyond that.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limited is a time in which a worker named limits without a pause.
type limited struct {
	worker      string
	most        float64
	from, until time.Time
}

// limitedTimes returns the times in which workers named limits. A time begins with the first answer that named one.
func limitedTimes(h *History) []limited {
	var times []limited
	open := map[string]*limited{}
	for _, said := range h.Limits {
		one := open[said.Worker]
		switch {
		case one == nil && said.PerSecond > 0:
			open[said.Worker] = &limited{worker: said.Worker, most: said.PerSecond, from: said.At}
		case one != nil && said.PerSecond > 0:
			one.most = max(one.most, said.PerSecond)
		case one != nil:
			one.until = said.At
			times = append(times, *one)
			delete(open, said.Worker)
		}
	}
	for _, one := range open {
		one.until = h.Seen
		times = append(times, *one)
	}
	return times
}

// checkLimits: a worker gets in no limitWindow more than its limit allows, of the gateways that had passed its word on and neither ended nor
// stood still since. A way to the worker that is disturbed excuses it: what was held up arrives together.
func checkLimits(h *History) []Violation {
	requests := h.byID()
	var found []Violation
	for _, each := range limitedTimes(h) {
		told := toldOf(h, requests, each)
		var first time.Time
		for _, notice := range h.Notices {
			if notice.Worker == each.worker && notice.Limit > 0 && !notice.At.Before(each.from) && (first.IsZero() || notice.At.Before(first)) {
				first = notice.At
			}
		}
		if first.IsZero() {
			continue
		}
		var counted []time.Time
		for _, arrival := range h.Arrivals {
			gateway := requests[arrival.ID].Gateway
			at, known := told[gateway]
			counts := known && arrival.Worker == each.worker && arrival.At.After(at.Add(limitTold)) && arrival.At.After(first.Add(limitSettles)) && arrival.At.Before(each.until)
			if counts && !h.stood(gateway, at, arrival.At) {
				counted = append(counted, arrival.At)
			}
		}
		allowed := int(limitFactor*each.most*limitWindow.Seconds()) + limitSlack
		for i := range counted {
			last := i + allowed
			if last >= len(counted) || counted[last].Sub(counted[i]) > limitWindow || h.disturbedBy(onWayToWorkers, counted[i].Add(-touch), counted[last]) {
				continue
			}
			found = append(found, Violation{"LIMIT", each.worker, fmt.Sprintf("%d requests in %s of a worker that takes %.1f a second, until %s",
				allowed+1, counted[last].Sub(counted[i]).Round(time.Millisecond), each.most, counted[last].Format(clock))})
			break
		}
	}
	return found
}

// toldOf returns when each gateway first passed on an answer in which a worker named its limit, within a time.
func toldOf(h *History, requests map[string]Request, within limited) map[string]time.Time {
	told := map[string]time.Time{}
	for _, notice := range h.Notices {
		r := requests[notice.ID]
		if notice.Worker != within.worker || notice.Limit == 0 || notice.At.Before(within.from) || notice.At.After(within.until) ||
			r.Answer.Err != nil || r.Answer.Status != http.StatusOK {
			continue
		}
		if before, known := told[r.Gateway]; !known || r.Ended.Before(before) {
			told[r.Gateway] = r.Ended
		}
	}
	return told
}
