package fleet

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

// ledgerRetention is how long runs are remembered: as long as an idempotency key may be used.
const ledgerRetention = 10 * time.Minute

// Ledger notes what the engines really did. It looks from outside: it knows nothing of what the system believes.
type Ledger struct {
	roleChangeTime time.Duration

	mutex sync.Mutex
	// started counts the runs that engines began, by request id; order lists the ids, oldest first.
	started map[string]int
	order   []startedRun
	// once holds the requests that may run once at most.
	once       map[string]bool
	duplicates int
	engines    map[string]engineRole
	changes    int
	// onFinished is told of each answer that an engine finished; nil for nobody.
	onFinished func(requestID string, role engine.Role)
}

// startedRun is when a request was first run, or named as one that may run once.
type startedRun struct {
	at        time.Time
	requestID string
}

// engineRole is the role that an engine was last ordered to have.
type engineRole struct {
	role engine.Role
	// outUntil is when the engine is done with the change that the order asked for.
	outUntil time.Time
}

func newLedger(roleChangeTime time.Duration, onFinished func(requestID string, role engine.Role)) *Ledger {
	return &Ledger{
		roleChangeTime: roleChangeTime,
		started:        make(map[string]int),
		once:           make(map[string]bool),
		engines:        make(map[string]engineRole),
		onFinished:     onFinished,
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

// Roles are numbers of engines by what they do.
type Roles struct {
	Prefill int
	Decode  int
	// Changing engines are out of service on their way from one role to another.
	Changing int
}

// Roles counts the engines by role. Engines that got no order yet are not counted.
func (l *Ledger) Roles(now time.Time) Roles {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var roles Roles
	for _, each := range l.engines {
		switch {
		case now.Before(each.outUntil):
			roles.Changing++
		case each.role == engine.RolePrefill:
			roles.Prefill++
		default:
			roles.Decode++
		}
	}
	return roles
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
func (l *Ledger) RunFinished(_ time.Time, run enginemodel.RunRecord) {
	if l.onFinished != nil {
		l.onFinished(run.RequestID, l.roleOf(run.Engine))
	}
}

// roleOf returns the role that an engine was last ordered to have.
func (l *Ledger) roleOf(name string) engine.Role {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.engines[name].role
}

// RunCut is part of enginemodel.Observer.
func (l *Ledger) RunCut(time.Time, enginemodel.RunRecord, enginemodel.CutCause) {}

// engineObserver is the Observer of one engine.
type engineObserver struct {
	*Ledger
	engine string
}

// OrderHandled is part of enginemodel.Observer. The order itself does not name the engine.
func (o engineObserver) OrderHandled(now time.Time, order engine.Order, accepted bool, _ engine.Refusal) {
	if accepted {
		o.noteRole(now, o.engine, order.Configuration.Role)
	}
}

// noteRole takes the role that an engine was ordered to have.
func (l *Ledger) noteRole(now time.Time, name string, role engine.Role) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before, known := l.engines[name]
	if known && before.role == role {
		return
	}
	after := engineRole{role: role}
	if known {
		l.changes++
		after.outUntil = now.Add(l.roleChangeTime)
	}
	l.engines[name] = after
}
