package claim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

// Defaults of the settings.
const (
	DefaultRetryInterval = 50 * time.Millisecond
	DefaultMaxBackoff    = 400 * time.Millisecond
)

// FailureKind is why a proposal ended undecided.
type FailureKind string

// The failures.
const (
	FailureNone       FailureKind = ""
	FailureNoMajority FailureKind = "no-majority" // the deadline passed before a majority answered
	FailureForgotten  FailureKind = "forgotten"   // too many acceptors started after the request was created
	FailureExpired    FailureKind = "expired"     // the request is older than the window
	FailureView       FailureKind = "view"        // too many acceptors know another view
	FailureInvalid    FailureKind = "invalid"     // the request id is not of the form TENANT/ULID
)

// Result is the end of one proposal.
type Result struct {
	RequestID string
	// Decided tells whether a value was decided. Value is then the decided one, which may be another than the own.
	Decided bool
	Value   *granitebayv1.ClaimValue
	// Failure tells why no value is known to be decided. One may still be, or become so.
	Failure FailureKind
	// Proposed tells whether this proposal ever asked an acceptor to accept its own value. If not, this proposal will
	// never make that value chosen. Earlier proposals of the same id, and those of other proposers, count apart.
	Proposed bool
}

// ProposerSettings are fixed for the life of a proposer.
type ProposerSettings struct {
	// Name and Incarnation of the process. The pair must never be used by two processes: it makes ballots unique.
	Name        string
	Incarnation uint64
	// Address returns the host:port of a holder, or the empty string while it is unknown.
	Address func(name string) string
	// ViewOf returns the view of a request id as far as it is known. When it is left out, a proposal stays in the view
	// that it began with.
	ViewOf func(requestID string) View
	// RetryInterval is the time after which an unanswered message is sent again. Default: DefaultRetryInterval.
	RetryInterval time.Duration
	// MaxBackoff bounds the wait of a proposer that was outbid. Default: DefaultMaxBackoff.
	MaxBackoff time.Duration
}

// Proposer gets claims decided.
type Proposer struct {
	settings  ProposerSettings
	random    *rand.Rand
	round     uint64
	proposals map[string]*proposal
	// wake is no later than the wake of any proposal.
	wake time.Time
}

// NewProposer returns a proposer without proposals.
func NewProposer(settings ProposerSettings, random *rand.Rand) *Proposer {
	if settings.RetryInterval <= 0 {
		settings.RetryInterval = DefaultRetryInterval
	}
	if settings.MaxBackoff <= 0 {
		settings.MaxBackoff = DefaultMaxBackoff
	}
	return &Proposer{settings: settings, random: random, proposals: make(map[string]*proposal)}
}

// Propose asks for a decision, with a value to be decided if none is yet. The result comes from HandleEnvelope or Tick,
// at the latest at the deadline. While an earlier proposal of the same id is open the new value is not used; the later of
// the two deadlines holds.
func (p *Proposer) Propose(
	now time.Time, requestID string, value *granitebayv1.ClaimValue, view View, deadline time.Time, effects *core.Effects,
) {
	if open, found := p.proposals[requestID]; found {
		if deadline.After(open.deadline) {
			open.deadline = deadline
		}
		return
	}
	opened := &proposal{
		requestID: requestID,
		own:       value,
		deadline:  deadline,
	}
	opened.setView(view)
	p.proposals[requestID] = opened
	if _, err := CreatedAt(requestID); err != nil {
		opened.failure = FailureInvalid
	} else if len(opened.acceptors) == 0 && p.settings.ViewOf == nil {
		opened.failure = FailureView
	}
	if opened.failure != FailureNone {
		p.schedule(opened, now)
		return
	}
	p.beginBallot(now, opened, effects)
}

// HandleEnvelope takes an answer of an acceptor and returns the proposals that it ended. It ignores other messages.
func (p *Proposer) HandleEnvelope(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) []Result {
	from := envelope.GetFrom().GetName()
	switch body := envelope.GetBody().(type) {
	case *granitebayv1.Envelope_ClaimPromise:
		return p.handlePromise(now, from, body.ClaimPromise, effects)
	case *granitebayv1.Envelope_ClaimAccepted:
		return p.handleAccepted(from, body.ClaimAccepted, effects)
	case *granitebayv1.Envelope_ClaimRefused:
		return p.handleRefused(now, from, body.ClaimRefused, effects)
	}
	return nil
}

