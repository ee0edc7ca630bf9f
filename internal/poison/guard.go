package poison

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Prober asks whether a worker has ended.
type Prober interface {
	// Refuses tells whether nothing listens at the address of a worker any more. An error says that it could not be told.
	Refuses(ctx context.Context, worker *backend.Worker) (bool, error)
}

// Event is one step of what is held of a request. It is one of the types below.
type Event interface{ isEvent() }

// WorkerEnded is the end of a worker under some requests of this gateway.
type WorkerEnded struct {
	Worker *backend.Worker
	// Asked are the requests of this gateway that it was running.
	Asked []Digest
	// By says what showed it, and Ago is how long ago its connections broke.
	By  string
	Ago time.Duration
}

// EndHeard is the end of a worker that another gateway told. It may be told more than once.
type EndHeard struct {
	// Worker is the id of its incarnation.
	Worker string
	// Ago is how long ago its connections broke.
	Ago time.Duration
}

// Made is a bar that this gateway has made, and Heard one that another gateway told.
type (
	Made  struct{ Bar Bar }
	Heard struct{ Bar Bar }
)

// Cleared is a request that ran to a good end after workers had ended under it.
type Cleared struct {
	Asked Digest
	// WasBarred is set when it was barred, and is not any more.
	WasBarred bool
}

func (WorkerEnded) isEvent() {}
func (EndHeard) isEvent()    {}
func (Made) isEvent()        {}
func (Heard) isEvent()       {}
func (Cleared) isEvent()     {}

// Times of a guard.
const (
	// probeTimeout bounds the question whether a worker has ended: a connection within a region, some times over.
	probeTimeout = 400 * time.Millisecond
	// recordTime is how long after an answer broke off the record of its worker may go, to count as its end: three heartbeats of the
	// users' workers, 1.2 s each, and their way.
	recordTime = 4500 * time.Millisecond
	// endedTime is how long an end is remembered for answers that break off later than the first: the bounds of silence of a connection.
	endedTime = 5 * time.Second
)

// What shows the end of a worker.
const (
	byRefusal = "its address refuses connections"
	byRecord  = "its record is gone, and it did not say that it leaves"
)

// Guard keeps requests that end workers from further workers. It is safe for concurrent use.
type Guard struct {
	prober Prober
	now    func() time.Time
	// tell is told of each event; it must not wait, nor call the guard.
	tell func(Event)
	// watches is set while anything is held of any request.
	watches atomic.Bool

	mu    sync.Mutex
	table *Table
	// broken are the workers at which answers broke off, and recorded those whose records are there; nil before the first.
	broken   map[string]*brokenWorker
	recorded backend.Set
	// notify says that there is something to tell other gateways; nil tells nobody.
	notify func(urgent bool)
	tidied time.Time
	// judging is set while a judgement is due.
	judging bool
}

// brokenWorker is a worker at which answers broke off, or that was given up for its silence.
type brokenWorker struct {
	worker *backend.Worker
	// first is when the first connection broke, zero before, and since when a request was noted last.
	first, since time.Time
	// ended is set once the worker is known to have ended, and probed while that is asked; it is closed with the answer.
	ended    bool
	probed   chan struct{}
	requests map[Digest]request
}

// request is what is told of a request to operators.
type request struct{ rule, tenant string }

// NewGuard returns a guard that knows nothing. Tell is told of each event.
func NewGuard(settings Settings, prober Prober, now func() time.Time, tell func(Event)) *Guard {
	return &Guard{prober: prober, now: now, tell: tell, table: NewTable(settings), broken: map[string]*brokenWorker{}}
}

// ShareWith tells whom to notify that there is something to tell other gateways. Notify must not wait.
func (g *Guard) ShareWith(notify func(urgent bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify = notify
}

// Watches tells whether anything is held of any request. Otherwise no digest need be reckoned.
func (g *Guard) Watches() bool { return g.watches.Load() }

// Standing returns what is held of a request, with its bar if it is barred.
func (g *Guard) Standing(asked Digest) (Standing, Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Standing(g.now(), asked)
}

// HeardAgo returns how long ago an end under a request, or its bar, was heard of last.
func (g *Guard) HeardAgo(bar Bar) time.Duration { return g.now().Sub(bar.Heard) }

// Broke notes that the connection to a worker broke under a request. It is found out beside whether the worker has ended: what is
// returned is closed once that is known or can't be told, and nil when it is known already. The end of one that leaves was planned: it
// said so, or took its record back and served on.
func (g *Guard) Broke(worker *backend.Worker, asked Digest, rule, tenant string) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaves(worker) {
		return nil
	}
	known := g.note(worker, asked, rule, tenant)
	if known.first.IsZero() {
		known.first = g.now()
	}
	switch {
	case known.ended:
		g.endedLocked(known, byRefusal)
		return nil
	case known.probed == nil:
		known.probed = make(chan struct{})
		go g.probe(known)
	}
	return known.probed
}

// Left notes that a silent worker was given up under a request. Should the worker turn out to end, it may have ended it all the same.
func (g *Guard) Left(worker *backend.Worker, asked Digest, rule, tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaves(worker) {
		return
	}
	if known := g.note(worker, asked, rule, tenant); known.ended {
		g.endedLocked(known, byRefusal)
	}
}

// leaves tells whether a worker leaves as planned: it said so, or took its record back and serves on. The mutex is held.
func (g *Guard) leaves(worker *backend.Worker) bool {
	recorded := g.recorded[worker.ID]
	return g.recorded != nil && (recorded == nil || recorded.Draining) && g.broken[worker.ID] == nil
}

