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

// What workers say of themselves, as figures and lines name it.
const (
	noticeLeaving = "leaving"
	noticeBackOff = "back off"
	noticeLimit   = "limit"
)

// Sources of a word, as lines name them.
const (
	sourceAnswer = "answer"
	sourcePeer   = "another gateway"
)

// notices hears what workers say of themselves in their answers, has it heeded, and tells the other gateways and operators of it. It is safe
// for concurrent use.
type noticeTracker struct {
	gateway *Gateway
	logger  logrus.FieldLogger
	// complaints bounds the lines about what can't be read.
	logLimiter *rate.Limiter

	mu sync.Mutex
	// workers are those that said something, by the ids of their incarnations.
	states map[string]*noticeState
	// untold are workers of which the other gateways are to be told that they leave, with how often they were told.
	pendingLeaving []leavingAnnouncement
	// notify tells that there is something to tell; nil tells nobody.
	notify func(urgent bool)
}

// untoldLeaving is a worker that leaves.
type leavingAnnouncement struct {
	id   string
	sent int
}

// heardOf is what one worker has said.
type noticeState struct {
	// leavingSince is when the worker said first that it leaves; zero if it did not.
	leavingSince time.Time
	// backOffSince and backOffUntil bound the time in which it wants no requests.
	backOffSince, backOffUntil time.Time
	lastHeard                  time.Time
}

// noticeMemory is how long what an incarnation said is kept after it last said anything: longer than one that leaves takes to end.
const noticeRetention = 10 * time.Minute

// newNotices has heard nothing.
func newNoticeTracker(g *Gateway) *noticeTracker {
	return &noticeTracker{
		gateway: g, logger: logging.Part(g.logger, "notices"), states: map[string]*noticeState{},
		logLimiter: rate.NewLimiter(logLinesPerSecond, logLinesBurst),
	}
}

// hear takes what a worker said in an answer, and what of it can't be read.
func (t *noticeTracker) handle(worker *backend.Worker, notice backend.Notice, err error) {
	if err != nil {
		t.gateway.metrics.countUnreadableNotice()
		if t.logLimiter.Allow() {
			t.logger.WithError(err).WithField("worker", worker.ID).Warn("What a worker says of itself can't be read.")
		}
	}
	if notice.Limit > 0 || !notice.Asked.IsZero() {
		t.gateway.workerLimits.handle(worker, notice)
	}
	if !notice.Leaving && notice.BackOff == 0 {
		return
	}
	if notice.Leaving && t.gateway.view.WorkerLeaves(worker.ID) {
		t.announceLeaving(worker.ID)
	}
	if notice.BackOff > 0 {
		t.gateway.dispatcher.BackOff(worker.ID, notice.BackOff)
	}
	news := t.record(time.Now(), worker.ID, notice)
	if notice.Leaving {
		t.gateway.metrics.countNotice(worker.Group, noticeLeaving)
	}
	if notice.BackOff > 0 {
		t.gateway.metrics.countNotice(worker.Group, noticeBackOff)
	}
	if news.Leaving {
		t.report(worker, noticeLeaving, "The worker says that it leaves.", map[string]string{"source": sourceAnswer})
	}
	if news.BackOff > 0 {
		t.report(worker, noticeBackOff, "The worker wants no requests of this gateway for a time.",
			map[string]string{"for_ms": fmt.Sprint(news.BackOff.Milliseconds())})
	}
}

// note keeps what a worker said, and returns what of it is news: that it leaves, or that a time without requests begins.
func (t *noticeTracker) record(now time.Time, id string, notice backend.Notice) backend.Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, found := t.states[id]
	if !found {
		t.prune(now)
		state = &noticeState{}
		t.states[id] = state
	}
	state.lastHeard = now
	var news backend.Notice
	if notice.Leaving && state.leavingSince.IsZero() {
		state.leavingSince = now
		news.Leaving = true
	}
	if notice.BackOff > 0 && !now.Before(state.backOffUntil) {
		state.backOffSince = now
		news.BackOff = notice.BackOff
	}
	if until := now.Add(notice.BackOff); until.After(state.backOffUntil) {
		state.backOffUntil = until
	}
	return news
}

// forget drops what does not count any more. The mutex is held.
func (t *noticeTracker) prune(now time.Time) {
	for id, state := range t.states {
		if now.Sub(state.lastHeard) > noticeRetention && !now.Before(state.backOffUntil) {
			delete(t.states, id)
		}
	}
}

// tell writes a line and a decision about what a worker said.
func (t *noticeTracker) report(worker *backend.Worker, kind, reason string, inputs map[string]string) {
	fields := logrus.Fields{"worker": worker.ID, "group": worker.Group, "address": worker.Address}
	for name, value := range inputs {
		fields[name] = value
	}
	t.logger.WithFields(fields).Info(reason)
	t.gateway.recordDecision(decision.Record{Kind: decision.KindHealth, Subject: worker.ID, Outcome: kind, Reason: reason, Inputs: inputs})
}

// tellPeers has the other gateways told that a worker leaves: it is true for all, and saves each of them a request.
func (t *noticeTracker) announceLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.notify == nil || len(t.pendingLeaving) >= maxAnnouncements {
		return
	}
	t.pendingLeaving = append(t.pendingLeaving, leavingAnnouncement{id: id})
	t.notify(true)
}

// Bounds of what other gateways are told.
const (
	// mostUntold bounds the workers that are named in one datagram; the others are heard of by their own answers.
	maxAnnouncements = 256
	// leavingTells is how often a worker is named, at once and then once a second, since datagrams are lost now and then.
	leavingSends = 4
)

// shareWith has what is to be told gathered. Notify must not wait.
func (t *noticeTracker) setNotify(notify func(urgent bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify = notify
}

// drain returns the workers of which other gateways are to be told that they leave: those that are new, and with full set once more those
// of which they were told lately.
func (t *noticeTracker) drain(full bool) []string {
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

// tellHeard writes that another gateway heard a worker say that it leaves.
func (t *noticeTracker) reportRemoteLeaving(id string) {
	if worker := t.gateway.worker(id); worker != nil {
		t.report(worker, noticeLeaving, "The worker says that it leaves.", map[string]string{"source": sourcePeer})
	}
}

// worker returns a worker that is in use, or nil.
func (g *Gateway) worker(id string) *backend.Worker {
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	return g.workers[id]
}

// against returns which word of a worker speaks against a request that was sent to it at a moment, or nothing.
func (t *noticeTracker) violatedNotice(id string, sentAt time.Time) string {
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
