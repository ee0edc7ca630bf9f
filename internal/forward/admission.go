package forward

import (
	"context"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/admission"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/routing"
)

// prioritiesOf returns the priorities of the requests of each group of engines.
func prioritiesOf(configuration *routing.Configuration) map[string][]admission.Priority {
	priorities := map[string][]admission.Priority{}
	for i := range configuration.Groups {
		if configuration.Groups[i].Engine != nil {
			priorities[configuration.Groups[i].Name] = nil
		}
	}
	tenants := configuration.Tenants.Priorities()
	for i := range configuration.Rules {
		rule := &configuration.Rules[i]
		for _, share := range rule.Shares {
			if _, isEngines := priorities[share.Group]; isEngines {
				priorities[share.Group] = append(priorities[share.Group], rulePriorities(rule, tenants)...)
			}
		}
	}
	return priorities
}

// rulePriorities returns the priorities of the requests of a rule, given those of the tenants. Tenants without one are nil there.
func rulePriorities(rule *routing.Rule, tenants []*int) []admission.Priority {
	if rule.Public || len(tenants) == 0 {
		return []admission.Priority{{Tenant: rule.Priority, Rule: rule.Priority}}
	}
	var priorities []admission.Priority
	for _, tenant := range tenants {
		priority := admission.Priority{Tenant: rule.Priority, Rule: rule.Priority}
		if tenant != nil {
			priority.Tenant = *tenant
		}
		priorities = append(priorities, priority)
	}
	return priorities
}

// setPriorities makes the admission control the groups whose requests have different priorities.
func (d *Dispatcher) setPriorities(priorities map[string][]admission.Priority) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.admission.SetPriorities(priorities)
}

// placeAdmitted picks the engines for a request of a group that distinguishes priorities, if admission lets it start. Without contention it
// picks as for any other request. The mutex is held.
func (d *Dispatcher) placeAdmitted(prompt *promptContext, options PlaceOptions) (*Placement, bool) {
	best, found := d.bestPlan(prompt, options)
	if !found {
		return nil, false
	}
	yielding := best
	if best.slotWait > 0 || best.delayedByQueue(options) {
		best, yielding = d.orderedPlans(prompt, options)
	}
	outlook := d.outlookOf(prompt, best, yielding)
	outlook.SlotFree = func() bool { return d.hasFreeSlot(prompt.group.Name, options) }
	// Requests that are refused are demand, too.
	d.countPromptDemand(prompt, yielding, options)
	if d.outlasts(prompt, best, options) {
		return &Placement{Outlasts: true}, true
	}
	switch decision := d.admission.Decide(d.now(), options.Admission, outlook).(type) {
	case admission.Start:
		if admission.IsLate(decision.Urgency) {
			best, prompt.deferred = yielding, true
		}
		return d.assignPlan(prompt, best, options.Objective, decision), true
	default:
		if _, refused := decision.(admission.Refuse); refused {
			d.announcePromise()
		}
		return &Placement{HeldBack: decision}, true
	}
}

// orderedPlans returns the cheapest plans of a request that is ordered by its priority: one for the case that it is in time and, if it is late,
// one for the case that it yields to all that are in time.
func (d *Dispatcher) orderedPlans(prompt *promptContext, options PlaceOptions) (best, yielding plan) {
	group, priority, now := prompt.group.Name, options.Admission.Priority, d.now()
	estimate := d.model.Estimate(now, enginemodel.Class{Group: group, Role: backend.RolePrefill})
	prefillSeconds := float64(prompt.prefillWork(prompt.longestCached)) * estimate.SecondsPerToken
	prompt.slotOrder = d.admission.OrderOf(now, group, admission.QueueSlots, d.admission.InTimeUrgency(group, priority))
	prompt.prefillOrder = d.admission.OrderOf(now, group, admission.QueuePrefills, urgencyOf(prefillSeconds))
	best, _ = d.bestPlan(prompt, options)
	if !best.delayedByQueue(options) {
		return best, best
	}
	late := d.admission.LateUrgency(group, priority)
	inTimeSlots, inTimePrefills := prompt.slotOrder, prompt.prefillOrder
	prompt.deferred, prompt.behindWaiting = true, true
	prompt.slotOrder = d.admission.OrderOf(now, group, admission.QueueSlots, late)
	prompt.prefillOrder = d.admission.OrderOf(now, group, admission.QueuePrefills, late)
	yielding, _ = d.bestPlan(prompt, options)
	prompt.deferred, prompt.behindWaiting = false, false
	prompt.slotOrder, prompt.prefillOrder = inTimeSlots, inTimePrefills
	return best, yielding
}

