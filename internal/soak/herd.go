package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// HerdKill kills all gateways at once under a load of long prompts, and starts them again together.
type HerdKill struct {
	// Down is how long no gateway runs.
	Down time.Duration
	// StoreDelay delays each call to the store meanwhile and until the end of the faults; zero leaves it as it is.
	StoreDelay time.Duration
}

func (HerdKill) isFault() {}

func (f HerdKill) String() string {
	return fmt.Sprintf("all gateways are killed at once and start again after %s, the store answers %s later", f.Down, f.StoreDelay)
}

const (
	// herdStream is the random stream of herd kills.
	herdStream = 1 << 37
	// firstHerdSeed is the first seed with herd kills. Lower seeds reproduce their earlier schedules.
	firstHerdSeed = 10_000
)

// drawHerdKill returns the herd kill of a round, and whether it is the only fault of the round, so that checkHerdKills applies.
// Two rounds in three have one, and half of these have no other fault. Long prompts begin before it, so that engines are
// carrying out orders of the killed gateways.
func drawHerdKill(seed uint64, number int) (faults []ScheduledFault, isOnly bool) {
	random := rand.New(rand.NewPCG(seed, herdStream+uint64(number)))
	variant := random.IntN(3)
	if seed < firstHerdSeed || variant == 0 {
		return nil, false
	}
	kill := HerdKill{Down: time.Duration(100+random.IntN(1200)) * time.Millisecond}
	if random.IntN(4) == 0 {
		kill.StoreDelay = slowStoreDelay
	}
	at := time.Second + time.Duration(random.Int64N(int64(faultTime/4)))
	return []ScheduledFault{{At: at - time.Second, Fault: LongPrompts{}}, {At: at, Fault: kill}}, variant == 1
}

// killHerd kills all gateways and starts them again. The fault ends when they have been started.
func (s *system) killHerd(f HerdKill) {
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

// Bounds on the requests after a herd kill.
const (
	// herdStartTime is the time from the start of the processes after which requests count, and herdWindow the time in which
	// they do.
	herdStartTime = 1500 * time.Millisecond
	herdWindow    = 2 * time.Second
	// minHerdServedShare is the share of them to be served.
	minHerdServedShare = 0.7
)

// checkHerdKills: soon after all gateways were killed at once and have started again, most requests are served, unless other
// unplanned faults interfere.
func checkHerdKills(h *History) []Violation {
	var found []Violation
	for _, span := range h.Spans {
		if _, isHerdKill := span.Fault.(HerdKill); !isHerdKill || span.Ended.IsZero() {
			continue
		}
		from := span.Ended.Add(herdStartTime)
		until := from.Add(herdWindow)
		if h.hasFault(isUnrelatedToHerd, span.Begun, until) {
			continue
		}
		sent, served := 0, 0
		for _, r := range h.Requests {
			if r.Sent.Before(from) || r.Sent.After(until) || r.CrashID > 0 || !r.AbandonedAt.IsZero() {
				continue
			}
			sent++
			if r.Response.Status == http.StatusOK && r.Response.Err == nil {
				served++
			}
		}
		if sent >= minQuietRequests && float64(served) < minHerdServedShare*float64(sent) {
			found = append(found, Violation{"RECOVER", "start of all", fmt.Sprintf("%d of %d served from %s after all gateways had been started", served, sent, herdStartTime)})
		}
	}
	return found
}

// isUnrelatedToHerd reports whether a fault is unplanned and not part of a herd kill.
func isUnrelatedToHerd(f Fault) bool {
	switch f.(type) {
	case HerdKill, LongPrompts:
		return false
	default:
		return !isPlanned(f)
	}
}
