package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/logging"
)

// Kinds of notices, as used in metrics and logs.
const (
	noticeLeaving = "leaving"
	noticeBackOff = "back off"
	noticeLimit   = "limit"
)

// Sources of a notice, as used in logs.
const (
	sourceAnswer = "answer"
	sourcePeer   = "another gateway"
)

// noticeTracker handles the notices that workers attach to their responses: it applies them, passes them on to the other
// gateways and reports them to operators. A worker that announces that it is leaving is draining from then on. It is safe
// for concurrent use.
type noticeTracker struct {
	gateway *Gateway
	logger  logrus.FieldLogger
	// logLimiter limits log lines about notices that cannot be parsed.
	logLimiter *rate.Limiter

	mu sync.Mutex
	// states holds the workers that sent notices, by incarnation ID.
	states map[string]*noticeState
	// pendingLeaving holds the leaving workers to announce to other gateways.
	pendingLeaving []leavingAnnouncement
	// notify signals that there is something to send; nil until set.
	notify func(urgent bool)
}

// leavingAnnouncement is a leaving worker and how often it has been announced.
type leavingAnnouncement struct {
	id   string
	sent int
}

// noticeState is the state of one worker's notices.
type noticeState struct {
	// leavingSince is when the worker first announced that it is leaving; zero if it did not.
	leavingSince time.Time
	// backOffSince and backOffUntil delimit the time for which the worker asked for no requests.
	backOffSince, backOffUntil time.Time
	lastReceived               time.Time
}

// noticeRetention is how long the state of an incarnation is kept after its last notice. It is longer than a leaving
// worker takes to terminate.
const noticeRetention = 10 * time.Minute

// newNoticeTracker returns a tracker without notices.
func newNoticeTracker(g *Gateway) *noticeTracker {
	return &noticeTracker{
		gateway: g, logger: logging.Component(g.logger, "notices"), states: map[string]*noticeState{},
		logLimiter: rate.NewLimiter(logLinesPerSecond, logLinesBurst),
	}
}

// handle processes a notice in a worker's response, and the error from parsing it, if any.
func (t *noticeTracker) handle(worker *backend.Worker, notice backend.Notice, err error) {
	if err != nil {
		t.gateway.metrics.countUnreadableNotice()
		if t.logLimiter.Allow() {
			t.logger.WithError(err).WithField("worker", worker.ID).Warn("Cannot parse a notice of a worker.")
		}
	}
	if notice.Limit > 0 || !notice.RequestedAt.IsZero() {
		t.gateway.workerLimits.handle(worker, notice)
	}
	if !notice.Leaving && notice.BackOff == 0 {
		return
	}
	if notice.Leaving && t.gateway.view.WorkerLeaving(worker.ID) {
		t.announceLeaving(worker.ID)
	}
	if notice.BackOff > 0 {
		t.gateway.dispatcher.BackOff(worker.ID, notice.BackOff)
	}
	newNotice := t.record(time.Now(), worker.ID, notice)
	if notice.Leaving {
		t.gateway.metrics.countNotice(worker.Group, noticeLeaving)
	}
	if notice.BackOff > 0 {
		t.gateway.metrics.countNotice(worker.Group, noticeBackOff)
	}
	if newNotice.Leaving {
		t.report(worker, noticeLeaving, "The worker says that it leaves.", map[string]string{"source": sourceAnswer})
	}
	if newNotice.BackOff > 0 {
		t.report(worker, noticeBackOff, "The worker asked this gateway to back off.",
			map[string]string{"for_ms": fmt.Sprint(newNotice.BackOff.Milliseconds())})
	}
}

// record stores a notice and returns what is new in it: that the worker is leaving, or that a back-off begins.
func (t *noticeTracker) record(now time.Time, id string, notice backend.Notice) backend.Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, found := t.states[id]
	if !found {
		t.prune(now)
		state = &noticeState{}
		t.states[id] = state
	}
	state.lastReceived = now
	var newNotice backend.Notice
	if notice.Leaving && state.leavingSince.IsZero() {
		state.leavingSince = now
		newNotice.Leaving = true
	}
	if notice.BackOff > 0 && !now.Before(state.backOffUntil) {
		state.backOffSince = now
		newNotice.BackOff = notice.BackOff
	}
	if until := now.Add(notice.BackOff); until.After(state.backOffUntil) {
		state.backOffUntil = until
	}
	return newNotice
}

// prune removes outdated states. The mutex must be held.
func (t *noticeTracker) prune(now time.Time) {
	for id, state := range t.states {
		if now.Sub(state.lastReceived) > noticeRetention && !now.Before(state.backOffUntil) {
			delete(t.states, id)
		}
	}
}

// report logs a notice of a worker and records it as a decision.
func (t *noticeTracker) report(worker *backend.Worker, kind, reason string, inputs map[string]string) {
	fields := logrus.Fields{"worker": worker.ID, "group": worker.Group, "address": worker.Address}
	for name, value := range inputs {
		fields[name] = value
	}
	t.logger.WithFields(fields).Info(reason)
	t.gateway.recordDecision(decision.Record{Kind: decision.KindHealth, Subject: worker.ID, Outcome: kind, Reason: reason, Inputs: inputs})
}

// announceLeaving queues an announcement to the other gateways that a worker is leaving, which saves each of them a
// failed request.
func (t *noticeTracker) announceLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.notify == nil || len(t.pendingLeaving) >= maxAnnouncements {
		return
	}
	t.pendingLeaving = append(t.pendingLeaving, leavingAnnouncement{id: id})
	t.notify(true)
}

// Limits on announcements to other gateways.
const (
	// maxAnnouncements bounds the leaving workers, and separately the limits, to announce at a time. Other gateways learn
	// of the rest from the workers' own responses.
	maxAnnouncements = 256
	// leavingSends is how many times a leaving worker is announced, at once and then once a second, to make up for lost
	// datagrams.
	leavingSends = 4
)

// setNotify sets the function that signals pending announcements. It must not block.
func (t *noticeTracker) setNotify(notify func(urgent bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify = notify
}

// takeUpdate returns the leaving workers to announce: new ones and, if full is set, also those that were announced fewer
// than leavingSends times.
func (t *noticeTracker) takeUpdate(full bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var announced []string
	var remaining []leavingAnnouncement
	for _, announcement := range t.pendingLeaving {
		if announcement.sent == 0 || full {
			announced = append(announced, announcement.id)
			announcement.sent++
		}
		if announcement.sent < leavingSends {
			remaining = append(remaining, announcement)
		}
	}
	t.pendingLeaving = remaining
	return announced
}

// reportRemoteLeaving reports that another gateway announced a leaving worker.
func (t *noticeTracker) reportRemoteLeaving(id string) {
	if worker := t.gateway.worker(id); worker != nil {
		t.report(worker, noticeLeaving, "The worker says that it leaves.", map[string]string{"source": sourcePeer})
	}
}

// worker returns a known worker by ID, or nil.
func (g *Gateway) worker(id string) *backend.Worker {
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	return g.workers[id]
}

// noticeAgainst returns the kind of notice by which a worker asked for no requests at a given time, or "".
func (t *noticeTracker) noticeAgainst(id string, sentAt time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, found := t.states[id]
	switch {
	case !found:
		return ""
	case !state.leavingSince.IsZero() && sentAt.After(state.leavingSince):
		return noticeLeaving
	case sentAt.After(state.backOffSince) && sentAt.Before(state.backOffUntil):
		return noticeBackOff
	default:
		return ""
	}
}
