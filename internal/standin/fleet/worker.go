package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// WorkerOptions configure a worker.
type WorkerOptions struct {
	// ID identifies the incarnation of the worker.
	ID      string
	Service string
	Zone    string
	// Version is the version of the worker's software. Workers with one sign each event of a stream with it, and record when they started;
	// workers without one are of DefaultVersion and do neither.
	Version string
	// Stage is prefill or decode for engines, and empty for plain workers.
	Stage string
	// Slots is the number of concurrent requests; further ones are refused.
	Slots int
	// Work is the duration of a plain request or of one event of a stream.
	Work time.Duration
	// Events is the number of events in a stream.
	Events int
	// Through maps the listening address to the address under which the worker registers; nil keeps the listening address.
	Through func(address string) string
	// StageChange is the duration of a stage change of an engine without a model. RecordLag delays updates of the worker's
	// record, both after a stage change and after a restart.
	StageChange, RecordLag time.Duration
	// PartCrash is when a crashing part of a prompt crashes the worker.
	PartCrash CrashPoint
	// Unframed makes responses have neither a length nor chunks, so that they end with their connection. One that a crash ends between two
	// parts looks whole.
	Unframed bool
	// Model makes the worker a model engine that answers completions; nil makes each event take Work.
	Model *ModelOptions
}

// WorkerFault is a fault that a worker simulates.
type WorkerFault int

// The faults of a worker.
const (
	// WorkerGood means normal operation.
	WorkerGood WorkerFault = iota
	// WorkerErrors answers 500 after running the request.
	WorkerErrors
	// WorkerResets runs the request and resets the connection instead of answering.
	WorkerResets
	// WorkerMute accepts requests and never answers.
	WorkerMute
	// WorkerCuts aborts responses midway.
	WorkerCuts
	// WorkerExpiresHandles issues KV handles that are already expired.
	WorkerExpiresHandles
	// WorkerLateOrders delays the execution of orders by lateOrderDelay.
	WorkerLateOrders
	// WorkerFull refuses all requests.
	WorkerFull
	// WorkerStalls sends the first events of a stream and then nothing, and keeps the connection open.
	WorkerStalls
	// WorkerSheds accepts only one in shedAcceptsOneIn requests.
	WorkerSheds
	// WorkerShedsSome refuses one in shedRefusesOneIn requests.
	WorkerShedsSome
)

// shedAcceptsOneIn is the reciprocal of the share of requests that WorkerSheds accepts.
const shedAcceptsOneIn = 5

// shedRefusesOneIn is the reciprocal of the share of requests that WorkerShedsSome refuses.
const shedRefusesOneIn = 4

// Worker is a simulated worker: a plain one, or an engine in the prefill or decode stage.
type Worker struct {
	options WorkerOptions
	fleet   *Fleet
	server  *http.Server
	// listener is that of the server.
	listener net.Listener
	// address is the registered address, and listenAddress the one on which the worker listens.
	address, listenAddress string

	mutex        sync.Mutex
	stage        string
	orderCount   int64
	fence        int64
	busy         int
	fault        WorkerFault
	requestCount int
	// refusals is how the worker refuses requests, and refusalCount how many it has refused.
	refusals     Refusals
	refusalCount int
	handles      map[string]bool
	// copies holds how many events each copied run of another worker had made, by request ID. With keepsNoCopies, there is no room for them.
	copies        map[string]int
	keepsNoCopies bool
	// unframed is as in WorkerOptions.
	unframed     bool
	nextID       int
	orderHolders []string
	draining     bool
	// leaving is set while all responses announce that the worker is leaving, whether or not its record says so. Until shedUntil,
	// the worker refuses all requests with a Retry-After of retryAfter.
	leaving    bool
	retryAfter time.Duration
	shedUntil  time.Time
	// limit is the announced limit in requests per second; zero for none.
	limit float64
	// changingStage is set while the worker is unavailable because of a stage change.
	changingStage bool
	model         *engineModel
	// crashed is set once a request has crashed the worker. stopped prevents a restart. successor is the restarted worker.
	crashed, stopped bool
	successor        *Worker
	// replaced is set once another incarnation has taken over the record of the worker. born is when the worker started in Unix
	// milliseconds; zero if its record does not tell.
	replaced bool
	born     int64
}

