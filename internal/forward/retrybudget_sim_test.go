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
	// simLease is that of a registration, simRenewal how often it is renewed, and simBoot how long a process takes to begin.
	simLease   = 3 * time.Second
	simRenewal = time.Second
	simStartup = 300 * time.Millisecond
	simGroup   = "model"
	// simOrders is how long after the first registration somebody gives orders, so that the fleet is not new any more.
	simFirstOrders = time.Second
)

// simBudget is the bound of all together; the share that is spent is that of a gateway.
var simBudget = retrybudget.Settings{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second, Safety: retrybudget.DefaultSafety}

// simTruth is what the store holds from a moment on.
type simRegistrations struct {
	at         time.Duration
	registered []int
}

// simFleet is a fleet of gateways of which each runs the real code of the budgets, and sees the others as the store has them, late.
type simFleet struct {
	t simFailer
	// now is the time since the start of the play, with the machines asleep or not.
	now      time.Duration
	machines []*simMachine
	entries  int
	// load is of all callers together, in requests a second, and wished how many repeats each request asks for.
	load              float64
	retriesPerRequest int
	// firstStart is set when each process is told that the whole system starts for the first time.
	firstStart    bool
	registrations []simRegistrations
	// grants and requests of all, in their order.
	grants, requests []time.Duration
}

// simFailer is a test, or one run of a property.
type simFailer interface {
	Fatalf(format string, args ...any)
}

// simSlot is one machine with one name, and the process on it.
type simMachine struct {
	process *simProcess
	// leaseEnds is when the registration lapses.
	leaseEnds time.Duration
	// startsAt is when a process begins; negative for never.
	startsAt time.Duration
	// ahead is how far the time of day is ahead.
	clockOffset time.Duration
	// late is how long the store's changes take to get here.
	storeDelay time.Duration
	// cut is set while the store and the others are out of reach, frozen while nothing runs, and hung while the watch of the store is
	// silent and registrations are renewed.
	partitioned, frozen, watchStalled bool
	dueRequests                       float64
}

// simProcess is one life of a gateway.
type simProcess struct {
	dispatcher *Dispatcher
	renewedAt  time.Duration
	// seen is the part of the truth that is known; negative when nothing is. Own is since when the own registration has been seen in it.
	seen            int
	registeredSince time.Duration
	// isNew is set when nobody had given orders in the first that was seen.
	isNew bool
}

// newSimFleet returns a fleet that starts at zero, of which so many take requests.
func newSimFleet(t simFailer, gateways, entries int, load float64, retriesPerRequest int) *simFleet {
	f := &simFleet{t: t, entries: entries, load: load, retriesPerRequest: retriesPerRequest, registrations: []simRegistrations{{}}}
	for range gateways {
		f.add(200 * time.Millisecond)
	}
	return f
}

// add puts one more machine into the fleet.
func (f *simFleet) add(storeDelay time.Duration) {
	f.machines = append(f.machines, &simMachine{startsAt: f.now + simStartup, storeDelay: storeDelay})
}

// run plays until a moment.
func (f *simFleet) run(until time.Duration) {
	for f.now < until {
		f.now += simStep
		f.startProcesses()
		f.serveRequests()
		f.renewRegistrations()
		f.deliverRegistrations()
	}
}

// begin starts the processes that are due.
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

// serving returns the machines that callers reach: the first ones that run, as many as there are entries.
func (f *simFleet) serving() []*simMachine {
	running := slices.DeleteFunc(slices.Clone(f.machines), func(machine *simMachine) bool { return machine.process == nil || machine.frozen })
	if f.entries > 0 && len(running) > f.entries {
		running = running[:f.entries]
	}
	return running
}

// serve has callers ask, and each request ask for repeats.
func (f *simFleet) serveRequests() {
	serving := f.serving()
	for _, machine := range serving {
		machine.dueRequests += f.load * simStep.Seconds() / float64(len(serving))
		for ; machine.dueRequests >= 1; machine.dueRequests-- {
			f.requests = append(f.requests, f.now)
			machine.process.dispatcher.CountRequest(simGroup)
			for range f.retriesPerRequest {
				if machine.process.dispatcher.RetryBudget(simGroup).spend() {
					f.grants = append(f.grants, f.now)
				}
			}
		}
	}
}

