package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// GatewayReload sends a gateway the signal with which it reads its settings again.
type GatewayReload struct{ Gateway int }

// GatewayFreeze stops a gateway where it stands for a time.
type GatewayFreeze struct {
	Gateway  int
	Duration time.Duration
}

// GatewayRestart ends a gateway at once and starts it again.
type GatewayRestart struct{ Gateway int }

// NewIdle changes how long connections of callers may rest.
type IdleTimeoutChange struct{ IdleMs int }

// GoneSilent makes the connections that are there go silent for good, while new ones work.
type SilentConnections struct {
	Path ConnPath
	// Index of the gateway, or of the worker.
	Index int
}

// Way is between whom connections go silent.
type ConnPath string

// The ways on which connections go silent.
const (
	PathCallers ConnPath = "callers and gateway"
	PathWorker  ConnPath = "gateways and worker"
	PathStore   ConnPath = "the store and gateway"
	PathControl ConnPath = "gateways and the control port of gateway"
)

// sheddingAttempts is how often a request may be tried once workers have turned most away: more repeats are wanted than there are.
const overloadAttempts = 4

// Shedding makes all workers turn most requests away, while twice as many come.
type Overload struct{}

func (GatewayReload) isFault()     {}
func (GatewayFreeze) isFault()     {}
func (GatewayRestart) isFault()    {}
func (IdleTimeoutChange) isFault() {}
func (SilentConnections) isFault() {}
func (Overload) isFault()          {}

func (f GatewayReload) String() string {
	return fmt.Sprintf("gateway %d reads its settings", f.Gateway)
}
func (f GatewayFreeze) String() string {
	return fmt.Sprintf("gateway %d stands still for %s", f.Gateway, f.Duration)
}
func (f GatewayRestart) String() string {
	return fmt.Sprintf("gateway %d is killed and starts", f.Gateway)
}
func (f IdleTimeoutChange) String() string {
	return fmt.Sprintf("connections may rest for %d ms", f.IdleMs)
}
func (f SilentConnections) String() string {
	return fmt.Sprintf("connections between %s %d go silent for good", f.Path, f.Index)
}
func (Overload) String() string { return "all workers turn most requests away from a crowd" }

// seriesStream is the stream of random numbers that decides about series, beside that of the crashing requests.
const seriesStream = 1 << 33

// seriesTime is the part of a round in which the faults of a series begin.
const seriesTime = faultTime * 4 / 5

// series returns faults of one kind that follow on each other within a round, or of all kinds: two rounds in three have some. They overlap
// with each other and with the other faults of the round.
func drawSeries(seed uint64, number, gateways, workers int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, seriesStream+uint64(number)))
	if random.IntN(3) == 0 {
		return nil
	}
	kind := random.IntN(len(seriesKinds) + 1)
	count := 4 + random.IntN(4)
	var faults []ScheduledFault
	if kind == restartSeries {
		// Repeats are wanted from the first restart on, and each restart grants some anew if anything does.
		count *= 2
		faults = append(faults, ScheduledFault{Fault: Overload{}})
	}
	for range count {
		draw := seriesKinds[random.IntN(len(seriesKinds))]
		if kind < len(seriesKinds) {
			draw = seriesKinds[kind]
		}
		faults = append(faults, ScheduledFault{At: time.Duration(random.Int64N(int64(seriesTime))), Fault: draw(random, gateways, workers)})
	}
	return faults
}

// restartKind is the number of the series of restarts.
const restartSeries = 2

// seriesKinds draw the faults of each kind of series.
var seriesKinds = []func(random *rand.Rand, gateways, workers int) Fault{
	// Signals.
	func(random *rand.Rand, gateways, _ int) Fault {
		if random.IntN(3) == 0 {
			return GatewayStop{random.IntN(gateways)}
		}
		return GatewayReload{random.IntN(gateways)}
	},
	// Pauses.
	func(random *rand.Rand, gateways, _ int) Fault {
		return GatewayFreeze{random.IntN(gateways), time.Duration(100+random.IntN(1200)) * time.Millisecond}
	},
	// Restarts while repeats are wanted.
	func(random *rand.Rand, gateways, _ int) Fault {
		if random.IntN(5) == 0 {
			return Overload{}
		}
		return GatewayRestart{random.IntN(gateways)}
	},
	// Configurations.
	func(random *rand.Rand, _, _ int) Fault {
		if random.IntN(3) == 0 {
			return TimeoutChange{int(minTimeout/time.Millisecond) + 100*random.IntN(10)}
		}
		return IdleTimeoutChange{minIdleMs + 100*random.IntN(30)}
	},
	// Silence.
	func(random *rand.Rand, gateways, workers int) Fault {
		way := []ConnPath{PathCallers, PathWorker, PathStore, PathControl}[random.IntN(4)]
		if way == PathWorker {
			return SilentConnections{way, random.IntN(workers)}
		}
		return SilentConnections{way, random.IntN(gateways)}
	},
}

// leastIdle is the shortest time in milliseconds for which connections of callers may rest: its fifth part is more than the callers of
// this program are held up on a busy machine.
const minIdleMs = 800

// injectSeries makes one thing of a series go wrong.
func (s *system) injectSeries(fault Fault, calm bool) {
	switch f := fault.(type) {
	case GatewayReload:
		s.gateways[f.Gateway].reload()
	case GatewayFreeze:
		g := s.gateways[f.Gateway]
		g.signal(syscall.SIGSTOP)
		s.background.Go(func() {
			time.Sleep(f.Duration)
			g.signal(syscall.SIGCONT)
		})
	case GatewayRestart:
		s.background.Go(func() {
			s.gateways[f.Gateway].kill()
			_ = s.gateways[f.Gateway].start()
		})
	case IdleTimeoutChange:
		s.changeConfiguration(calm, func() {
			s.idleMs = f.IdleMs
			s.idleTimeouts = append(s.idleTimeouts, idleTimeout{time.Now(), time.Duration(f.IdleMs) * time.Millisecond})
		})
	case SilentConnections:
		s.silence(f)
	case Overload:
		s.doubleLoad.Store(true)
		s.changeConfiguration(false, func() { s.attempts = overloadAttempts })
		for _, slot := range s.workers {
			slot.currentWorker().SetFault(fleet.WorkerSheds)
		}
	}
}

// silence makes the connections of one way go silent.
func (s *system) silence(f SilentConnections) {
	switch f.Path {
	case PathCallers:
		s.dialer.silence(s.gateways[f.Index].callers)
	case PathWorker:
		s.workers[f.Index].currentProxy().Silence()
	case PathStore:
		s.gateways[f.Index].storeProxy.Silence()
	case PathControl:
		s.gateways[f.Index].controlProxy.Silence()
	}
}

// idleBound is how long connections may rest from a moment on.
type idleTimeout struct {
	from    time.Time
	timeout time.Duration
}

// Callers take up connections that have rested for so much of the bound at the most.
const idleNumerator, idleDenominator = 4, 5

// mayRest tells whether a connection that rests since a moment may be taken up: the least bound counts that may have been in force at
// some gateway since.
func (s *system) mayReuse(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := fleet.DefaultIdle
	for i, each := range s.idleTimeouts {
		if i+1 < len(s.idleTimeouts) && s.idleTimeouts[i+1].from.Add(maxConfigDelay).Before(since) {
			continue
		}
		least = min(least, each.timeout)
	}
	return time.Since(since) <= least*idleNumerator/idleDenominator
}
