package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

// Times of the views under test, short so that many changes fit in one run.
const (
	viewSkew       = 100 * time.Millisecond
	viewLifetime   = time.Second
	viewStableFor  = 200 * time.Millisecond
	viewPoll       = 300 * time.Millisecond
	requestTimeout = 200 * time.Millisecond
)

// viewMachine is one process of a router.
type viewMachine struct {
	claim.Holder
	offset   time.Duration
	views    *claim.ViewControl
	acceptor *claim.Acceptor
	proposer *claim.Proposer
}

// storeStep is a request on its way to the key-value service, or a response on its way back.
type storeStep struct {
	dueAt    time.Time
	machine  *viewMachine
	asked    core.PlatformRequest
	response *platform.Response
}

// viewMessage is a message on its way.
type viewMessage struct {
	core.Message
	dueAt time.Time
}

// viewWorld holds machines, the one key of the key-value service, and what is under way.
type viewWorld struct {
	now         time.Time
	random      *rand.Rand
	initial     []claim.Holder
	machines    map[string]*viewMachine
	everSeen    []claim.Holder
	incarnation uint64
	messages    []viewMessage
	store       []storeStep
	// lead of the views, and what the network does to messages in percent.
	lead         time.Duration
	lose, repeat int
	// slow makes delays; nil for none.
	slow      func() time.Duration
	value     []byte
	revision  uint64
	storeDown bool
	// cut holds the machines that reach only each other.
	cut map[string]bool

	// What can be seen from outside.
	known   map[uint64]claim.View               // views by version
	votes   map[string]map[string]bool          // id with ballot, and the acceptors that voted for it
	values  map[string]*granitebayv1.ClaimValue // value of an id with ballot
	version map[string]uint64                   // view of an id with ballot
	chosen  map[string]map[string]uint64        // values chosen for an id, and the view that chose them
	results map[string][]claim.Result           // by id
}

func newViewWorld(random *rand.Rand, holders []claim.Holder, lead time.Duration) *viewWorld {
	w := &viewWorld{
		now: start, random: random, initial: holders, lead: lead,
		machines: make(map[string]*viewMachine), cut: make(map[string]bool), known: make(map[uint64]claim.View),
		votes: make(map[string]map[string]bool), values: make(map[string]*granitebayv1.ClaimValue),
		version: make(map[string]uint64), chosen: make(map[string]map[string]uint64), results: make(map[string][]claim.Result),
	}
	for _, holder := range holders {
		w.startMachine(holder)
	}
	return w
}

