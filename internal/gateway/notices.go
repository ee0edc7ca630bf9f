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
type notices struct {
	gateway *Gateway
	logger  logrus.FieldLogger
	// complaints bounds the lines about what can't be read.
	complaints *rate.Limiter

	mu sync.Mutex
	// workers are those that said something, by the ids of their incarnations.
	workers map[string]*heardOf
	// untold are workers of which the other gateways are to be told that they leave, with how often they were told.
	untold []untoldLeaving
	// notify tells that there is something to tell; nil tells nobody.
	notify func(urgent bool)
}

// untoldLeaving is a worker that leaves.
type untoldLeaving struct {
	id    string
	times int
}

// heardOf is what one worker has said.
type heardOf struct {
	// leavingSince is when the worker said first that it leaves; zero if it did not.
	leavingSince time.Time
	// backOffSince and backOffUntil bound the time in which it wants no requests.
	backOffSince, backOffUntil time.Time
	last                       time.Time
}

// noticeMemory is how long what an incarnation said is kept after it last said anything: longer than one that leaves takes to end.
const noticeMemory = 10 * time.Minute

// newNotices has heard nothing.
func newNotices(g *Gateway) *notices {
	return &notices{
		gateway: g, logger: logging.Part(g.logger, "notices"), workers: map[string]*heardOf{},
		complaints: rate.NewLimiter(linesPerSecond, linesAtOnce),
	}
}

// hear takes what a worker said in an answer, and what of it can't be read.
func (n *notices) hear(worker *backend.Worker, notice backend.Notice, err error) {
	if err != nil {
		n.gateway.metrics.noticeUnreadable()
		if n.complaints.Allow() {
			n.logger.WithError(err).WithField("worker", worker.ID).Warn("What a worker says of itself can't be read.")
		}
	}
	if notice.Limit > 0 || !notice.Asked.IsZero() {
		n.gateway.workerLimits.hear(worker, notice)
	}
	if !notice.Leaving && notice.BackOff == 0 {
		return
	}
	if notice.Leaving && n.gateway.view.WorkerLeaves(worker.ID) {
		n.tellPeers(worker.ID)
	}
	if notice.BackOff > 0 {
		n.gateway.dispatcher.BackOff(worker.ID, notice.BackOff)
	}
	begins := n.note(time.Now(), worker.ID, notice)
	if notice.Leaving {
		n.gateway.metrics.noticeHeard(worker.Group, noticeLeaving)
	}
	if notice.BackOff > 0 {
		n.gateway.metrics.noticeHeard(worker.Group, noticeBackOff)
	}
	if begins.Leaving {
		n.tell(worker, noticeLeaving, "The worker says that it leaves.", map[string]string{"source": sourceAnswer})
	}
	if begins.BackOff > 0 {
		n.tell(worker, noticeBackOff, "The worker wants no requests of this gateway for a time.",
			map[string]string{"for_ms": fmt.Sprint(begins.BackOff.Milliseconds())})
	}
}

// note keeps what a worker said, and returns what of it is news: that it leaves, or that a time without requests begins.
func (n *notices) note(now time.Time, id string, notice backend.Notice) backend.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, found := n.workers[id]
	if !found {
		n.forget(now)
		known = &heardOf{}
		n.workers[id] = known
	}
	known.last = now
	var news backend.Notice
	if notice.Leaving && known.leavingSince.IsZero() {
		known.leavingSince = now
		news.Leaving = true
	}
	if notice.BackOff > 0 && !now.Before(known.backOffUntil) {
		known.backOffSince = now
		news.BackOff = notice.BackOff
	}
	if until := now.Add(notice.BackOff); until.After(known.backOffUntil) {
		known.backOffUntil = until
	}
	return news
}

// forget drops what does not count any more. The mutex is held.
func (n *notices) forget(now time.Time) {
	for id, known := range n.workers {
		if now.Sub(known.last) > noticeMemory && !now.Before(known.backOffUntil) {
			delete(n.workers, id)
		}
	}
}

// tell writes a line and a decision about what a worker said.
func (n *notices) tell(worker *backend.Worker, what, reason string, inputs map[string]string) {
	fields := logrus.Fields{"worker": worker.ID, "group": worker.Group, "address": worker.Address}
	for name, value := range inputs {
		fields[name] = value
	}
	n.logger.WithFields(fields).Info(reason)
	n.gateway.decide(decision.Record{Kind: decision.KindHealth, Subject: worker.ID, Outcome: what, Reason: reason, Inputs: inputs})
}

// tellPeers has the other gateways told that a worker leaves: it is true for all, and saves each of them a request.
func (n *notices) tellPeers(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.notify == nil || len(n.untold) >= mostUntold {
		return
	}
	n.untold = append(n.untold, untoldLeaving{id: id})
	n.notify(true)
}

// Bounds of what other gateways are told.
const (
	// mostUntold bounds the workers that are named in one datagram; the others are heard of by their own answers.
	mostUntold = 256
	// leavingTells is how often a worker is named, at once and then once a second, since datagrams are lost now and then.
	leavingTells = 4
)

// shareWith has what is to be told gathered. Notify must not wait.
func (n *notices) shareWith(notify func(urgent bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notify = notify
}

// drain returns the workers of which other gateways are to be told that they leave: those that are new, and with full set once more those
// of which they were told lately.
func (n *notices) drain(full bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var told []string
	var left []untoldLeaving
	for _, each := range n.untold {
		if each.times == 0 || full {
			told = append(told, each.id)
			each.times++
		}
		if each.times < leavingTells {
			left = append(left, each)
		}
	}
	n.untold = left
	return told
}

// tellHeard writes that another gateway heard a worker say that it leaves.
func (n *notices) tellHeard(id string) {
	if worker := n.gateway.worker(id); worker != nil {
		n.tell(worker, noticeLeaving, "The worker says that it leaves.", map[string]string{"source": sourcePeer})
	}
}

// worker returns a worker that is in use, or nil.
func (g *Gateway) worker(id string) *backend.Worker {
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	return g.workers[id]
}

// against returns which word of a worker speaks against a request that was sent to it at a moment, or nothing.
func (n *notices) against(id string, at time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, found := n.workers[id]
	switch {
	case !found:
		return ""
	case !known.leavingSince.IsZero() && at.After(known.leavingSince):
		return noticeLeaving
	case at.After(known.backOffSince) && at.Before(known.backOffUntil):
		return noticeBackOff
	default:
		return ""
	}
}
