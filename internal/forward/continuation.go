package forward

import (
	"context"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/admission"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/migration"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/stallwatch"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// Continuation says from what an attempt continues a response that another worker began.
type Continuation string

// The kinds of continuations. ContinuesNothing is an attempt from the start.
const (
	ContinuesNothing   Continuation = ""
	ContinuesLastEvent Continuation = "last event"
	ContinuesCopy      Continuation = "copy"
)

// runCopy is a copy of the state of a run, kept by another engine while the run is in progress.
type runCopy struct {
	engine *backend.Worker
	held   migration.Copy
}

// backupOf returns the engine that holds the copy, or nil.
func backupOf(held *runCopy) *backend.Worker {
	if held == nil {
		return nil
	}
	return held.engine
}

// migrationRun describes the run at a worker to the policy.
func (c *call) migrationRun(worker *backend.Worker, held *runCopy) migration.Run {
	run := migration.Run{
		Group: worker.Group, Zone: worker.Zone, Rule: c.match.Rule.Name, Engine: worker.ID, Resumable: c.resumable(),
		Tokens:  c.request.Demand.PromptTokens + c.request.Demand.OutputTokens,
		Started: c.relay.started && c.relay.lastEvent != "", Deadline: c.deadline,
	}
	if held != nil {
		run.Backup = held.engine.ID
	}
	return run
}

// copyable reports whether engines could keep copies of the runs of this request.
func (c *call) copyable() bool {
	engine := c.match.Group.Engine
	return engine != nil && engine.KeepsCopies && c.isStream() && !c.resumable()
}

// isStream reports whether the response is a stream of events.
func (c *call) isStream() bool {
	return c.match.Rule.Kind == routing.KindStream && !c.request.Unstreamed
}

// keepCopy decides whether the run at a worker gets a copy, and picks the engine that keeps it. It returns nil for none.
func (c *call) keepCopy(runner *Assignment) *runCopy {
	if !c.copyable() || !c.guarded.hasStatus(poison.Clear, poison.Excused) {
		return nil
	}
	return c.handler.dispatcher.keepCopy(c.request, c.match, c.migrationRun(runner.Worker, nil), versionOf(runner.Worker))
}

// keepCopy decides whether a run at a worker of a version gets a copy, and picks the engine of that version that keeps it. It returns nil for
// none.
func (d *Dispatcher) keepCopy(request *Request, match routing.Match, run migration.Run, version streamversion.Version) *runCopy {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	gateways := max(d.retries.share.GatewayCount(d.retries.now()), 1)
	limit := max(copiesPerEngine*d.balancer.Count(match.Group.Name)/gateways, 1)
	held, wanted := d.migration.Copy(now, run, match.Group.Engine.BytesPerToken, limit)
	if !wanted {
		return nil
	}
	query := balance.Query{
		Request: request.ID, Group: match.Group.Name, Role: backend.RoleDecode, Excluded: []string{run.Engine}, Eligible: versionFilter{bound: &version}.eligible(),
	}
	backup, found := d.balancer.Backup(now, query, func(zone string) bool { return (zone == run.Zone) != held.OtherZone })
	if !found {
		d.migration.Release(held)
		return nil
	}
	return &runCopy{engine: backup, held: held}
}

// copiesPerEngine is the number of copies for each engine of a group that all gateways together ask for at a time.
const copiesPerEngine = 1

// releaseCopy frees the bytes of a copy after its run.
func (d *Dispatcher) releaseCopy(held *runCopy) {
	if held == nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.migration.Release(held.held)
}

// MigrationTotals returns the counts of copies.
func (d *Dispatcher) MigrationTotals() migration.Totals {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.migration.Totals()
}

// assignCopy assigns a run to the engine that holds its copy, or returns false if the engine is not available.
func (d *Dispatcher) assignCopy(held *runCopy) (*Assignment, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.copyHolder(held)
	if !found {
		return nil, false
	}
	return d.assign(balance.Choice{Worker: worker}, 0, false, 0), true
}

// copyHolder returns the engine that holds a copy, or false if it is not available. The mutex is held.
func (d *Dispatcher) copyHolder(held *runCopy) (*backend.Worker, bool) {
	worker, found := d.balancer.Worker(held.engine.ID)
	if !found || worker.Role != backend.RoleDecode || !d.balancer.InService(d.now(), worker.ID) {
		return nil, false
	}
	return worker, true
}

// copyAvailable reports whether the engine that holds a copy is available.
func (d *Dispatcher) copyAvailable(held *runCopy) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, found := d.copyHolder(held)
	return found
}

