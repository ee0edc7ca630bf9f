package poison

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/completeness"
)

// Prober checks whether the process of a worker still runs.
type Prober interface {
	// RefusesConnections reports whether nothing listens at the worker's address any more. It returns an error if that cannot be determined.
	RefusesConnections(ctx context.Context, worker *backend.Worker) (bool, error)
	// Look looks at a worker whose connection has ended. One that lives keeps a connection open for the settle time.
	Look(ctx context.Context, worker *backend.Worker, settle time.Duration) completeness.Worker
}

// Event is a change that a guard reports: WorkerCrashed, CrashReceived, BarCreated, BarReceived or Cleared.
type Event interface{ isEvent() }

// WorkerCrashed reports that a worker crashed while running requests of this gateway.
type WorkerCrashed struct {
	Worker *backend.Worker
	// Requests are the digests of the requests of this gateway that the worker was running, and Parts the parts of their prompts.
	Requests []Digest
	Parts    []Part
	// Evidence is the evidence for the crash, and Age how long ago the first connection broke.
	Evidence string
	Age      time.Duration
}

// CrashReceived reports a crash that another gateway shared. The same crash may be reported several times.
type CrashReceived struct {
	// Worker is the id of the worker's incarnation.
	Worker string
	// Age is how long ago the worker's connections broke.
	Age time.Duration
}

// BarCreated reports a bar that this gateway created, and BarReceived a bar received from the store or another gateway.
type (
	BarCreated  struct{ Bar Bar }
	BarReceived struct{ Bar Bar }
)

// Cleared reports that a suspected or barred request succeeded, or that a barred part was answered.
type Cleared struct {
	Digest Digest
	// Part is zero for a request.
	Part Part
	// WasBarred is set if the success lifted a bar.
	WasBarred bool
}

func (WorkerCrashed) isEvent() {}
func (CrashReceived) isEvent() {}
func (BarCreated) isEvent()    {}
func (BarReceived) isEvent()   {}
func (Cleared) isEvent()       {}

// Timeouts of a guard.
const (
	// probeTimeout bounds a probe. It suffices for several connection attempts to a worker in the same region.
	probeTimeout = 400 * time.Millisecond
	// recordTimeout is how long after the last failed request at a worker the removal of its record still counts as a crash: three
	// heartbeats of 1.2 s and their propagation.
	recordTimeout = 4500 * time.Millisecond
	// disconnectedRetention is how long a disconnected worker is kept after its last failed request, so that connections that break
	// later than the first are attributed to the same crash. It equals the default idle timeout of a connection to a worker. A change of
	// the registered workers removes the disconnected worker already after recordTimeout.
	disconnectedRetention = 5 * time.Second
)

// Evidence for the crash of a worker.
const (
	evidenceRefused  = "its address refuses connections"
	evidenceReplaced = "another process answers at its address"
	evidenceNoRecord = "its record is gone and it did not announce that it leaves"
)

// Guard keeps requests that crash workers away from further workers. It is safe for concurrent use.
type Guard struct {
	prober Prober
	now    func() time.Time
	// emit receives each event. It must not block or call the guard.
	emit func(Event)
	// hasSuspects is set while the table has any entry.
	hasSuspects atomic.Bool

	mu    sync.Mutex
	table *Table
	parts *partTable
	// disconnected are the workers that may have crashed, because a connection broke or a request abandoned them. registered are the
	// workers with a record, nil before the first update.
	disconnected map[string]*disconnectedWorker
	registered   backend.Set
	// alive holds the last sign of life of the registered workers.
	alive map[string]time.Time
	// versions counts the registered workers of each service by their software version.
	versions map[string]map[string]int
	// notify is called when there are changes for the other gateways; urgent means that they are sent without delay. It is nil if
	// updates are not shared.
	notify func(urgent bool)
	// gateways is the number of gateways that send full updates, repeated the rotation of the workers that these repeat, and repetition what the
	// current one repeats; nil if that is no full one.
	gateways   atomic.Int64
	repeated   *rotation[string]
	repetition *repetition
	// lastExpiry is when expired entries were last removed.
	lastExpiry time.Time
	// evaluationScheduled is set while a timer for the next evaluation runs.
	evaluationScheduled bool
}

