package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// WorkerOptions say what a worker is like.
type WorkerOptions struct {
	// ID of the incarnation.
	ID      string
	Service string
	Zone    string
	// Stage is prefill or decode for engines, and empty for plain workers.
	Stage string
	// Slots is how many requests the worker works on at once; more are refused.
	Slots int
	// Work is how long a plain request or one event takes.
	Work time.Duration
	// Events is how many events a stream has.
	Events int
	// Through returns the address at which others reach a worker that serves at another one; nil is the same.
	Through func(address string) string
	// StageChange is how long a change of the stage takes an engine without a model, and RecordLag by how much its record tells
	// it later, and tells that the worker is back after it has crashed.
	StageChange, RecordLag time.Duration
	// Model makes the worker a model engine that answers completions; nil for one that takes Work for each event.
	Model *ModelOptions
}

// WorkerFault is how a worker misbehaves.
type WorkerFault int

// The faults of a worker.
const (
	// WorkerGood is none.
	WorkerGood WorkerFault = iota
	// WorkerErrors answers 500 after it ran.
	WorkerErrors
	// WorkerResets runs and resets the connection in place of an answer.
	WorkerResets
	// WorkerMute takes requests and never answers.
	WorkerMute
	// WorkerCuts breaks answers off in the middle.
	WorkerCuts
	// WorkerLapses lets the handles of prompts lapse at once.
	WorkerExpiresHandles
	// WorkerLateOrders carries orders out lateOrder after they came.
	WorkerLateOrders
	// WorkerFull refuses everything.
	WorkerFull
	// WorkerSheds refuses most requests: all but one in shedTakes.
	WorkerSheds
)

// shedTakes is how many requests a worker that sheds refuses together with one that it takes.
const shedAcceptsOneIn = 5

// Worker is one worker.
type Worker struct {
	options WorkerOptions
	fleet   *Fleet
	server  *http.Server
	// address at which others reach the worker, and the one at which it listens.
	address, listenAddress string

	mutex        sync.Mutex
	stage        string
	orderCount   int64
	fence        int64
	busy         int
	fault        WorkerFault
	requestCount int
	handles      map[string]bool
	nextID       int
	orderHolders []string
	draining     bool
	// leaving is set while all answers say that the worker leaves, be it recorded or not. restUntil is until when it refuses everything and
	// asks for rest, each time for rest.
	leaving    bool
	retryAfter time.Duration
	shedUntil  time.Time
	// limit is how many requests a second the answers say that the worker takes; zero names none.
	limit float64
	// changing is set while the worker is out for a change of its stage.
	changingStage bool
	model         *engineModel
	// crashed is set once the worker has ended under a request, and stopped once it is not to come back; next is its next life.
	crashed, stopped bool
	successor        *Worker
}

// Start adds a worker to the fleet and records it.
func (f *Fleet) Start(options WorkerOptions) (*Worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	if options.Through != nil {
		address = options.Through(address)
	}
	return f.startOn(options, listener, address), nil
}

// record writes the record of the worker into the store.
func (w *Worker) writeRecord() {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.fleet.Store.Put("servers/"+w.options.ID, jsonObject{
		"service": w.options.Service, "address": w.address, "zone": w.options.Zone, "version": "v1", "slots": w.options.Slots,
		"state": state, "coldLeftMs": 0, "stage": w.stage, "seqNo": w.orderCount,
	})
}

// ID returns the id of the incarnation.
func (w *Worker) ID() string { return w.options.ID }

// Address returns host:port.
func (w *Worker) Address() string { return w.address }

// Stage returns the part that the worker plays.
func (w *Worker) Stage() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stage
}

// ReadTokens returns how many tokens of prompts a model engine has read.
func (w *Worker) ReadTokens() int {
	w.model.mu.Lock()
	defer w.model.mu.Unlock()
	return w.model.prefilledTokens
}

// Changing tells whether the worker is out for a change of its stage.
func (w *Worker) Changing() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.changingStage
}

// Holders returns who gave the orders that the worker took.
func (w *Worker) Holders() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]string(nil), w.orderHolders...)
}

// SetFault makes the worker misbehave from now on.
func (w *Worker) SetFault(fault WorkerFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fault = fault
}

// faulty tells whether the worker misbehaves in a way.
func (w *Worker) hasFault(fault WorkerFault) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.fault == fault
}

// SayLeaving makes the worker say in all its answers that it leaves. Its record goes on to say that it is ready.
func (w *Worker) SayLeaving() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leaving = true
}

// Shed makes the worker refuse everything for a time; each time it asks to be left alone for the rest that is given, with the header in
// seconds.
func (w *Worker) Shed(duration, retryAfter time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.retryAfter, w.shedUntil = retryAfter, time.Now().Add(duration)
}

// Limit makes the worker name in its answers how many requests a second it takes of all together; zero names no limit any more. It takes
// more all the same.
func (w *Worker) Limit(perSecond float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.limit = perSecond
	w.fleet.recordLimit(LimitChange{Worker: w.options.ID, PerSecond: perSecond, At: time.Now()})
}

// Drain records that the worker leaves, and has its answers say so.
func (w *Worker) Drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining, w.leaving = true, true
	w.writeRecord()
}

// Stop ends the worker, and its next lives; with crash its record stays.
func (w *Worker) Stop(crash bool) {
	w.mutex.Lock()
	w.stopped = true
	next := w.successor
	w.mutex.Unlock()
	if next != nil {
		next.Stop(crash)
	}
	_ = w.server.Close()
	if !crash {
		w.fleet.Store.Delete("servers/" + w.options.ID)
	}
}

// lateOrder is by how much a worker with WorkerLateOrders is late; a lease may end meanwhile.
const lateOrderDelay = 1500 * time.Millisecond

// order changes the stage.
func (w *Worker) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Op       string `json:"op"`
		Stage    string `json:"stage"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expected"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || body.Holder == "" || body.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	receivedAt := time.Now()
	if w.hasFault(WorkerLateOrders) {
		time.Sleep(lateOrderDelay)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case body.Fence < w.fence:
		writer.WriteHeader(http.StatusPreconditionFailed)
	case body.Expected != nil && *body.Expected != w.orderCount:
		writer.WriteHeader(http.StatusConflict)
	case body.Stage == w.stage:
		writer.WriteHeader(http.StatusOK)
	case w.changingStage:
		writer.WriteHeader(http.StatusConflict)
	default:
		w.fence = body.Fence
		w.orderCount++
		w.orderHolders = append(w.orderHolders, body.Holder)
		w.fleet.recordOrder(AcceptedOrder{Worker: w.options.ID, Holder: body.Holder, Fence: body.Fence, At: receivedAt})
		w.changeStage(body.Stage)
		writer.WriteHeader(http.StatusAccepted)
	}
}

// change takes another stage, at once or after the time that it takes a model engine. The mutex is held.
func (w *Worker) changeStage(stage string) {
	duration := w.options.StageChange
	if w.model != nil {
		duration = w.model.options.StageChange
	}
	if duration == 0 {
		w.stage = stage
		w.writeRecordDelayed()
		return
	}
	w.changingStage = true
	time.AfterFunc(duration, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.changingStage, w.stage = false, stage
		w.writeRecordDelayed()
	})
}

// recordLater writes the record, at once or after its lag. The mutex is held.
func (w *Worker) writeRecordDelayed() {
	if w.options.RecordLag == 0 {
		w.writeRecord()
		return
	}
	time.AfterFunc(w.options.RecordLag, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.writeRecord()
	})
}

// take uses up a handle.
func (w *Worker) consumeHandle(handle string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.handles[handle]
	delete(w.handles, handle)
	return known
}