// recordStream records how long a complete stream of a rule took, from the start of its attempt.
func (d *Dispatcher) recordStream(rule string, took time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.migration.ObserveRun(rule, took)
}

// recordEngines updates which engines may end under their runs. An engine that leaves as announced counts as one that ends, because its runs
// may outlast it. The mutex is held.
func (d *Dispatcher) recordEngines(now time.Time, changes backend.Changes) {
	risk := d.migration.Risk()
	for _, id := range changes.Removed {
		risk.Ended(now, id)
		risk.Remove(id)
	}
	for _, worker := range changes.Updated {
		if worker.Role == backend.RoleNone {
			continue
		}
		risk.Add(worker.ID, worker.Group, worker.Zone)
		if worker.Draining {
			risk.Ended(now, worker.ID)
		}
	}
}

// decideOnStall returns what happens to a stalled run. A retry is not taken from the budget yet.
func (d *Dispatcher) decideOnStall(run migration.Run, means migration.Means) migration.Decision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.migration.Stalled(d.now(), run, means)
}

// decideOnBreak returns what happens to a run whose connection broke. A retry is not taken from the budget yet.
func (d *Dispatcher) decideOnBreak(run migration.Run, means migration.Means) migration.Decision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.migration.Broken(d.now(), run, means)
}

// hasRetry reports whether takeRetry would find a retry. If not, it counts as one that was denied.
func (c *call) hasRetry() bool {
	return c.attempts.retryPrepaid.Load() || c.handler.dispatcher.RetryBudget(c.match.Group.Name).hasRetry()
}

// takeRetry takes a retry from the budget unless one has been taken for the next attempt.
func (c *call) takeRetry() bool {
	return c.attempts.retryPrepaid.Swap(false) || c.handler.dispatcher.RetryBudget(c.match.Group.Name).takeRetry()
}

// Limits of how long a stream that has begun waits for a retry: a share of the patience of its caller, of which a stall may have taken half, and how
// often the budget is asked in that time.
const (
	retryWaitShare = 4
	retryWaitSteps = 10
)

// awaitRetry waits until the budget has a retry for a stream that has begun, whose continuation another worker has refused, and takes it. Without a
// retry the stream would be cut. It returns false if there is none in time, and true also if the context ends.
func (c *call) awaitRetry(ctx context.Context) bool {
	wait := c.match.Rule.Patience / retryWaitShare
	if wait <= 0 || !c.relay.started || !c.resumable() || !c.attempts.allowsAnother() {
		return false
	}
	budget := c.handler.dispatcher.RetryBudget(c.match.Group.Name)
	end := earliestSet(time.Now().Add(wait), c.deadline)
	ticker := time.NewTicker(wait / retryWaitSteps)
	defer ticker.Stop()
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return true
		case <-ticker.C:
		}
		if !budget.isExhausted() && c.takeRetry() {
			return true
		}
	}
	return false
}

// watchStalls returns the watch for the response of a worker, or nil if it can't be continued elsewhere. Arrivals is what arrives of it.
func (c *call) watchStalls(
	ctx context.Context, cancel context.CancelCauseFunc, worker *backend.Worker, held *runCopy, arrivals *httpclient.Arrivals,
) *stallwatch.Watch {
	rule := c.match.Rule
	if rule.Patience <= 0 || c.match.Group.Engine == nil || !c.isStream() {
		return nil
	}
	if held == nil && (!c.resumable() || !c.attempts.allowsAfterRun()) {
		return nil
	}
	reach := &alternativeReach{}
	detector := migration.NewStallDetector(migration.DefaultStallSettings(), rule.Patience, 0)
	return stallwatch.New(detector, arrivals, func() (bool, time.Duration) {
		return c.decideOnStall(ctx, cancel, worker, held, reach)
	})
}