// disconnectedWorker is a worker that may have crashed: a connection to it broke, or a request abandoned it because it did not respond.
type disconnectedWorker struct {
	worker *backend.Worker
	// brokenAt is when the first connection broke, and silentAt when the first request found the worker silent since its last sign of life; zero if
	// none did. lastRequest is when a request was added last.
	brokenAt, silentAt, lastRequest time.Time
	// crashed is set once the crash is confirmed. probeDone is non-nil while a probe runs, and closed when it completes.
	crashed   bool
	probeDone chan struct{}
	requests  map[Digest]Run
}

// Run is an attempt of a request at a worker.
type Run struct {
	Digest Digest
	// Rule is the routing rule that the request matches, and Tenant its caller, for operators.
	Rule, Tenant string
	// Began is when the request was sent to the worker; zero if that is not known.
	Began time.Time
	// Parts are the parts of the prompt that may have crashed the worker: none if the worker had been answering the request for a while.
	Parts []Part
}

// NewGuard returns an empty guard that reports its events to emit.
func NewGuard(settings Settings, prober Prober, now func() time.Time, emit func(Event)) *Guard {
	g := &Guard{
		prober: prober, now: now, emit: emit, table: NewTable(settings), parts: newPartTable(settings), disconnected: map[string]*disconnectedWorker{},
		alive: map[string]time.Time{}, versions: map[string]map[string]int{}, repeated: newRotation(cmp.Compare[string]),
	}
	g.table.parts, g.parts.mostByOneRequest = g.parts, g.table.mostByOneRequest
	g.parts.times.life = func(worker string) time.Time { return g.alive[worker] }
	g.parts.start(now())
	return g
}

// NotifyUpdates sets the function that is called when there are changes for the other gateways. It must not block.
func (g *Guard) NotifyUpdates(notify func(urgent bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify = notify
}

// HasSuspects reports whether there is evidence against any request or part: one that is suspected or barred, or was until recently, before
// it succeeded or was released, or its crashes or bar expired. If there is none, every request is Clear and callers need not compute digests.
func (g *Guard) HasSuspects() bool { return g.hasSuspects.Load() }

// Status returns the status of a request, and the evidence against it as a Bar, also if it is not barred. The Bar is zero for Clear
// requests. For others, Workers holds those whose crashes have not expired; Times, Since and Until are zero if there was no bar since the
// last success; and Rule and Tenant are empty until this gateway has seen the request itself or received its bar. DistinctCrashes is set
// for Suspected requests only.
func (g *Guard) Status(digest Digest) (Status, Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Status(g.now(), digest)
}

// SinceLastReport returns how long ago the last crash or bar of the request was reported.
func (g *Guard) SinceLastReport(bar Bar) time.Duration { return g.now().Sub(bar.LastReport) }

// ConnectionBroke records that the connection to a worker broke while it ran the request, and probes in the background whether the worker
// crashed. The returned channel is closed when the probe completes; it is nil if the outcome is known already. The exit of a worker
// that drains, or that removed its record, is planned and not counted.
func (g *Guard) ConnectionBroke(worker *backend.Worker, run Run) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isPlannedExit(worker) {
		return nil
	}
	entry := g.addRequest(worker, run)
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

// ConfirmEnd tells whether a response that ended with its connection in the ordinary way is whole. A connection to the worker has to stay open for the
// settle time. If the response is not whole, its end counts as the time at which the connection broke, however long evidence was awaited.
func (g *Guard) ConfirmEnd(ctx context.Context, worker *backend.Worker, settle time.Duration) completeness.Result {
	endedAt, wasRegistered := g.now(), g.isRegistered(worker)
	result := completeness.Await(ctx, func(ctx context.Context) completeness.Evidence {
		evidence := completeness.Evidence{Framing: completeness.FramingConnection, Worker: g.prober.Look(ctx, worker, settle)}
		evidence.RecordRemoved = wasRegistered && !g.isRegistered(worker)
		return evidence
	})
	if result != completeness.Whole && ctx.Err() == nil {
		g.recordEnd(worker, endedAt)
	}
	return result
}

// recordEnd records when a connection to a worker ended that ConnectionBroke will be called for.
func (g *Guard) recordEnd(worker *backend.Worker, endedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isPlannedExit(worker) {
		return
	}
	entry := g.entry(worker)
	if !entry.crashed && (entry.brokenAt.IsZero() || endedAt.Before(entry.brokenAt)) {
		entry.brokenAt = endedAt
	}
}

// isRegistered reports whether a worker has a record.
func (g *Guard) isRegistered(worker *backend.Worker) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registered[worker.ID] != nil
}