// DefaultVersion is the software version in the records of workers without a version of their own.
const DefaultVersion = "v1"

// Start starts a worker and registers it in the store.
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

// writeRecord writes the worker's record to the store.
func (w *Worker) writeRecord() {
	if w.replaced {
		return
	}
	state := "ready"
	if w.draining {
		state = "draining"
	}
	record := jsonObject{
		"service": w.options.Service, "address": w.address, "zone": w.options.Zone, "version": w.Version(), "slots": w.options.Slots,
		"state": state, "coldLeftMs": 0, "stage": w.stage, "seqNo": w.orderCount,
	}
	if w.born > 0 {
		record["born"] = w.born
	}
	w.fleet.Store.Put("servers/"+w.options.ID, record)
}

// KeepNoCopies makes the worker have no room for copies of other workers' runs, whatever its fault is.
func (w *Worker) KeepNoCopies() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.keepsNoCopies = true
}

// ID returns the ID of the incarnation.
func (w *Worker) ID() string { return w.options.ID }

// Address returns the registered host:port.
func (w *Worker) Address() string { return w.address }

// Stage returns the current stage.
func (w *Worker) Stage() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stage
}

// Serves reports whether the worker runs and takes requests of a stage.
func (w *Worker) Serves(stage string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stage == stage && w.fault == WorkerGood && !w.crashed && !w.stopped && !w.leaving && !w.changingStage
}

// ReadTokens returns the number of prompt tokens that a model engine has processed.
func (w *Worker) ReadTokens() int {
	w.model.mu.Lock()
	defer w.model.mu.Unlock()
	return w.model.prefilledTokens
}

// ChangingStage reports whether the worker is unavailable because of a stage change.
func (w *Worker) ChangingStage() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.changingStage
}

// Holders returns the lease holders that issued the accepted orders.
func (w *Worker) Holders() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]string(nil), w.orderHolders...)
}

// SetFault sets the fault that the worker simulates.
func (w *Worker) SetFault(fault WorkerFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fault = fault
}

// hasFault reports whether the worker simulates a fault.
func (w *Worker) hasFault(fault WorkerFault) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.fault == fault
}

// SayLeaving makes the worker announce in all responses that it is leaving. Its record still says that it is ready.
func (w *Worker) SayLeaving() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leaving = true
}

// Shed makes the worker refuse all requests for a duration, with a Retry-After header in seconds.
func (w *Worker) Shed(duration, retryAfter time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.retryAfter, w.shedUntil = retryAfter, time.Now().Add(duration)
}

// Limit makes the worker announce a limit in requests per second in its responses; zero announces none. The worker does not
// enforce the limit.
func (w *Worker) Limit(perSecond float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.limit = perSecond
	w.fleet.recordLimit(LimitChange{Worker: w.options.ID, PerSecond: perSecond, At: time.Now()})
}

// Drain marks the worker as draining in its record and announces in its responses that it is leaving.
func (w *Worker) Drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining, w.leaving = true, true
	w.writeRecord()
}

// Stop stops the worker and its successors. If crash is set, the record remains in the store.
func (w *Worker) Stop(crash bool) {
	w.mutex.Lock()
	w.stopped = true
	next := w.successor
	w.mutex.Unlock()
	if next != nil {
		next.Stop(crash)
	}
	w.fleet.setDown(w.address, true)
	_ = w.server.Close()
	if !crash {
		w.fleet.Store.Delete("servers/" + w.options.ID)
	}
}

// lateOrderDelay is the delay of WorkerLateOrders. The holder's lease may expire in the meantime.
const lateOrderDelay = 1500 * time.Millisecond

// handleOrder handles an order to change the stage.
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

// changeStage changes the stage, after the configured duration. The caller holds the mutex.
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

// writeRecordDelayed writes the record after RecordLag. The caller holds the mutex.
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

// consumeHandle deletes a KV handle and reports whether it was valid.
func (w *Worker) consumeHandle(handle string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.handles[handle]
	delete(w.handles, handle)
	return known
}
