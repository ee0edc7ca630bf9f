// Package agent is the core of the process beside each caller. It gives each request its identity, sends it to a router,
// puts the answer together by offset, sends the request again through another router when one fails, and tells the caller
// exactly one final outcome that is true.
package agent

import (
	"math/rand/v2"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/util/validation/field"
)

// cancelLeadShare bounds the lead of an early cancel: at most the whole time divided by this.
const cancelLeadShare = 5

// Core is the state machine of an agent. It is a core.Node.
type Core struct {
	settings Settings
	random   *rand.Rand
	routers  *routerTable
	budget   retryBudget

	requests map[string]*request
	byKey    map[string]*request
	byCall   map[uint64]*request
	wakeups  wakeups
	ended    endedRequests
	sequence uint64
}

var _ core.Node = (*Core)(nil)

// New returns the core of an agent. Settings.Name and at least one router must be set. The random source must be used by
// nobody else.
func New(settings Settings, random *rand.Rand) *Core {
	settings = settings.WithDefaults()
	return &Core{
		settings: settings,
		random:   random,
		routers:  newRouterTable(settings),
		budget:   newRetryBudget(settings),
		requests: make(map[string]*request),
		byKey:    make(map[string]*request),
		byCall:   make(map[uint64]*request),
		ended:    newEndedRequests(settings),
	}
}

// Active returns the number of live requests.
func (c *Core) Active() int { return len(c.requests) }

// Submit takes a request of a caller. The call is a number that the caller's events will carry; it must not be in use.
// The error is an *InvalidRequestError or a *ConflictError; after it no event comes.
func (c *Core) Submit(now time.Time, callNumber uint64, asked CallerRequest, effects *core.Effects) error {
	_, err := c.SubmitForID(now, callNumber, asked, effects)
	return err
}

// SubmitForID is Submit that returns the id of the request, which a call may share with another one.
func (c *Core) SubmitForID(now time.Time, callNumber uint64, asked CallerRequest, effects *core.Effects) (string, error) {
	errs := asked.validate(now, c.settings)
	ulid, keyError := identity(now, asked, c.settings, c.random)
	if keyError != nil {
		errs = append(field.ErrorList{keyError}, errs...)
	}
	if len(errs) > 0 {
		return "", &InvalidRequestError{Fields: errs}
	}
	deadlineNamed := !asked.Deadline.IsZero()
	if !deadlineNamed {
		asked.Deadline = now.Add(c.settings.DefaultDeadline)
	}
	work := asked.work(asked.Tenant + "/" + ulid.String())
	work.Labels = withZone(work.GetLabels(), c.settings.Zone)
	waiting := &call{number: callNumber, deadline: asked.Deadline, deadlineNamed: deadlineNamed}
	key := joinKey(asked)
	c.ended.expire(now)

	if live := c.findLive(key, work.GetRequestId()); live != nil {
		return live.id, c.join(live, asked.IdempotencyKey, work, waiting, effects)
	}
	if kept := c.findEnded(key, work.GetRequestId()); kept != nil {
		if !sameWork(kept.work, work) {
			return "", &ConflictError{IdempotencyKey: asked.IdempotencyKey}
		}
		if kept.answered {
			waiting.deliver(kept.tokens, true, effects)
			return kept.id, nil
		}
		c.start(now, c.revive(kept, key, work, waiting), effects)
		return kept.id, nil
	}
	c.start(now, c.newRequest(key, work, waiting), effects)
	return work.GetRequestId(), nil
}

// labelZone is the label that tells rules the zone of the caller.
const labelZone = "zone"

// withZone adds the zone of the agent to the labels, unless the caller gave one.
func withZone(labels map[string]string, zone string) map[string]string {
	if _, given := labels[labelZone]; given || zone == "" {
		return labels
	}
	return lo.Assign(labels, map[string]string{labelZone: zone})
}

// joinKey is the name under which calls share a request; empty without an idempotency key.
func joinKey(asked CallerRequest) string {
	if asked.IdempotencyKey == "" {
		return ""
	}
	return asked.Tenant + "/" + asked.IdempotencyKey
}

func (c *Core) findLive(key, id string) *request {
	if live := c.byKey[key]; key != "" && live != nil {
		return live
	}
	return c.requests[id]
}

// findEnded finds an ended request whose answer is kept under the key, or that has the very same id.
func (c *Core) findEnded(key, id string) *endedRequest {
	if kept := c.ended.byKey[key]; key != "" && kept != nil && kept.answered {
		return kept
	}
	return c.ended.byID[id]
}

// join lets a call share a live request. It gets the outcome of that request, or its own deadline if that is earlier.
func (c *Core) join(live *request, key string, work *granitebayv1.Work, waiting *call, effects *core.Effects) error {
	if !sameWork(live.work, work) {
		return &ConflictError{IdempotencyKey: key}
	}
	waiting.deadline = core.Earliest(waiting.deadline, live.deadline)
	live.calls = append(live.calls, waiting)
	c.byCall[waiting.number] = live
	waiting.deliver(live.answer.tokens, false, effects)
	c.wakeups.earlier(live, live.due(c.settings))
	return nil
}

