// Package soak runs real gateways as processes against stand-ins and injects faults from outside, in rounds that a seed decides.
// It checks the rules that callers, workers and the store can see, and that every round ends in service.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// Fault is one thing that goes wrong in a round. It is one of the types below.
type Fault interface {
	isFault()
	// String says what goes wrong, for people.
	String() string
}

// GatewayKill ends gateways at once; they start again when the round heals.
type GatewayKill struct{ Gateways []int }

// GatewayPause stops gateways where they stand.
type GatewayPause struct{ Gateways []int }

// GatewayStop stops one gateway as planned, and starts it again.
type GatewayStop struct{ Gateway int }

// StoreTrouble makes the store misbehave for everybody.
type StoreFault struct{ Kind StoreFaultKind }

// StoreCut cuts gateways off from the store.
type StoreNetworkFault struct {
	Gateways []int
	Mode     netproxy.Mode
}

// StoreCompact makes the store forget its history.
type StoreCompaction struct{}

// LeaseLapse ends the leases of all gateways.
type LeaseExpiry struct{}

// WorkerTrouble makes a worker misbehave.
type WorkerFault struct {
	Worker int
	Kind   WorkerFaultKind
}

// WorkerCut puts a fault on the way to a worker.
type WorkerNetworkFault struct {
	Worker int
	Mode   netproxy.Mode
}

// WorkerReplace drains a worker and starts another one in its place.
type WorkerReplacement struct{ Worker int }

// NewTimeout changes the time-out of all routes.
type TimeoutChange struct{ TimeoutMs int }

// LongPrompts makes callers send long prompts that nobody has read, until the round heals. Engines change their role for it;
// those that did are replaced afterwards.
type LongPrompts struct{}

// CrashingRequest makes callers send one request again and again that ends each worker that runs it, until the round heals; and now and
// then for good.
type CrashingRequest struct{}

// StoreKind is how a store misbehaves.
type StoreFaultKind string

// The kinds of trouble of a store.
const (
	StoreRefusing          StoreFaultKind = "refuses"
	StoreSilent            StoreFaultKind = "is silent"
	StoreBusy              StoreFaultKind = "is busy"
	StoreDroppingResponses StoreFaultKind = "loses answers"
	StoreSlow              StoreFaultKind = "is slow"
)

// WorkerKind is how a worker misbehaves.
type WorkerFaultKind string

// The kinds of trouble of a worker.
const (
	WorkerErrors         WorkerFaultKind = "answers errors"
	WorkerResets         WorkerFaultKind = "resets connections"
	WorkerMute           WorkerFaultKind = "never answers"
	WorkerCuts           WorkerFaultKind = "breaks answers off"
	WorkerExpiresHandles WorkerFaultKind = "lets handles lapse"
	WorkerLateOrders     WorkerFaultKind = "carries orders out late"
)

func (GatewayKill) isFault()        {}
func (GatewayPause) isFault()       {}
func (GatewayStop) isFault()        {}
func (StoreFault) isFault()         {}
func (StoreNetworkFault) isFault()  {}
func (StoreCompaction) isFault()    {}
func (LeaseExpiry) isFault()        {}
func (WorkerFault) isFault()        {}
func (WorkerNetworkFault) isFault() {}
func (WorkerReplacement) isFault()  {}
func (TimeoutChange) isFault()      {}
func (LongPrompts) isFault()        {}

func (CrashingRequest) isFault() {}

func (f GatewayKill) String() string  { return fmt.Sprintf("gateways %v are killed", f.Gateways) }
func (f GatewayPause) String() string { return fmt.Sprintf("gateways %v stand still", f.Gateways) }
func (f GatewayStop) String() string {
	return fmt.Sprintf("gateway %d is stopped as planned", f.Gateway)
}
func (f StoreFault) String() string { return fmt.Sprintf("the store %s", f.Kind) }
func (f StoreNetworkFault) String() string {
	return fmt.Sprintf("gateways %v and the store: %s", f.Gateways, f.Mode)
}
func (StoreCompaction) String() string { return "the store forgets its history" }
func (LeaseExpiry) String() string     { return "the leases of all gateways end" }
func (f WorkerFault) String() string   { return fmt.Sprintf("worker %d %s", f.Worker, f.Kind) }
func (f WorkerNetworkFault) String() string {
	return fmt.Sprintf("the way to worker %d: %s", f.Worker, f.Mode)
}
func (f WorkerReplacement) String() string { return fmt.Sprintf("worker %d is replaced", f.Worker) }
func (f TimeoutChange) String() string {
	return fmt.Sprintf("the routes get a time-out of %d ms", f.TimeoutMs)
}

