package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// ExtraRoutes sets the number of routes beside the basic ones: it adds or removes the others.
type ExtraRoutes struct{ Count int }

// SplitChange changes the weights of the services of plain requests.
type SplitChange struct{ First, Second int }

// TenantChange changes the tenants and their keys. Without any, callers need no key.
type TenantChange struct {
	Count int
	// Number tells the names and keys of one change from those of others. The key of the callers stays valid.
	Number int
}

// LimitChange changes the limits of requests and connections.
type LimitChange struct{ HeaderMs, MaxBodyBytes, MaxConnections int }

func (ExtraRoutes) isFault()  {}
func (SplitChange) isFault()  {}
func (TenantChange) isFault() {}
func (LimitChange) isFault()  {}

func (f ExtraRoutes) String() string { return fmt.Sprintf("%d routes beside the basic ones", f.Count) }
func (f SplitChange) String() string {
	return fmt.Sprintf("plain requests are split %d to %d", f.First, f.Second)
}
func (f TenantChange) String() string { return fmt.Sprintf("%d other tenants", f.Count) }
func (f LimitChange) String() string {
	return fmt.Sprintf("heads may take %d ms, bodies %d bytes, workers %d connections", f.HeaderMs, f.MaxBodyBytes, f.MaxConnections)
}

const (
	// changeStream is the random stream of configuration changes beside signals.
	changeStream = 1 << 39
	// firstChangeSeed is the first seed with configuration changes beside signals. Lower seeds reproduce their earlier schedules.
	firstChangeSeed = 12_000
)

// Limits of the changes that are drawn.
const (
	// changeTime is the part of a round in which changes are made.
	changeTime = faultTime * 9 / 10
	// maxExtraRoutes bounds the routes of an ordinary change; largeConfiguration is the number of routes of a large one.
	maxExtraRoutes, largeConfiguration = 12, 1500
	// maxOtherTenants bounds the tenants that have nothing to do with the callers.
	maxOtherTenants = 20
	minHeaderMs     = 800
	// minBodyBytes exceeds the body of each request, and minConnections the connections that a worker needs.
	minBodyBytes, minConnections = 64 << 10, 300
)

// changeKinds holds the functions that draw a configuration change of each kind.
var changeKinds = []func(random *rand.Rand) Fault{
	func(random *rand.Rand) Fault {
		return TimeoutChange{int(minTimeout/time.Millisecond) + 100*random.IntN(10)}
	},
	func(random *rand.Rand) Fault { return IdleTimeoutChange{minIdleMs + 100*random.IntN(12)} },
	func(random *rand.Rand) Fault { return ExtraRoutes{random.IntN(maxExtraRoutes)} },
	func(random *rand.Rand) Fault { return SplitChange{1 + random.IntN(9), random.IntN(10)} },
	func(random *rand.Rand) Fault { return TenantChange{random.IntN(maxOtherTenants), random.IntN(1000)} },
	func(random *rand.Rand) Fault {
		return LimitChange{minHeaderMs + 100*random.IntN(12), minBodyBytes << random.IntN(6), minConnections + random.IntN(700)}
	},
	func(*rand.Rand) Fault { return ExtraRoutes{largeConfiguration} },
}

// drawChanges returns the configuration changes of a round with the signals beside them, and whether they are its only faults. Seven rounds
// in eight have some, and most of these have no other fault.
func drawChanges(seed uint64, number, gateways, workers int) (faults []ScheduledFault, areOnly bool) {
	random := rand.New(rand.NewPCG(seed, changeStream+uint64(number)))
	variant := random.IntN(8)
	if seed < firstChangeSeed || variant == 0 {
		return nil, false
	}
	changes := drawChangeTimes(random)
	kind := random.IntN(2 * len(changeKinds))
	for _, at := range changes {
		draw := changeKinds[random.IntN(len(changeKinds))]
		// Half of the rounds have changes of one kind.
		if kind < len(changeKinds) {
			draw = changeKinds[kind]
		}
		faults = append(faults, ScheduledFault{At: at, Fault: draw(random)})
	}
	return append(faults, drawSignals(random, changes, gateways, workers)...), variant > 2
}

