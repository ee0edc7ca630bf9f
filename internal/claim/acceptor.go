// Package claim decides, for each request that may not be repeated, the one engine that may run it, or that none may.
// Each request id is one instance of single-decree Paxos over three routers in different zones. Acceptors keep their
// votes in memory only; the time in the id tells an acceptor whether it may have forgotten a vote.
// See docs/design/claims.md.
package claim

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// Defaults of the settings.
const (
	DefaultWindow    = 10 * time.Minute
	DefaultClockSkew = 500 * time.Millisecond
	// DefaultConfirmationLifetime must outlast an outage of the key-value service.
	DefaultConfirmationLifetime = 30 * time.Minute
)

// sweepInterval is the time between two searches for votes that can be dropped.
const sweepInterval = 10 * time.Second

// AcceptorSettings are fixed for the life of an acceptor.
type AcceptorSettings struct {
	// StartedAt is the time at which the process started, by its own clock. It has no votes from before.
	StartedAt time.Time
	// View that the acceptor belongs to for all its life. When it is left out, the acceptor votes only in the views that
	// SetViews and Confirm tell it.
	View View
	// ConfirmationLifetime is how long the acceptor votes after it last asked the key-value service for the views.
	// All routers must have the same. Default: DefaultConfirmationLifetime.
	ConfirmationLifetime time.Duration
	// Window is the age at which an id gets no more votes. Default: DefaultWindow.
	Window time.Duration
	// ClockSkew bounds the difference between any two clocks of the fleet, including the clocks of two successive
	// processes of one name. Default: DefaultClockSkew.
	ClockSkew time.Duration
}

// vote is what an acceptor remembers of one request id.
type vote struct {
	createdAt time.Time
	// view in which the votes were given. Those of a view before count no more.
	view     uint64
	promised *granitebayv1.Ballot
	accepted *granitebayv1.Ballot
	value    *granitebayv1.ClaimValue
}

// Acceptor votes on the claims of other routers and of its own.
type Acceptor struct {
	settings  AcceptorSettings
	votes     map[string]*vote
	latest    time.Time
	nextSweep time.Time

	views Views
	// confirmedAt is when the latest read of the views that succeeded was sent; zero before the first.
	confirmedAt time.Time
	// latestVote is the latest time of an id for which the acceptor accepted a value.
	latestVote time.Time
}

// NewAcceptor returns an acceptor without votes.
func NewAcceptor(settings AcceptorSettings) *Acceptor {
	if settings.Window <= 0 {
		settings.Window = DefaultWindow
	}
	if settings.ClockSkew <= 0 {
		settings.ClockSkew = DefaultClockSkew
	}
	if settings.ConfirmationLifetime <= 0 {
		settings.ConfirmationLifetime = DefaultConfirmationLifetime
	}
	acceptor := &Acceptor{
		settings:  settings,
		votes:     make(map[string]*vote),
		latest:    settings.StartedAt,
		nextSweep: settings.StartedAt.Add(sweepInterval),
	}
	if acceptor.hasFixedView() {
		acceptor.views = Views{Sequence: 1, Committed: []View{settings.View}}
	}
	return acceptor
}

// hasFixedView tells whether the acceptor belongs to one view for all its life.
func (a *Acceptor) hasFixedView() bool { return a.settings.View.Version != 0 }

// SetViews tells the acceptor of a record of views, which may be older than the one that it knows. It gets no vote from
// this alone: another process of the same name may have sealed itself by a later record, so that Confirm is needed once.
func (a *Acceptor) SetViews(views Views) {
	if views.Sequence > a.views.Sequence && !a.hasFixedView() {
		a.views = views
	}
}

// Confirm tells the acceptor that the key-value service answered with the record that it knows, or an earlier one, to a
// read that this process sent at the given time.
func (a *Acceptor) Confirm(sentAt time.Time) {
	if sentAt.After(a.confirmedAt) {
		a.confirmedAt = sentAt
	}
}

// Sealed tells whether the acceptor, and every earlier process of its name, voted on no id from the start of the pending
// view on, and will not do so while this record or a later one holds, other than in the pending view once it is committed.
func (a *Acceptor) Sealed() bool {
	pending := a.views.Pending
	if pending == nil || a.confirmedAt.IsZero() {
		return false
	}
	return !pending.startsBy(a.latestVote) && !pending.startsBy(a.forgottenUntil())
}

// forgottenUntil is the latest time of an id on which an earlier process of the same name may have voted. That process
// voted only on ids at most ClockSkew ahead of its clock, and its clock was at most ClockSkew ahead of this one.
func (a *Acceptor) forgottenUntil() time.Time {
	return a.settings.StartedAt.Add(2 * a.settings.ClockSkew)
}

// Votes returns the number of request ids of which the acceptor holds a vote.
func (a *Acceptor) Votes() int { return len(a.votes) }

// Handle answers a ClaimPrepare or ClaimAccept to its sender, and ignores any other message. An envelope from the
// process itself must be looped back like any other.
func (a *Acceptor) Handle(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	now = a.observe(now)
	var answer *granitebayv1.Envelope
	switch {
	case envelope.GetClaimPrepare() != nil:
		answer = a.prepare(now, envelope.GetClaimPrepare())
	case envelope.GetClaimAccept() != nil:
		answer = a.accept(now, envelope.GetClaimAccept())
	default:
		return
	}
	effects.Send(envelope.GetFrom().GetName(), envelope.GetFrom().GetAddress(), answer)
}

// Tick drops votes on ids that can get no more votes.
func (a *Acceptor) Tick(now time.Time) {
	now = a.observe(now)
	if now.Before(a.nextSweep) {
		return
	}
	a.nextSweep = now.Add(sweepInterval)
	oldest := now.Add(-a.settings.Window - 2*a.settings.ClockSkew)
	for requestID, vote := range a.votes {
		if vote.createdAt.Before(oldest) {
			delete(a.votes, requestID)
		}
	}
}

