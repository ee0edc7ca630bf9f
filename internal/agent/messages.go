package agent

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// HandleEnvelope takes a message from a router.
func (c *Core) HandleEnvelope(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	from := envelope.GetFrom()
	c.routers.heard(from.GetName(), from.GetIncarnation())
	switch body := envelope.GetBody().(type) {
	case *granitebayv1.Envelope_Progress:
		c.handleProgress(now, from, body.Progress, effects)
	case *granitebayv1.Envelope_Accepted:
		c.handleAccepted(now, from, body.Accepted, effects)
	case *granitebayv1.Envelope_Outcome:
		c.handleOutcome(now, from, body.Outcome, effects)
	case *granitebayv1.Envelope_Moved:
		c.handleMoved(now, from, body.Moved, effects)
	}
}

// alive notes that a peer answers for the latest attempt. A retry that was only planned is dropped.
func (c *Core) alive(now time.Time, from *granitebayv1.Peer, entry *request) {
	entry.answering = peer{name: from.GetName(), address: from.GetAddress()}
	entry.latest().answeredFrom(entry.answering)
	entry.lastHeard = now
	if !entry.latest().refused {
		entry.retryAt = time.Time{}
	}
}

func (c *Core) handleAccepted(now time.Time, from *granitebayv1.Peer, accepted *granitebayv1.Accepted, effects *core.Effects) {
	entry := c.requests[accepted.GetRequestId()]
	if entry == nil {
		c.answerLate(from, accepted.GetRequestId(), accepted.GetAttempt(), effects)
		return
	}
	if accepted.GetAttempt() != entry.latest().number {
		return
	}
	c.alive(now, from, entry)
	entry.name(accepted.GetRun())
	c.wakeups.earlier(entry, entry.due(c.settings))
}

// name notes the run that a router named.
func (r *request) name(run *granitebayv1.RunReference) {
	if run.GetEngine() != "" {
		r.run = run
	}
}

func (c *Core) handleProgress(now time.Time, from *granitebayv1.Peer, progress *granitebayv1.Progress, effects *core.Effects) {
	entry := c.requests[progress.GetRequestId()]
	if entry == nil {
		c.answerLate(from, progress.GetRequestId(), progress.GetAttempt(), effects)
		return
	}
	if progress.GetStarted() || len(progress.GetTokens()) > 0 {
		entry.started = true
	}
	if !entry.usable(progress) {
		return
	}
	current := progress.GetAttempt() == entry.latest().number
	if current {
		c.alive(now, from, entry)
		entry.name(progress.GetRun())
	}
	result := entry.answer.take(from.GetName(), entry.latest().resumeOffset, progress)
	if result.added > 0 {
		entry.latest().tokens = true
		entry.deliver(result.whole, effects)
	} else if result.whole {
		entry.deliver(true, effects)
	}
	switch {
	case result.whole:
		c.answered(now, entry, from, effects)
	case result.conflict && current:
		c.conflict(now, entry, from, effects)
	case current:
		c.noteGap(now, entry, result)
		c.acknowledge(entry, from, effects)
	}
}

// usable tells whether the tokens of a Progress may be looked at: those of the latest attempt, and those of the one run
// that work has which may not be repeated. An older attempt of other work may belong to a run that was left.
func (r *request) usable(progress *granitebayv1.Progress) bool {
	if progress.GetAttempt() == r.latest().number {
		return true
	}
	return !r.work.GetRepeatable()
}

// noteGap notes since when tokens are missing.
func (c *Core) noteGap(now time.Time, entry *request, result taken) {
	switch {
	case !result.gap:
		entry.clearGap()
	case entry.gapSince.IsZero() || result.added > 0:
		entry.gapSince = now
		entry.missingAsked = false
	}
	// The next look may now be earlier: a gap, or a silence shorter than the time for a first answer.
	entry.gapOffset = result.agreed
	c.wakeups.earlier(entry, entry.due(c.settings))
}

func (r *request) clearGap() {
	r.gapSince = time.Time{}
	r.missingAsked = false
}

