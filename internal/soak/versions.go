package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// WorkerUpgrade drains a worker and starts a successor with a software version.
type WorkerUpgrade struct {
	Worker  int
	Version string
}

// WorkerRestart ends a worker without notice and starts it again under its ID with a software version.
type WorkerRestart struct {
	Worker  int
	Version string
}

func (WorkerUpgrade) isFault() {}
func (WorkerRestart) isFault() {}

func (f WorkerUpgrade) String() string {
	return fmt.Sprintf("worker %d is replaced by one of %s", f.Worker, f.Version)
}
func (f WorkerRestart) String() string {
	return fmt.Sprintf("worker %d restarts under its id as %s", f.Worker, f.Version)
}

// softwareVersions are the versions of workers.
var softwareVersions = []string{"v1.1", "v1.2"}

const (
	// versionStream is the random stream of software versions and of clients that resume streams.
	versionStream = 1 << 40
	// initialVersionStream is the random stream of the versions at the start.
	initialVersionStream = versionStream - 1
	// firstVersionSeed is the first seed with workers of two software versions. Lower seeds reproduce their earlier schedules.
	firstVersionSeed = 13_000
)

// drawVersion draws a software version.
func drawVersion(random *rand.Rand) string {
	return softwareVersions[random.IntN(len(softwareVersions))]
}

// initialVersions returns the versions of workers at the start, or nil if the seed has none. With one seed in three they are the same.
func initialVersions(seed uint64) func() string {
	if seed < firstVersionSeed {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, initialVersionStream))
	if random.IntN(3) == 0 {
		version := drawVersion(random)
		return func() string { return version }
	}
	return func() string { return drawVersion(random) }
}

// drawVersionChanges returns the changes of software versions in a round with the signals beside them, and whether they are its only faults. Seven
// rounds in eight have some, and half of these have no other fault.
func drawVersionChanges(seed uint64, number, gateways, workers int) (faults []ScheduledFault, areOnly bool) {
	random := rand.New(rand.NewPCG(seed, versionStream+1+uint64(number)))
	variant := random.IntN(8)
	if seed < firstVersionSeed || variant == 0 {
		return nil, false
	}
	if variant%3 != 0 {
		faults = append(faults, drawRollingUpgrade(random, workers)...)
	}
	if variant%3 != 1 {
		for range 1 + random.IntN(3) {
			at := time.Duration(random.Int64N(int64(seriesTime)))
			faults = append(faults, ScheduledFault{At: at, Fault: WorkerRestart{random.IntN(workers), drawVersion(random)}})
		}
	}
	return append(faults, drawGatewaySignals(random, gateways)...), variant >= 4
}

// drawRollingUpgrade returns the replacements of some workers one after the other. Most are by the same version, and all others keep theirs.
func drawRollingUpgrade(random *rand.Rand, workers int) []ScheduledFault {
	version := drawVersion(random)
	at := time.Duration(random.Int64N(int64(faultTime / 4)))
	var faults []ScheduledFault
	for _, worker := range random.Perm(workers)[:2+random.IntN(workers/2)] {
		if random.IntN(6) == 0 {
			version = drawVersion(random)
		}
		faults = append(faults, ScheduledFault{At: min(at, seriesTime), Fault: WorkerUpgrade{worker, version}})
		at += time.Duration(100+random.IntN(400)) * time.Millisecond
	}
	return faults
}

// drawGatewaySignals returns the kills, planned stops, standstills and reloads of gateways beside changes of software versions.
func drawGatewaySignals(random *rand.Rand, gateways int) []ScheduledFault {
	var faults []ScheduledFault
	add := func(count int, draw func() Fault) {
		for range count {
			faults = append(faults, ScheduledFault{At: time.Duration(random.Int64N(int64(seriesTime))), Fault: draw()})
		}
	}
	add(random.IntN(4), func() Fault { return GatewayRestart{random.IntN(gateways)} })
	add(random.IntN(2), func() Fault { return GatewayKill{random.Perm(gateways)[:1+random.IntN(gateways/2)]} })
	add(random.IntN(3), func() Fault { return GatewayStop{random.IntN(gateways)} })
	add(random.IntN(2), func() Fault { return GatewayReload{random.IntN(gateways)} })
	add(random.IntN(2), func() Fault {
		return GatewayFreeze{random.IntN(gateways), time.Duration(100+random.IntN(1400)) * time.Millisecond}
	})
	return faults
}

// injectVersion changes the software version of a worker. It returns false for other faults.
func (s *system) injectVersion(fault Fault) bool {
	switch f := fault.(type) {
	case WorkerUpgrade:
		s.workers[f.Worker].setVersion(f.Version)
		s.background.Go(func() { s.replaceWorker(s.workers[f.Worker]) })
	case WorkerRestart:
		s.workers[f.Worker].setVersion(f.Version)
		_ = s.workers[f.Worker].currentWorker().RestartAs(f.Version)
	default:
		return false
	}
	return true
}

