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
type StoreTrouble struct{ Kind StoreKind }

// StoreCut cuts gateways off from the store.
type StoreCut struct {
	Gateways []int
	Mode     netproxy.Mode
}

// StoreCompact makes the store forget its history.
type StoreCompact struct{}

// LeaseLapse ends the leases of all gateways.
type LeaseLapse struct{}

// WorkerTrouble makes a worker misbehave.
type WorkerTrouble struct {
	Worker int
	Kind   WorkerKind
}

// WorkerCut puts a fault on the way to a worker.
type WorkerCut struct {
	Worker int
	Mode   netproxy.Mode
}

// WorkerReplace drains a worker and starts another one in its place.
type WorkerReplace struct{ Worker int }

// NewTimeout changes the time-out of all routes.
type NewTimeout struct{ TimeoutMs int }

// LongPrompts makes callers send long prompts that nobody has read, until the round heals. Engines change their role for it;
// those that did are replaced afterwards.
type LongPrompts struct{}

// CrashingRequest makes callers send one request again and again that ends each worker that runs it, until the round heals; and now and
// then for good.
type CrashingRequest struct{}

// StoreKind is how a store misbehaves.
type StoreKind string

// The kinds of trouble of a store.
const (
	StoreRefuses     StoreKind = "refuses"
	StoreSilent      StoreKind = "is silent"
	StoreBusy        StoreKind = "is busy"
	StoreLosesAnswer StoreKind = "loses answers"
	StoreSlow        StoreKind = "is slow"
)

// WorkerKind is how a worker misbehaves.
type WorkerKind string

// The kinds of trouble of a worker.
const (
	WorkerErrors WorkerKind = "answers errors"
	WorkerResets WorkerKind = "resets connections"
	WorkerMute   WorkerKind = "never answers"
	WorkerCuts   WorkerKind = "breaks answers off"
	WorkerLapses WorkerKind = "lets handles lapse"
	WorkerLate   WorkerKind = "carries orders out late"
)

func (GatewayKill) isFault()   {}
func (GatewayPause) isFault()  {}
func (GatewayStop) isFault()   {}
func (StoreTrouble) isFault()  {}
func (StoreCut) isFault()      {}
func (StoreCompact) isFault()  {}
func (LeaseLapse) isFault()    {}
func (WorkerTrouble) isFault() {}
func (WorkerCut) isFault()     {}
func (WorkerReplace) isFault() {}
func (NewTimeout) isFault()    {}
func (LongPrompts) isFault()   {}

func (CrashingRequest) isFault() {}

func (f GatewayKill) String() string  { return fmt.Sprintf("gateways %v are killed", f.Gateways) }
func (f GatewayPause) String() string { return fmt.Sprintf("gateways %v stand still", f.Gateways) }
func (f GatewayStop) String() string {
	return fmt.Sprintf("gateway %d is stopped as planned", f.Gateway)
}
func (f StoreTrouble) String() string { return fmt.Sprintf("the store %s", f.Kind) }
func (f StoreCut) String() string {
	return fmt.Sprintf("gateways %v and the store: %s", f.Gateways, f.Mode)
}
func (StoreCompact) String() string    { return "the store forgets its history" }
func (LeaseLapse) String() string      { return "the leases of all gateways end" }
func (f WorkerTrouble) String() string { return fmt.Sprintf("worker %d %s", f.Worker, f.Kind) }
func (f WorkerCut) String() string     { return fmt.Sprintf("the way to worker %d: %s", f.Worker, f.Mode) }
func (f WorkerReplace) String() string { return fmt.Sprintf("worker %d is replaced", f.Worker) }
func (f NewTimeout) String() string {
	return fmt.Sprintf("the routes get a time-out of %d ms", f.TimeoutMs)
}

func (LongPrompts) String() string     { return "callers send long prompts" }
func (CrashingRequest) String() string { return "a request ends each worker that runs it" }

// planned tells whether a fault is planned work, around which no request may be lost.
func planned(f Fault) bool {
	switch f.(type) {
	case GatewayStop, GatewayReload, WorkerReplace, WorkerSaysLeaving, WorkerLimits, GatewayUpgrade, NewTimeout, NewIdle:
		return true
	default:
		return false
	}
}

// Timed is a fault with its moment within the round.
type Timed struct {
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
const leastTimeout = 1500 * time.Millisecond

// mostFaults bounds the faults of a round.
const mostFaults = 3

// round returns the faults of one round, decided by the seed and the number of the round.
func round(seed uint64, number, gateways, workers int) []Timed {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	var faults []Timed
	for range 1 + random.IntN(mostFaults) {
		at := time.Duration(random.Int64N(int64(faultTime / 2)))
		faults = append(faults, Timed{At: at, Fault: draw(random, gateways, workers)})
	}
	faults = append(faults, crashing(seed, number)...)
	faults = append(faults, series(seed, number, gateways, workers)...)
	faults = append(faults, noticesOf(seed, number, workers)...)
	faults = append(faults, limitsOf(seed, number, workers)...)
	return append(faults, returns(seed, number)...)
}

// crashingStream is the stream of random numbers that decides about crashing requests: one of its own, so that the faults of older seeds
// stay as they were.
const crashingStream = 1 << 32

// crashing returns the crashing request of a round: one in three has one.
func crashing(seed uint64, number int) []Timed {
	random := rand.New(rand.NewPCG(seed, crashingStream+uint64(number)))
	if random.IntN(3) > 0 {
		return nil
	}
	return []Timed{{At: time.Duration(random.Int64N(int64(faultTime / 2))), Fault: CrashingRequest{}}}
}

// draw draws one fault.
func draw(random *rand.Rand, gateways, workers int) Fault {
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
		kinds := []StoreKind{StoreRefuses, StoreSilent, StoreBusy, StoreLosesAnswer, StoreSlow}
		return StoreTrouble{kinds[random.IntN(len(kinds))]}
	case 6:
		return StoreCut{some(), mode}
	case 7:
		if random.IntN(2) == 0 {
			return LeaseLapse{}
		}
		return StoreCompact{}
	case 8, 9:
		kinds := []WorkerKind{WorkerErrors, WorkerResets, WorkerMute, WorkerCuts, WorkerLapses, WorkerLate}
		return WorkerTrouble{worker, kinds[random.IntN(len(kinds))]}
	case 10:
		if random.IntN(2) == 0 {
			return WorkerCut{worker, mode}
		}
		return WorkerReplace{worker}
	case 11:
		return LongPrompts{}
	default:
		return NewTimeout{int(leastTimeout/time.Millisecond) + 100*random.IntN(10)}
	}
}
