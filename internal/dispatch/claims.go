package dispatch

import (
	"fmt"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

// claim asks for a decision on the current claim instance of a request.
func (c *Core) claim(now time.Time, entry *request, value *granitebayv1.ClaimValue, effects *core.Effects) {
	entry.phase = phaseClaiming
	if value.GetWithdrawn() {
		entry.phase = phaseWithdrawing
	}
	entry.retryAt = time.Time{}
	c.claims.Propose(now, entry.instanceID(), value, claimDeadline(now, entry), effects)
}

// An undecided claim ends before the deadline of its request by claimLead, or by a share of the time that is left if that
// is less. Agents cancel 200 ms, or a fifth of the whole time, before the deadline; an outcome that comes by then still
// proves that the request was not run, a later one does not.
const (
	claimLead      = 400 * time.Millisecond
	claimLeadShare = 3
)

// claimDeadline is when the current claim of a request is given up.
func claimDeadline(now time.Time, entry *request) time.Time {
	if entry.phase == phaseWithdrawing {
		return entry.deadline
	}
	left := max(entry.deadline.Sub(now), 0)
	return entry.deadline.Add(-min(claimLead, left/claimLeadShare))
}

// tooOld tells whether an engine may have forgotten that it ran the request. Work that may not be repeated is never
// submitted from then on.
func (c *Core) tooOld(now time.Time, entry *request) bool {
	created, err := claim.CreatedAt(entry.id())
	return err != nil || now.Sub(created) >= c.settings.EngineMemory
}

// nextInstance leaves an engine that surely will not run the request, and claims another one or withdraws the request.
func (c *Core) nextInstance(now time.Time, entry *request, effects *core.Effects) {
	entry.instance++
	if entry.cancelReason != "" {
		c.claim(now, entry, &granitebayv1.ClaimValue{Withdrawn: true}, effects)
		return
	}
	c.requeue(now, entry, "", fmt.Sprintf("Engine %s did not run the request and never will; another engine is claimed.", entry.engine), effects)
}

// HandleClaimResult takes the result of a claim.
func (c *Core) HandleClaimResult(now time.Time, result claim.Result, effects *core.Effects) {
	entry := c.requests[requestOfInstance(result.RequestID)]
	if entry == nil || entry.ended() || entry.instanceID() != result.RequestID {
		return
	}
	if entry.phase != phaseClaiming && entry.phase != phaseWithdrawing {
		return
	}
	if !result.Decided {
		c.handleUndecided(now, entry, result, effects)
		return
	}
	effects.Decide(decision.Record{
		Kind:           decision.KindClaim,
		Subject:        entry.id(),
		Outcome:        claimName(result.Value),
		Reason:         "A majority of the claim holders decided where this request, which may not be repeated, runs.",
		ConfigRevision: c.configRevision(),
	})
	if result.Value.GetWithdrawn() {
		entry.withdrawn = true
		c.giveUp(now, entry, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, withdrawnReason(entry), effects)
		return
	}
	c.takeClaimed(now, entry, result.Value, effects)
}

// takeClaimed goes on with the engine that the claim decided, which need not be the one that was proposed.
func (c *Core) takeClaimed(now time.Time, entry *request, value *granitebayv1.ClaimValue, effects *core.Effects) {
	if entry.engine != value.GetEngine() || entry.incarnation != value.GetEngineIncarnation() {
		c.release(entry)
		entry.engine = value.GetEngine()
		entry.incarnation = value.GetEngineIncarnation()
		c.reserve(entry)
	}
	if entry.phase == phaseWithdrawing {
		// An engine was claimed before: only its tombstone can prove that the request does not run.
		c.sendCancel(now, entry, effects)
		return
	}
	if c.tooOld(now, entry) {
		c.attach(now, entry, effects)
		return
	}
	c.submit(now, entry, effects)
}

// handleUndecided gives up a request whose claim found no majority, was forgotten or has expired.
func (c *Core) handleUndecided(now time.Time, entry *request, result claim.Result, effects *core.Effects) {
	kind := granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN
	reason := fmt.Sprintf("The claim on this request could not be decided: %s. It may run elsewhere.", result.Failure)
	if !result.Proposed && entry.instance == 0 && entry.phase == phaseClaiming && !entry.submitted {
		kind = granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
		reason = fmt.Sprintf("The claim on this request could not be made: %s. This router did not run it and will not.", result.Failure)
	}
	c.giveUp(now, entry, kind, reason, effects)
}

// withdrawnReason says why a withdrawn request was not run.
func withdrawnReason(entry *request) string {
	if entry.cancelReason != "" {
		return entry.cancelReason + " The claim shows that it was not run and never will be."
	}
	return "The request was withdrawn before it ran."
}

// claimName names a claim value for people.
func claimName(value *granitebayv1.ClaimValue) string {
	if value.GetWithdrawn() {
		return "withdrawn"
	}
	return value.GetEngine()
}