// Tick sends again what got no answer, begins ballots anew, and returns the proposals that ended.
func (p *Proposer) Tick(now time.Time, effects *core.Effects) []Result {
	if p.wake.IsZero() || now.Before(p.wake) {
		return nil
	}
	var due []*proposal
	p.wake = time.Time{}
	for _, open := range p.proposals {
		if now.Before(open.wake) {
			p.wake = core.Earliest(p.wake, open.wake)
			continue
		}
		due = append(due, open)
	}
	slices.SortFunc(due, func(a, b *proposal) int {
		return cmp.Compare(a.requestID, b.requestID)
	})
	var results []Result
	for _, open := range due {
		results = append(results, p.tickProposal(now, open, effects)...)
	}
	return results
}

// NextWake tells when Tick is due next; the zero time means never.
func (p *Proposer) NextWake() time.Time { return p.wake }

// Open returns the number of proposals that have no result yet.
func (p *Proposer) Open() int { return len(p.proposals) }

// tickProposal does what is due for one proposal.
func (p *Proposer) tickProposal(now time.Time, open *proposal, effects *core.Effects) []Result {
	switch {
	case open.failure != FailureNone:
		return p.fail(open, open.failure, effects)
	case !now.Before(open.deadline):
		return p.fail(open, lo.Ternary(open.blockedByView, FailureView, FailureNoMajority), effects)
	case open.phase == phaseBackoff || len(open.outbid) > 0 || len(open.acceptors) == 0:
		p.beginBallot(now, open, effects)
	default:
		p.send(now, open, effects)
	}
	return nil
}

// handlePromise counts a promise of the current ballot.
func (p *Proposer) handlePromise(
	now time.Time, from string, promise *granitebayv1.ClaimPromise, effects *core.Effects,
) []Result {
	open := p.current(from, promise.GetRequestId(), promise.GetBallot(), phasePreparing)
	if open == nil {
		return nil
	}
	open.addPromise(from, promise)
	if open.isChosenAlready() {
		return p.decide(open, open.acceptedValue, effects)
	}
	if open.hasQuorum() {
		open.beginAccepting()
		p.send(now, open, effects)
	}
	return nil
}

// handleAccepted counts a vote of the current ballot.
func (p *Proposer) handleAccepted(
	from string, accepted *granitebayv1.ClaimAccepted, effects *core.Effects,
) []Result {
	open := p.current(from, accepted.GetRequestId(), accepted.GetBallot(), phaseAccepting)
	if open == nil {
		return nil
	}
	open.addVote(from)
	if open.hasQuorum() {
		return p.decide(open, open.candidate, effects)
	}
	return nil
}

// handleRefused takes a refusal of the current ballot.
func (p *Proposer) handleRefused(
	now time.Time, from string, refused *granitebayv1.ClaimRefused, effects *core.Effects,
) []Result {
	open, found := p.proposals[refused.GetRequestId()]
	if !found || !open.isAcceptor(from) || compareBallots(refused.GetBallot(), open.ballot) != 0 {
		return nil
	}
	switch refused.GetRefusal() {
	case granitebayv1.ClaimRefusal_CLAIM_REFUSAL_BALLOT:
		p.round = max(p.round, refused.GetPromisedBallot().GetRound())
		open.outbid[from] = true
	case granitebayv1.ClaimRefusal_CLAIM_REFUSAL_FUTURE, granitebayv1.ClaimRefusal_CLAIM_REFUSAL_UNSPECIFIED:
		return nil // sent again at the next wake
	case granitebayv1.ClaimRefusal_CLAIM_REFUSAL_VIEW:
		if open.votes[from] {
			return nil // it voted in this phase before or after it refused
		}
		open.behind[from] = true
		open.blockedByView = open.blockedByView || !open.canWin()
	default:
		open.exclude(from, refused.GetRefusal())
		if open.failure != FailureNone {
			return p.fail(open, open.failure, effects)
		}
	}
	if open.phase != phaseBackoff && !open.canWin() {
		open.phase = phaseBackoff
		p.schedule(open, now.Add(p.backoff(open)))
	}
	return nil
}