func (LongPrompts) String() string     { return "callers send long prompts" }
func (CrashingRequest) String() string { return "a request ends each worker that runs it" }

// planned tells whether a fault is planned work, around which no request may be lost.
func isPlanned(f Fault) bool {
	switch f.(type) {
	case GatewayStop, GatewayReload, WorkerReplacement, WorkerLeavingNotice, WorkerLimitNotice, GatewayUpgrade, TimeoutChange, IdleTimeoutChange:
		return true
	default:
		return false
	}
}

// Timed is a fault with its moment within the round.
type ScheduledFault struct {
	At    time.Duration
	Fault Fault
}

// Times of a round.
const (
	// faultTime is the part of a round in which things go wrong; at its end everything heals.
	faultTime = 5 * time.Second
	// quietTime follows. Within its first part the system has to recover, in the second one it has to serve.
	quietTime   = 7 * time.Second
	recoverTime = 5 * time.Second
	roundTime   = faultTime + quietTime
)

// leastTimeout is the shortest time-out that routes get.
const minTimeout = 1500 * time.Millisecond

// mostFaults bounds the faults of a round.
const maxFaults = 3

// round returns the faults of one round, decided by the seed and the number of the round.
func drawRound(seed uint64, number, gateways, workers int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	var faults []ScheduledFault
	for range 1 + random.IntN(maxFaults) {
		at := time.Duration(random.Int64N(int64(faultTime / 2)))
		faults = append(faults, ScheduledFault{At: at, Fault: drawFault(random, gateways, workers)})
	}
	faults = append(faults, drawCrashing(seed, number)...)
	faults = append(faults, drawSeries(seed, number, gateways, workers)...)
	faults = append(faults, drawNotices(seed, number, workers)...)
	faults = append(faults, drawLimits(seed, number, workers)...)
	return append(faults, drawRestore(seed, number)...)
}

// crashingStream is the stream of random numbers that decides about crashing requests: one of its own, so that the faults of older seeds
// stay as they were.
const crashingStream = 1 << 32

// crashing returns the crashing request of a round: one in three has one.
func drawCrashing(seed uint64, number int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, crashingStream+uint64(number)))
	if random.IntN(3) > 0 {
		return nil
	}
	return []ScheduledFault{{At: time.Duration(random.Int64N(int64(faultTime / 2))), Fault: CrashingRequest{}}}
}

// draw draws one fault.
func drawFault(random *rand.Rand, gateways, workers int) Fault {
	some := func() []int {
		// Sometimes all of them at once.
		if random.IntN(4) == 0 {
			return random.Perm(gateways)
		}
		return random.Perm(gateways)[:1+random.IntN(gateways-1)]
	}
	mode := []netproxy.Mode{netproxy.ModeSilent, netproxy.ModeReset, netproxy.ModeSlow, netproxy.ModeOneWay}[random.IntN(4)]
	worker := random.IntN(workers)
	switch random.IntN(13) {
	case 0:
		return GatewayKill{some()}
	case 1:
		return GatewayPause{some()}
	case 2, 3:
		return GatewayStop{random.IntN(gateways)}
	case 4, 5:
		kinds := []StoreFaultKind{StoreRefusing, StoreSilent, StoreBusy, StoreDroppingResponses, StoreSlow}
		return StoreFault{kinds[random.IntN(len(kinds))]}
	case 6:
		return StoreNetworkFault{some(), mode}
	case 7:
		if random.IntN(2) == 0 {
			return LeaseExpiry{}
		}
		return StoreCompaction{}
	case 8, 9:
		kinds := []WorkerFaultKind{WorkerErrors, WorkerResets, WorkerMute, WorkerCuts, WorkerExpiresHandles, WorkerLateOrders}
		return WorkerFault{worker, kinds[random.IntN(len(kinds))]}
	case 10:
		if random.IntN(2) == 0 {
			return WorkerNetworkFault{worker, mode}
		}
		return WorkerReplacement{worker}
	case 11:
		return LongPrompts{}
	default:
		return TimeoutChange{int(minTimeout/time.Millisecond) + 100*random.IntN(10)}
	}
}
