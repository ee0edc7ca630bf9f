package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// AllGatewaysKill kills all gateways at once under a load of long prompts, and starts them again together.
type AllGatewaysKill struct {
	// Down is how long no gateway runs.
	Down time.Duration
	// StoreDelay delays each call to the store from the start of the gateways to the end of the faults; zero leaves it as it is.
	StoreDelay time.Duration
}

func (AllGatewaysKill) isFault() {}

func (f AllGatewaysKill) String() string {
	return fmt.Sprintf("all gateways are killed at once and start again after %s, the store answers %s later", f.Down, f.StoreDelay)
}

const (
	// allGatewaysStream is the random stream of kills of all gateways.
	allGatewaysStream = 1 << 37
	// firstAllGatewaysSeed is the first seed with kills of all gateways. Lower seeds reproduce their earlier schedules.
	firstAllGatewaysSeed = 10_000
)

// drawAllGatewaysKill returns the kill of all gateways of a round, and whether it is the only fault of the round, so that checkStartOfAll applies.
// Two rounds in three have one, and half of these have no other fault. Long prompts begin before it, so that engines are
// carrying out orders of the killed gateways.
func drawAllGatewaysKill(seed uint64, number int) (faults []ScheduledFault, isOnly bool) {
	random := rand.New(rand.NewPCG(seed, allGatewaysStream+uint64(number)))
	variant := random.IntN(3)
	if seed < firstAllGatewaysSeed || variant == 0 {
		return nil, false
	}
	kill := AllGatewaysKill{Down: time.Duration(100+random.IntN(1200)) * time.Millisecond}
	if random.IntN(4) == 0 {
		kill.StoreDelay = slowStoreDelay
	}
	at := time.Second + time.Duration(random.Int64N(int64(faultTime/4)))
	return []ScheduledFault{{At: at - time.Second, Fault: LongPrompts{}}, {At: at, Fault: kill}}, variant == 1
}

// killAllGateways kills all gateways and starts them again. The fault ends when they have been started.
func (s *system) killAllGateways(f AllGatewaysKill) {
	for _, g := range s.gateways {
		g.kill()
	}
	s.background.Go(func() {
		time.Sleep(f.Down)
		if f.StoreDelay > 0 {
			s.fleet.Store.SetFault(storeFaults[StoreSlow], f.StoreDelay)
		}
		for _, g := range s.gateways {
			_ = g.start()
		}
		s.endFault(f)
	})
}

// endFault records the end of a fault.
func (s *system) endFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.spans {
		if s.spans[i].Fault == fault && s.spans[i].Ended.IsZero() {
			s.spans[i].Ended = time.Now()
		}
	}
}

// Bounds on the requests after a kill of all gateways.
const (
	// startOfAllTime is the time from the start of the processes after which requests count, and startOfAllWindow the time in which
	// they do.
	startOfAllTime   = 1500 * time.Millisecond
	startOfAllWindow = 2 * time.Second
	// minServedAfterStart is the share of them to be served.
	minServedAfterStart = 0.7
)

// checkStartOfAll: soon after all gateways were killed at once and have started again, most requests are served, unless other
// unplanned faults interfere.
func checkStartOfAll(h *History) []Violation {
	var found []Violation
	for _, span := range h.Spans {
		if _, isAllGatewaysKill := span.Fault.(AllGatewaysKill); !isAllGatewaysKill || span.Ended.IsZero() {
			continue
		}
		from := span.Ended.Add(startOfAllTime)
		until := from.Add(startOfAllWindow)
		if h.hasFault(isUnrelatedToStart, span.Begun, until) {
			continue
		}
		sent, served := 0, 0
		for _, r := range h.Requests {
			if r.Sent.Before(from) || r.Sent.After(until) || !r.countsAsService() {
				continue
			}
			sent++
			if r.Response.Status == http.StatusOK && r.Response.Err == nil {
				served++
			}
		}
		if sent >= minQuietRequests && float64(served) < minServedAfterStart*float64(sent) {
			found = append(found, Violation{"RECOVER", "start of all", fmt.Sprintf("%d of %d served from %s after all gateways had been started", served, sent, startOfAllTime)})
		}
	}
	return found
}

// isUnrelatedToStart reports whether a fault is unplanned and not part of a kill of all gateways.
func isUnrelatedToStart(f Fault) bool {
	switch f.(type) {
	case AllGatewaysKill, LongPrompts:
		return false
	default:
		return !isPlanned(f)
	}
}