// current returns the open proposal that an answer belongs to, or nil when the answer is an old or foreign one.
func (p *Proposer) current(from, requestID string, ballot *granitebayv1.Ballot, in phase) *proposal {
	open, found := p.proposals[requestID]
	if !found || open.phase != in || !open.isAcceptor(from) || compareBallots(ballot, open.ballot) != 0 {
		return nil
	}
	return open
}

// beginBallot starts phase 1 with a ballot that this process has never used, for this id or any other.
func (p *Proposer) beginBallot(now time.Time, open *proposal, effects *core.Effects) {
	if p.settings.ViewOf != nil {
		if view := p.settings.ViewOf(open.requestID); view.Version != open.view {
			open.setView(view)
		}
	}
	p.round++
	open.begin(&granitebayv1.Ballot{
		Round:               p.round,
		Proposer:            p.settings.Name,
		ProposerIncarnation: p.settings.Incarnation,
	})
	p.send(now, open, effects)
}

// send sends the message of the current phase to the acceptors that have not answered.
func (p *Proposer) send(now time.Time, open *proposal, effects *core.Effects) {
	for _, acceptor := range open.waiting() {
		if address := p.settings.Address(acceptor.Name); address != "" {
			effects.Send(acceptor.Name, address, open.message())
		}
	}
	p.schedule(open, now.Add(p.jittered(p.settings.RetryInterval)))
}

// schedule sets when a proposal is due next.
func (p *Proposer) schedule(open *proposal, wake time.Time) {
	open.wake = core.Earliest(wake, open.deadline)
	p.wake = core.Earliest(p.wake, open.wake)
}

// backoff returns the wait before the next ballot. It doubles with each ballot that was outbid.
func (p *Proposer) backoff(open *proposal) time.Duration {
	const maxDoublings = 10
	wait := p.settings.RetryInterval / 4 << min(open.ballots, maxDoublings)
	return p.jittered(min(wait, p.settings.MaxBackoff))
}

// jittered returns a random time between half of the given one and one and a half times it.
func (p *Proposer) jittered(duration time.Duration) time.Duration {
	return duration/2 + time.Duration(p.random.Int64N(int64(duration)+1))
}

// decide ends a proposal with the decided value.
func (p *Proposer) decide(open *proposal, value *granitebayv1.ClaimValue, effects *core.Effects) []Result {
	delete(p.proposals, open.requestID)
	effects.Decide(p.record(open, describe(value), "A majority of the acceptors voted for this value."))
	return []Result{{RequestID: open.requestID, Decided: true, Value: value, Proposed: open.proposed}}
}

// fail ends a proposal without a value.
func (p *Proposer) fail(open *proposal, failure FailureKind, effects *core.Effects) []Result {
	delete(p.proposals, open.requestID)
	effects.Decide(p.record(open, "", failureReasons[failure]))
	return []Result{{RequestID: open.requestID, Failure: failure, Proposed: open.proposed}}
}

// failureReasons holds one plain sentence for each failure.
var failureReasons = map[FailureKind]string{
	FailureNoMajority: "No majority of the acceptors answered before the deadline.",
	FailureForgotten:  "Too many acceptors started after the request was created and may have forgotten a vote.",
	FailureExpired:    "The request is older than the window in which claims are kept.",
	FailureView:       "Too many acceptors know another set of holders, or there are no holders.",
	FailureInvalid:    "The request id does not tell when the request was created.",
}

// record builds the decision record of a proposal.
func (p *Proposer) record(open *proposal, outcome, reason string) decision.Record {
	inputs := map[string]string{
		"proposed": describe(open.own),
		"ballots":  fmt.Sprint(open.ballots),
	}
	for i, acceptor := range open.acceptors {
		inputs[fmt.Sprintf("acceptor%d", i+1)] = acceptor.Name
	}
	return decision.Record{
		Kind:    decision.KindClaim,
		Subject: open.requestID,
		Outcome: outcome,
		Reason:  reason,
		Inputs:  inputs,
	}
}

// describe renders a value for a decision record.
func describe(value *granitebayv1.ClaimValue) string {
	if value.GetWithdrawn() {
		return "withdrawn"
	}
	return value.GetEngine()
}
