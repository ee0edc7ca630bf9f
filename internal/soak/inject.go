package soak

import (
	"slices"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// storeFaults and workerFaults name the faults of the stand-ins.
var (
	storeFaults = map[StoreKind]fleet.StoreFault{
		StoreRefuses: fleet.FaultRefuse, StoreSilent: fleet.FaultSilent, StoreBusy: fleet.FaultBusy,
		StoreLosesAnswer: fleet.FaultDropResponses, StoreSlow: fleet.FaultNone,
	}
	workerFaults = map[WorkerKind]fleet.WorkerFault{
		WorkerErrors: fleet.WorkerErrors, WorkerResets: fleet.WorkerResets, WorkerMute: fleet.WorkerMute,
		WorkerCuts: fleet.WorkerCuts, WorkerLapses: fleet.WorkerExpiresHandles, WorkerLate: fleet.WorkerLateOrders,
	}
)

// slowStore is the delay of a store that is slow.
const slowStore = 200 * time.Millisecond

// inject makes one thing go wrong, and notes it. Calm is set when nothing unplanned happens in the round.
func (s *system) inject(fault Fault, calm bool) {
	s.begin(fault)
	switch f := fault.(type) {
	case GatewayKill:
		for _, i := range f.Gateways {
			s.gateways[i].kill()
		}
	case GatewayPause:
		for _, i := range f.Gateways {
			s.gateways[i].signal(syscall.SIGSTOP)
		}
	case GatewayStop:
		s.background.Go(func() { s.restart(s.gateways[f.Gateway]) })
	case StoreTrouble:
		delay := time.Duration(0)
		if f.Kind == StoreSlow {
			delay = slowStore
		}
		s.fleet.Store.SetFault(storeFaults[f.Kind], delay)
	case StoreCut:
		for _, i := range f.Gateways {
			s.gateways[i].proxy.Set(f.Mode)
		}
	case GatewayUpgrade:
		s.replaceGateways(f)
	case StoreRestored:
		s.restore(f)
	case StoreCompact:
		s.fleet.Store.Compact()
	case LeaseLapse:
		s.fleet.Store.EndLeases()
	case WorkerTrouble:
		s.workers[f.Worker].current().SetFault(workerFaults[f.Kind])
	case WorkerCut:
		s.workers[f.Worker].way().Set(f.Mode)
	case WorkerReplace:
		s.background.Go(func() { s.replace(s.workers[f.Worker]) })
	case LongPrompts:
		s.longPrompts.Store(true)
	case CrashingRequest:
		s.crashing.Add(1)
		s.crashes.Store(true)
	case NewTimeout:
		s.change(calm, func() { s.timeoutMs = f.TimeoutMs })
	default:
		if s.injectNotice(fault) {
			return
		}
		s.injectSeries(fault, calm)
	}
}

// begin notes that something goes wrong.
func (s *system) begin(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, Span{Fault: fault, Begun: time.Now()})
}

// heal ends everything that goes wrong: whoever is stopped goes on, whoever is gone starts again.
func (s *system) heal() error {
	s.longPrompts.Store(false)
	s.crashes.Store(false)
	s.crowd.Store(false)
	s.front.heal()
	s.fleet.Store.SetFault(fleet.FaultNone, 0)
	for _, slot := range s.workers {
		slot.current().SetFault(fleet.WorkerGood)
		slot.way().Set(netproxy.ModePass)
	}
	for _, g := range s.gateways {
		g.proxy.Set(netproxy.ModePass)
		g.signal(syscall.SIGCONT)
	}
	s.background.Wait()
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	s.replaceChanged()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.spans {
		if s.spans[i].Ended.IsZero() {
			s.spans[i].Ended = time.Now()
		}
	}
	return nil
}

// restart stops a gateway as planned and starts it again.
func (s *system) restart(g *gatewayProcess) {
	if err := g.stop(); err == nil {
		_ = g.start()
	}
}

// replace records a worker as leaving, starts another one, and ends the first when its time is over.
func (s *system) replace(slot *workerSlot) {
	old, way := slot.current(), slot.way()
	old.Drain()
	s.mu.Lock()
	s.departures = append(s.departures, Departure{Worker: old.ID(), At: time.Now()})
	s.mu.Unlock()
	if err := s.startWorker(slot); err != nil {
		return
	}
	time.Sleep(drainTime + time.Second)
	old.Stop(false)
	way.Close()
}

// replaceChanged replaces the engines that changed their role, so that later rounds find the roles of the beginning.
func (s *system) replaceChanged() {
	for _, slot := range s.workers {
		if slot.current().Stage() != slot.options.Stage {
			s.background.Go(func() { s.replace(slot) })
		}
	}
}

// change writes a changed configuration, and measures how long it takes to be in force while all is calm.
func (s *system) change(calm bool, edit func()) {
	s.mu.Lock()
	edit()
	s.mu.Unlock()
	begun := time.Now()
	version := s.configure()
	if calm {
		s.background.Go(func() { s.measureSpread(version, begun) })
	}
}

// current returns the worker of a slot.
func (w *workerSlot) current() *fleet.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.worker.Latest()
}

// way returns the proxy before the worker of a slot.
func (w *workerSlot) way() *netproxy.Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proxy
}

// calm tells whether nothing unplanned happens in a round, and no gateway stops.
func calm(faults []Timed) bool {
	return !slices.ContainsFunc(faults, func(each Timed) bool {
		switch each.Fault.(type) {
		case GatewayStop, GatewayUpgrade:
			return true
		default:
			return !planned(each.Fault)
		}
	})
}
