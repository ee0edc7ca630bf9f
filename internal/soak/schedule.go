// Package soak runs gateway processes against a simulated platform and injects faults, in rounds determined by a seed. It checks
// the guarantees that are visible to clients, workers and the store, and that the system recovers after each round.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// Fault is a fault of a round. It is one of the types below.
type Fault interface {
	isFault()
	// String describes the fault for people.
	String() string
}

// GatewayKill kills gateways. They are restarted at the end of the faults.
type GatewayKill struct{ Gateways []int }

// GatewayPause suspends gateway processes until the end of the faults.
type GatewayPause struct{ Gateways []int }

// GatewayStop shuts a gateway down gracefully and starts it again.
type GatewayStop struct{ Gateway int }

// StoreFault makes the store misbehave for all clients.
type StoreFault struct{ Kind StoreFaultKind }

// StoreNetworkFault disturbs the network between gateways and the store.
type StoreNetworkFault struct {
	Gateways []int
	Mode     netproxy.Mode
}

// StoreCompaction discards the history of the store.
type StoreCompaction struct{}

// LeaseExpiry ends all leases.
type LeaseExpiry struct{}

// WorkerFault makes a worker misbehave.
type WorkerFault struct {
	Worker int
	Kind   WorkerFaultKind
}

// WorkerNetworkFault disturbs the network between gateways and a worker.
type WorkerNetworkFault struct {
	Worker int
	Mode   netproxy.Mode
}

// WorkerReplacement drains a worker and starts a successor.
type WorkerReplacement struct{ Worker int }

// TimeoutChange changes the timeout of all routes.
type TimeoutChange struct{ TimeoutMs int }

// LongPrompts makes clients send long, uncached prompts until the end of the faults, so that engines change their role. Those
// that did are replaced afterwards.
type LongPrompts struct{}

// CrashingRequest makes clients repeat a request that crashes each worker that runs it, frequently until the end of the faults
// and occasionally afterwards.
type CrashingRequest struct{}

// StoreFaultKind is a fault of the store.
type StoreFaultKind string

// The faults of the store.
const (
	StoreRefusing          StoreFaultKind = "refuses"
	StoreSilent            StoreFaultKind = "is silent"
	StoreBusy              StoreFaultKind = "is busy"
	StoreDroppingResponses StoreFaultKind = "loses answers"
	StoreSlow              StoreFaultKind = "is slow"
)

// WorkerFaultKind is a fault of a worker.
type WorkerFaultKind string

// The faults of a worker.
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

// isPlanned reports whether a fault is a planned operation, which must not cause lost requests.
func isPlanned(f Fault) bool {
	switch f.(type) {
	case GatewayStop, GatewayReload, WorkerReplacement, WorkerLeavingNotice, WorkerLimitNotice, GatewayUpgrade, TimeoutChange, IdleTimeoutChange,
		ExtraRoutes, SplitChange, GatewayQuota, TenantChange, LimitChange, WorkerUpgrade, UnframedResponses:
		return true
	default:
		return false
	}
}

// ScheduledFault is a fault and its time within the round.
type ScheduledFault struct {
	At    time.Duration
	Fault Fault
}

// Durations of the parts of a round.
const (
	// faultTime is the part of a round in which faults are active.
	faultTime = 5 * time.Second
	// quietTime is the part without faults. The system has to recover within recoverTime and to serve for the rest of it.
	quietTime   = 7 * time.Second
	recoverTime = 5 * time.Second
	roundTime   = faultTime + quietTime
)

// minTimeout is the shortest timeout of routes.
const minTimeout = 1500 * time.Millisecond

// maxFaults bounds the faults drawn from the main random stream of a round.
const maxFaults = 3

// drawRound returns the faults of a round. They depend on the seed, the number of the round and the size of the system alone.
func drawRound(seed uint64, number, gateways, workers, zones int) []ScheduledFault {
	crashes, areOnly := drawUnframed(seed, number, zones)
	if areOnly {
		return crashes
	}
	return combineUnframed(crashes, drawFramedRound(seed, number, gateways, workers, zones))
}

// drawFramedRound returns the faults of a round other than crashes of all workers of a service or rack.
func drawFramedRound(seed uint64, number, gateways, workers, zones int) []ScheduledFault {
	if stops := drawStops(seed, number, gateways); len(stops) > 0 {
		return stops
	}
	refusals, areOnly := drawRefusals(seed, number, gateways, workers)
	if areOnly {
		return refusals
	}
	parts, areOnly := drawCrashingPart(seed, number, gateways, workers, zones)
	parts = append(parts, refusals...)
	if areOnly {
		return parts
	}
	return append(drawOtherRound(seed, number, gateways, workers, zones), parts...)
}

// drawOtherRound returns the faults of a round other than crashing parts with what happens beside them.
func drawOtherRound(seed uint64, number, gateways, workers, zones int) []ScheduledFault {
	versions, areOnly := drawVersionChanges(seed, number, gateways, workers)
	if areOnly {
		return versions
	}
	changes, areOnly := drawChanges(seed, number, gateways, workers)
	changes = append(changes, versions...)
	if areOnly {
		return changes
	}
	return append(drawOtherFaults(seed, number, gateways, workers, zones), changes...)
}

// drawOtherFaults returns the faults of a round other than configuration changes beside signals.
func drawOtherFaults(seed uint64, number, gateways, workers, zones int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	faults, areOnly := drawPathFaults(seed, number, gateways, zones)
	if areOnly {
		return faults
	}
	kills, isOnly := drawAllGatewaysKill(seed, number)
	faults = append(faults, kills...)
	if isOnly {
		return faults
	}
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

// crashingStream is the random stream of crashing requests. It is separate so that the other faults of older seeds do not change.
const crashingStream = 1 << 32

// drawCrashing returns the crashing request of a round. One round in three has one.
func drawCrashing(seed uint64, number int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, crashingStream+uint64(number)))
	if random.IntN(3) > 0 {
		return nil
	}
	return []ScheduledFault{{At: time.Duration(random.Int64N(int64(faultTime / 2))), Fault: CrashingRequest{}}}
}

// drawFault draws one fault.
func drawFault(random *rand.Rand, gateways, workers int) Fault {
	some := func() []int {
		// Occasionally select all gateways.
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