// NextWake tells when Tick is due next; the zero time means never.
func (a *Acceptor) NextWake() time.Time {
	if len(a.votes) == 0 {
		return time.Time{}
	}
	return a.nextSweep
}

// observe returns the latest time seen, so that a clock that is set back cannot reopen an expired id.
func (a *Acceptor) observe(now time.Time) time.Time {
	if now.After(a.latest) {
		a.latest = now
	}
	return a.latest
}

// prepare answers phase 1a. A repeated ballot gets the same promise again.
func (a *Acceptor) prepare(now time.Time, prepare *granitebayv1.ClaimPrepare) *granitebayv1.Envelope {
	requestID, ballot := prepare.GetRequestId(), prepare.GetBallot()
	kept, refusal := a.open(now, requestID, prepare.GetView(), ballot)
	if refusal != granitebayv1.ClaimRefusal_CLAIM_REFUSAL_UNSPECIFIED {
		return a.refuse(requestID, ballot, refusal, kept)
	}
	kept.promised = ballot
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_ClaimPromise{ClaimPromise: &granitebayv1.ClaimPromise{
		RequestId:      requestID,
		View:           prepare.GetView(),
		Ballot:         ballot,
		AcceptedBallot: kept.accepted,
		AcceptedValue:  kept.value,
	}}}
}

// accept answers phase 2a.
func (a *Acceptor) accept(now time.Time, accept *granitebayv1.ClaimAccept) *granitebayv1.Envelope {
	requestID, ballot := accept.GetRequestId(), accept.GetBallot()
	kept, refusal := a.open(now, requestID, accept.GetView(), ballot)
	if refusal != granitebayv1.ClaimRefusal_CLAIM_REFUSAL_UNSPECIFIED {
		return a.refuse(requestID, ballot, refusal, kept)
	}
	kept.promised, kept.accepted, kept.value = ballot, ballot, accept.GetValue()
	if kept.createdAt.After(a.latestVote) {
		a.latestVote = kept.createdAt
	}
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_ClaimAccepted{ClaimAccepted: &granitebayv1.ClaimAccepted{
		RequestId: requestID,
		View:      accept.GetView(),
		Ballot:    ballot,
	}}}
}

// open returns the vote on a request id, or why the acceptor may not vote on this ballot.
func (a *Acceptor) open(
	now time.Time, requestID string, view uint64, ballot *granitebayv1.Ballot,
) (*vote, granitebayv1.ClaimRefusal) {
	createdAt, err := CreatedAt(requestID)
	if err != nil {
		return nil, granitebayv1.ClaimRefusal_CLAIM_REFUSAL_INVALID
	}
	if refusal := a.refusalOf(now, createdAt, view); refusal != granitebayv1.ClaimRefusal_CLAIM_REFUSAL_UNSPECIFIED {
		return nil, refusal
	}
	kept, known := a.votes[requestID]
	if !known || kept.view != view {
		kept = &vote{createdAt: createdAt, view: view}
		a.votes[requestID] = kept
	}
	if compareBallots(ballot, kept.promised) < 0 {
		return kept, granitebayv1.ClaimRefusal_CLAIM_REFUSAL_BALLOT
	}
	return kept, granitebayv1.ClaimRefusal_CLAIM_REFUSAL_UNSPECIFIED
}

// refusalOf tells why the acceptor votes on no ballot of an id of this time.
func (a *Acceptor) refusalOf(now, createdAt time.Time, view uint64) granitebayv1.ClaimRefusal {
	switch {
	case view != a.versionOf(createdAt) || !a.views.isOpen(createdAt) || !a.isConfirmed(now):
		return granitebayv1.ClaimRefusal_CLAIM_REFUSAL_VIEW
	case now.Sub(createdAt) > a.settings.Window:
		return granitebayv1.ClaimRefusal_CLAIM_REFUSAL_EXPIRED
	case !createdAt.After(a.forgottenUntil()):
		return granitebayv1.ClaimRefusal_CLAIM_REFUSAL_FORGOTTEN
	case createdAt.Sub(now) > a.settings.ClockSkew:
		return granitebayv1.ClaimRefusal_CLAIM_REFUSAL_FUTURE
	}
	return granitebayv1.ClaimRefusal_CLAIM_REFUSAL_UNSPECIFIED
}

// versionOf returns the version of the view that decides ids of a time; zero when none is known.
func (a *Acceptor) versionOf(createdAt time.Time) uint64 {
	view, _ := a.views.Of(createdAt)
	return view.Version
}

// isConfirmed tells whether the acceptor may rely on its views: it asked the key-value service for them since it started,
// and not longer ago than a change of view waits for holders that cannot be asked.
func (a *Acceptor) isConfirmed(now time.Time) bool {
	return a.hasFixedView() || !a.confirmedAt.IsZero() && now.Sub(a.confirmedAt) <= a.settings.ConfirmationLifetime
}

// refuse builds the answer to a ballot that got no vote. The vote is nil when the acceptor votes on no ballot of the id.
func (a *Acceptor) refuse(
	requestID string, ballot *granitebayv1.Ballot, refusal granitebayv1.ClaimRefusal, kept *vote,
) *granitebayv1.Envelope {
	createdAt, _ := CreatedAt(requestID)
	refused := &granitebayv1.ClaimRefused{
		RequestId: requestID,
		View:      a.versionOf(createdAt),
		Ballot:    ballot,
		Refusal:   refusal,
	}
	if kept != nil {
		refused.PromisedBallot = kept.promised
	}
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_ClaimRefused{ClaimRefused: refused}}
}
