package forward

import (
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/retrybudget"
)

// Times of a simulated fleet.
const (
	simStep = 50 * time.Millisecond
	// simLease is the lease time of a registration, simRenewal its renewal interval, and simStartup the startup time of a process.
	simLease   = 3 * time.Second
	simRenewal = time.Second
	simStartup = 300 * time.Millisecond
	simGroup   = "model"
	// simFirstStartPeriod is the time after the first registration during which processes count as started with the whole system.
	simFirstStartPeriod = time.Second
)

// simBudget is the budget of all gateways together.
var simBudget = retrybudget.Settings{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second, Safety: retrybudget.DefaultSafety}

// simRegistrations is a state of the registrations in the store, valid from at.
type simRegistrations struct {
	at         time.Duration
	registered []int
}

// simFleet simulates gateways that run the actual retry budgets and learn the registrations from the store with a delay.
type simFleet struct {
	t simFailer
	// now is the time since the start, including suspended time.
	now        time.Duration
	machines   []*simMachine
	entryCount int
	// load is the number of requests a second of all callers, and retriesPerRequest the number of retries that each request asks for.
	load              float64
	retriesPerRequest int
	// firstStart is set if the processes start with the whole system.
	firstStart    bool
	registrations []simRegistrations
	// grants and requests are the times of all granted retries and all requests, in order.
	grants, requests []time.Duration
}

// simFailer is a *testing.T or a *rapid.T.
type simFailer interface {
	Fatalf(format string, args ...any)
}

// simMachine is a machine with the gateway process on it.
type simMachine struct {
	process *simProcess
	// leaseEnds is when the registration expires.
	leaseEnds time.Duration
	// startsAt is when a process starts; negative for never.
	startsAt time.Duration
	// clockOffset is the offset of the wall clock.
	clockOffset time.Duration
	// storeDelay is the delay of updates from the store.
	storeDelay time.Duration
	// partitioned machines reach neither the store nor other gateways.
	// suspended machines run nothing.
	// On machines with watchStalled, the store's watch delivers nothing although the registration is renewed.
	partitioned, suspended, watchStalled bool
	dueRequests                          float64
}

// simProcess is one run of a gateway process.
type simProcess struct {
	dispatcher *Dispatcher
	renewedAt  time.Duration
	// seen is the index of the last registrations received; negative if none. registeredSince is when this process first saw its own
	// registration; negative if it has not.
	seen            int
	registeredSince time.Duration
	// isNew is set if the process started with the whole system.
	isNew bool
}

// newSimFleet returns a fleet that starts at time zero. At most the given number of entry gateways receive requests; zero means all.
func newSimFleet(t simFailer, gateways, entries int, load float64, retriesPerRequest int) *simFleet {
	f := &simFleet{t: t, entryCount: entries, load: load, retriesPerRequest: retriesPerRequest, registrations: []simRegistrations{{}}}
	for range gateways {
		f.add(200 * time.Millisecond)
	}
	return f
}

// add adds a machine.
func (f *simFleet) add(storeDelay time.Duration) {
	f.machines = append(f.machines, &simMachine{startsAt: f.now + simStartup, storeDelay: storeDelay})
}

// run advances the simulation to a time.
func (f *simFleet) run(until time.Duration) {
	for f.now < until {
		f.now += simStep
		f.startProcesses()
		f.serveRequests()
		f.renewRegistrations()
		f.deliverRegistrations()
	}
}

// startProcesses starts the processes that are due.
func (f *simFleet) startProcesses() {
	for _, machine := range f.machines {
		if machine.startsAt < 0 || machine.startsAt > f.now || machine.process != nil {
			continue
		}
		settings := DefaultDispatchSettings()
		settings.Budget = simBudget
		machine.process = &simProcess{dispatcher: newSimDispatcher(f, machine, settings), renewedAt: -simRenewal, seen: -1, registeredSince: -1}
		machine.startsAt = -1
	}
}

// serving returns the machines that receive requests: the first running ones, up to the number of entries.
func (f *simFleet) serving() []*simMachine {
	running := slices.DeleteFunc(slices.Clone(f.machines), func(machine *simMachine) bool { return machine.process == nil || machine.suspended })
	if f.entryCount > 0 && len(running) > f.entryCount {
		running = running[:f.entryCount]
	}
	return running
}

// serveRequests simulates the requests of one step, and their retries.
func (f *simFleet) serveRequests() {
	serving := f.serving()
	for _, machine := range serving {
		machine.dueRequests += f.load * simStep.Seconds() / float64(len(serving))
		for ; machine.dueRequests >= 1; machine.dueRequests-- {
			f.requests = append(f.requests, f.now)
			machine.process.dispatcher.CountRequest(simGroup)
			for range f.retriesPerRequest {
				if machine.process.dispatcher.RetryBudget(simGroup).takeRetry() {
					f.grants = append(f.grants, f.now)
				}
			}
		}
	}
}

// renewRegistrations renews the registrations of machines that reach the store and expires the others.
func (f *simFleet) renewRegistrations() {
	for _, machine := range f.machines {
		if machine.process != nil && !machine.suspended && !machine.partitioned && f.now-machine.process.renewedAt >= simRenewal {
			machine.leaseEnds, machine.process.renewedAt = f.now+simLease, f.now
		}
	}
	var registered []int
	for i, machine := range f.machines {
		if machine.leaseEnds > f.now {
			registered = append(registered, i)
		}
	}
	if last := f.registrations[len(f.registrations)-1]; !slices.Equal(last.registered, registered) {
		f.registrations = append(f.registrations, simRegistrations{at: f.now, registered: registered})
	}
}

