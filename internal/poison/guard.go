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
	recordTimeout = 4500 * time.Millisecond
	// endedTime is how long an end is remembered for answers that break off later than the first: the bounds of silence of a connection.
	crashRetention = 5 * time.Second
)

// What shows the end of a worker.
const (
	evidenceRefused  = "its address refuses connections"
	evidenceNoRecord = "its record is gone, and it did not say that it leaves"
)

// Guard keeps requests that end workers from further workers. It is safe for concurrent use.
type Guard struct {
	prober Prober
	now    func() time.Time
	// tell is told of each event; it must not wait, nor call the guard.
	emit func(Event)
	// watches is set while anything is held of any request.
	hasSuspects atomic.Bool

	mu    sync.Mutex
	table *Table
	// broken are the workers at which answers broke off, and recorded those whose records are there; nil before the first.
	disconnected map[string]*disconnectedWorker
	registered   backend.Set
	// notify says that there is something to tell other gateways; nil tells nobody.
	notify    func(urgent bool)
	expiredAt time.Time
	// judging is set while a judgement is due.
	evaluationScheduled bool
}

// brokenWorker is a worker at which answers broke off, or that was given up for its silence.
type disconnectedWorker struct {
	worker *backend.Worker
	// first is when the first connection broke, zero before, and since when a request was noted last.
	brokenAt, lastRequest time.Time
	// ended is set once the worker is known to have ended, and probed while that is asked; it is closed with the answer.
	crashed   bool
	probeDone chan struct{}
	requests  map[Digest]requestInfo
}

// request is what is told of a request to operators.
type requestInfo struct{ rule, tenant string }

// NewGuard returns a guard that knows nothing. Tell is told of each event.
func NewGuard(settings Settings, prober Prober, now func() time.Time, emit func(Event)) *Guard {
	return &Guard{prober: prober, now: now, emit: emit, table: NewTable(settings), disconnected: map[string]*disconnectedWorker{}}
}

// ShareWith tells whom to notify that there is something to tell other gateways. Notify must not wait.
func (g *Guard) ShareWith(notify func(urgent bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify = notify
}

// Watches tells whether anything is held of any request. Otherwise no digest need be reckoned.
func (g *Guard) Watches() bool { return g.hasSuspects.Load() }

// Standing returns what is held of a request, with its bar if it is barred.
func (g *Guard) Standing(digest Digest) (Standing, Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Standing(g.now(), digest)
}

// HeardAgo returns how long ago an end under a request, or its bar, was heard of last.
func (g *Guard) HeardAgo(bar Bar) time.Duration { return g.now().Sub(bar.LastReport) }

// Broke notes that the connection to a worker broke under a request. It is found out beside whether the worker has ended: what is
// returned is closed once that is known or can't be told, and nil when it is known already. The end of one that leaves was planned: it
// said so, or took its record back and served on.
func (g *Guard) Broke(worker *backend.Worker, digest Digest, rule, tenant string) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isPlannedExit(worker) {
		return nil
	}
	entry := g.addRequest(worker, digest, rule, tenant)
	if entry.brokenAt.IsZero() {
		entry.brokenAt = g.now()
	}
	switch {
	case entry.crashed:
		g.recordCrash(entry, evidenceRefused)
		return nil
	case entry.probeDone == nil:
		entry.probeDone = make(chan struct{})
		go g.probe(entry)
	}
	return entry.probeDone
}

// Left notes that a silent worker was given up under a request. Should the worker turn out to end, it may have ended it all the same.
func (g *Guard) Left(worker *backend.Worker, digest Digest, rule, tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isPlannedExit(worker) {
		return
	}
	if entry := g.addRequest(worker, digest, rule, tenant); entry.crashed {
		g.recordCrash(entry, evidenceRefused)
	}
}

// leaves tells whether a worker leaves as planned: it said so, or took its record back and serves on. The mutex is held.
func (g *Guard) isPlannedExit(worker *backend.Worker) bool {
	record := g.registered[worker.ID]
	return g.registered != nil && (record == nil || record.Draining) && g.disconnected[worker.ID] == nil
}

// mostNoted bounds the requests that are noted of one worker: more than run at one, with those that gave it up.
const maxRequestsPerWorker = 512

// note notes a request at a worker that may have ended. The mutex is held.
func (g *Guard) addRequest(worker *backend.Worker, digest Digest, rule, tenant string) *disconnectedWorker {
	entry, found := g.disconnected[worker.ID]
	if !found {
		entry = &disconnectedWorker{worker: worker, requests: map[Digest]requestInfo{}}
		g.disconnected[worker.ID] = entry
	}
	entry.lastRequest = g.now()
	if len(entry.requests) < maxRequestsPerWorker {
		entry.requests[digest] = requestInfo{rule, tenant}
	}
	return entry
}