// mostNoted bounds the requests that are noted of one worker: more than run at one, with those that gave it up.
const mostNoted = 512

// note notes a request at a worker that may have ended. The mutex is held.
func (g *Guard) note(worker *backend.Worker, asked Digest, rule, tenant string) *brokenWorker {
	known, found := g.broken[worker.ID]
	if !found {
		known = &brokenWorker{worker: worker, requests: map[Digest]request{}}
		g.broken[worker.ID] = known
	}
	known.since = g.now()
	if len(known.requests) < mostNoted {
		known.requests[asked] = request{rule, tenant}
	}
	return known
}

// probe finds out whether a worker has ended.
func (g *Guard) probe(known *brokenWorker) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	refuses, err := g.prober.Refuses(ctx, known.worker)
	g.mu.Lock()
	defer g.mu.Unlock()
	// Those that wait ask for their standing next: the end is noted before.
	defer func(probed chan struct{}) {
		known.probed = nil
		close(probed)
	}(known.probed)
	switch {
	case known.ended || err != nil:
		// Without an answer the record of the worker will tell.
	case refuses:
		g.endedLocked(known, byRefusal)
	default:
		// It lives: the connection alone broke.
		delete(g.broken, known.worker.ID)
	}
}

// ChangeWorkers takes what has changed of the workers that are recorded. The end of one at which answers broke off is shown by its record,
// too.
func (g *Guard) ChangeWorkers(changes backend.Changes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recorded == nil {
		g.recorded = backend.Set{}
	}
	changes.Apply(g.recorded)
	now := g.now()
	for id, known := range g.broken {
		recorded := g.recorded[id]
		switch {
		case now.Sub(known.since) > recordTime, recorded != nil && recorded.Draining:
			delete(g.broken, id)
		case recorded == nil && !known.ended:
			g.endedLocked(known, byRecord)
		}
	}
}

// endedLocked notes that a worker has ended under the requests that broke off there. The end itself is told once, with those that were
// noted by then. The mutex is held.
func (g *Guard) endedLocked(known *brokenWorker, by string) {
	isNew := !known.ended
	known.ended = true
	if known.first.IsZero() {
		known.first = g.now()
	}
	event := WorkerEnded{Worker: known.worker, By: by, Ago: g.now().Sub(known.first)}
	for asked, what := range known.requests {
		event.Asked = append(event.Asked, asked)
		g.table.Ended(g.now(), known.first, End{Asked: asked, Worker: known.worker.ID}, what.rule, what.tenant)
	}
	clear(known.requests)
	if isNew {
		g.tell(event)
	}
	g.changed()
}

// changed has the other gateways told, and what is to be judged judged. The mutex is held.
func (g *Guard) changed() {
	if g.notify != nil {
		g.notify(true)
	}
	g.judgeLater()
}

// judgeLater has judged what is to be judged, once it is due. The mutex is held.
func (g *Guard) judgeLater() {
	g.watches.Store(!g.table.Empty())
	next := g.table.NextJudgement()
	if g.judging || next.IsZero() {
		return
	}
	g.judging = true
	time.AfterFunc(max(next.Sub(g.now()), 0)+time.Millisecond, g.judge)
}

// judge bars those against which enough speaks.
func (g *Guard) judge() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.judging = false
	bars := g.table.Judge(g.now())
	for _, bar := range bars {
		g.tell(Made{bar})
	}
	if len(bars) > 0 && g.notify != nil {
		g.notify(true)
	}
	g.judgeLater()
}

// EndedWell notes that a request ran to a good end.
func (g *Guard) EndedWell(asked Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	before := g.table.EndedWell(now, now, asked)
	if before == Clear {
		return
	}
	g.tell(Cleared{Asked: asked, WasBarred: before == Barred})
	g.changed()
}

// Bar bars a request by the word of the store.
func (g *Guard) Bar(bar Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.now().Before(bar.Until) && g.table.Bar(g.now(), bar) {
		g.tell(Heard{bar})
	}
	g.watches.Store(!g.table.Empty())
}

// Release voids all that speaks against a request, and tells whether it was barred.
func (g *Guard) Release(asked Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasBarred := g.table.Release(g.now(), asked)
	g.changed()
	return wasBarred
}

// Bars returns the requests that are barred.
func (g *Guard) Bars() []Bar {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Bars(g.now())
}

// tidyInterval is how often what does not count any more is forgotten.
const tidyInterval = 10 * time.Second

// Tell returns what other gateways are to know: what is new, or everything.
func (g *Guard) Tell(full bool) Told {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if full && now.Sub(g.tidied) >= tidyInterval {
		g.tidied = now
		g.tidy(now)
	}
	return g.table.Tell(now, full)
}

// tidy forgets what does not count any more. The mutex is held.
func (g *Guard) tidy(now time.Time) {
	g.table.Tidy(now)
	for id, known := range g.broken {
		if now.Sub(known.since) > max(endedTime, recordTime) && known.probed == nil {
			delete(g.broken, id)
		}
	}
	g.watches.Store(!g.table.Empty())
}

// Hear takes what another gateway told.
func (g *Guard) Hear(told Told) {
	if len(told.Ends)+len(told.EndedWell)+len(told.Bars) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, bar := range g.table.Hear(g.now(), told) {
		g.tell(Heard{bar})
	}
	for _, end := range told.Ends {
		g.tell(EndHeard{Worker: end.Worker, Ago: time.Duration(end.AgoMs) * time.Millisecond})
	}
	g.judgeLater()
}