// askMissing asks the router that answers to send the tokens of a gap again.
func (c *Core) askMissing(entry *request, effects *core.Effects) {
	entry.missingAsked = true
	effects.Send(entry.answering.name, entry.answering.address, &granitebayv1.Envelope{
		Body: &granitebayv1.Envelope_Progressed{Progressed: &granitebayv1.Progressed{
			RequestId: entry.id,
			Offset:    entry.gapOffset,
			Missing:   true,
		}},
	})
}

// conflict handles a run whose tokens contradict those that the agent holds. Repeatable work goes on at another run; for
// other work it is a doubt that no retry can clear.
func (c *Core) conflict(now time.Time, entry *request, from *granitebayv1.Peer, effects *core.Effects) {
	if !entry.work.GetRepeatable() {
		c.giveUp(now, entry, reason("Router "+from.GetName()+" sent tokens that contradict the earlier ones."), effects)
		return
	}
	entry.run = nil
	c.retry(now, entry, causeInconsistent, from.GetName(), effects)
}

// acknowledge tells the router now and then which tokens the agent holds, so that the router may forget them.
func (c *Core) acknowledge(entry *request, from *granitebayv1.Peer, effects *core.Effects) {
	held := entry.answer.length()
	if held-entry.acknowledged < c.settings.AcknowledgeTokens {
		return
	}
	entry.acknowledged = held
	sendProgressed(from, entry.id, held, false, effects)
}

func sendProgressed(to *granitebayv1.Peer, id string, offset uint32, finished bool, effects *core.Effects) {
	effects.Send(to.GetName(), to.GetAddress(), &granitebayv1.Envelope{
		Body: &granitebayv1.Envelope_Progressed{Progressed: &granitebayv1.Progressed{
			RequestId: id,
			Offset:    offset,
			Finished:  finished,
		}},
	})
}

// answerLate answers a message about a request that has ended here, so that the router lets go of it.
func (c *Core) answerLate(from *granitebayv1.Peer, id string, attempt uint32, effects *core.Effects) {
	ended := c.ended.byID[id]
	if ended == nil {
		return
	}
	if ended.answered {
		sendProgressed(from, id, uint32(len(ended.tokens)), true, effects)
		return
	}
	message := &granitebayv1.Cancel{RequestId: id, Attempt: attempt, Run: ended.run, Repeatable: ended.work.GetRepeatable()}
	c.sendCancel(peer{name: from.GetName(), address: from.GetAddress()}, message, effects)
}

func (c *Core) handleMoved(now time.Time, from *granitebayv1.Peer, moved *granitebayv1.Moved, effects *core.Effects) {
	entry := c.requests[moved.GetRequestId()]
	if entry == nil || entry.cancelled || entry.latest().refused || moved.GetAttempt() != entry.latest().number {
		return
	}
	c.routers.leaving(now, from.GetName(), from.GetIncarnation())
	entry.name(moved.GetRun())
	entry.latest().refused = true
	c.retry(now, entry, causeMoved, from.GetName(), effects)
}

// HandlePeerUnreachable takes word that messages to a router could not be handed over. Requests that wait for it are
// sent again at once.
func (c *Core) HandlePeerUnreachable(now time.Time, name string, effects *core.Effects) {
	c.routers.failed(now, name, c.random)
	for _, entry := range c.waitingFor(name) {
		c.retry(now, entry, causeUnreachable, name, effects)
	}
}

// waitingFor lists the requests that wait for a peer, in the order in which they were submitted.
func (c *Core) waitingFor(name string) []*request {
	var waiting []*request
	for _, entry := range c.requests {
		if !entry.cancelled && entry.retryAt.IsZero() && entry.waitsFor() == name {
			waiting = append(waiting, entry)
		}
	}
	sortBySequence(waiting)
	return waiting
}

// waitsFor names the peer that is to answer the latest attempt.
func (r *request) waitsFor() string {
	if r.answering.name != "" {
		return r.answering.name
	}
	return r.latest().router
}