// probe finds out whether a worker has ended.
func (g *Guard) probe(entry *disconnectedWorker) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	refuses, err := g.prober.Refuses(ctx, entry.worker)
	g.mu.Lock()
	defer g.mu.Unlock()
	// Those that wait ask for their standing next: the end is noted before.
	defer func(done chan struct{}) {
		entry.probeDone = nil
		close(done)
	}(entry.probeDone)
	switch {
	case entry.crashed || err != nil:
		// Without an answer the record of the worker will tell.
	case refuses:
		g.recordCrash(entry, evidenceRefused)
	default:
		// It lives: the connection alone broke.
		delete(g.disconnected, entry.worker.ID)
	}
}

// ChangeWorkers takes what has changed of the workers that are recorded. The end of one at which answers broke off is shown by its record,
// too.
func (g *Guard) ChangeWorkers(changes backend.Changes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registered == nil {
		g.registered = backend.Set{}
	}
	changes.Apply(g.registered)
	now := g.now()
	for id, entry := range g.disconnected {
		record := g.registered[id]
		switch {
		case now.Sub(entry.lastRequest) > recordTimeout, record != nil && record.Draining:
			delete(g.disconnected, id)
		case record == nil && !entry.crashed:
			g.recordCrash(entry, evidenceNoRecord)
		}
	}
}

// endedLocked notes that a worker has ended under the requests that broke off there. The end itself is told once, with those that were
// noted by then. The mutex is held.
func (g *Guard) recordCrash(entry *disconnectedWorker, evidence string) {
	isNew := !entry.crashed
	entry.crashed = true
	if entry.brokenAt.IsZero() {
		entry.brokenAt = g.now()
	}
	event := WorkerEnded{Worker: entry.worker, By: evidence, Ago: g.now().Sub(entry.brokenAt)}
	for digest, info := range entry.requests {
		event.Asked = append(event.Asked, digest)
		g.table.RecordCrash(g.now(), entry.brokenAt, Crash{Digest: digest, Worker: entry.worker.ID}, info.rule, info.tenant)
	}
	clear(entry.requests)
	if isNew {
		g.emit(event)
	}
	g.notifyChange()
}

// changed has the other gateways told, and what is to be judged judged. The mutex is held.
func (g *Guard) notifyChange() {
	if g.notify != nil {
		g.notify(true)
	}
	g.scheduleEvaluation()
}

// judgeLater has judged what is to be judged, once it is due. The mutex is held.
func (g *Guard) scheduleEvaluation() {
	g.hasSuspects.Store(!g.table.Empty())
	next := g.table.NextEvaluation()
	if g.evaluationScheduled || next.IsZero() {
		return
	}
	g.evaluationScheduled = true
	time.AfterFunc(max(next.Sub(g.now()), 0)+time.Millisecond, g.evaluate)
}

// judge bars those against which enough speaks.
func (g *Guard) evaluate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evaluationScheduled = false
	bars := g.table.Evaluate(g.now())
	for _, bar := range bars {
		g.emit(Made{bar})
	}
	if len(bars) > 0 && g.notify != nil {
		g.notify(true)
	}
	g.scheduleEvaluation()
}

// EndedWell notes that a request ran to a good end.
func (g *Guard) EndedWell(digest Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	before := g.table.RecordSuccess(now, now, digest)
	if before == Clear {
		return
	}
	g.emit(Cleared{Asked: digest, WasBarred: before == Barred})
	g.notifyChange()
}

// Bar bars a request by the word of the store.
func (g *Guard) Bar(bar Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.now().Before(bar.Until) && g.table.ApplyBar(g.now(), bar) {
		g.emit(Heard{bar})
	}
	g.hasSuspects.Store(!g.table.Empty())
}

// Release voids all that speaks against a request, and tells whether it was barred.
func (g *Guard) Release(digest Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasBarred := g.table.Release(g.now(), digest)
	g.notifyChange()
	return wasBarred
}

// Bars returns the requests that are barred.
func (g *Guard) Bars() []Bar {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Bars(g.now())
}

// tidyInterval is how often what does not count any more is forgotten.
const expiryInterval = 10 * time.Second

// Tell returns what other gateways are to know: what is new, or everything.
func (g *Guard) Tell(full bool) Told {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if full && now.Sub(g.expiredAt) >= expiryInterval {
		g.expiredAt = now
		g.expire(now)
	}
	return g.table.TakeUpdate(now, full)
}

// tidy forgets what does not count any more. The mutex is held.
func (g *Guard) expire(now time.Time) {
	g.table.Expire(now)
	for id, entry := range g.disconnected {
		if now.Sub(entry.lastRequest) > max(crashRetention, recordTimeout) && entry.probeDone == nil {
			delete(g.disconnected, id)
		}
	}
	g.hasSuspects.Store(!g.table.Empty())
}

// Hear takes what another gateway told.
func (g *Guard) Hear(update Told) {
	if len(update.Crashes)+len(update.EndedWell)+len(update.Bars) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, bar := range g.table.MergeUpdate(g.now(), update) {
		g.emit(Heard{bar})
	}
	for _, crash := range update.Crashes {
		g.emit(EndHeard{Worker: crash.Worker, Ago: time.Duration(crash.AgoMs) * time.Millisecond})
	}
	g.scheduleEvaluation()
}
