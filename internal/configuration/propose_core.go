package configuration

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

// Propose starts to bring an edit into the store. Its result comes by TakeResults. An edit that is already waiting under
// the same change id is not started twice; both get the one result.
func (c *Core) Propose(now time.Time, request EditRequest, effects *core.Effects) {
	c.begin(now)
	if err := c.refusal(request); err != nil {
		c.results = append(c.results, ProposeResult{ChangeID: request.ChangeID, Err: err})
		return
	}
	if lo.ContainsBy(c.proposals, func(p *proposal) bool { return p.request.ChangeID == request.ChangeID }) {
		return
	}
	c.proposals = append(c.proposals, &proposal{
		request: request, deadline: now.Add(c.settings.ProposeTimeout), retryAt: now,
	})
	c.tickProposals(now, effects)
}

// refusal returns why an edit is not even started, or nil.
func (c *Core) refusal(request EditRequest) error {
	switch {
	case c.settings.ReadOnly:
		return ErrReadOnly
	case request.ChangeID == "":
		return ErrNoChangeID
	case len(c.proposals) >= c.settings.MaximumProposals:
		return ErrBusy
	}
	return nil
}

// TakeResults returns the results since the last call, oldest first.
func (c *Core) TakeResults() []ProposeResult {
	results := c.results
	c.results = nil
	return results
}

// tickProposals works on the first proposal, and gives up those whose time is over.
func (c *Core) tickProposals(now time.Time, effects *core.Effects) {
	for len(c.proposals) > 0 && !now.Before(c.proposals[0].deadline) {
		c.giveUp(now)
	}
	if len(c.proposals) == 0 {
		return
	}
	first := c.proposals[0]
	if first.step != stepIdle && !now.Before(first.requestDeadline) {
		c.proposalFailed(now, first, platform.Response{Failure: platform.FailureUnknown})
	}
	if first.step == stepIdle && !now.Before(first.retryAt) {
		c.ask(now, first, stepRead, platform.Get{Key: StoreKey}, effects)
	}
}

// ask sends a request of a proposal to the store.
func (c *Core) ask(now time.Time, p *proposal, step proposalStep, request platform.Request, effects *core.Effects) {
	id := c.ids.Next()
	p.step, p.requestID = step, uint64(id)
	p.requestDeadline = now.Add(c.settings.StoreTimeout)
	effects.Ask(id, request)
}

// giveUp ends the first proposal because its time is over.
func (c *Core) giveUp(now time.Time) {
	first := c.proposals[0]
	reason := lo.Ternary(first.inDoubt || first.step == stepWrite, ErrOutcomeUnknown, ErrStoreUnavailable)
	c.finish(now, ProposeResult{Err: errors.Wrapf(reason, "%s: %s", c.settings.Self, first.step)})
}

// finish ends the first proposal with a result and lets the next one start.
func (c *Core) finish(now time.Time, result ProposeResult) {
	result.ChangeID = c.proposals[0].request.ChangeID
	c.results = append(c.results, result)
	c.proposals = c.proposals[1:]
	if len(c.proposals) > 0 {
		c.proposals[0].retryAt = now
	}
}

// handleProposalResponse takes the answer that the first proposal waits for.
func (c *Core) handleProposalResponse(now time.Time, response platform.Response, effects *core.Effects) {
	if len(c.proposals) == 0 {
		return
	}
	first := c.proposals[0]
	if first.step == stepIdle || first.requestID != uint64(response.ID) {
		return
	}
	switch {
	case response.Failure != platform.FailureNone:
		c.proposalFailed(now, first, response)
	case first.step == stepRead:
		c.proposalRead(now, first, response, effects)
	case response.Succeeded:
		c.apply(now, first.written, "an edit accepted here", effects)
		c.finish(now, ProposeResult{Accepted: true, Revision: first.written.Revision()})
	default:
		// Another write came first. Read the store again and merge with it.
		c.ask(now, first, stepRead, platform.Get{Key: StoreKey}, effects)
	}
	c.tickProposals(now, effects)
}

// proposalFailed waits before the store is read again. A write without an answer may have taken effect.
func (c *Core) proposalFailed(now time.Time, p *proposal, response platform.Response) {
	if p.step == stepWrite && response.Failure == platform.FailureUnknown {
		p.inDoubt = true
	}
	p.failures++
	p.step = stepIdle
	p.retryAt = now.Add(c.backoff(p.failures, response.RetryAfter))
}

// proposalRead goes on with the document that the store holds.
func (c *Core) proposalRead(now time.Time, p *proposal, response platform.Response, effects *core.Effects) {
	stored, modRevision, err := storedDocument(response.Entries)
	if err != nil {
		c.finish(now, ProposeResult{Err: errors.Wrapf(err, "%s: %s", c.settings.Self, p.step)})
		return
	}
	if stored != nil {
		c.apply(now, stored, "the store", effects)
	}
	if modRevision != p.compared {
		// The key was written since, so a write that compared with the older revision can no longer take effect.
		p.inDoubt = false
	}
	current := Document{}
	if c.current != nil {
		current = c.current.document
	}
	if change, found := current.FindChange(p.request.ChangeID); found {
		c.finish(now, ProposeResult{Accepted: true, Revision: change.Revision})
		return
	}
	c.proposeOn(now, p, current, modRevision, effects)
}

// proposeOn merges the edit with the current document and writes the result if the key still has the revision read.
func (c *Core) proposeOn(now time.Time, p *proposal, current Document, modRevision uint64, effects *core.Effects) {
	next, conflicts, err := Preview(current, p.request, now)
	if err != nil || len(conflicts) > 0 {
		c.finish(now, ProposeResult{Revision: current.Revision, Conflicts: conflicts, Err: c.rejection(p, err)})
		return
	}
	if next.Revision == current.Revision {
		// Nothing changes. There is nothing to write.
		c.finish(now, ProposeResult{Accepted: true, Unchanged: true, Revision: current.Revision})
		return
	}
	snapshot, err := Compile(next)
	if err == nil && len(snapshot.encoded) > MaximumDocumentBytes {
		err = ErrTooLarge
	}
	if err != nil {
		c.finish(now, ProposeResult{Revision: current.Revision, Err: err})
		return
	}
	p.compared, p.written = modRevision, snapshot
	c.ask(now, p, stepWrite, platform.Transaction{
		Compares: []platform.Compare{{Key: StoreKey, ModRevision: modRevision}},
		Puts:     []platform.Put{{Key: StoreKey, Value: snapshot.encoded}},
	}, effects)
}

// rejection turns an error into the one for the proposer. If a write was lost and the history no longer reaches back to
// the base, nobody can tell whether the edit is in it.
func (c *Core) rejection(p *proposal, err error) error {
	if errors.Is(err, ErrUnknownBase) && p.written != nil {
		return errors.Wrapf(ErrOutcomeUnknown, "%s: read the store", c.settings.Self)
	}
	return err
}

// storedDocument returns the document among the entries of a read and the revision of its key; nil and zero when the
// store has none.
func storedDocument(entries []platform.Entry) (*Snapshot, uint64, error) {
	entry, found := lo.Find(entries, func(entry platform.Entry) bool { return entry.Key == StoreKey })
	if !found {
		return nil, 0, nil
	}
	snapshot, err := compileEncoded(entry.Value)
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrap(err, ErrUnreadable.Error()), ErrUnreadable)
	}
	return snapshot, entry.ModRevision, nil
}
