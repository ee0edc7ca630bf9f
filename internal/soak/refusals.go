package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// WorkerRefusals makes all workers refuse some requests until the end of the faults: one in four, or all for short times again and again.
type WorkerRefusals struct {
	Refusals fleet.Refusals
	// Rest is the length of these times, after which the refusals ask for as much; zero for one request in four.
	Rest time.Duration
}

func (WorkerRefusals) isFault() {}

func (f WorkerRefusals) String() string {
	if f.Rest > 0 {
		return fmt.Sprintf("all workers refuse everything for %s in turn (%s)", f.Rest, f.Refusals)
	}
	return fmt.Sprintf("all workers refuse one request in four (%s)", f.Refusals)
}

const (
	// refusalStream is the random stream of refusals, and refusalTrafficStream that of the requests beside them.
	refusalStream        = 1 << 42
	refusalTrafficStream = refusalStream - 1
	// firstRefusalSeed is the first seed with refusals. Lower seeds reproduce their earlier schedules.
	firstRefusalSeed = 15_000
)

// drawRefusals returns the refusals of a round with what happens beside them, and whether these are its only faults. Three rounds in four have some,
// and two of these have no other fault.
func drawRefusals(seed uint64, number, gateways, workers int) (faults []ScheduledFault, areOnly bool) {
	random := rand.New(rand.NewPCG(seed, refusalStream+uint64(number)))
	variant := random.IntN(4)
	if seed < firstRefusalSeed || variant == 0 {
		return nil, false
	}
	refusals := WorkerRefusals{Refusals: fleet.Refusals(random.IntN(4))}
	if random.IntN(3) == 0 {
		refusals.Rest = time.Duration(20+random.IntN(60)) * time.Millisecond
	}
	faults = append(faults, ScheduledFault{Fault: refusals})
	if variant == 3 {
		return faults, false
	}
	faults = append(faults, drawGatewaySignals(random, gateways)...)
	for range random.IntN(3) {
		restart := WorkerRestart{random.IntN(workers), drawVersion(random)}
		faults = append(faults, ScheduledFault{At: time.Duration(random.Int64N(int64(seriesTime))), Fault: restart})
	}
	for range random.IntN(3) {
		silent := WorkerNetworkFault{random.IntN(workers), []netproxy.Mode{netproxy.ModeSilent, netproxy.ModeOneWay}[random.IntN(2)]}
		faults = append(faults, ScheduledFault{At: time.Duration(random.Int64N(int64(faultTime))), Fault: silent})
	}
	return faults, true
}

// restInterval is the time between two times in which the workers refuse everything.
const restInterval = 150 * time.Millisecond

// injectRefusals makes the workers refuse requests. It returns false for other faults.
func (s *system) injectRefusals(fault Fault) bool {
	refusals, ok := fault.(WorkerRefusals)
	if !ok {
		return false
	}
	for _, slot := range s.workers {
		worker := slot.currentWorker()
		worker.SetRefusals(refusals.Refusals)
		if refusals.Rest == 0 {
			worker.SetFault(fleet.WorkerShedsSome)
		}
	}
	if refusals.Rest == 0 {
		return true
	}
	healing := s.healing()
	s.background.Go(func() {
		for {
			select {
			case <-healing:
				return
			case <-time.After(restInterval):
			}
			for _, slot := range s.workers {
				slot.currentWorker().Shed(refusals.Rest, refusals.Rest)
			}
		}
	})
	return true
}

// onceShare is the reciprocal of the share of repeatable requests that are made to run once while workers refuse requests.
const onceShare = 2

// makeRunOnce turns some repeatable requests into ones that must run once, which are at risk when they are sent again.
func makeRunOnce(random *rand.Rand, request *RequestRecord) {
	if random.IntN(onceShare) == 0 && request.Kind == KindIdempotent && request.CrashID == 0 {
		request.Kind = KindNonIdempotent
		request.Request.Path = "/" + string(KindNonIdempotent) + "/x"
	}
}

// describeRefusals formats how many requests that must run once were refused by a worker, and how many of them were sent again.
func (h *History) describeRefusals() string {
	arrivals := map[string]int{}
	for _, arrival := range h.Arrivals {
		if !arrival.Reading {
			arrivals[arrival.ID]++
		}
	}
	once, refused, again := 0, 0, 0
	for _, r := range h.Requests {
		if r.Kind != KindNonIdempotent {
			continue
		}
		once++
		if h.Refusals[r.Request.ID] == 0 {
			continue
		}
		refused++
		if arrivals[r.Request.ID] > 1 {
			again++
		}
	}
	return fmt.Sprintf("%d requests had to run once: %d of them were refused by a worker, and %d of these were sent again", once, refused, again)
}
