package fleet

import (
	"strings"
	"sync"
	"time"
)

// Fleet is the workers with the store in which they record themselves.
type Fleet struct {
	Store *Store

	mutex   sync.Mutex
	workers map[string]*Worker
	runs    map[string][]Run
	// arrivals are the requests that reached workers, run or not; orders those that were taken.
	arrivals []Arrival
	orders   []AcceptedOrder
	// notices are the answers in which workers spoke of themselves.
	notices []Notice
	// limits are when workers began to name limits, and others or none.
	limits []LimitChange
	// heads are what every call about a request has told of its caller.
	heads []Head
	// crashes are the ends of workers under requests.
	crashes []Crash
	// worked are the times in which workers worked on requests.
	work []Work
}

// Work is the time in which a worker worked on a request, reading or running it. Its end is zero while it goes on.
type Work struct {
	ID     string
	Worker string
	Begun  time.Time
	Ended  time.Time
}

// Worked returns the work so far.
func (f *Fleet) Worked() []Work {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Work(nil), f.work...)
}

// workBegun notes that work begins, and returns what notes its end.
func (f *Fleet) beginWork(id, worker string) func() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	index := len(f.work)
	f.work = append(f.work, Work{ID: id, Worker: worker, Begun: time.Now()})
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.work[index].Ended = time.Now()
	}
}

// Head is what a call about a request, be it a run or a reading, tells of its caller.
type Head struct {
	ID string
	// Tenant of the caller, and Key if it was passed on.
	Tenant, Key string
}

// Heads returns what calls have told of callers so far.
func (f *Fleet) Heads() []Head {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Head(nil), f.heads...)
}

// Arrival is a request that reached a worker.
type Arrival struct {
	ID      string
	Service string
	Worker  string
	// Reading is set when only the prompt is to be read.
	Reading bool
	At      time.Time
}

// Notice is what a worker said of itself in the answer to a request.
type Notice struct {
	ID     string
	Worker string
	// Leaving is set if it said that it leaves, and Rest is for how long it asked to be left alone.
	Leaving bool
	Rest    time.Duration
	// Limit is how many requests a second it said that it takes; zero if it named no limit.
	Limit float64
	// At is when the answer began, which arrives later.
	At time.Time
}

// Notices returns what workers said of themselves so far.
func (f *Fleet) Notices() []Notice {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Notice(nil), f.notices...)
}

// gaveNotice notes what a worker said of itself.
func (f *Fleet) recordNotice(notice Notice) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notices = append(f.notices, notice)
}

// Limited is that a worker names a limit from a moment on.
type LimitChange struct {
	Worker string
	// PerSecond is zero if it names none any more.
	PerSecond float64
	At        time.Time
}

// Limits returns when workers began to name limits so far, in their order.
func (f *Fleet) Limits() []LimitChange {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]LimitChange(nil), f.limits...)
}

// namesLimit notes that a worker names a limit.
func (f *Fleet) recordLimit(change LimitChange) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.limits = append(f.limits, change)
}

// Taken is an order that a worker took.
type AcceptedOrder struct {
	Worker string
	Holder string
	Fence  int64
	// At is when the order came; it may have been carried out later.
	At time.Time
}

// Arrivals returns the arrivals at workers so far.
func (f *Fleet) Arrivals() []Arrival {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Arrival(nil), f.arrivals...)
}

// Orders returns the orders that workers took so far.
func (f *Fleet) Orders() []AcceptedOrder {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]AcceptedOrder(nil), f.orders...)
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

// fetch takes a handle at its worker.
func (f *Fleet) consumeHandle(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	worker := f.worker(address)
	return worker != nil && worker.consumeHandle(handle)
}

// arrived notes an arrival.
func (f *Fleet) recordArrival(arrival Arrival) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.arrivals = append(f.arrivals, arrival)
}

// told notes what a call tells of its caller.
func (f *Fleet) recordHeaders(head Head) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.heads = append(f.heads, head)
}

// tookOrder notes an order.
func (f *Fleet) recordOrder(order AcceptedOrder) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders = append(f.orders, order)
}

// ran notes a run.
func (f *Fleet) recordRun(id string, run Run) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.runs[id] = append(f.runs[id], run)
}

// worker returns the worker at an address, or nil.
func (f *Fleet) worker(address string) *Worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.workers[address]
}
