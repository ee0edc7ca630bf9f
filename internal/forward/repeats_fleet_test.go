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
	simBoot    = 300 * time.Millisecond
	simGroup   = "model"
	// simOrders is how long after the first registration somebody gives orders, so that the fleet is not new any more.
	simOrders = time.Second
)

// simBudget is the bound of all together; the share that is spent is that of a gateway.
var simBudget = retrybudget.Settings{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second, Safety: retrybudget.DefaultSafety}

// simTruth is what the store holds from a moment on.
type simTruth struct {
	at         time.Duration
	registered []int
}

// simFleet is a fleet of gateways of which each runs the real code of the budgets, and sees the others as the store has them, late.
type simFleet struct {
	t simFailer
	// now is the time since the start of the play, with the machines asleep or not.
	now     time.Duration
	slots   []*simSlot
	entries int
	// load is of all callers together, in requests a second, and wished how many repeats each request asks for.
	load   float64
	wished int
	// firstStart is set when each process is told that the whole system starts for the first time.
	firstStart bool
	truths     []simTruth
	// grants and requests of all, in their order.
	grants, requests []time.Duration
}

// simFailer is a test, or one run of a property.
type simFailer interface {
	Fatalf(format string, args ...any)
}

// simSlot is one machine with one name, and the process on it.
type simSlot struct {
	process *simProcess
	// leaseEnds is when the registration lapses.
	leaseEnds time.Duration
	// startsAt is when a process begins; negative for never.
	startsAt time.Duration
	// ahead is how far the time of day is ahead.
	ahead time.Duration
	// late is how long the store's changes take to get here.
	late time.Duration
	// cut is set while the store and the others are out of reach, frozen while nothing runs, and hung while the watch of the store is
	// silent and registrations are renewed.
	cut, frozen, hung bool
	due               float64
}

// simProcess is one life of a gateway.
type simProcess struct {
	dispatcher *Dispatcher
	renewedAt  time.Duration
	// seen is the part of the truth that is known; negative when nothing is. Own is since when the own registration has been seen in it.
	seen int
	own  time.Duration
	// isNew is set when nobody had given orders in the first that was seen.
	isNew bool
}

// newSimFleet returns a fleet that starts at zero, of which so many take requests.
func newSimFleet(t simFailer, gateways, entries int, load float64, wished int) *simFleet {
	f := &simFleet{t: t, entries: entries, load: load, wished: wished, truths: []simTruth{{}}}
	for range gateways {
		f.add(200 * time.Millisecond)
	}
	return f
}

// add puts one more machine into the fleet.
func (f *simFleet) add(late time.Duration) {
	f.slots = append(f.slots, &simSlot{startsAt: f.now + simBoot, late: late})
}

// run plays until a moment.
func (f *simFleet) run(until time.Duration) {
	for f.now < until {
		f.now += simStep
		f.begin()
		f.serve()
		f.renew()
		f.learn()
	}
}

// begin starts the processes that are due.
func (f *simFleet) begin() {
	for _, slot := range f.slots {
		if slot.startsAt < 0 || slot.startsAt > f.now || slot.process != nil {
			continue
		}
		settings := DefaultDispatchSettings()
		settings.Budget = simBudget
		slot.process = &simProcess{dispatcher: simDispatcher(f, slot, settings), renewedAt: -simRenewal, seen: -1, own: -1}
		slot.startsAt = -1
	}
}

// serving returns the machines that callers reach: the first ones that run, as many as there are entries.
func (f *simFleet) serving() []*simSlot {
	running := slices.DeleteFunc(slices.Clone(f.slots), func(slot *simSlot) bool { return slot.process == nil || slot.frozen })
	if f.entries > 0 && len(running) > f.entries {
		running = running[:f.entries]
	}
	return running
}

// serve has callers ask, and each request ask for repeats.
func (f *simFleet) serve() {
	serving := f.serving()
	for _, slot := range serving {
		slot.due += f.load * simStep.Seconds() / float64(len(serving))
		for ; slot.due >= 1; slot.due-- {
			f.requests = append(f.requests, f.now)
			slot.process.dispatcher.CountRequest(simGroup)
			for range f.wished {
				if slot.process.dispatcher.RetryBudget(simGroup).spend() {
					f.grants = append(f.grants, f.now)
				}
			}
		}
	}
}

