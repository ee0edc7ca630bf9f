package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	WorkerLapses
	// WorkerFull refuses everything.
	WorkerFull
)

// Fleet is the workers with the store in which they record themselves.
type Fleet struct {
	Store *Store

	mutex   sync.Mutex
	workers map[string]*Worker
	runs    map[string][]Run
	// arrivals are the requests that reached workers, run or not, without readings; orders those that were taken.
	arrivals []Arrival
	orders   []Taken
}

// Arrival is a request that reached a worker.
type Arrival struct {
	ID      string
	Service string
	At      time.Time
}

// Taken is an order that a worker took.
type Taken struct {
	Worker string
	Holder string
	Fence  int64
	At     time.Time
}

// Arrivals returns the arrivals at workers so far.
func (f *Fleet) Arrivals() []Arrival {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Arrival(nil), f.arrivals...)
}

// Orders returns the orders that workers took so far.
func (f *Fleet) Orders() []Taken {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Taken(nil), f.orders...)
}

// Run is one run of a request at a worker.
type Run struct {
	Worker string
	// Resumed is the id of the last event before a resumed run, or empty.
	Resumed string
	Begun   time.Time
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{Store: NewStore(), workers: map[string]*Worker{}, runs: map[string][]Run{}}
}

// Runs returns the runs of every request so far.
func (f *Fleet) Runs() map[string][]Run {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	runs := map[string][]Run{}
	for id, each := range f.runs {
		runs[id] = append([]Run(nil), each...)
	}
	return runs
}

// Worker is one worker.
type Worker struct {
	options WorkerOptions
	fleet   *Fleet
	server  *http.Server
	address string

	mutex    sync.Mutex
	stage    string
	orders   int64
	fence    int64
	busy     int
	fault    WorkerFault
	handles  map[string]bool
	nextID   int
	holders  []string
	draining bool
	// changing is set while the worker is out for a change of its stage.
	changing bool
	model    *model
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
	worker := &Worker{
		options: options, fleet: f, address: address, stage: options.Stage, handles: map[string]bool{},
	}
	if options.Model != nil {
		worker.model = newModel(*options.Model)
	}
	worker.server = &http.Server{Handler: worker}
	go func() { _ = worker.server.Serve(listener) }()
	f.mutex.Lock()
	f.workers[worker.address] = worker
	f.mutex.Unlock()
	worker.record()
	return worker, nil
}

// record writes the record of the worker into the store.
func (w *Worker) record() {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.fleet.Store.Put("servers/"+w.options.ID, fields{
		"service": w.options.Service, "address": w.address, "zone": w.options.Zone, "version": "v1", "slots": w.options.Slots,
		"state": state, "coldLeftMs": 0, "stage": w.stage, "seqNo": w.orders,
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

// Changing tells whether the worker is out for a change of its stage.
func (w *Worker) Changing() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.changing
}

// Holders returns who gave the orders that the worker took.
func (w *Worker) Holders() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]string(nil), w.holders...)
}

// SetFault makes the worker misbehave from now on.
func (w *Worker) SetFault(fault WorkerFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fault = fault
}

// Drain records that the worker leaves.
func (w *Worker) Drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining = true
	w.record()
}

// Stop ends the worker; with crash its record stays.
func (w *Worker) Stop(crash bool) {
	_ = w.server.Close()
	if !crash {
		w.fleet.Store.Delete("servers/" + w.options.ID)
	}
}

// ServeHTTP is part of http.Handler.
func (w *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.options.ID {
		writer.Header().Set("Instance-Id", w.options.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == "/v1/report":
		w.mutex.Lock()
		report := fields{"stage": w.stage, "busy": w.changing, "seqNo": w.orders, "running": w.busy}
		w.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(report)
	case request.URL.Path == "/v1/order":
		w.order(writer, request)
	case strings.HasPrefix(request.URL.Path, "/v1/kv-handle/"):
		w.take(strings.TrimPrefix(request.URL.Path, "/v1/kv-handle/"))
	default:
		w.serve(writer, request)
	}
}

// order changes the stage.
func (w *Worker) order(writer http.ResponseWriter, request *http.Request) {
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
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case body.Fence < w.fence:
		writer.WriteHeader(http.StatusPreconditionFailed)
	case body.Expected != nil && *body.Expected != w.orders:
		writer.WriteHeader(http.StatusConflict)
	case body.Stage == w.stage:
		writer.WriteHeader(http.StatusOK)
	case w.changing:
		writer.WriteHeader(http.StatusConflict)
	default:
		w.fence = body.Fence
		w.orders++
		w.holders = append(w.holders, body.Holder)
		w.fleet.tookOrder(Taken{Worker: w.options.ID, Holder: body.Holder, Fence: body.Fence, At: time.Now()})
		w.change(body.Stage)
		writer.WriteHeader(http.StatusAccepted)
	}
}

// change takes another stage, at once or after the time that it takes a model engine. The mutex is held.
func (w *Worker) change(stage string) {
	if w.model == nil {
		w.stage = stage
		w.record()
		return
	}
	w.changing = true
	time.AfterFunc(w.model.options.StageChange, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.changing, w.stage = false, stage
		w.record()
	})
}

// take uses up a handle.
func (w *Worker) take(handle string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.handles[handle]
	delete(w.handles, handle)
	return known
}

