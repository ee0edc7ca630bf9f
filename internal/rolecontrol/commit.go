package rolecontrol

import (
	"encoding/json"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// commitStep is what a commit does next.
type commitStep int

const (
	stepTransaction commitStep = iota
	stepReadBack
)

// commit is one record on its way into the key-value service. It stays, and nothing else is done for the engine, until
// it is certain whether it took effect: a transaction without an answer may still arrive, so that it is sent again,
// unchanged, until the key has moved on.
type commit struct {
	proposal Record
	// compare is the modification revision of the key that the commit replaces.
	compare uint64
	step    commitStep
	// uncertain is set when a transaction got no answer.
	uncertain bool
	request   platform.RequestID
	sentAt    time.Time
	retryAt   time.Time
}

// commitFirst commits generation 1 of an engine that has no record.
func (c *Core) commitFirst(now time.Time, control *engineControl, effects *core.Effects) {
	target, known := c.firstTarget(control)
	if !known {
		control.setPhase(PhaseUnknown, "no configuration was chosen for the engine yet")
		c.reached(now, control, now.Add(c.settings.IdleProbeInterval))
		return
	}
	c.startCommit(now, control, Record{
		Configuration: canonical(target.Configuration),
		Generation:    1,
		Reason:        target.Reason,
	}, effects)
}

func (c *Core) firstTarget(control *engineControl) (Target, bool) {
	if control.target != nil {
		return *control.target, true
	}
	if c.settings.InitialTarget == nil {
		return Target{}, false
	}
	return c.settings.InitialTarget(control.name)
}

// commitDrain starts a change: same content, draining.
func (c *Core) commitDrain(now time.Time, control *engineControl, record Record, effects *core.Effects) {
	next := nextRecord(record, record.Configuration, control.target.Reason)
	next.Draining = true
	c.startCommit(now, control, next, effects)
}

// commitChange commits the new content of an engine that is proved empty.
func (c *Core) commitChange(now time.Time, control *engineControl, record Record, effects *core.Effects) {
	c.startCommit(now, control, nextRecord(record, control.target.Configuration, control.target.Reason), effects)
}

// commitWithdrawal ends a drain without a change.
func (c *Core) commitWithdrawal(now time.Time, control *engineControl, record Record, reason string, effects *core.Effects) {
	c.startCommit(now, control, nextRecord(record, record.Configuration, reason), effects)
}

// commitReplacement commits new content for a blank engine that could not carry out its record.
func (c *Core) commitReplacement(now time.Time, control *engineControl, record Record, effects *core.Effects) {
	c.startCommit(now, control, nextRecord(record, control.target.Configuration, control.target.Reason), effects)
}

func nextRecord(record Record, configuration engine.Configuration, reason string) Record {
	return Record{Configuration: configuration, Generation: record.Generation + 1, Reason: reason}
}

// startCommit sends the transaction for a record, unless the authority is gone or an earlier try was put off.
func (c *Core) startCommit(now time.Time, control *engineControl, proposal Record, effects *core.Effects) {
	if !c.reached(now, control, control.commitAt) {
		return
	}
	proposal.Epoch = control.epoch
	control.commit = &commit{proposal: proposal, compare: c.committedRevision(control.name)}
	c.advanceCommit(now, control, effects)
}

// committedRevision is the modification revision of the key of a record: zero when there is none.
func (c *Core) committedRevision(name string) uint64 {
	entry, _ := c.mirror.Entry(recordKey(name))
	return entry.ModRevision
}

// advanceCommit does the next step of the commit that is under way. It returns false when there is none.
func (c *Core) advanceCommit(now time.Time, control *engineControl, effects *core.Effects) bool {
	commit := control.commit
	if commit == nil {
		return false
	}
	if commit.request != 0 {
		if !c.reached(now, control, commit.sentAt.Add(c.settings.RequestTimeout)) {
			return true
		}
		delete(c.requests, commit.request)
		c.commitFailed(now, control, platform.FailureUnknown, 0)
	}
	if !c.reached(now, control, commit.retryAt) {
		return true
	}
	if commit.step == stepReadBack {
		c.askCommit(now, control, platform.Get{Key: recordKey(control.name)}, effects)
		return true
	}
	value, err := json.Marshal(commit.proposal)
	if err != nil || !c.checkAuthority(now, control) {
		return true
	}
	c.askCommit(now, control, platform.Transaction{
		Compares: []platform.Compare{
			{Key: recordKey(control.name), ModRevision: commit.compare},
			{Key: c.settings.ShardKey(control.name), ModRevision: control.epoch},
		},
		Puts: []platform.Put{{Key: recordKey(control.name), Value: value}},
	}, effects)
	return true
}

func (c *Core) askCommit(now time.Time, control *engineControl, request platform.Request, effects *core.Effects) {
	commit := control.commit
	commit.request = c.ids.Next()
	commit.sentAt = now
	c.requests[commit.request] = control
	effects.Ask(commit.request, request)
	c.reached(now, control, now.Add(c.settings.RequestTimeout))
}

// handleCommitResponse takes the answer to the transaction or to the read that follows it.
func (c *Core) handleCommitResponse(now time.Time, control *engineControl, response platform.Response) {
	commit := control.commit
	if commit == nil || commit.request != response.ID {
		return
	}
	commit.request = 0
	if response.Failure != platform.FailureNone {
		c.commitFailed(now, control, response.Failure, response.RetryAfter)
		return
	}
	c.backoff.Reset()
	if commit.step == stepTransaction {
		// The key tells what holds now, whether the transaction succeeded or not.
		commit.uncertain = commit.uncertain || response.Succeeded
		commit.step = stepReadBack
		return
	}
	c.settleCommit(now, control, response)
}

// commitFailed puts the commit off, or gives it up when it certainly had no effect.
func (c *Core) commitFailed(now time.Time, control *engineControl, failure platform.Failure, retryAfter time.Duration) {
	commit := control.commit
	commit.request = 0
	commit.retryAt = now.Add(c.backoff.Next(c.random, retryAfter))
	if commit.step == stepReadBack {
		return
	}
	if failure == platform.FailureUnknown {
		commit.uncertain = true
		commit.step = stepReadBack
		return
	}
	if !commit.uncertain {
		control.commitAt = commit.retryAt
		control.commit = nil
	}
}

// settleCommit compares what the service holds with what was proposed.
func (c *Core) settleCommit(now time.Time, control *engineControl, response platform.Response) {
	commit := control.commit
	c.mirror.Observe(recordKey(control.name), response)
	var revision uint64
	if len(response.Entries) > 0 {
		revision = response.Entries[0].ModRevision
	}
	if revision == commit.compare && commit.uncertain {
		commit.step = stepTransaction
		commit.retryAt = now.Add(c.backoff.Next(c.random, 0))
		return
	}
	if revision == commit.compare {
		control.commitAt = now.Add(c.backoff.Next(c.random, 0))
	}
	control.commit = nil
}

func (c *Core) dropCommit(control *engineControl) {
	if control.commit != nil {
		delete(c.requests, control.commit.request)
		control.commit = nil
	}
}

// noteCommitted takes a record that this router committed, which it may have learned from the watch.
func (c *Core) noteCommitted(now time.Time, control *engineControl, before, after Record, effects *core.Effects) {
	if after.Generation != before.Generation+1 || after.Epoch != control.epoch {
		return
	}
	control.readyDeadline = time.Time{}
	changed := before.Generation != 0 && !sameConfiguration(before.Configuration, after.Configuration)
	switch {
	case after.Draining:
		c.counts.Started++
		c.decide(control, decision.KindDrain, "draining", after.Reason, after, effects)
	case changed:
		control.changeGeneration = after.Generation
		control.failures = 0
		control.crashDelay.Reset()
		control.setAside = false
		c.decide(control, decision.KindEngine, "changing", after.Reason, after, effects)
	case before.Draining:
		c.counts.Withdrawn++
		control.redrainAt = now.Add(c.settings.RedrainDelay)
		control.target = nil
		c.decide(control, decision.KindWithdraw, string(after.Role), after.Reason, after, effects)
	default:
		c.decide(control, decision.KindEngine, "first record", after.Reason, after, effects)
	}
}