// deliverRegistrations delivers the registrations to the gateways with the delay of each machine.
func (f *simFleet) deliverRegistrations() {
	for _, machine := range f.machines {
		if machine.process == nil || machine.suspended || machine.partitioned || machine.watchStalled {
			continue
		}
		seen := sort.Search(len(f.registrations), func(k int) bool { return f.registrations[k].at > f.now-machine.storeDelay }) - 1
		if seen < max(machine.process.seen, 0) {
			continue
		}
		if seen > machine.process.seen {
			f.applyRegistrations(machine, seen)
		}
		if machine.process.registeredSince >= 0 && f.now-machine.storeDelay >= machine.process.registeredSince {
			confirm := machine.process.dispatcher.ConfirmShare
			if f.firstStart && machine.process.isNew {
				confirm = machine.process.dispatcher.ConfirmFirstStart
			}
			confirm(simEpoch.Add(f.now - machine.storeDelay))
		}
	}
}

// applyRegistrations sets the number of gateways at a gateway that has received registrations up to the given index.
func (f *simFleet) applyRegistrations(machine *simMachine, seen int) {
	i := slices.Index(f.machines, machine)
	for k := machine.process.seen + 1; k <= seen; k++ {
		switch listed := slices.Contains(f.registrations[k].registered, i); {
		case !listed:
			machine.process.registeredSince = -1
		case machine.process.registeredSince < 0:
			machine.process.registeredSince = f.now
		}
	}
	if machine.process.seen < 0 {
		machine.process.isNew = len(f.registrations) < 2 || f.now-machine.storeDelay < f.registrations[1].at+simFirstStartPeriod
	}
	machine.process.seen = seen
	registered := slices.Clone(f.registrations[seen].registered)
	if !slices.Contains(registered, i) {
		registered = append(registered, i)
		slices.Sort(registered)
	}
	serving, entries := len(registered), len(registered)
	if f.entryCount > 0 {
		entries = min(f.entryCount, serving)
	}
	isStandby := slices.Index(registered, i) >= entries
	machine.process.dispatcher.SetGatewayCount(retrybudget.EffectiveGatewayCount(isStandby, entries, serving))
}

// countWithin counts the times in [from, to).
func countWithin(times []time.Duration, from, to time.Duration) int {
	return sort.Search(len(times), func(i int) bool { return times[i] >= to }) -
		sort.Search(len(times), func(i int) bool { return times[i] >= from })
}

// check fails if all gateways together granted more retries in some window than the requests and the allowance permit. The number of
// requests is the largest of those in the window, in the previous one, and in the one shifted by half a window.
func (f *simFleet) check() {
	window := simBudget.Window
	for i, from := range f.grants {
		if i > 0 && f.grants[i-1] == from {
			continue
		}
		granted := countWithin(f.grants, from, from+window)
		requests := max(countWithin(f.requests, from, from+window), countWithin(f.requests, from-window, from),
			countWithin(f.requests, from-window/2, from+window/2))
		if allowed := simBudget.Ratio*float64(requests) + simBudget.Allowance; float64(granted) > allowed {
			f.t.Fatalf("%d retries of all gateways in the window from %s, for %d requests; want at most %.0f", granted, from, requests, allowed)
		}
	}
}

// checkAccrued fails if all gateways together granted more retries in some window than they can accrue. It is stricter than check:
// it counts only requests whose retries can still be in the budget.
func (f *simFleet) checkAccrued() {
	window := simBudget.Window
	for i, from := range f.grants {
		if i > 0 && f.grants[i-1] == from {
			continue
		}
		granted, requests := countWithin(f.grants, from, from+window), countWithin(f.requests, from-window*simCarryoverPercent/100, from+window)
		if accrued := simBudget.Safety * (simBudget.Ratio*float64(requests) + simBudget.Allowance); float64(granted) > accrued+simRoundingError {
			f.t.Fatalf("%d retries of all gateways in the window from %s, for %d requests; accrued %.1f", granted, from, requests, accrued)
		}
	}
}

const (
	// simRoundingError is the tolerance for sums of fractions.
	simRoundingError = 1e-6
	// simCarryoverPercent is the part of a window for which a budget carries over what requests accrued, in percent.
	simCarryoverPercent = 20
)

// kill ends the process on a machine.
func (m *simMachine) kill() { m.process, m.startsAt = nil, -1 }

// forEachMachine applies a function to machines.
func forEachMachine(machines []*simMachine, apply func(*simMachine)) {
	for _, machine := range machines {
		apply(machine)
	}
}

// TestSimulationDetectsExcessRetries guards against a check that detects no violation.
func TestSimulationDetectsExcessRetries(t *testing.T) {
	failed := &recordingFailer{}
	f := &simFleet{t: failed, grants: slices.Repeat([]time.Duration{time.Second}, 55)}
	f.check()
	if !failed.failed {
		t.Error("55 retries without a request are accepted")
	}
}

// recordingFailer records that a check failed.
type recordingFailer struct{ failed bool }

// Fatalf implements simFailer.
func (r *recordingFailer) Fatalf(string, ...any) { r.failed = true }