// setVersion sets the version of the workers that the slot starts from now on.
func (w *workerSlot) setVersion(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.options.Version = version
}

// servingEngines returns how many engines could take up a stream of a version now.
func (s *system) servingEngines(version string) int {
	engines := 0
	for _, slot := range s.workers {
		if worker := slot.currentWorker(); slot.options.Service == serviceEngine && worker.Version() == version && worker.Serves("decode") {
			engines++
		}
	}
	return engines
}

// persistence is how a client behaves whose stream breaks. It resumes the stream at another gateway, at most maxResumptions times.
type persistence struct {
	// dropAfter is the number of events after which each try loses its connection; zero if it does not.
	dropAfter [maxResumptions + 1]int
	// delays are the times until the client comes back, and choices select its gateways.
	delays  [maxResumptions]time.Duration
	choices [maxResumptions]int
}

const (
	maxResumptions = 2
	// minReturn and maxReturn bound the time after which a client comes back. Half of them do in the first eighth of the range.
	minReturn, maxReturn = 90 * time.Millisecond, 2800 * time.Millisecond
	// dropOneIn is the share of the tries of long-running streams that lose their connection, as one in N.
	dropOneIn = 3
	// longStreamOneIn is the share of long-running ones among the streams, as one in N.
	longStreamOneIn = 3
)

// drawPersistence draws how the client of a request behaves if it is a stream that breaks. It also makes some of the streams long-running.
func drawPersistence(random *rand.Rand, request *RequestRecord) persistence {
	var p persistence
	for try := range p.dropAfter {
		if drop, after := random.IntN(dropOneIn) == 0, 1+random.IntN(streamEvents/2); drop {
			p.dropAfter[try] = after
		}
	}
	for try := range p.delays {
		share := random.Float64()
		p.delays[try] = minReturn + time.Duration(share*share*share*float64(maxReturn-minReturn))
		p.choices[try] = random.IntN(maxGateways)
	}
	long := random.IntN(longStreamOneIn) == 0
	if request.Kind != KindStream || request.CrashID > 0 {
		return persistence{}
	}
	if long && !request.LongRunning && request.PartID == 0 {
		request.LongRunning = true
		request.Request.Body += " " + fleet.LongBody
	}
	return p
}

// callPersistently sends a request and records the result. A client whose stream breaks takes it up again at another gateway.
func (s *system) callPersistently(request RequestRecord, abandonAfter time.Duration, p persistence, gateways func() []string, do sendFunc) {
	if request.LongRunning && abandonAfter == 0 {
		request.Request.AbortAfter = p.dropAfter[0]
	}
	done := s.send(request, abandonAfter, do)
	s.recordRequest(done)
	if request.Kind != KindStream || request.CrashID > 0 || abandonAfter > 0 {
		return
	}
	first := done
	for try := range p.delays {
		last := done.Response.LastEventID()
		if done.Response.Err == nil || last == "" {
			return
		}
		time.Sleep(p.delays[try])
		others := without(gateways(), done.Gateway)
		if len(others) == 0 {
			return
		}
		next := resumptionOf(&first, try+1, last)
		next.Gateway = others[p.choices[try]%len(others)]
		if next.LongRunning {
			next.Request.AbortAfter = p.dropAfter[try+1]
		}
		if len(first.Response.Versions) > 0 {
			next.ServingEngines = s.servingEngines(first.Response.Versions[0])
		}
		done = s.send(next, 0, do)
		s.recordRequest(done)
	}
}

// resumptionOf returns the request that resumes a stream after its last event.
func resumptionOf(first *RequestRecord, try int, lastEvent string) RequestRecord {
	next := RequestRecord{Request: first.Request, Kind: first.Kind, PartID: first.PartID, LongRunning: first.LongRunning, Stream: first.Request.ID, Resumption: try}
	next.Request.ID = fmt.Sprintf("%s-resumed-%d", first.Request.ID, try)
	next.Request.LastEventID, next.Request.Resumes, next.Request.AbortAfter = lastEvent, first.Request.ID, 0
	var after int
	_, _ = fmt.Sscan(lastEvent, &after)
	for number := after + 1; number <= streamEvents; number++ {
		next.WantBody += fleet.Event(next.Request.ID, number)
	}
	return next
}

// without returns the gateways other than one.
func without(gateways []string, excluded string) []string {
	var others []string
	for _, gateway := range gateways {
		if gateway != excluded {
			others = append(others, gateway)
		}
	}
	return others
}