// outlookOf returns what is expected of a request by its plan and by that for the case that it yields.
func (d *Dispatcher) outlookOf(prompt *promptContext, chosen, yielding plan) admission.Outlook {
	outlook := admission.Outlook{
		Start: secondsDuration(chosen.timeToFirstEvent), QueueWait: secondsDuration(chosen.queueWait),
		YieldingStart: secondsDuration(yielding.timeToFirstEvent), Prefills: chosen.prefill != nil,
	}
	if chosen.slotWait <= 0 {
		return outlook
	}
	now := d.now()
	outlook.FreeAt = now.Add(secondsDuration(chosen.slotWait))
	outlook.SlotInterval = d.slotInterval(prompt.group.Name)
	return outlook
}

// hasFreeSlot reports whether a decode engine that the options allow has a slot for which no request waits. The mutex is held.
func (d *Dispatcher) hasFreeSlot(group string, options PlaceOptions) bool {
	for worker, status := range d.balancer.WorkerStatuses(d.now(), group) {
		isFree := worker.Role == backend.RoleDecode && status.Usable && status.Load.Decoding()+status.Load.Waiting < worker.Slots
		if isFree && !slices.Contains(options.Excluded, worker.ID) && options.Versions.accepts(worker) {
			return true
		}
	}
	return false
}

