package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// WorkerSaysLeaving makes a worker say in its answers that it leaves, some time before its record does.
type WorkerSaysLeaving struct {
	Worker int
	// Ahead of its record by so much.
	Ahead time.Duration
}

// WorkerRests makes a worker turn everything away for a time, and ask each time for rest.
type WorkerRests struct {
	Worker    int
	For, Rest time.Duration
}

func (WorkerSaysLeaving) isFault() {}
func (WorkerRests) isFault()       {}

func (f WorkerSaysLeaving) String() string {
	return fmt.Sprintf("worker %d says that it leaves, %s ahead of its record", f.Worker, f.Ahead)
}
func (f WorkerRests) String() string {
	return fmt.Sprintf("worker %d turns everything away for %s and asks for rests of %s", f.Worker, f.For, f.Rest)
}

const (
	// noticeStream is the stream of random numbers that decides about what workers say of themselves.
	noticeStream = 1 << 34
	// noticeSeeds is the first seed whose rounds have them: those before, which are kept for what they showed, play as they did.
	noticeSeeds = 8000
)

// noticesOf returns what workers say of themselves in a round: one round in two has some, half of these beside a store that is silent.
func noticesOf(seed uint64, number, workers int) []Timed {
	random := rand.New(rand.NewPCG(seed, noticeStream+uint64(number)))
	if seed < noticeSeeds || random.IntN(2) == 0 {
		return nil
	}
	var faults []Timed
	if random.IntN(2) == 0 {
		faults = append(faults, Timed{Fault: StoreTrouble{StoreSilent}})
	}
	for range 1 + random.IntN(4) {
		at := time.Duration(random.Int64N(int64(faultTime / 2)))
		worker := random.IntN(workers)
		var fault Fault = WorkerSaysLeaving{worker, drainTime + time.Duration(500+random.IntN(2500))*time.Millisecond}
		if random.IntN(2) == 0 {
			fault = WorkerRests{worker, time.Duration(500+random.IntN(4000)) * time.Millisecond, time.Duration(200+random.IntN(3000)) * time.Millisecond}
		}
		faults = append(faults, Timed{At: at, Fault: fault})
	}
	return faults
}

// injectNotice has a worker speak of itself, and tells whether the fault is of that kind.
func (s *system) injectNotice(fault Fault) bool {
	switch f := fault.(type) {
	case WorkerSaysLeaving:
		slot := s.workers[f.Worker]
		slot.current().SayLeaving()
		s.background.Go(func() {
			time.Sleep(f.Ahead)
			s.replace(slot)
		})
	case WorkerRests:
		s.workers[f.Worker].current().Shed(f.For, f.Rest)
	case WorkerLimits:
		s.injectLimit(f)
	default:
		return false
	}
	return true
}

// checkLeaving: a request that its caller sent later than the time to drain after its gateway had passed on the word of a worker that it
// leaves does not reach that worker. Only a start or a standstill of the gateway excuses it.
func checkLeaving(h *History) []Violation {
	type pair struct{ worker, gateway string }
	requests := h.byID()
	told := map[pair]time.Time{}
	for _, notice := range h.Notices {
		r, runs := requests[notice.ID], h.Runs[notice.ID]
		if !notice.Leaving || len(runs) == 0 || runs[len(runs)-1].Worker != notice.Worker || r.Answer.Err != nil || r.Answer.Status != http.StatusOK {
			continue
		}
		key := pair{notice.Worker, r.Gateway}
		if first, known := told[key]; !known || r.Ended.Before(first) {
			told[key] = r.Ended
		}
	}
	var found []Violation
	for _, arrival := range h.Arrivals {
		r := requests[arrival.ID]
		at, known := told[pair{arrival.Worker, r.Gateway}]
		if known && r.Sent.After(at.Add(drainTime)) && !h.stood(r.Gateway, at, arrival.At) {
			found = append(found, Violation{"DRAIN", arrival.ID, fmt.Sprintf("reached %s through %s, sent %s after that had passed on that the worker leaves", arrival.Worker, r.Gateway, r.Sent.Sub(at))})
		}
	}
	return found
}

// Bounds of the rest of a worker.
const (
	restSlack  = 500 * time.Millisecond
	mostInRest = 2
)

// checkRest: few requests of one gateway reach a worker between half a second after it asked that gateway for rest and the end of that. A
// start or a standstill of the gateway excuses it, and so does a way to the worker that is disturbed.
func checkRest(h *History) []Violation {
	requests := h.byID()
	var found []Violation
	for _, notice := range h.Notices {
		if notice.Rest <= restSlack {
			continue
		}
		gateway, from, until := requests[notice.ID].Gateway, notice.At.Add(restSlack), notice.At.Add(notice.Rest)
		count := 0
		for _, arrival := range h.Arrivals {
			if arrival.Worker == notice.Worker && arrival.At.After(from) && arrival.At.Before(until) && requests[arrival.ID].Gateway == gateway {
				count++
			}
		}
		if count > mostInRest && !h.stood(gateway, notice.At.Add(-touch), until) && !h.disturbedBy(onWayToWorkers, notice.At.Add(-touch), until) {
			found = append(found, Violation{"BUDGET", notice.ID, fmt.Sprintf("%d requests reached %s through %s within a rest of %s", count, notice.Worker, gateway, notice.Rest)})
		}
	}
	return found
}

// onWayToWorkers tells whether a fault is on the ways between gateways and workers.
func onWayToWorkers(f Fault) bool {
	switch f := f.(type) {
	case WorkerCut:
		return true
	case GoneSilent:
		return f.Way == WayWorker
	default:
		return false
	}
}

// byID returns the requests by their ids.
func (h *History) byID() map[string]Request {
	requests := make(map[string]Request, len(h.Requests))
	for _, r := range h.Requests {
		requests[r.Asked.ID] = r
	}
	return requests
}

// stood tells whether a gateway ended, or stood still, within a time.
func (h *History) stood(gateway string, from, until time.Time) bool {
	if slices.ContainsFunc(h.Ends, func(end End) bool { return end.Gateway == gateway && end.At.After(from) && end.At.Before(until) }) {
		return true
	}
	index := slices.Index(h.Gateways, gateway)
	still := func(f Fault) bool {
		switch f := f.(type) {
		case GatewayPause:
			return slices.Contains(f.Gateways, index)
		case GatewayFreeze:
			return f.Gateway == index
		default:
			return false
		}
	}
	return h.disturbedBy(still, from, until)
}
