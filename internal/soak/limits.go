package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// WorkerLimits makes a worker name how many requests a second it takes, for a time, and another number in its second half.
type WorkerLimitNotice struct {
	Worker        int
	First, Second float64
	Duration      time.Duration
}

func (WorkerLimitNotice) isFault() {}

func (f WorkerLimitNotice) String() string {
	return fmt.Sprintf("worker %d takes %.1f and then %.1f requests a second, for %s altogether", f.Worker, f.First, f.Second, f.Duration)
}

const (
	// limitStream is the stream of random numbers that decides about limits of workers.
	limitStream = 1 << 35
	// limitSeeds is the first seed whose rounds have them.
	firstLimitSeed = 9000
)

// limitsOf returns the limits that workers name in a round: two rounds in three have some.
func drawLimits(seed uint64, number, workers int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, limitStream+uint64(number)))
	if seed < firstLimitSeed || random.IntN(3) == 0 {
		return nil
	}
	rate := func() float64 { return []float64{0.4, 1.1, 2, 5.4, 20}[random.IntN(5)] }
	var faults []ScheduledFault
	for _, worker := range random.Perm(workers)[:1+random.IntN(min(3, workers))] {
		at := time.Duration(random.Int64N(int64(faultTime / 2)))
		faults = append(faults, ScheduledFault{At: at, Fault: WorkerLimitNotice{worker, rate(), rate(), time.Duration(5000+random.IntN(5000)) * time.Millisecond}})
	}
	return faults
}

// injectLimit has a worker name limits, and none any more once the time is over.
func (s *system) injectLimits(f WorkerLimitNotice) {
	worker := s.workers[f.Worker].currentWorker()
	worker.Limit(f.First)
	s.background.Go(func() {
		time.Sleep(f.Duration / 2)
		worker.Limit(f.Second)
		time.Sleep(f.Duration / 2)
		worker.Limit(0)
	})
}

// Bounds of what workers with limits may get.
const (
	// limitSettles is how long after a worker first named a limit the bound holds, and limitTold how long a gateway has known it whose
	// requests count.
	limitSettleTime  = 3 * time.Second
	limitNoticeDelay = 500 * time.Millisecond
	// limitWindow is the time in which requests are counted, limitFactor how much more than the limit may come in it, and limitSlack how
	// many requests beyond that.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limited is a time in which a worker named limits without a pause.
type limitPeriod struct {
	worker       string
	maxPerSecond float64
	from, until  time.Time
}

// limitedTimes returns the times in which workers named limits. A time begins with the first answer that named one.
func limitPeriods(h *History) []limitPeriod {
	var times []limitPeriod
	open := map[string]*limitPeriod{}
	for _, change := range h.Limits {
		period := open[change.Worker]
		switch {
		case period == nil && change.PerSecond > 0:
			open[change.Worker] = &limitPeriod{worker: change.Worker, maxPerSecond: change.PerSecond, from: change.At}
		case period != nil && change.PerSecond > 0:
			period.maxPerSecond = max(period.maxPerSecond, change.PerSecond)
		case period != nil:
			period.until = change.At
			times = append(times, *period)
			delete(open, change.Worker)
		}
	}
	for _, period := range open {
		period.until = h.CollectedAt
		times = append(times, *period)
	}
	return times
}

// checkLimits: a worker gets in no limitWindow more than its limit allows, of the gateways that had passed its word on and neither ended nor
// stood still since. A way to the worker that is disturbed excuses it: what was held up arrives together.
func checkLimits(h *History) []Violation {
	requests := h.requestsByID()
	var found []Violation
	for _, period := range limitPeriods(h) {
		announcedAt := limitAnnouncements(h, requests, period)
		var first time.Time
		for _, notice := range h.Notices {
			if notice.Worker == period.worker && notice.Limit > 0 && !notice.At.Before(period.from) && (first.IsZero() || notice.At.Before(first)) {
				first = notice.At
			}
		}
		if first.IsZero() {
			continue
		}
		var counted []time.Time
		for _, arrival := range h.Arrivals {
			gateway := requests[arrival.ID].Gateway
			at, known := announcedAt[gateway]
			counts := known && arrival.Worker == period.worker && arrival.At.After(at.Add(limitNoticeDelay)) && arrival.At.After(first.Add(limitSettleTime)) && arrival.At.Before(period.until)
			if counts && !h.wasInterrupted(gateway, at, arrival.At) {
				counted = append(counted, arrival.At)
			}
		}
		allowed := int(limitFactor*period.maxPerSecond*limitWindow.Seconds()) + limitSlack
		for i := range counted {
			last := i + allowed
			if last >= len(counted) || counted[last].Sub(counted[i]) > limitWindow || h.hasFault(isWorkerPathFault, counted[i].Add(-recoveryMargin), counted[last]) {
				continue
			}
			found = append(found, Violation{"LIMIT", period.worker, fmt.Sprintf("%d requests in %s of a worker that takes %.1f a second, until %s",
				allowed+1, counted[last].Sub(counted[i]).Round(time.Millisecond), period.maxPerSecond, counted[last].Format(timeFormat))})
			break
		}
	}
	return found
}

// toldOf returns when each gateway first passed on an answer in which a worker named its limit, within a time.
func limitAnnouncements(h *History, requests map[string]RequestRecord, period limitPeriod) map[string]time.Time {
	announcedAt := map[string]time.Time{}
	for _, notice := range h.Notices {
		r := requests[notice.ID]
		if notice.Worker != period.worker || notice.Limit == 0 || notice.At.Before(period.from) || notice.At.After(period.until) ||
			r.Response.Err != nil || r.Response.Status != http.StatusOK {
			continue
		}
		if before, known := announcedAt[r.Gateway]; !known || r.Ended.Before(before) {
			announcedAt[r.Gateway] = r.Ended
		}
	}
	return announcedAt
}