// renew renews the registrations of those that reach the store, and lets others lapse.
func (f *simFleet) renewRegistrations() {
	for _, machine := range f.machines {
		if machine.process != nil && !machine.frozen && !machine.partitioned && f.now-machine.process.renewedAt >= simRenewal {
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

// learn tells the gateways who serves, as late as the store's changes reach them.
func (f *simFleet) deliverRegistrations() {
	for _, machine := range f.machines {
		if machine.process == nil || machine.frozen || machine.partitioned || machine.watchStalled {
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
				confirm = machine.process.dispatcher.BeginFirst
			}
			confirm(simEpoch.Add(f.now - machine.storeDelay))
		}
	}
}

// share tells a gateway by how many it divides when so much of the truth has reached it.
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
		machine.process.isNew = len(f.registrations) < 2 || f.now-machine.storeDelay < f.registrations[1].at+simFirstOrders
	}
	machine.process.seen = seen
	registered := slices.Clone(f.registrations[seen].registered)
	if !slices.Contains(registered, i) {
		registered = append(registered, i)
		slices.Sort(registered)
	}
	serving, entries := len(registered), len(registered)
	if f.entries > 0 {
		entries = min(f.entries, serving)
	}
	standsBy := slices.Index(registered, i) >= entries
	machine.process.dispatcher.SetSharers(retrybudget.Sharers(standsBy, entries, serving))
}

// within counts moments from one up to another one.
func countWithin(moments []time.Duration, from, to time.Duration) int {
	return sort.Search(len(moments), func(i int) bool { return moments[i] >= to }) -
		sort.Search(len(moments), func(i int) bool { return moments[i] >= from })
}

// check fails when all together granted more in some window than the requests and the allowance permit. The requests are those of
// the window, of the one before it, or of the one half a window before it, whichever has most.
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
			f.t.Fatalf("%d repeats of all gateways in the window from %s, for %d requests; allowed %.0f", granted, from, requests, allowed)
		}
	}
}

// checkEarned fails when all together granted more in some window than they may earn: the safety of the whole allowance, and of the
// ratio of the requests of the window and of a little before it. There is no slack in it, so that it fails where check hardly can.
func (f *simFleet) checkAccrued() {
	window := simBudget.Window
	for i, from := range f.grants {
		if i > 0 && f.grants[i-1] == from {
			continue
		}
		granted, requests := countWithin(f.grants, from, from+window), countWithin(f.requests, from-window*simCarryoverPercent/100, from+window)
		if earned := simBudget.Safety * (simBudget.Ratio*float64(requests) + simBudget.Allowance); float64(granted) > earned+simRoundingError {
			f.t.Fatalf("%d repeats of all gateways in the window from %s, for %d requests; earned %.1f", granted, from, requests, earned)
		}
	}
}

const (
	// simRounding is what sums of fractions are off.
	simRoundingError = 1e-6
	// simKept is the part of a window, in 100, of which a budget keeps what its requests earned.
	simCarryoverPercent = 20
)

// kill ends the process on a machine.
func (s *simMachine) kill() { s.process, s.startsAt = nil, -1 }

// simEach does something on machines.
func forEachMachine(machines []*simMachine, do func(*simMachine)) {
	for _, machine := range machines {
		do(machine)
	}
}

// TestTheSimulatedFleetIsHeldToTheRule checks the check.
func TestSimulationDetectsExcessRetries(t *testing.T) {
	failed := &recordingFailer{}
	f := &simFleet{t: failed, grants: slices.Repeat([]time.Duration{time.Second}, 55)}
	f.check()
	if !failed.failed {
		t.Error("55 repeats without a request pass")
	}
}

// simFailure notes that a check failed.
type recordingFailer struct{ failed bool }

// Fatalf is part of simFailer.
func (s *recordingFailer) Fatalf(string, ...any) { s.failed = true }