// startMachine starts a process, which takes the place of an earlier one of its name.
func (w *viewWorld) startMachine(holder claim.Holder) *viewMachine {
	w.incarnation++
	machine := &viewMachine{Holder: holder, offset: time.Duration(w.random.Int64N(int64(viewSkew))) - viewSkew/2}
	address := func(name string) string { return name + ":1" }
	machine.acceptor = claim.NewAcceptor(claim.AcceptorSettings{
		StartedAt: w.clock(machine), ClockSkew: viewSkew, ConfirmationLifetime: viewLifetime,
	})
	machine.views = claim.NewViewControl(claim.ViewSettings{
		Self: holder.Name, Holders: w.initial, Acceptor: machine.acceptor, Address: address,
		StableFor: viewStableFor, Lead: w.lead, PollInterval: viewPoll, SpreadInterval: viewPoll,
		SealInterval: 50 * time.Millisecond, RequestTimeout: requestTimeout,
		ClockSkew: viewSkew, ConfirmationLifetime: viewLifetime,
	}, rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	machine.proposer = claim.NewProposer(claim.ProposerSettings{
		Name: holder.Name, Incarnation: w.incarnation, Address: address, ViewOf: machine.views.ViewOf,
	}, rand.New(rand.NewPCG(w.random.Uint64(), 2)))
	w.machines[holder.Name] = machine
	if !slices.Contains(w.everSeen, holder) {
		w.everSeen = append(w.everSeen, holder)
	}
	return machine
}

func (w *viewWorld) clock(machine *viewMachine) time.Time { return w.now.Add(machine.offset) }

// names returns the machines that run, sorted.
func (w *viewWorld) names() []string { return slices.Sorted(mapKeys(w.machines)) }

func (w *viewWorld) holders() []claim.Holder {
	var holders []claim.Holder
	for _, name := range w.names() {
		holders = append(holders, w.machines[name].Holder)
	}
	return holders
}

// believe tells a machine who lives.
func (w *viewWorld) believe(machine *viewMachine, live []claim.Holder) {
	machine.views.SetRouters(w.clock(machine), live, slices.DeleteFunc(slices.Clone(live), func(holder claim.Holder) bool {
		return holder.Name == machine.Name
	}))
}

func (w *viewWorld) propose(machine *viewMachine, id string, value *granitebayv1.ClaimValue, patience time.Duration) {
	var effects core.Effects
	now := w.clock(machine)
	machine.proposer.Propose(now, id, value, machine.views.ViewOf(id), now.Add(patience), &effects)
	w.collect(machine, &effects)
}

func (w *viewWorld) tick() {
	for _, name := range w.names() {
		machine := w.machines[name]
		var effects core.Effects
		machine.acceptor.Tick(w.clock(machine))
		machine.views.Tick(w.clock(machine), &effects)
		w.finish(machine.proposer.Tick(w.clock(machine), &effects))
		w.collect(machine, &effects)
	}
}

// deliver hands over all that is due, in random order, unless a cut is between.
func (w *viewWorld) deliver() {
	var due []viewMessage
	w.messages = slices.DeleteFunc(w.messages, func(message viewMessage) bool {
		if w.now.Before(message.dueAt) {
			return false
		}
		due = append(due, message)
		return true
	})
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, message := range due {
		w.deliverOne(message)
	}
}

func (w *viewWorld) deliverOne(message viewMessage) {
	machine, found := w.machines[message.To]
	if !found || w.cut[message.To] != w.cut[message.Envelope.GetFrom().GetName()] {
		return
	}
	var effects core.Effects
	machine.acceptor.Handle(w.clock(machine), message.Envelope, &effects)
	machine.views.HandleEnvelope(w.clock(machine), message.Envelope, &effects)
	w.finish(machine.proposer.HandleEnvelope(w.clock(machine), message.Envelope, &effects))
	w.collect(machine, &effects)
}

// serve takes the next step of all requests to the key-value service that are due. A request may have been sent long
// ago, also by a process that has ended.
func (w *viewWorld) serve() {
	var due []storeStep
	w.store = slices.DeleteFunc(w.store, func(step storeStep) bool {
		if w.now.Before(step.dueAt) {
			return false
		}
		due = append(due, step)
		return true
	})
	for _, step := range due {
		w.serveOne(step)
	}
}

func (w *viewWorld) serveOne(step storeStep) {
	if w.storeDown || w.cut[step.machine.Name] || w.happens(w.lose) {
		return
	}
	if step.response == nil {
		step.response = w.answer(step.asked)
		step.dueAt = w.now.Add(w.delay())
		w.store = append(w.store, step)
		return
	}
	if w.machines[step.machine.Name] != step.machine {
		return
	}
	var effects core.Effects
	step.machine.views.HandlePlatformResponse(w.clock(step.machine), *step.response, &effects)
	w.collect(step.machine, &effects)
}

// answer is the key-value service.
func (w *viewWorld) answer(asked core.PlatformRequest) *platform.Response {
	response := &platform.Response{ID: asked.ID}
	switch request := asked.Request.(type) {
	case platform.Get:
		if w.revision != 0 {
			response.Entries = []platform.Entry{{Key: request.Key, Value: w.value, ModRevision: w.revision}}
		}
	case platform.Transaction:
		response.Succeeded = request.Compares[0].ModRevision == w.revision
		if response.Succeeded {
			w.value = request.Puts[0].Value
			w.revision++
		}
	}
	response.Revision = w.revision
	return response
}

func (w *viewWorld) collect(from *viewMachine, effects *core.Effects) {
	for _, view := range from.views.Views().Committed {
		w.known[view.Version] = view
	}
	for _, message := range effects.Messages {
		message.Envelope = proto.Clone(message.Envelope).(*granitebayv1.Envelope)
		message.Envelope.From = &granitebayv1.Peer{Name: from.Name, Address: from.Name + ":1"}
		w.observe(from.Name, message.Envelope)
		if !w.happens(w.lose) {
			w.messages = append(w.messages, viewMessage{Message: message, dueAt: w.now.Add(w.delay())})
		}
		if w.happens(w.repeat) {
			w.messages = append(w.messages, viewMessage{Message: message, dueAt: w.now.Add(w.delay())})
		}
	}
	for _, asked := range effects.Platform {
		w.store = append(w.store, storeStep{machine: from, asked: asked, dueAt: w.now.Add(w.delay())})
	}
}

// observe keeps what an onlooker on the wire learns.
func (w *viewWorld) observe(from string, envelope *granitebayv1.Envelope) {
	if accept := envelope.GetClaimAccept(); accept != nil {
		key := accept.GetRequestId() + accept.GetBallot().String()
		w.values[key], w.version[key] = accept.GetValue(), accept.GetView()
	}
	accepted := envelope.GetClaimAccepted()
	if accepted == nil {
		return
	}
	key := accepted.GetRequestId() + accepted.GetBallot().String()
	if w.votes[key] == nil {
		w.votes[key] = make(map[string]bool)
	}
	w.votes[key][from] = true
	view := w.known[w.version[key]]
	if len(w.votes[key]) > len(view.Acceptors(accepted.GetRequestId()))/2 {
		w.choose(accepted.GetRequestId(), w.values[key], view.Version)
	}
}

func (w *viewWorld) choose(id string, value *granitebayv1.ClaimValue, version uint64) {
	if w.chosen[id] == nil {
		w.chosen[id] = make(map[string]uint64)
	}
	w.chosen[id][value.GetEngine()] = version
}

func (w *viewWorld) finish(results []claim.Result) {
	for _, result := range results {
		w.results[result.RequestID] = append(w.results[result.RequestID], result)
		if result.Decided {
			w.choose(result.RequestID, result.Value, 0)
		}
	}
}

// check fails if two values were decided for one id.
func (w *viewWorld) check(t interface{ Fatalf(string, ...any) }) {
	for id, values := range w.chosen {
		if len(values) > 1 {
			t.Fatalf("two values decided for %s, with the views that decided them: %v\nviews: %s", id, values, w.value)
		}
	}
}

// happens draws with a chance in percent.
func (w *viewWorld) happens(percent int) bool { return w.random.IntN(100) < percent }

func (w *viewWorld) delay() time.Duration {
	if w.slow == nil {
		return 0
	}
	return w.slow()
}

// run goes on for a while.
func (w *viewWorld) run(duration time.Duration) {
	const step = 10 * time.Millisecond
	for until := w.now.Add(duration); w.now.Before(until); w.now = w.now.Add(step) {
		w.tick()
		for before := -1; before != len(w.messages)+len(w.store); { // until nothing that is due is left
			before = len(w.messages) + len(w.store)
			w.deliver()
			w.serve()
		}
	}
}

// everybodyBelieves tells all machines who runs.
func (w *viewWorld) everybodyBelieves() {
	for _, name := range w.names() {
		w.believe(w.machines[name], w.holders())
	}
}

// current returns the latest committed view that any machine knows.
func (w *viewWorld) current() claim.View {
	var latest claim.View
	for _, view := range w.known {
		if view.Version > latest.Version {
			latest = view
		}
	}
	return latest
}

func zoneHolders(perZone, zones int) []claim.Holder {
	var holders []claim.Holder
	for i := range perZone * zones {
		holders = append(holders, claim.Holder{Name: fmt.Sprintf("router-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return holders
}
