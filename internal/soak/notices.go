package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// WorkerSaysLeaving makes a worker say in its answers that it leaves, some time before its record does.
type WorkerLeavingNotice struct {
	Worker int
	// Ahead of its record by so much.
	Lead time.Duration
}

// WorkerRests makes a worker turn everything away for a time, and ask each time for rest.
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
	// noticeStream is the stream of random numbers that decides about what workers say of themselves.
	noticeStream = 1 << 34
	// noticeSeeds is the first seed whose rounds have them: those before, which are kept for what they showed, play as they did.
	firstNoticeSeed = 8000
)

// noticesOf returns what workers say of themselves in a round: one round in two has some, half of these beside a store that is silent.
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

// injectNotice has a worker speak of itself, and tells whether the fault is of that kind.
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

// checkLeaving: a request that its caller sent later than the time to drain after its gateway had passed on the word of a worker that it
// leaves does not reach that worker. Only a start or a standstill of the gateway excuses it.
func checkLeavingNotices(h *History) []Violation {
	type pair struct{ worker, gateway string }
	requests := h.requestsByID()
	announcedAt := map[pair]time.Time{}
	for _, notice := range h.Notices {
		r, runs := requests[notice.ID], h.Runs[notice.ID]
		if !notice.Leaving || len(runs) == 0 || runs[len(runs)-1].Worker != notice.Worker || r.Response.Err != nil || r.Response.Status != http.StatusOK {
			continue
		}
		key := pair{notice.Worker, r.Gateway}
		if first, known := announcedAt[key]; !known || r.Ended.Before(first) {
			announcedAt[key] = r.Ended
		}
	}
	var found []Violation
	for _, arrival := range h.Arrivals {
		r := requests[arrival.ID]
		at, known := announcedAt[pair{arrival.Worker, r.Gateway}]
		if known && r.Sent.After(at.Add(drainTime)) && !h.wasInterrupted(r.Gateway, at, arrival.At) {
			found = append(found, Violation{"DRAIN", arrival.ID, fmt.Sprintf("reached %s through %s, sent %s after that had passed on that the worker leaves", arrival.Worker, r.Gateway, r.Sent.Sub(at))})
		}
	}
	return found
}

// Bounds of the rest of a worker.
const (
	retryAfterSlack     = 500 * time.Millisecond
	maxDuringRetryAfter = 2
)

// checkRest: few requests of one gateway reach a worker between half a second after it asked that gateway for rest and the end of that. A
// start or a standstill of the gateway excuses it, and so does a way to the worker that is disturbed.
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
			if arrival.Worker == notice.Worker && arrival.At.After(from) && arrival.At.Before(until) && requests[arrival.ID].Gateway == gateway {
				count++
			}
		}
		if count > maxDuringRetryAfter && !h.wasInterrupted(gateway, notice.At.Add(-recoveryMargin), until) && !h.hasFault(isWorkerPathFault, notice.At.Add(-recoveryMargin), until) {
			found = append(found, Violation{"BUDGET", notice.ID, fmt.Sprintf("%d requests reached %s through %s within a rest of %s", count, notice.Worker, gateway, notice.Rest)})
		}
	}
	return found
}

// onWayToWorkers tells whether a fault is on the ways between gateways and workers.
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

// byID returns the requests by their ids.
func (h *History) requestsByID() map[string]RequestRecord {
	requests := make(map[string]RequestRecord, len(h.Requests))
	for _, r := range h.Requests {
		requests[r.Request.ID] = r
	}
	return requests
}

// stood tells whether a gateway ended, or stood still, within a time.
func (h *History) wasInterrupted(gateway string, from, until time.Time) bool {
	if slices.ContainsFunc(h.Exits, func(end ProcessExit) bool {
		return end.Gateway == gateway && end.At.After(from) && end.At.Before(until)
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
