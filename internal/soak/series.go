package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// GatewayReload makes a gateway reload its settings with SIGHUP.
type GatewayReload struct{ Gateway int }

// GatewayFreeze suspends a gateway process for a duration.
type GatewayFreeze struct {
	Gateway  int
	Duration time.Duration
}

// GatewayRestart kills a gateway and starts it again.
type GatewayRestart struct{ Gateway int }

// IdleTimeoutChange changes the idle timeout of client connections.
type IdleTimeoutChange struct{ IdleMs int }

// SilentConnections drops all further traffic on the open connections of a path. New connections work.
type SilentConnections struct {
	Path ConnPath
	// Index is that of the gateway or the worker.
	Index int
}

// ConnPath identifies the two ends of silenced connections.
type ConnPath string

// The connection paths.
const (
	PathCallers ConnPath = "callers and gateway"
	PathWorker  ConnPath = "gateways and worker"
	PathStore   ConnPath = "the store and gateway"
	PathControl ConnPath = "gateways and the control port of gateway"
)

// overloadAttempts is the number of attempts per request during an overload. It is high enough that the demand for retries
// exceeds the budget.
const overloadAttempts = 4

// Overload makes all workers refuse most requests while the load doubles.
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

// seriesStream is the random stream of fault series.
const seriesStream = 1 << 33

// seriesTime is the part of a round in which the faults of a series start.
const seriesTime = faultTime * 4 / 5

// drawSeries returns a sequence of faults of one kind, or of all kinds. Two rounds in three have one. The faults may overlap with
// each other and with other faults.
func drawSeries(seed uint64, number, gateways, workers int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, seriesStream+uint64(number)))
	if random.IntN(3) == 0 {
		return nil
	}
	kind := random.IntN(len(seriesKinds) + 1)
	count := 4 + random.IntN(4)
	var faults []ScheduledFault
	if kind == restartSeries {
		// Demand for retries starts before the first restart, to detect restarts that reset the retry budget.
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

// restartSeries is the index of the restarts in seriesKinds.
const restartSeries = 2

// seriesKinds holds the functions that draw the faults of each kind of series.
var seriesKinds = []func(random *rand.Rand, gateways, workers int) Fault{
	// Reloads and graceful restarts.
	func(random *rand.Rand, gateways, _ int) Fault {
		if random.IntN(3) == 0 {
			return GatewayStop{random.IntN(gateways)}
		}
		return GatewayReload{random.IntN(gateways)}
	},
	// Temporary suspension of processes.
	func(random *rand.Rand, gateways, _ int) Fault {
		return GatewayFreeze{random.IntN(gateways), time.Duration(100+random.IntN(1200)) * time.Millisecond}
	},
	// Restarts under a high demand for retries.
	func(random *rand.Rand, gateways, _ int) Fault {
		if random.IntN(5) == 0 {
			return Overload{}
		}
		return GatewayRestart{random.IntN(gateways)}
	},
	// Configuration changes.
	func(random *rand.Rand, _, _ int) Fault {
		if random.IntN(3) == 0 {
			return TimeoutChange{int(minTimeout/time.Millisecond) + 100*random.IntN(10)}
		}
		return IdleTimeoutChange{minIdleMs + 100*random.IntN(30)}
	},
	// Silenced connections.
	func(random *rand.Rand, gateways, workers int) Fault {
		way := []ConnPath{PathCallers, PathWorker, PathStore, PathControl}[random.IntN(4)]
		if way == PathWorker {
			return SilentConnections{way, random.IntN(workers)}
		}
		return SilentConnections{way, random.IntN(gateways)}
	},
}

// minIdleMs is the shortest idle timeout of client connections, in milliseconds. The part of it that clients leave unused exceeds
// the scheduling delays of this process on a busy machine.
const minIdleMs = 800

// injectSeries starts a fault of a series.
func (s *system) injectSeries(fault Fault) {
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

// silence silences the connections of a path.
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

// idleTimeout is an idle timeout and the time from which it was configured.
type idleTimeout struct {
	from    time.Time
	timeout time.Duration
}

// Clients reuse connections that have been idle for at most this fraction of the timeout.
const idleNumerator, idleDenominator = 4, 5

// mayReuse reports whether a connection that has been idle since a time may be reused. The shortest timeout that may have been in
// effect on any gateway since then applies.
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