// drawSignals returns what happens beside the changes: reloads and planned stops of gateways, quotas that workers name, and standstills.
// About half of the signals go to the same gateway, so that it gets several of them at a time.
func drawSignals(random *rand.Rand, changes []time.Duration, gateways, workers int) []ScheduledFault {
	focus := random.IntN(gateways)
	gateway := func() int {
		if random.IntN(2) == 0 {
			return focus
		}
		return random.IntN(gateways)
	}
	beside := func() time.Duration { return drawBeside(random, changes) }
	var faults []ScheduledFault
	for range random.IntN(4) {
		faults = append(faults, ScheduledFault{At: beside(), Fault: GatewayReload{gateway()}})
	}
	for range random.IntN(3) {
		faults = append(faults, ScheduledFault{At: beside(), Fault: GatewayStop{gateway()}})
	}
	for range max(0, random.IntN(5)-2) {
		rate := func() float64 { return []float64{1.1, 5.4, 20}[random.IntN(3)] }
		duration := time.Duration(1000+random.IntN(4000)) * time.Millisecond
		faults = append(faults, ScheduledFault{At: beside(), Fault: WorkerLimitNotice{random.IntN(workers), rate(), rate(), duration}})
	}
	return append(faults, drawStandstills(random, gateways, gateway, beside)...)
}

// drawChangeTimes returns when the configuration changes: some single times, or a storm.
func drawChangeTimes(random *rand.Rand) []time.Duration {
	var times []time.Duration
	if random.IntN(3) > 0 {
		for range 3 + random.IntN(6) {
			times = append(times, time.Duration(random.Int64N(int64(changeTime))))
		}
		return times
	}
	at := time.Duration(random.Int64N(int64(faultTime / 4)))
	for at < changeTime {
		times = append(times, at)
		at += time.Duration(100+random.IntN(200)) * time.Millisecond
	}
	return times
}

// besideTime bounds the time between a change and a signal beside it.
const besideTime = 120 * time.Millisecond

// drawBeside returns a time just before or after one of the changes.
func drawBeside(random *rand.Rand, changes []time.Duration) time.Duration {
	at := changes[random.IntN(len(changes))] + time.Duration(random.Int64N(int64(besideTime))) - besideTime/2
	return min(max(at, 0), faultTime-1)
}

// drawStandstills returns the standstills of a round: none, one, several gateways at once, or a series.
func drawStandstills(random *rand.Rand, gateways int, gateway func() int, beside func() time.Duration) []ScheduledFault {
	drawDuration := func(longest int) time.Duration { return time.Duration(100+random.IntN(longest-100)) * time.Millisecond }
	var faults []ScheduledFault
	switch random.IntN(4) {
	case 0:
	case 1:
		faults = append(faults, ScheduledFault{At: beside(), Fault: GatewayFreeze{gateway(), drawDuration(3000)}})
	case 2:
		at, duration := beside(), drawDuration(3000)
		for _, each := range random.Perm(gateways)[:2+random.IntN(gateways-1)] {
			faults = append(faults, ScheduledFault{At: at, Fault: GatewayFreeze{each, duration}})
		}
	default:
		for range 3 + random.IntN(6) {
			faults = append(faults, ScheduledFault{At: beside(), Fault: GatewayFreeze{gateway(), drawDuration(800)}})
		}
	}
	return faults
}

// injectChange changes the configuration. It returns false for other faults.
func (s *system) injectChange(fault Fault, calm bool) bool {
	var edit func()
	switch f := fault.(type) {
	case TimeoutChange:
		edit = func() { s.timeoutMs = f.TimeoutMs }
	case IdleTimeoutChange:
		edit = func() { s.setIdle(f.IdleMs) }
	case ExtraRoutes:
		edit = func() { s.variable.extraRoutes = f.Count }
	case SplitChange:
		edit = func() { s.variable.split = f }
	case TenantChange:
		edit = func() { s.variable.tenants = f }
	case LimitChange:
		edit = func() { s.variable.limits = f }
	default:
		return false
	}
	s.changeConfiguration(calm, edit)
	return true
}