// Abandoned records that a request abandoned a worker that did not respond. If the worker is found to have crashed, the crash counts
// against the request and the parts.
func (g *Guard) Abandoned(worker *backend.Worker, run Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isPlannedExit(worker) {
		return
	}
	entry := g.addRequest(worker, run)
	if entry.silentAt.IsZero() {
		entry.silentAt = g.now()
	}
	if entry.crashed {
		g.recordCrash(entry, evidenceRefused)
	}
}

// Responded records that a worker began to answer a request.
func (g *Guard) Responded(worker *backend.Worker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signOfLife(worker, g.now())
}

// signOfLife records that a worker was up at the given time. The caller holds the mutex.
func (g *Guard) signOfLife(worker *backend.Worker, at time.Time) {
	if g.registered[worker.ID] != nil && at.After(g.alive[worker.ID]) {
		g.alive[worker.ID] = at
	}
	if entry := g.disconnected[worker.ID]; entry != nil && !entry.crashed && at.After(entry.silentAt) {
		entry.silentAt = time.Time{}
	}
}

// isPlannedExit reports whether a worker drained or removed its record before its first connection broke. The caller holds the mutex.
func (g *Guard) isPlannedExit(worker *backend.Worker) bool {
	record := g.registered[worker.ID]
	return g.registered != nil && (record == nil || record.Draining) && g.disconnected[worker.ID] == nil
}

// maxRequestsPerWorker bounds the requests kept per worker. It exceeds the number that a worker runs at a time, including those that
// abandoned it.
const maxRequestsPerWorker = 512

// addRequest adds a request to a worker that may have crashed. The caller holds the mutex.
func (g *Guard) addRequest(worker *backend.Worker, run Run) *disconnectedWorker {
	entry := g.entry(worker)
	if len(entry.requests) < maxRequestsPerWorker {
		// Of several copies the first one to begin counts.
		run.Began = earlierKnown(run.Began, entry.requests[run.Digest].Began)
		entry.requests[run.Digest] = run
	}
	return entry
}

// entry returns the entry of a worker that may have crashed, as one that a request was just added to. The caller holds the mutex.
func (g *Guard) entry(worker *backend.Worker) *disconnectedWorker {
	entry, found := g.disconnected[worker.ID]
	if !found {
		entry = &disconnectedWorker{worker: worker, requests: map[Digest]Run{}}
		g.disconnected[worker.ID] = entry
	}
	entry.lastRequest = g.now()
	return entry
}

// probe determines whether a worker has crashed.
func (g *Guard) probe(entry *disconnectedWorker) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	refuses, err := g.prober.RefusesConnections(ctx, entry.worker)
	// Whatever accepts connections may be the worker's successor.
	isReplaced := err == nil && !refuses && g.prober.Look(ctx, entry.worker, completeness.SettleTime) == completeness.WorkerReplaced
	g.mu.Lock()
	defer g.mu.Unlock()
	// Waiting callers read the status next, so the crash is recorded before the channel is closed.
	defer func(done chan struct{}) {
		entry.probeDone = nil
		close(done)
	}(entry.probeDone)
	switch {
	case entry.crashed || err != nil:
		// Without a result, UpdateWorkers counts a crash if the worker's record is removed.
	case refuses:
		g.recordCrash(entry, evidenceRefused)
	case isReplaced:
		g.recordCrash(entry, evidenceReplaced)
	default:
		// The worker runs: only the connection broke.
		delete(g.disconnected, entry.worker.ID)
	}
}