// renew renews the registrations of those that reach the store, and lets others lapse.
func (f *simFleet) renew() {
	for _, slot := range f.slots {
		if slot.process != nil && !slot.frozen && !slot.cut && f.now-slot.process.renewedAt >= simRenewal {
			slot.leaseEnds, slot.process.renewedAt = f.now+simLease, f.now
		}
	}
	var registered []int
	for i, slot := range f.slots {
		if slot.leaseEnds > f.now {
			registered = append(registered, i)
		}
	}
	if last := f.truths[len(f.truths)-1]; !slices.Equal(last.registered, registered) {
		f.truths = append(f.truths, simTruth{at: f.now, registered: registered})
	}
}

// learn tells the gateways who serves, as late as the store's changes reach them.
func (f *simFleet) learn() {
	for _, slot := range f.slots {
		if slot.process == nil || slot.frozen || slot.cut || slot.hung {
			continue
		}
		seen := sort.Search(len(f.truths), func(k int) bool { return f.truths[k].at > f.now-slot.late }) - 1
		if seen < max(slot.process.seen, 0) {
			continue
		}
		if seen > slot.process.seen {
			f.share(slot, seen)
		}
		if slot.process.own >= 0 && f.now-slot.late >= slot.process.own {
			confirm := slot.process.dispatcher.ConfirmShare
			if f.firstStart && slot.process.isNew {
				confirm = slot.process.dispatcher.BeginFirst
			}
			confirm(simEpoch.Add(f.now - slot.late))
		}
	}
}

// share tells a gateway by how many it divides when so much of the truth has reached it.
func (f *simFleet) share(slot *simSlot, seen int) {
	i := slices.Index(f.slots, slot)
	for k := slot.process.seen + 1; k <= seen; k++ {
		switch listed := slices.Contains(f.truths[k].registered, i); {
		case !listed:
			slot.process.own = -1
		case slot.process.own < 0:
			slot.process.own = f.now
		}
	}
	if slot.process.seen < 0 {
		slot.process.isNew = len(f.truths) < 2 || f.now-slot.late < f.truths[1].at+simOrders
	}
	slot.process.seen = seen
	registered := slices.Clone(f.truths[seen].registered)
	if !slices.Contains(registered, i) {
		registered = append(registered, i)
		slices.Sort(registered)
	}
	serving, entries := len(registered), len(registered)
	if f.entries > 0 {
		entries = min(f.entries, serving)
	}
	standsBy := slices.Index(registered, i) >= entries
	slot.process.dispatcher.SetSharers(retrybudget.Sharers(standsBy, entries, serving))
}

// within counts moments from one up to another one.
func within(moments []time.Duration, from, to time.Duration) int {
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
		granted := within(f.grants, from, from+window)
		requests := max(within(f.requests, from, from+window), within(f.requests, from-window, from),
			within(f.requests, from-window/2, from+window/2))
		if allowed := simBudget.Ratio*float64(requests) + simBudget.Allowance; float64(granted) > allowed {
			f.t.Fatalf("%d repeats of all gateways in the window from %s, for %d requests; allowed %.0f", granted, from, requests, allowed)
		}
	}
}

// checkEarned fails when all together granted more in some window than they may earn: the safety of the whole allowance, and of the
// ratio of the requests of the window and of a little before it. There is no slack in it, so that it fails where check hardly can.
func (f *simFleet) checkEarned() {
	window := simBudget.Window
	for i, from := range f.grants {
		if i > 0 && f.grants[i-1] == from {
			continue
		}
		granted, requests := within(f.grants, from, from+window), within(f.requests, from-window*simKept/100, from+window)
		if earned := simBudget.Safety * (simBudget.Ratio*float64(requests) + simBudget.Allowance); float64(granted) > earned+simRounding {
			f.t.Fatalf("%d repeats of all gateways in the window from %s, for %d requests; earned %.1f", granted, from, requests, earned)
		}
	}
}

const (
	// simRounding is what sums of fractions are off.
	simRounding = 1e-6
	// simKept is the part of a window, in 100, of which a budget keeps what its requests earned.
	simKept = 20
)

// kill ends the process on a machine.
func (s *simSlot) kill() { s.process, s.startsAt = nil, -1 }

// simEach does something on machines.
func simEach(slots []*simSlot, do func(*simSlot)) {
	for _, slot := range slots {
		do(slot)
	}
}

// TestTheSimulatedFleetIsHeldToTheRule checks the check.
func TestTheSimulatedFleetIsHeldToTheRule(t *testing.T) {
	failed := &simFailure{}
	f := &simFleet{t: failed, grants: slices.Repeat([]time.Duration{time.Second}, 55)}
	f.check()
	if !failed.failed {
		t.Error("55 repeats without a request pass")
	}
}

// simFailure notes that a check failed.
type simFailure struct{ failed bool }

// Fatalf is part of simFailer.
func (s *simFailure) Fatalf(string, ...any) { s.failed = true }