// refuse says that a request did not run.
func refuse(writer http.ResponseWriter, id string) {
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// serve reads or runs a request.
func (w *Worker) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	if request.Header.Get("Stage") == "" {
		w.fleet.arrived(Arrival{ID: id, Service: w.options.Service, At: time.Now()})
	}
	w.mutex.Lock()
	full := w.busy >= w.options.Slots || w.changing || w.fault == WorkerFull
	fault := w.fault
	stage := w.stage
	if !full {
		w.busy++
	}
	w.mutex.Unlock()
	if full {
		refuse(writer, id)
		return
	}
	defer func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.busy--
	}()
	wanted := request.Header.Get("Stage")
	switch {
	case fault == WorkerMute:
		<-request.Context().Done()
	case wanted == "prefill" && stage == "prefill":
		w.read(writer, request, id, fault)
	case wanted == "prefill" || stage == "prefill":
		writer.WriteHeader(http.StatusMisdirectedRequest)
	default:
		w.run(writer, request, id, body, fault)
	}
}

// read only reads the prompt.
func (w *Worker) read(writer http.ResponseWriter, request *http.Request, id string, fault WorkerFault) {
	tokens, _, _ := strings.Cut(request.Header.Get("Token-Count"), ",")
	if w.model != nil && !w.readPrompt(request, 1) {
		return
	}
	w.mutex.Lock()
	w.nextID++
	handle := fmt.Sprint(w.options.ID, "-h", w.nextID)
	w.handles[handle] = fault != WorkerLapses
	w.mutex.Unlock()
	count, _ := strconv.Atoi(tokens)
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(fields{"kvHandle": handle, "tokens": count, "version": 1})
}

// run runs a request.
func (w *Worker) run(writer http.ResponseWriter, request *http.Request, id string, body []byte, fault WorkerFault) {
	if source := request.Header.Get("Kv-Source"); source != "" && !w.fleet.fetch(source) {
		refuse(writer, id)
		return
	}
	if w.model != nil {
		defer w.model.run()()
		if !w.takePrompt(request) {
			return
		}
	}
	resumed := request.Header.Get("Last-Event-Id")
	w.fleet.ran(id, Run{Worker: w.options.ID, Resumed: resumed, Begun: time.Now()})
	time.Sleep(w.options.Work)
	controller := http.NewResponseController(writer)
	if fault == WorkerResets {
		if connection, _, err := controller.Hijack(); err == nil {
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
		return
	}
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Response-Signature", "s."+id)
	if fault == WorkerErrors {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if w.model != nil && request.URL.Path == completionsPath {
		w.complete(writer, request, id, body, fault)
		return
	}
	if w.options.Stage == "" {
		answer := PlainAnswer(id, body)
		writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		if fault == WorkerCuts {
			answer = answer[:len(answer)/2]
		}
		_, _ = io.WriteString(writer, answer)
		return
	}
	w.stream(writer, controller, id, resumed, fault)
}

// stream writes events after the one that the caller has.
func (w *Worker) stream(writer http.ResponseWriter, controller *http.ResponseController, id, resumed string, fault WorkerFault) {
	writer.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(resumed)
	for number := after + 1; number <= w.options.Events; number++ {
		if fault == WorkerCuts && number > after+1 {
			_, _ = io.WriteString(writer, "id: "+strconv.Itoa(number)+"\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(writer, Event(id, number))
		_ = controller.Flush()
		time.Sleep(w.options.Work)
	}
}

// PlainAnswer is the answer of a plain worker to a request.
func PlainAnswer(id string, body []byte) string { return "answer to " + id + " of " + string(body) }

// Event is one event of the answer of an engine.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", number, id, number)
}

// fetch takes a handle at its worker.
func (f *Fleet) fetch(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	worker := f.worker(address)
	return worker != nil && worker.take(handle)
}

// arrived notes an arrival.
func (f *Fleet) arrived(arrival Arrival) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.arrivals = append(f.arrivals, arrival)
}

// tookOrder notes an order.
func (f *Fleet) tookOrder(taken Taken) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders = append(f.orders, taken)
}

// ran notes a run.
func (f *Fleet) ran(id string, run Run) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.runs[id] = append(f.runs[id], run)
}

// slowReading is by how much longer a worker reads between the tokens of others.
const slowReading = 2

// readPrompt reads what the engine does not keep of a prompt, or takes it from another one, and tells whether the caller is
// still there.
func (w *Worker) readPrompt(request *http.Request, slowdown float64) bool {
	parts := partsOf(request.Header.Get("Prompt-Prefix"))
	gone := request.Context().Done()
	if other := w.fleet.worker(request.Header.Get("Kv-Fetch")); other != nil && other.model != nil {
		fetched := w.model.missing(parts) - other.model.missing(parts)
		if fetched > 0 && !w.model.move(fetched, gone) {
			return false
		}
		if fetched > 0 && len(parts) > 1 {
			w.model.keep(parts[:len(parts)-1])
		}
	}
	if !w.model.read(w.model.missing(parts), slowdown, gone) {
		return false
	}
	w.model.keep(parts)
	return true
}

// takePrompt gets the memory of a prompt from the worker that has read it, or reads it.
func (w *Worker) takePrompt(request *http.Request) bool {
	if request.Header.Get("Kv-Source") == "" {
		return w.readPrompt(request, slowReading)
	}
	parts := partsOf(request.Header.Get("Prompt-Prefix"))
	if !w.model.move(w.model.missing(parts), request.Context().Done()) {
		return false
	}
	w.model.keep(parts)
	return true
}

// worker returns the worker at an address, or nil.
func (f *Fleet) worker(address string) *Worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.workers[address]
}
