package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// WorkerLimitNotice makes a worker announce a request limit per second, with another value in the second half of the duration.
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
	// limitStream is the random stream of worker limits.
	limitStream = 1 << 35
	// firstLimitSeed is the first seed with worker limits. Lower seeds reproduce their earlier schedules.
	firstLimitSeed = 9000
)

// drawLimits returns the worker limits of a round. Two rounds in three have some.
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

// injectLimits makes a worker announce limits, and none after the duration.
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

// Bounds on the requests of workers with limits.
const (
	// limitSettleTime is how long after a worker's first announcement the bound applies. limitNoticeDelay is how long a gateway
	// must have known the limit for its requests to count.
	limitSettleTime  = 3 * time.Second
	limitNoticeDelay = 500 * time.Millisecond
	// limitWindow is the window in which requests are counted. The bound is limitFactor times the limit plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitPeriod is a period in which a worker announced limits without interruption.
type limitPeriod struct {
	worker       string
	maxPerSecond float64
	from, until  time.Time
}

// limitPeriods returns the periods in which workers announced limits.
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

// checkLimits: gateways that have seen a worker's limit do not exceed it, apart from a tolerance, within limitWindow. Gateways
// that exited or paused since are not counted. Network faults at the worker excuse an excess, because delayed requests arrive
// together.
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
			found = append(found, Violation{"LIMIT", period.worker, fmt.Sprintf("%d requests within %s for a worker with a limit of %.1f per second, until %s",
				allowed+1, counted[last].Sub(counted[i]).Round(time.Millisecond), period.maxPerSecond, counted[last].Format(timeFormat))})
			break
		}
	}
	return found
}

// limitAnnouncements returns, for each gateway, when it first delivered a response in which the worker announced a limit within
// the period.
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