// decideOnStall abandons a stalled response if the run can continue elsewhere and the budget has a retry for it. Otherwise it returns when
// to decide again, zero for never. It runs while the goroutine of the call waits for the worker.
func (c *call) decideOnStall(
	ctx context.Context, cancel context.CancelCauseFunc, worker *backend.Worker, held *runCopy, reach *alternativeReach,
) (bool, time.Duration) {
	dispatcher := c.handler.dispatcher
	c.learnVersion(ctx, 0)
	run := c.migrationRun(worker, c.usableCopy(held))
	means := migration.Means{Retry: true}
	if held == nil {
		means.Elsewhere = c.guarded.maySend() == nil && dispatcher.hasAlternative(c.request, c.match.Group, c.versions(), append(slices.Clone(c.attempts.excluded), worker.ID))
	}
	decision := dispatcher.decideOnStall(run, means)
	if _, keeps := decision.(migration.Keep); !keeps && held == nil {
		others := c.othersThan(worker)
		if !reach.confirm(time.Now(), func() bool { return c.awaitAlternative(ctx, others) }) {
			return false, reachRecheckInterval
		}
	}
	if _, keeps := decision.(migration.Keep); !keeps && !c.takeRetry() {
		means.Retry = false
		decision = dispatcher.decideOnStall(run, means)
	}
	if keep, keeps := decision.(migration.Keep); keeps {
		if keep.Recheck.IsZero() {
			return false, 0
		}
		return false, max(keep.Recheck.Sub(dispatcher.now()), time.Millisecond)
	}
	c.attempts.retryPrepaid.Store(true)
	cancel(errStalled)
	return true, 0
}

// usableCopy returns the copy if the run may continue from it now, or nil.
func (c *call) usableCopy(held *runCopy) *runCopy {
	if held == nil || !c.guarded.hasStatus(poison.Clear, poison.Excused) || !c.handler.dispatcher.copyAvailable(held) {
		return nil
	}
	if !c.versions().accepts(held.engine) {
		return nil
	}
	return held
}

// continueFromCopy continues a run that broke or stalled at the engine that holds its copy. The connection to the first engine has been
// closed. It returns the failure of the first engine if the run could not be continued there, so that it ends as without a copy.
func (c *call) continueFromCopy(ctx context.Context, held *runCopy, worker *backend.Worker, failure failureKind) failureKind {
	if held == nil {
		return failure
	}
	defer c.handler.dispatcher.releaseCopy(held)
	if failure != failureBroken && failure != failureStalled {
		return failure
	}
	c.guarded.awaitProbe(ctx)
	runner, reason := c.assignCopy(ctx, held, worker)
	if runner == nil {
		c.report.Attempts[len(c.report.Attempts)-1].NotContinued = reason
		return failure
	}
	record := Attempt{
		Start: time.Now(), Worker: runner.Worker.ID, SoftwareVersion: runner.Worker.SoftwareVersion, Continues: ContinuesCopy,
		Urgency: admission.DefaultUrgency,
	}
	continued := c.runOn(ctx, runner, RunOptions{Deadline: c.deadline, Continue: true, Urgency: admission.DefaultUrgency}, nil)
	c.recordAttempt(record, "", continued)
	if continued == failureNone || continued.endsRequest() {
		return continued
	}
	return failure
}

// assignCopy assigns the run of a worker to the engine that holds its copy, and takes a retry for it. It returns nil and why if the run may
// not continue there.
func (c *call) assignCopy(ctx context.Context, held *runCopy, worker *backend.Worker) (*Assignment, string) {
	dispatcher := c.handler.dispatcher
	if ctx.Err() != nil {
		return nil, "the caller or its time is gone"
	}
	if !c.guarded.hasStatus(poison.Clear, poison.Excused) {
		return nil, "workers ended under the request"
	}
	if c.learnVersion(ctx, identifyPatience); !c.versions().accepts(held.engine) {
		return nil, "the engine that began the run had been started again"
	}
	switch decision := dispatcher.decideOnBreak(c.migrationRun(worker, held), migration.Means{Retry: true}).(type) {
	case migration.FromCopy:
	case migration.GiveUp:
		return nil, decision.Reason
	default:
		return nil, "the run may not continue from a copy"
	}
	runner, found := dispatcher.assignCopy(held)
	if !found {
		return nil, "the engine with the copy is not available"
	}
	if !c.takeRetry() {
		runner.finish(balance.OutcomeNone)
		return nil, "the budget of retries is used up"
	}
	return runner, ""
}
