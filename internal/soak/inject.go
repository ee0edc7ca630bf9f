package soak

import (
	"slices"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// storeFaults and workerFaults map the faults of a schedule to those of the simulated components.
var (
	storeFaults = map[StoreFaultKind]fleet.StoreFault{
		StoreRefusing: fleet.FaultRefuse, StoreSilent: fleet.FaultSilent, StoreBusy: fleet.FaultBusy,
		StoreDroppingResponses: fleet.FaultDropResponses, StoreSlow: fleet.FaultNone,
	}
	workerFaults = map[WorkerFaultKind]fleet.WorkerFault{
		WorkerErrors: fleet.WorkerErrors, WorkerResets: fleet.WorkerResets, WorkerMute: fleet.WorkerMute,
		WorkerCuts: fleet.WorkerCuts, WorkerExpiresHandles: fleet.WorkerExpiresHandles, WorkerLateOrders: fleet.WorkerLateOrders,
	}
)

// slowStoreDelay is the delay of each call to a slow store.
const slowStoreDelay = 200 * time.Millisecond

// injectFault starts a fault and records it. The round is calm if it contains no unplanned fault and no gateway stop.
func (s *system) injectFault(fault Fault, calm bool) {
	s.recordFault(fault)
	switch f := fault.(type) {
	case GatewayKill:
		for _, i := range f.Gateways {
			s.gateways[i].kill()
		}
	case AllGatewaysKill:
		s.killAllGateways(f)
	case GatewayPause:
		for _, i := range f.Gateways {
			s.gateways[i].signal(syscall.SIGSTOP)
		}
	case GatewayStop:
		s.background.Go(func() { s.restartGateway(s.gateways[f.Gateway]) })
	case StoreFault:
		delay := time.Duration(0)
		if f.Kind == StoreSlow {
			delay = slowStoreDelay
		}
		s.fleet.Store.SetFault(storeFaults[f.Kind], delay)
	case StoreNetworkFault:
		for _, i := range f.Gateways {
			s.gateways[i].storeProxy.Set(f.Mode)
		}
	case GatewayUpgrade:
		s.replaceGateways(f)
	case StoreRestore:
		s.restoreStore(f)
	case StoreCompaction:
		s.fleet.Store.Compact()
	case LeaseExpiry:
		s.fleet.Store.ExpireLeases()
	case WorkerFault:
		s.workers[f.Worker].currentWorker().SetFault(workerFaults[f.Kind])
	case WorkerNetworkFault:
		s.workers[f.Worker].currentProxy().Set(f.Mode)
	case PathFault:
		s.cutPaths(f)
	case WorkerReplacement:
		s.background.Go(func() { s.replaceWorker(s.workers[f.Worker]) })
	case LongPrompts:
		s.longPrompts.Store(true)
	case CrashingRequest:
		s.crashingCount.Add(1)
		s.sendCrashing.Store(true)
	case CrashingPart:
		s.crashingPart.Store(&f)
	default:
		if s.injectNotice(fault) || s.injectChange(fault, calm) || s.injectVersion(fault) || s.injectRefusals(fault) || s.injectQuota(fault) || s.injectUnframed(fault) {
			return
		}
		s.injectSeries(fault)
	}
}

// recordFault records the start of a fault.
func (s *system) recordFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, Span{Fault: fault, Begun: time.Now()})
}

// heal ends all faults: it resumes paused processes and restarts stopped ones.
func (s *system) heal() error {
	s.longPrompts.Store(false)
	s.sendCrashing.Store(false)
	s.doubleLoad.Store(false)
	s.endPathFaults()
	s.dialer.dropSilent()
	s.fleet.Store.SetFault(fleet.FaultNone, 0)
	for _, slot := range s.workers {
		slot.currentWorker().SetFault(fleet.WorkerGood)
		slot.currentWorker().SetRefusals(fleet.RefusesOnce)
		slot.currentProxy().Set(netproxy.ModePass)
	}
	for _, g := range s.gateways {
		g.storeProxy.Set(netproxy.ModePass)
		g.signal(syscall.SIGCONT)
	}
	s.background.Wait()
	s.setUnframed(false)
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	s.restoreRoles()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.spans {
		// Requests with a crashing part come until the end of the round.
		if _, isPart := s.spans[i].Fault.(CrashingPart); s.spans[i].Ended.IsZero() && !isPart {
			s.spans[i].Ended = time.Now()
		}
	}
	return nil
}

// restartGateway shuts a gateway down gracefully and starts it again.
func (s *system) restartGateway(g *gatewayProcess) {
	if err := g.stop(); err == nil {
		_ = g.start()
	}
}

// replaceWorker drains a worker, starts a successor, and stops the worker after the drain time.
func (s *system) replaceWorker(slot *workerSlot) {
	old, proxy := slot.currentWorker(), slot.currentProxy()
	old.Drain()
	s.mu.Lock()
	s.departures = append(s.departures, Departure{Worker: old.ID(), At: time.Now()})
	s.mu.Unlock()
	if err := s.startWorker(slot); err != nil {
		return
	}
	time.Sleep(drainTime + time.Second)
	old.Stop(false)
	proxy.Close()
}

// restoreRoles replaces the engines that have changed their role, so that later rounds start with the initial roles.
func (s *system) restoreRoles() {
	for _, slot := range s.workers {
		if slot.currentWorker().Stage() != slot.options.Stage {
			s.background.Go(func() { s.replaceWorker(slot) })
		}
	}
}

// changeConfiguration writes a modified configuration. In a calm round, it measures the time until the change is in effect.
func (s *system) changeConfiguration(measure bool, edit func()) {
	s.mu.Lock()
	edit()
	s.mu.Unlock()
	start := time.Now()
	version := s.configure()
	if measure {
		s.background.Go(func() { s.measureConfigDelay(version, start) })
	}
}

// currentWorker returns the worker of a slot.
func (w *workerSlot) currentWorker() *fleet.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.worker.Latest()
}

// currentProxy returns the proxy in front of the worker of a slot.
func (w *workerSlot) currentProxy() *netproxy.Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proxy
}

// isCalm reports whether a round contains no unplanned fault and no gateway stop.
func isCalm(faults []ScheduledFault) bool {
	return !slices.ContainsFunc(faults, func(each ScheduledFault) bool {
		switch each.Fault.(type) {
		case GatewayStop, GatewayUpgrade:
			return true
		default:
			return !isPlanned(each.Fault)
		}
	})
}