// slotInterval returns the mean time between two slots of decode engines that become free for requests of this gateway; zero if no engine is
// in service. It is called only when there is contention, since it iterates over all engines of the group.
func (d *Dispatcher) slotInterval(group string) time.Duration {
	slots := 0
	for worker, status := range d.balancer.WorkerStatuses(d.now(), group) {
		if worker.Role == backend.RoleDecode && status.Usable {
			slots += worker.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	estimate := d.model.Estimate(d.now(), enginemodel.Class{Group: group, Role: backend.RoleDecode})
	return secondsDuration(estimate.ServiceSeconds * float64(d.gatewayCount()) / float64(slots))
}

// promiseReturn returns the time after which the caller of a request that all tried engines refused should return, or false if the group is
// not controlled.
func (d *Dispatcher) promiseReturn(request admission.Request) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.admission.Controls(request.Group) {
		return 0, false
	}
	after, promised := d.admission.PromiseReturn(d.now(), request, d.slotInterval(request.Group))
	d.announcePromise()
	return after, promised
}

// secondsDuration converts seconds.
func secondsDuration(seconds float64) time.Duration {
	return time.Duration(seconds * nanosecondsPerSecond)
}

// enterQueue counts work that was sent to a worker as waiting there, if its group is controlled: work that is not counted now is not to be
// subtracted if its group is controlled when it ends. The mutex is held.
func (d *Dispatcher) enterQueue(assigned *Assignment, work admission.Work) {
	work.Group = assigned.Worker.Group
	if !d.admission.Controls(work.Group) {
		return
	}
	assigned.queued = work
	d.admission.Sent(d.now(), work)
}

// leaveQueue ends the count of enterQueue, because the response started or the attempt ended. The mutex is held.
func (a *Assignment) leaveQueue(started bool) {
	if a.queued != (admission.Work{}) {
		a.dispatcher.admission.Left(a.dispatcher.now(), a.queued, started)
		a.queued = admission.Work{}
	}
}

// admissionRequest describes the request to the admission.
func (c *call) admissionRequest() admission.Request {
	request := admission.Request{
		ID: c.request.ID, Group: c.match.Group.Name, Tenant: c.request.Tenant,
		Priority: admission.Priority{Tenant: c.match.Rule.Priority, Rule: c.match.Rule.Priority},
		Tokens:   c.request.Demand.PromptTokens + outputWeight*c.request.Demand.OutputTokens,
		Arrived:  c.report.Arrived, Objective: c.match.Rule.Objective, Deadline: c.deadline, Expires: c.deadline, Waited: c.hasWaited,
		Committed: c.prefills > 0 || c.attempts.possibleRuns > 0 || c.relay.started,
		Key:       func() uint64 { digest := c.guarded.requestDigest(); return binary.BigEndian.Uint64(digest[:]) },
	}
	if c.request.tenantPriority != nil {
		if priority, given := c.request.tenantPriority.Priority(); given {
			request.Priority.Tenant = priority
		}
	}
	if c.relay.started {
		// The caller has the first event, so that nothing is due by the objective.
		request.Objective = 0
		return request
	}
	if patience := c.match.Rule.Patience; patience > 0 {
		if leaves := c.report.Arrived.Add(patience); leaves.Before(request.Deadline) {
			request.Deadline = leaves
		}
	}
	return request
}

// outputWeight is the work of generating one token, in tokens to prefill.
const outputWeight = 10

// holdBack waits or refuses as the admission decided. It reports whether the request is done.
func (c *call) holdBack(ctx context.Context, decision admission.Decision) (bool, connAction) {
	switch decision := decision.(type) {
	case admission.Wait:
		c.report.HeldBack = "waited for room: " + decision.Reason
		c.hasWaited = true
		if ctxsleep.Sleep(ctx, decision.Until.Sub(c.handler.dispatcher.now())) {
			return false, connKeep
		}
		failure := classify(ctx, ctx.Err())
		return true, c.giveUp(failure, c.attempts.final())
	case admission.Refuse:
		c.report.HeldBack = "refused: " + decision.Reason
		return true, respondRetryAfter(c.writer, c.report, ReasonNoRoom, decision.RetryAfter.Round(time.Millisecond))
	default:
		return false, connKeep
	}
}

// tenSeconds is the time over which the rates in updates are counted, so that whole numbers tell them well enough.
const tenSeconds = 10

// encodeCounts returns the counts of this gateway in the form of an update. Counts of one group and queue follow each other.
func encodeCounts(counts []admission.Count) []peersync.Queued {
	var queued []peersync.Queued
	for _, count := range counts {
		last := len(queued) - 1
		if last < 0 || queued[last].Group != count.Group || queued[last].Queue != int(count.Queue) {
			queued = append(queued, peersync.Queued{Group: count.Group, Queue: int(count.Queue)})
			last++
		}
		queued[last].Counts = append(queued[last].Counts, peersync.QueuedCount{
			Urgency: count.Urgency, Waiting: count.Amount,
			SentPer10s: int(math.Round(count.Sent * tenSeconds)), StartedPer10s: int(math.Round(count.Started * tenSeconds)),
		})
	}
	return queued
}

// decodeCounts returns the counts of an update.
func decodeCounts(queued []peersync.Queued) []admission.Count {
	var counts []admission.Count
	for _, queue := range queued {
		for _, count := range queue.Counts {
			counts = append(counts, admission.Count{
				Work: admission.Work{Group: queue.Group, Queue: admission.Queue(queue.Queue), Urgency: count.Urgency, Amount: count.Waiting},
				Sent: float64(count.SentPer10s) / tenSeconds, Started: float64(count.StartedPer10s) / tenSeconds,
			})
		}
	}
	return counts
}

// TakeQueued returns what is to be sent to the other gateways: the promises since the last call and, if full is set, what this gateway has at
// the queues of engines.
func (d *Dispatcher) TakeQueued(full bool) ([]peersync.Queued, []peersync.Promise) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	var queued []peersync.Queued
	if full {
		queued = encodeCounts(d.admission.Counts(now))
	}
	var promises []peersync.Promise
	for _, promise := range d.admission.TakePromises(now) {
		promises = append(promises, peersync.Promise{Group: promise.Group, Key: promise.Key, AfterMs: promise.After.Milliseconds()})
	}
	return queued, promises
}

// Queues returns what all gateways that were heard lately have at the queues of engines, in the groups that distinguish priorities.
func (d *Dispatcher) Queues() []admission.Count {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.admission.Totals(d.now())
}

// ApplyQueued applies what another gateway has at the queues of engines, and its promises.
func (d *Dispatcher) ApplyQueued(sender string, queued []peersync.Queued, promises []peersync.Promise) {
	if sender == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	if len(queued) > 0 {
		d.admission.ApplyPeer(now, sender, decodeCounts(queued))
	}
	var made []admission.Promise
	for _, promise := range promises {
		made = append(made, admission.Promise{Group: promise.Group, Key: promise.Key, After: time.Duration(promise.AfterMs) * time.Millisecond})
	}
	d.admission.ApplyPromises(now, made)
}

// announcePromise signals that a promise may have to be sent to the other gateways, because the caller may return to any of them. The mutex is
// held.
func (d *Dispatcher) announcePromise() {
	if d.peers.notify != nil {
		d.peers.notify(false)
	}
}
