package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// WorkerLeavingNotice makes a worker announce in its responses that it is leaving, some time before its record says so.
type WorkerLeavingNotice struct {
	Worker int
	// Lead is the time between the announcement and the update of the record.
	Lead time.Duration
}

// WorkerShedding makes a worker refuse all requests for a duration, with a Retry-After header.
type WorkerShedding struct {
	Worker               int
	Duration, RetryAfter time.Duration
}

func (WorkerLeavingNotice) isFault() {}
func (WorkerShedding) isFault()      {}

func (f WorkerLeavingNotice) String() string {
	return fmt.Sprintf("worker %d says that it leaves, %s ahead of its record", f.Worker, f.Lead)
}
func (f WorkerShedding) String() string {
	return fmt.Sprintf("worker %d turns everything away for %s and asks for rests of %s", f.Worker, f.Duration, f.RetryAfter)
}

const (
	// noticeStream is the random stream of worker announcements.
	noticeStream = 1 << 34
	// firstNoticeSeed is the first seed with announcements. Lower seeds reproduce their earlier schedules.
	firstNoticeSeed = 8000
)

// drawNotices returns the announcements of a round. Half of the rounds have some, and half of these also have a silent store.
func drawNotices(seed uint64, number, workers int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, noticeStream+uint64(number)))
	if seed < firstNoticeSeed || random.IntN(2) == 0 {
		return nil
	}
	var faults []ScheduledFault
	if random.IntN(2) == 0 {
		faults = append(faults, ScheduledFault{Fault: StoreFault{StoreSilent}})
	}
	for range 1 + random.IntN(4) {
		at := time.Duration(random.Int64N(int64(faultTime / 2)))
		worker := random.IntN(workers)
		var fault Fault = WorkerLeavingNotice{worker, drainTime + time.Duration(500+random.IntN(2500))*time.Millisecond}
		if random.IntN(2) == 0 {
			fault = WorkerShedding{worker, time.Duration(500+random.IntN(4000)) * time.Millisecond, time.Duration(200+random.IntN(3000)) * time.Millisecond}
		}
		faults = append(faults, ScheduledFault{At: at, Fault: fault})
	}
	return faults
}

// injectNotice makes a worker send an announcement. It returns false for other faults.
func (s *system) injectNotice(fault Fault) bool {
	switch f := fault.(type) {
	case WorkerLeavingNotice:
		slot := s.workers[f.Worker]
		slot.currentWorker().SayLeaving()
		s.background.Go(func() {
			time.Sleep(f.Lead)
			s.replaceWorker(slot)
		})
	case WorkerShedding:
		s.workers[f.Worker].currentWorker().Shed(f.Duration, f.RetryAfter)
	case WorkerLimitNotice:
		s.injectLimits(f)
	default:
		return false
	}
	return true
}

// checkLeavingNotices: after a gateway has delivered a response in which a worker announced that it is leaving, requests sent
// through this gateway later than the drain time do not reach the worker, unless the gateway exited or paused since.
func checkLeavingNotices(h *History) []Violation {
	type pair struct {
		worker  string
		born    int64
		gateway string
	}
	requests := h.requestsByID()
	announcedAt := map[pair]time.Time{}
	for _, notice := range h.Notices {
		r, runs := requests[notice.ID], h.Runs[notice.ID]
		// A request that a cut held back may reach a worker after another one's response to it.
		isLate := notice.At.After(r.Ended)
		if !notice.Leaving || isLate || len(runs) == 0 || runs[len(runs)-1].Worker != notice.Worker || r.Response.Err != nil || r.Response.Status != http.StatusOK {
			continue
		}
		key := pair{notice.Worker, notice.Born, r.Gateway}
		if first, known := announcedAt[key]; !known || r.Ended.Before(first) {
			announcedAt[key] = r.Ended
		}
	}
	var found []Violation
	for _, arrival := range h.Arrivals {
		r := requests[arrival.ID]
		at, known := announcedAt[pair{arrival.Worker, arrival.Born, r.Gateway}]
		if known && r.Sent.After(at.Add(drainTime)) && !h.wasInterrupted(r.Gateway, at, arrival.At) {
			found = append(found, Violation{"DRAIN", arrival.ID, fmt.Sprintf("reached %s through %s, sent %s after the gateway had delivered the worker's leaving notice", arrival.Worker, r.Gateway, r.Sent.Sub(at))})
		}
	}
	return found
}

// Tolerances of checkRetryAfter.
const (
	retryAfterSlack     = 500 * time.Millisecond
	maxDuringRetryAfter = 2
)

// checkRetryAfter: few requests of a gateway reach a worker between retryAfterSlack after a refusal with Retry-After and the end
// of that time. Exits and pauses of the gateway excuse a violation, as do network faults at the worker.
func checkRetryAfter(h *History) []Violation {
	requests := h.requestsByID()
	var found []Violation
	for _, notice := range h.Notices {
		if notice.Rest <= retryAfterSlack {
			continue
		}
		gateway, from, until := requests[notice.ID].Gateway, notice.At.Add(retryAfterSlack), notice.At.Add(notice.Rest)
		count := 0
		for _, arrival := range h.Arrivals {
			if arrival.Worker == notice.Worker && arrival.Born == notice.Born && arrival.At.After(from) && arrival.At.Before(until) && requests[arrival.ID].Gateway == gateway {
				count++
			}
		}
		if count > maxDuringRetryAfter && !h.wasInterrupted(gateway, notice.At.Add(-recoveryMargin), until) && !h.hasFault(isWorkerPathFault, notice.At.Add(-recoveryMargin), until) {
			found = append(found, Violation{"BUDGET", notice.ID, fmt.Sprintf("%d requests reached %s through %s within a Retry-After of %s", count, notice.Worker, gateway, notice.Rest)})
		}
	}
	return found
}

// isWorkerPathFault reports whether a fault affects the network between gateways and workers.
func isWorkerPathFault(f Fault) bool {
	switch f := f.(type) {
	case WorkerNetworkFault:
		return true
	case SilentConnections:
		return f.Path == PathWorker
	default:
		return false
	}
}

// requestsByID returns the requests by ID.
func (h *History) requestsByID() map[string]RequestRecord {
	requests := make(map[string]RequestRecord, len(h.Requests))
	for _, r := range h.Requests {
		requests[r.Request.ID] = r
	}
	return requests
}

// wasInterrupted reports whether a gateway exited or was paused within a time span.
func (h *History) wasInterrupted(gateway string, from, until time.Time) bool {
	if slices.ContainsFunc(h.Exits, func(exit ProcessExit) bool {
		return exit.Gateway == gateway && exit.At.After(from) && exit.At.Before(until)
	}) {
		return true
	}
	index := slices.Index(h.Gateways, gateway)
	isStandstill := func(f Fault) bool {
		switch f := f.(type) {
		case GatewayPause:
			return slices.Contains(f.Gateways, index)
		case GatewayFreeze:
			return f.Gateway == index
		default:
			return false
		}
	}
	return h.hasFault(isStandstill, from, until)
}
