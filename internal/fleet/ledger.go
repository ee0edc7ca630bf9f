package fleet

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

// ledgerRetention is how long runs are remembered: as long as an idempotency key may be used.
const ledgerRetention = 10 * time.Minute

// Ledger notes what the engines really did. It looks from outside: it knows nothing of what the system believes.
type Ledger struct {
	mutex sync.Mutex
	// started counts the runs that engines began, by request id; order lists the ids, oldest first.
	started map[string]int
	order   []startedRun
	// once holds the requests that may run once at most.
	once       map[string]bool
	duplicates int
	engines    map[string]engineRole
	changes    int
}

// startedRun is when a request was first run, or named as one that may run once.
type startedRun struct {
	at        time.Time
	requestID string
}

// engineRole is the role that an engine was last ordered to have.
type engineRole struct {
	role engine.Role
	// since is when the engine accepted the order that changed its configuration.
	since time.Time
	model string
}

func newLedger() *Ledger {
	return &Ledger{
		started: make(map[string]int),
		once:    make(map[string]bool),
		engines: make(map[string]engineRole),
	}
}

// ExpectOnce tells the ledger that a request may run once at most. It must be called before the request is sent.
func (l *Ledger) ExpectOnce(now time.Time, requestID string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.remember(now, requestID)
	l.once[requestID] = true
}

// Runs returns how many times engines began to run a request.
func (l *Ledger) Runs(requestID string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.started[requestID]
}

// DuplicateRuns counts the runs beyond the first of requests that may run once at most.
func (l *Ledger) DuplicateRuns() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.duplicates
}

// RoleChanges counts the orders by which engines went from one role to another.
func (l *Ledger) RoleChanges() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changes
}

// Roles counts the engines by the role that they have or are changing to. Engines without a role are not counted.
func (l *Ledger) Roles() map[engine.Role]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return lo.CountValuesBy(lo.Values(l.engines), func(each engineRole) engine.Role { return each.role })
}

// remember notes a request and forgets those that are too old to be sent again.
func (l *Ledger) remember(now time.Time, requestID string) {
	if _, known := l.started[requestID]; known {
		return
	}
	l.started[requestID] = 0
	l.order = append(l.order, startedRun{at: now, requestID: requestID})
	for now.Sub(l.order[0].at) > ledgerRetention {
		delete(l.started, l.order[0].requestID)
		delete(l.once, l.order[0].requestID)
		l.order = l.order[1:]
	}
}

// RunStarted is part of enginemodel.Observer.
func (l *Ledger) RunStarted(now time.Time, run enginemodel.RunRecord) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.remember(now, run.RequestID)
	l.started[run.RequestID]++
	if l.once[run.RequestID] && l.started[run.RequestID] > 1 {
		l.duplicates++
	}
}

// RunFinished is part of enginemodel.Observer.
func (l *Ledger) RunFinished(time.Time, enginemodel.RunRecord) {}

// RunCut is part of enginemodel.Observer.
func (l *Ledger) RunCut(time.Time, enginemodel.RunRecord, enginemodel.CutCause) {}

// OrderHandled is part of enginemodel.Observer.
func (l *Ledger) OrderHandled(now time.Time, order engine.Order, accepted bool, _ engine.Refusal) {
	if !accepted {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.engines[order.Engine]
	after := engineRole{role: order.Configuration.Role, model: order.Configuration.Model, since: now}
	if before.role == after.role && before.model == after.model {
		return
	}
	if before.role != engine.RoleNone && before.role != after.role {
		l.changes++
	}
	l.engines[order.Engine] = after
}
