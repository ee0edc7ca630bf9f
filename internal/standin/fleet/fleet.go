package fleet

import (
	"strings"
	"sync"
	"time"
)

// Fleet is a set of workers with the store in which they register. It records what the workers observe.
type Fleet struct {
	Store *Store

	mutex   sync.Mutex
	workers map[string]*Worker
	// aliases are further addresses of workers, with their registered addresses.
	aliases map[string]string
	runs    map[string][]Run
	// refusals counts the refusals of each request, by request ID.
	refusals map[string]int
	// onDown is told the registered address of each worker that ends, before its connections do, and of each that starts; nil without a hook.
	onDown func(address string, down bool)
	// cuts counts the responses that look whole although the end of their worker cut them, by request ID.
	cuts map[string]int
	// arrivals are all requests that reached workers, including refused ones; orders are the accepted orders.
	arrivals []Arrival
	orders   []AcceptedOrder
	// notices are the announcements that workers sent in response headers.
	notices []Notice
	// limits are the changes of the request limits that workers announce.
	limits []LimitChange
	// heads are the caller headers of all calls about requests.
	heads []Head
	// crashes are the worker crashes caused by requests.
	crashes []Crash
	// work holds the times during which workers processed requests.
	work []Work
}

// Work is the time during which a worker processed a request, prefill or run. Ended is zero while it is in progress.
type Work struct {
	ID     string
	Worker string
	Begun  time.Time
	Ended  time.Time
}

// Worked returns the work recorded so far.
func (f *Fleet) Worked() []Work {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Work(nil), f.work...)
}

// beginWork records the start of work and returns a function that records its end.
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

// Head holds the caller headers of a call about a request, either a prefill or a run.
type Head struct {
	ID string
	// Tenant is the caller's tenant. Key is its API key, if the gateway forwarded it.
	Tenant, Key string
}

// Heads returns the caller headers recorded so far.
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
	// Born is when the worker started in Unix milliseconds, which tells incarnations with the same ID apart; zero if it does not report it.
	Born int64
	// Reading is set for prefill requests.
	Reading bool
	At      time.Time
}

// Notice is an announcement that a worker sent in the headers of a response.
type Notice struct {
	ID     string
	Worker string
	// Born is as in Arrival.
	Born int64
	// Leaving is set if the worker announced that it is leaving. Rest is the Retry-After time of a refusal.
	Leaving bool
	Rest    time.Duration
	// Limit is the announced limit in requests per second; zero if there is none.
	Limit float64
	// At is when the worker started the response, which precedes its arrival at the gateway.
	At time.Time
}

// Notices returns the announcements recorded so far.
func (f *Fleet) Notices() []Notice {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Notice(nil), f.notices...)
}

// recordNotice records an announcement.
func (f *Fleet) recordNotice(notice Notice) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notices = append(f.notices, notice)
}

// LimitChange is a change of the request limit that a worker announces.
type LimitChange struct {
	Worker string
	// PerSecond is the new limit; zero if the worker no longer announces one.
	PerSecond float64
	At        time.Time
}

// Limits returns the limit changes recorded so far, in order.
func (f *Fleet) Limits() []LimitChange {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]LimitChange(nil), f.limits...)
}

// recordLimit records a limit change.
func (f *Fleet) recordLimit(change LimitChange) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.limits = append(f.limits, change)
}

// AcceptedOrder is an order that a worker accepted.
type AcceptedOrder struct {
	Worker string
	Holder string
	Fence  int64
	// At is when the worker received the order, which may precede its execution.
	At time.Time
}

// Arrivals returns the arrivals recorded so far.
func (f *Fleet) Arrivals() []Arrival {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Arrival(nil), f.arrivals...)
}

// Orders returns the accepted orders recorded so far.
func (f *Fleet) Orders() []AcceptedOrder {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]AcceptedOrder(nil), f.orders...)
}

// Run is one execution of a request by a worker.
type Run struct {
	Worker string
	// Version is the software version of the worker.
	Version string
	// Resumed is the Last-Event-Id of a resumed run, or empty.
	Resumed string
	// Continued is set if the run continued another worker's run from a copy, which makes it a part of that run.
	Continued bool
	Begun     time.Time
}

// NewFleet returns a fleet without workers and with an empty store.
func NewFleet() *Fleet {
	return &Fleet{Store: NewStore(), workers: map[string]*Worker{}, aliases: map[string]string{}, runs: map[string][]Run{}, refusals: map[string]int{}, cuts: map[string]int{}}
}

// Runs returns the runs recorded so far, by request ID.
func (f *Fleet) Runs() map[string][]Run {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	runs := map[string][]Run{}
	for id, each := range f.runs {
		runs[id] = append([]Run(nil), each...)
	}
	return runs
}

// consumeHandle consumes a KV handle of the worker that issued it, given as ADDRESS/HANDLE. It reports whether the handle was
// valid.
func (f *Fleet) consumeHandle(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	worker := f.worker(address)
	return worker != nil && worker.consumeHandle(handle)
}

// recordArrival records an arrival.
func (f *Fleet) recordArrival(arrival Arrival) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.arrivals = append(f.arrivals, arrival)
}

// recordHeaders records the caller headers of a call.
func (f *Fleet) recordHeaders(head Head) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.heads = append(f.heads, head)
}

// recordOrder records an accepted order.
func (f *Fleet) recordOrder(order AcceptedOrder) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders = append(f.orders, order)
}

// recordRun records a run.
func (f *Fleet) recordRun(id string, run Run) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.runs[id] = append(f.runs[id], run)
}

// AddAlias makes the worker at a registered address known under another one too, for example that of a proxy.
func (f *Fleet) AddAlias(alias, registered string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.aliases[alias] = registered
}

// NotifyDown makes the fleet call a function with the registered address of each worker that ends, before its listener and its connections are
// closed, and of each that starts. It has to be set before the first worker starts.
func (f *Fleet) NotifyDown(onDown func(address string, down bool)) { f.onDown = onDown }

// setDown calls the hook of NotifyDown, if there is one.
func (f *Fleet) setDown(address string, down bool) {
	if f.onDown != nil {
		f.onDown(address, down)
	}
}

// worker returns the worker at an address or alias, or nil.
func (f *Fleet) worker(address string) *Worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if registered, isAlias := f.aliases[address]; isAlias {
		address = registered
	}
	return f.workers[address]
}
