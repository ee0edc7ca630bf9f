package claim

import (
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// phase is the step of Paxos that a proposal is in.
type phase int

const (
	phaseBackoff   phase = iota // waits before its next ballot
	phasePreparing              // phase 1: collects promises
	phaseAccepting              // phase 2: collects votes for the candidate
)

// proposal is one request id that the proposer wants decided.
type proposal struct {
	requestID string
	view      uint64
	acceptors []Holder
	own       *granitebayv1.ClaimValue
	deadline  time.Time
	// wake is when the proposal is due next; never after the deadline.
	wake time.Time

	phase     phase
	ballot    *granitebayv1.Ballot
	candidate *granitebayv1.ClaimValue
	// ballots counts the ballots begun, which lengthens the backoff.
	ballots int
	// votes holds the acceptors that voted in this phase of this ballot, outbid those that promised a higher ballot.
	votes  map[string]bool
	outbid map[string]bool
	// accepted is the highest vote that promises of this ballot reported; acceptedBy counts them.
	accepted      *granitebayv1.Ballot
	acceptedValue *granitebayv1.ClaimValue
	acceptedBy    int
	// behind holds the acceptors that do not vote in this view now, but may later. blockedByView is set while they keep
	// the ballots from a quorum.
	behind        map[string]bool
	blockedByView bool
	// excluded holds the acceptors that vote on no ballot of this id, and why.
	excluded map[string]granitebayv1.ClaimRefusal
	// proposed is set once an accept of the own value was sent.
	proposed bool
	// failure is set when the proposal cannot be decided.
	failure FailureKind
}

// begin enters phase 1 with a new ballot.
func (p *proposal) begin(ballot *granitebayv1.Ballot) {
	p.phase = phasePreparing
	p.ballot = ballot
	p.ballots++
	p.candidate = nil
	p.votes = make(map[string]bool)
	p.outbid = make(map[string]bool)
	p.behind = make(map[string]bool)
	p.accepted, p.acceptedValue, p.acceptedBy = nil, nil, 0
}

// beginAccepting enters phase 2. An accepted value that was reported must be completed; else the own value is free.
func (p *proposal) beginAccepting() {
	p.phase = phaseAccepting
	p.blockedByView = false
	p.votes = make(map[string]bool)
	p.candidate = p.own
	if p.accepted != nil {
		p.candidate = p.acceptedValue
	}
	p.proposed = p.proposed || sameValue(p.candidate, p.own)
}

// addPromise counts a promise and keeps the highest vote that it reports.
func (p *proposal) addPromise(from string, promise *granitebayv1.ClaimPromise) {
	if p.votes[from] {
		return
	}
	p.addVote(from)
	reported := promise.GetAcceptedBallot()
	if reported == nil {
		return
	}
	switch order := compareBallots(reported, p.accepted); {
	case order > 0:
		p.accepted, p.acceptedValue, p.acceptedBy = reported, promise.GetAcceptedValue(), 1
	case order == 0:
		p.acceptedBy++
	}
}

// addVote counts a promise or vote of this phase.
func (p *proposal) addVote(from string) {
	p.votes[from] = true
	delete(p.behind, from)
}

// hasQuorum tells whether enough acceptors voted in this phase.
func (p *proposal) hasQuorum() bool { return len(p.votes) >= quorum(p.acceptors) }

// isChosenAlready tells whether the promises alone prove that a value is chosen: a quorum voted for it in one ballot.
func (p *proposal) isChosenAlready() bool { return p.acceptedBy >= quorum(p.acceptors) }

// isAcceptor tells whether a process is an acceptor of this id.
func (p *proposal) isAcceptor(name string) bool {
	return lo.ContainsBy(p.acceptors, func(holder Holder) bool { return holder.Name == name })
}

// canWin tells whether the ballot can still get a quorum.
func (p *proposal) canWin() bool {
	open := lo.CountBy(p.acceptors, func(holder Holder) bool {
		_, excluded := p.excluded[holder.Name]
		return !excluded && !p.outbid[holder.Name] && !p.behind[holder.Name]
	})
	return open >= quorum(p.acceptors)
}

// exclude notes that an acceptor votes on no ballot of this id, and sets the failure when no quorum is left.
func (p *proposal) exclude(name string, refusal granitebayv1.ClaimRefusal) {
	p.excluded[name] = refusal
	if len(p.acceptors)-len(p.excluded) >= quorum(p.acceptors) {
		return
	}
	refusals := lo.Values(p.excluded)
	switch {
	case lo.Contains(refusals, granitebayv1.ClaimRefusal_CLAIM_REFUSAL_INVALID):
		p.failure = FailureInvalid
	case lo.Contains(refusals, granitebayv1.ClaimRefusal_CLAIM_REFUSAL_EXPIRED):
		p.failure = FailureExpired
	default:
		p.failure = FailureForgotten
	}
}

// setView makes the proposal one of another view. What acceptors of the old view refused does not count in the new one.
func (p *proposal) setView(view View) {
	p.view = view.Version
	p.acceptors = view.Acceptors(p.requestID)
	p.excluded = make(map[string]granitebayv1.ClaimRefusal)
	p.blockedByView = len(p.acceptors) == 0
}

// waiting returns the acceptors whose vote is still wanted in this phase.
func (p *proposal) waiting() []Holder {
	return lo.Filter(p.acceptors, func(holder Holder, _ int) bool {
		_, excluded := p.excluded[holder.Name]
		return !excluded && !p.outbid[holder.Name] && !p.votes[holder.Name]
	})
}

// message returns what this phase sends to each acceptor.
func (p *proposal) message() *granitebayv1.Envelope {
	if p.phase == phaseAccepting {
		return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_ClaimAccept{ClaimAccept: &granitebayv1.ClaimAccept{
			RequestId: p.requestID, View: p.view, Ballot: p.ballot, Value: p.candidate,
		}}}
	}
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_ClaimPrepare{ClaimPrepare: &granitebayv1.ClaimPrepare{
		RequestId: p.requestID, View: p.view, Ballot: p.ballot,
	}}}
}