func (c *Core) newRequest(key string, work *granitebayv1.Work, waiting *call) *request {
	c.sequence++
	return &request{
		id:            work.GetRequestId(),
		key:           key,
		work:          work,
		sequence:      c.sequence,
		deadline:      waiting.deadline,
		deadlineNamed: waiting.deadlineNamed,
		calls:         []*call{waiting},
		answer:        newAnswer(work.GetMaxTokens(), !work.GetRepeatable()),
	}
}

// revive makes an ended request live again. The attempts of before stay part of it: an engine may have run them.
func (c *Core) revive(kept *endedRequest, key string, work *granitebayv1.Work, waiting *call) *request {
	c.ended.forget(kept)
	entry := c.newRequest(key, work, waiting)
	entry.attempts = kept.attempts
	entry.started = kept.started
	entry.run = kept.run
	return entry
}

// start makes a request live and sends its first attempt.
func (c *Core) start(now time.Time, entry *request, effects *core.Effects) {
	whole := entry.deadline.Sub(now)
	entry.cancelAt = entry.deadline.Add(-min(c.settings.CancelLead, whole/cancelLeadShare))
	c.requests[entry.id] = entry
	if entry.key != "" {
		c.byKey[entry.key] = entry
	}
	for _, waiting := range entry.calls {
		c.byCall[waiting.number] = entry
	}
	c.wakeups.add(entry, entry.deadline)
	c.sendAttempt(now, entry, effects)
}

// CallerGone takes word that a caller no longer waits. The last caller's going cancels the request.
func (c *Core) CallerGone(now time.Time, callNumber uint64, effects *core.Effects) {
	entry := c.byCall[callNumber]
	if entry == nil {
		return
	}
	c.removeCall(entry, callNumber)
	if len(entry.calls) == 0 {
		c.abandon(now, entry, effects)
	}
}

func (c *Core) removeCall(entry *request, callNumber uint64) {
	delete(c.byCall, callNumber)
	for i, waiting := range entry.calls {
		if waiting.number == callNumber {
			entry.calls = append(entry.calls[:i], entry.calls[i+1:]...)
			return
		}
	}
}

// Tick runs what is due.
func (c *Core) Tick(now time.Time, effects *core.Effects) {
	for len(c.wakeups) > 0 && !c.wakeups[0].wakeAt.After(now) {
		entry := c.wakeups[0]
		due := entry.due(c.settings)
		if due.After(now) {
			c.wakeups.set(entry, due)
			continue
		}
		c.wake(now, entry, effects)
	}
}

// wake does the first thing that is due for a request. Each case moves its own due time.
func (c *Core) wake(now time.Time, entry *request, effects *core.Effects) {
	switch {
	case !now.Before(entry.deadline):
		c.giveUp(now, entry, reasonDeadline, effects)
	case c.expireCalls(now, entry, effects):
	case entry.cancelled:
	case entry.cancelsEarly() && !now.Before(entry.cancelAt):
		c.cancelEarly(now, entry, effects)
	case !entry.retryAt.IsZero():
		if !now.Before(entry.retryAt) {
			c.sendAttempt(now, entry, effects)
		}
	case !now.Before(entry.silentAt(c.settings)):
		c.silent(now, entry, effects)
	case entry.missingAsked:
		c.retry(now, entry, causeGap, entry.latest().router, effects)
	default:
		c.askMissing(entry, effects)
	}
}

// NextWake tells when Tick is due next.
func (c *Core) NextWake() time.Time {
	if len(c.wakeups) == 0 {
		return time.Time{}
	}
	return c.wakeups[0].wakeAt
}

// remove takes a request out of everything that is live.
func (c *Core) remove(now time.Time, entry *request, answered bool) {
	c.endAttempt(entry)
	delete(c.requests, entry.id)
	if c.byKey[entry.key] == entry {
		delete(c.byKey, entry.key)
	}
	for _, waiting := range entry.calls {
		delete(c.byCall, waiting.number)
	}
	c.wakeups.remove(entry)
	c.ended.add(now, &endedRequest{
		id:       entry.id,
		key:      entry.key,
		work:     entry.work,
		answered: answered,
		tokens:   entry.answer.tokens,
		started:  entry.started || entry.answer.length() > 0,
		attempts: entry.attempts,
		run:      entry.run,
	})
}

// HandleEngineEvent does nothing: agents speak to no engine.
func (c *Core) HandleEngineEvent(time.Time, engine.Event, *core.Effects) {}

// HandlePlatformResponse does nothing: agents ask the platform nothing.
func (c *Core) HandlePlatformResponse(time.Time, platform.Response, *core.Effects) {}

// HandlePlatformWatch does nothing: agents watch nothing.
func (c *Core) HandlePlatformWatch(time.Time, platform.WatchEvent, *core.Effects) {}