// UpdateWorkers applies changes of the registered workers. The removal of the record of a disconnected worker within recordTimeout of
// its last failed request counts as a crash.
func (g *Guard) UpdateWorkers(changes backend.Changes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registered == nil {
		g.registered = backend.Set{}
	}
	g.countVersions(changes)
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
	for _, id := range changes.Removed {
		if g.disconnected[id] == nil {
			delete(g.alive, id)
		}
	}
}

// recordCrash counts a crash of the worker against the requests that it ran. The event is emitted once per crash, with the requests
// known by then and the evidence; later calls for the same crash only add requests, and their evidence is ignored. The caller holds the
// mutex.
func (g *Guard) recordCrash(entry *disconnectedWorker, evidence string) {
	isNew := !entry.crashed
	entry.crashed = true
	if isNew {
		g.parts.mergeTime(g.now(), entry.worker.ID, g.crashTime(entry))
		g.parts.times.unsent[entry.worker.ID] = true
	}
	crashedAt := g.parts.times.latest(entry.worker.ID, g.now())
	event := WorkerCrashed{Worker: entry.worker, Evidence: evidence, Age: g.now().Sub(crashedAt)}
	parts := map[Part]bool{}
	for digest, run := range entry.requests {
		event.Requests = append(event.Requests, digest)
		for _, part := range run.Parts {
			parts[part] = true
		}
		crash := Crash{Digest: digest, Worker: entry.worker.ID}
		g.table.RecordCrash(g.now(), crashedAt, crash, run.Rule, run.Tenant)
		g.table.RecordRun(g.now(), run.Began, entry.brokenAt, crash)
	}
	event.Parts = slices.SortedFunc(maps.Keys(parts), compareParts)
	g.parts.recordCrash(g.now(), crashedAt, entry.worker.ID, g.versionBeside(entry.worker), event.Parts)
	clear(entry.requests)
	if isNew {
		g.emit(event)
	}
	g.notifyChange()
}

// crashTime returns when a worker crashed, as this gateway knows it. The caller holds the mutex.
func (g *Guard) crashTime(entry *disconnectedWorker) crashTime {
	known := crashTime{broken: entry.brokenAt, silent: entry.silentAt, alive: g.alive[entry.worker.ID]}
	if known.alive.After(known.broken) {
		// The worker went on after that connection broke.
		known.broken = time.Time{}
	}
	if known.broken.IsZero() && known.silent.IsZero() {
		known.silent = g.now()
	}
	return known
}

// notifyChange notifies the other gateways and schedules the next evaluation. The caller holds the mutex.
func (g *Guard) notifyChange() {
	if g.notify != nil {
		g.notify(true)
	}
	g.scheduleEvaluation()
}

// scheduleEvaluation starts a timer for the next pending evaluation. The caller holds the mutex.
func (g *Guard) scheduleEvaluation() {
	g.updateHasSuspects()
	next := g.table.NextEvaluation()
	if parts := g.parts.nextEvaluation(); next.IsZero() || (!parts.IsZero() && parts.Before(next)) {
		next = parts
	}
	if g.evaluationScheduled || next.IsZero() {
		return
	}
	g.evaluationScheduled = true
	time.AfterFunc(max(next.Sub(g.now()), 0)+time.Millisecond, g.evaluate)
}

// updateHasSuspects updates what HasSuspects returns. The caller holds the mutex.
func (g *Guard) updateHasSuspects() { g.hasSuspects.Store(!g.table.Empty() || !g.parts.empty()) }

// evaluate bars the pending parts and suspects that reached a crash limit. Parts come first, because they explain crashes of many requests.
func (g *Guard) evaluate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evaluationScheduled = false
	bars := append(g.parts.evaluate(g.now()), g.table.Evaluate(g.now())...)
	for _, bar := range bars {
		g.emit(BarCreated{bar})
	}
	if len(bars) > 0 && g.notify != nil {
		g.notify(true)
	}
	g.scheduleEvaluation()
}

// RecordSuccess records that a request succeeded.
func (g *Guard) RecordSuccess(digest Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	before := g.table.RecordSuccess(now, now, digest)
	if before == Clear {
		return
	}
	g.emit(Cleared{Digest: digest, WasBarred: before == Barred})
	g.notifyChange()
}

