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
)

// notices hears what workers say of themselves in their answers, and tells operators of it. It is safe for concurrent use.
type notices struct {
	gateway *Gateway
	logger  logrus.FieldLogger
	// complaints bounds the lines about what can't be read.
	complaints *rate.Limiter

	mu sync.Mutex
	// workers are those that said something, by the ids of their incarnations.
	workers map[string]*heardOf
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
	if notice.Empty() {
		return
	}
	begins := n.note(time.Now(), worker.ID, notice)
	if notice.Leaving {
		n.gateway.metrics.noticeHeard(worker.Group, noticeLeaving)
	}
	if notice.BackOff > 0 {
		n.gateway.metrics.noticeHeard(worker.Group, noticeBackOff)
	}
	if begins.Leaving {
		n.tell(worker, noticeLeaving, "The worker says in an answer that it leaves.", nil)
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