// ApplyBar applies a bar read from the store.
func (g *Guard) ApplyBar(bar Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	apply := g.table.ApplyBar
	if !bar.Part.IsZero() {
		apply = g.parts.applyBar
		if g.parts.isRefuted(g.now(), bar) {
			// The gateway that lifted the bar may have ended before it could remove it.
			g.emit(Cleared{Digest: bar.Digest, Part: bar.Part, WasBarred: true})
			g.notifyChange()
			return
		}
	}
	if g.now().Before(bar.Until) && apply(g.now(), bar) {
		g.emit(BarReceived{bar})
	}
	if g.tellRefutation() {
		g.emit(Cleared{Digest: bar.Digest, WasBarred: true})
	}
	g.updateHasSuspects()
}

// tellRefutation tells the other gateways of a success that has refuted the bar of a request, and reports whether there was one. The caller holds the
// mutex.
func (g *Guard) tellRefutation() bool {
	hasRefuted := g.table.hasRefuted
	g.table.hasRefuted = false
	if hasRefuted && g.notify != nil {
		g.notify(true)
	}
	return hasRefuted
}

// BeginRequestTrial reports whether a barred request may be sent to one worker, to find out whether it still crashes workers. isElected reports whether
// this gateway is the one to begin the trial with a number.
func (g *Guard) BeginRequestTrial(digest Digest, isElected func(number int) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.table.beginTrial(g.now(), digest, isElected) {
		return false
	}
	if g.notify != nil {
		// The other gateways must not begin the same trial.
		g.notify(true)
	}
	return true
}

// ReturnRequestTrial undoes BeginRequestTrial for a request that was sent to no worker.
func (g *Guard) ReturnRequestTrial(digest Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.returnTrial(digest)
}

// Release clears all evidence against the request or the part with a digest, and reports whether it was barred.
func (g *Guard) Release(digest Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasBarred := g.table.Release(g.now(), digest)
	if part, partWasBarred := g.parts.release(g.now(), digest); !part.IsZero() {
		wasBarred = partWasBarred
	}
	g.notifyChange()
	return wasBarred
}

// IsBarred reports whether the request or the part of a bar is barred.
func (g *Guard) IsBarred(bar Bar) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	status, _ := g.table.Status(g.now(), bar.Digest)
	if !bar.Part.IsZero() {
		status, _ = g.parts.status(g.now(), bar.Part)
	}
	return status == Barred
}

// Bars returns the active bars of requests and of parts.
func (g *Guard) Bars() []Bar {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append(g.table.Bars(g.now()), g.parts.bars(g.now())...)
}

// expiryInterval is the minimum interval between removals of expired entries, which full updates trigger.
const expiryInterval = 10 * time.Second

// expire removes expired entries. The caller holds the mutex.
func (g *Guard) expire(now time.Time) {
	g.table.Expire(now)
	g.parts.expire(now)
	for id, entry := range g.disconnected {
		if now.Sub(entry.lastRequest) > max(disconnectedRetention, recordTimeout) && entry.probeDone == nil {
			delete(g.disconnected, id)
		}
	}
	maps.DeleteFunc(g.alive, func(id string, _ time.Time) bool { return g.registered[id] == nil && g.disconnected[id] == nil })
	g.updateHasSuspects()
}

// ApplyUpdate merges an update of another gateway.
func (g *Guard) ApplyUpdate(update Update) {
	if len(update.Crashes)+len(update.Successes)+len(update.Bars) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, bar := range g.table.ApplyUpdate(g.now(), update) {
		g.emit(BarReceived{bar})
	}
	for _, digest := range g.table.liftedHere {
		// The gateway with the success may not know what the store holds.
		g.emit(Cleared{Digest: digest, WasBarred: true})
	}
	g.table.liftedHere = nil
	g.tellRefutation()
	for _, crash := range update.Crashes {
		g.emit(CrashReceived{Worker: crash.Worker, Age: time.Duration(crash.AgoMs) * time.Millisecond})
	}
	g.scheduleEvaluation()
}
