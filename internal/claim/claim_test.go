package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/core"
)

func TestAcceptorRefusals(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		desc      string
		requestID string
		view      uint64
		want      granitebayv1.ClaimRefusal
	}{
		{desc: "fresh id", requestID: requestID(start), view: 1},
		{desc: "another view", requestID: requestID(start), view: 2, want: granitebayv1.ClaimRefusal_CLAIM_REFUSAL_VIEW},
		{desc: "no tenant", requestID: "01ARZ3NDEKTSV4RRFFQ69G5FAV", view: 1, want: granitebayv1.ClaimRefusal_CLAIM_REFUSAL_INVALID},
		{desc: "no time", requestID: "fes/once", view: 1, want: granitebayv1.ClaimRefusal_CLAIM_REFUSAL_INVALID},
		{desc: "ahead by the skew", requestID: requestID(start.Add(clockSkew)), view: 1},
		{desc: "from the future", requestID: requestID(start.Add(clockSkew + time.Millisecond)), view: 1,
			want: granitebayv1.ClaimRefusal_CLAIM_REFUSAL_FUTURE},
		{desc: "as old as the window", requestID: requestID(start.Add(-claim.DefaultWindow)), view: 1},
		{desc: "older than the window", requestID: requestID(start.Add(-claim.DefaultWindow - second)), view: 1,
			want: granitebayv1.ClaimRefusal_CLAIM_REFUSAL_EXPIRED},
	} {
		t.Run(test.desc, func(t *testing.T) {
			acceptor := claim.NewAcceptor(claim.AcceptorSettings{StartedAt: start.Add(-time.Hour), View: testView(3), ClockSkew: clockSkew})
			if got := prepare(acceptor, start, test.requestID, test.view); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// prepare asks an acceptor for a promise and returns its refusal.
func prepare(acceptor *claim.Acceptor, now time.Time, id string, view uint64) granitebayv1.ClaimRefusal {
	var effects core.Effects
	acceptor.Handle(now, &granitebayv1.Envelope{
		From: &granitebayv1.Peer{Name: "router-9", Address: "router-9:1"},
		Body: &granitebayv1.Envelope_ClaimPrepare{ClaimPrepare: &granitebayv1.ClaimPrepare{
			RequestId: id, View: view, Ballot: &granitebayv1.Ballot{Round: 1, Proposer: "router-9"},
		}},
	}, &effects)
	return effects.Messages[0].Envelope.GetClaimRefused().GetRefusal()
}

// The clock of the new process is behind that of the old one by as much as clocks may differ, and the old one voted on
// an id as far ahead of its clock as it may. Property tests on a margin of one ClockSkew found two decided values.
func TestRestartedAcceptorRefusesEveryIDThatItMayHaveVotedOn(t *testing.T) {
	oldClock := start.Add(clockSkew)
	id := requestID(oldClock.Add(clockSkew))
	old := claim.NewAcceptor(claim.AcceptorSettings{StartedAt: start.Add(-time.Hour), View: testView(3), ClockSkew: clockSkew})
	if got := prepare(old, oldClock, id, 1); got != granitebayv1.ClaimRefusal_CLAIM_REFUSAL_UNSPECIFIED {
		t.Fatalf("the old process refused: %v", got)
	}
	restarted := claim.NewAcceptor(claim.AcceptorSettings{StartedAt: start, View: testView(3), ClockSkew: clockSkew})
	if got := prepare(restarted, start.Add(time.Minute), id, 1); got != granitebayv1.ClaimRefusal_CLAIM_REFUSAL_FORGOTTEN {
		t.Errorf("the new process answered %v", got)
	}
	later := requestID(start.Add(2*clockSkew + time.Millisecond))
	if got := prepare(restarted, start.Add(time.Minute), later, 1); got != granitebayv1.ClaimRefusal_CLAIM_REFUSAL_UNSPECIFIED {
		t.Errorf("the new process refused a later id: %v", got)
	}
}

func TestAcceptorDropsVotesOnlyOnceTheyCannotBeAskedFor(t *testing.T) {
	acceptor := claim.NewAcceptor(claim.AcceptorSettings{StartedAt: start.Add(-time.Hour), View: testView(3), ClockSkew: clockSkew})
	prepare(acceptor, start, requestID(start), 1)
	acceptor.Tick(start.Add(claim.DefaultWindow))
	if acceptor.Votes() != 1 {
		t.Fatal("dropped a vote within the window")
	}
	acceptor.Tick(start.Add(claim.DefaultWindow + time.Minute))
	if acceptor.Votes() != 0 || !acceptor.NextWake().IsZero() {
		t.Fatal("kept a vote after the window")
	}
	if got := prepare(acceptor, start, requestID(start), 1); got != granitebayv1.ClaimRefusal_CLAIM_REFUSAL_EXPIRED {
		t.Errorf("a clock that is set back reopened an expired id: %v", got)
	}
}

func TestViewAcceptors(t *testing.T) {
	for _, test := range []struct{ holders, acceptors, zones int }{
		{holders: 0}, {holders: 1, acceptors: 1, zones: 1}, {holders: 2, acceptors: 1, zones: 1},
		{holders: 3, acceptors: 3, zones: 3}, {holders: 12, acceptors: 3, zones: 3},
	} {
		t.Run(fmt.Sprintf("%d holders", test.holders), func(t *testing.T) {
			acceptors := testView(test.holders).Acceptors("fes/1")
			zones := lo.UniqBy(acceptors, func(holder claim.Holder) string { return holder.Zone })
			if len(acceptors) != test.acceptors || len(zones) != test.zones {
				t.Errorf("acceptors %v", acceptors)
			}
		})
	}
}

// TestProposalEnds runs proposals of different values over a network that loses nothing but what a case takes away.
func TestProposalEnds(t *testing.T) {
	for _, test := range []struct {
		desc    string
		id      string
		holders int
		prepare func(*testNetwork)
		// down is how many acceptors get no messages.
		down      int
		proposers []string
		want      claim.FailureKind
		proposed  bool
	}{
		{desc: "one proposer", holders: 3, proposers: []string{"p1"}, proposed: true},
		{desc: "one holder", holders: 1, proposers: []string{"p1"}, proposed: true},
		{desc: "proposers at once", holders: 3, proposers: []string{"p1", "p2", "p3"}},
		{desc: "one acceptor down", holders: 3, down: 1, proposers: []string{"p1", "p2"}},
		{desc: "two acceptors down", holders: 3, down: 2, proposers: []string{"p1"}, want: claim.FailureNoMajority},
		{desc: "no holders", proposers: []string{"p1"}, want: claim.FailureView},
		{desc: "not an id", id: "once", holders: 3, proposers: []string{"p1"}, want: claim.FailureInvalid},
		{desc: "expired", id: requestID(start.Add(-time.Hour / 2)), holders: 3, proposers: []string{"p1"}, want: claim.FailureExpired},
		{desc: "forgotten", holders: 3, proposers: []string{"p1"}, want: claim.FailureForgotten, prepare: func(n *testNetwork) {
			for _, holder := range n.view.Holders[:2] {
				n.startAcceptor(holder.Name, start, 0)
			}
		}},
		{desc: "another view", holders: 3, proposers: []string{"p1"}, want: claim.FailureView, prepare: func(n *testNetwork) {
			n.view.Version = 2
		}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			network := newTestNetwork(testView(test.holders), test.proposers)
			id := lo.CoalesceOrEmpty(test.id, requestID(start))
			for _, holder := range network.view.Acceptors(id)[:test.down] {
				delete(network.acceptors, holder.Name)
			}
			if test.prepare != nil {
				test.prepare(network)
			}
			for _, proposer := range test.proposers {
				network.propose(proposer, id, &granitebayv1.ClaimValue{Engine: "engine-" + proposer}, 3*time.Second)
			}
			for range 400 {
				for len(network.messages) > 0 {
					network.deliver(0, false)
				}
				network.now = network.now.Add(10 * time.Millisecond)
				network.tick()
			}
			network.check(t)
			if len(network.results) != len(test.proposers) {
				t.Fatalf("%d results of %d proposals", len(network.results), len(test.proposers))
			}
			for _, result := range network.results {
				if result.Failure != test.want || result.Decided != (test.want == claim.FailureNone) {
					t.Errorf("result %+v", result)
				}
				if len(test.proposers) == 1 && result.Proposed != test.proposed {
					t.Errorf("proposed = %v", result.Proposed)
				}
			}
			for name, proposer := range network.proposers {
				if !proposer.NextWake().IsZero() || proposer.Open() != 0 {
					t.Errorf("%s is still busy", name)
				}
			}
		})
	}
}

// TestInstancesHaveTheTimeOfTheirRequest: acceptors refused every instance after the first as invalid.
func TestInstancesHaveTheTimeOfTheirRequest(t *testing.T) {
	first, err := claim.CreatedAt("t/01HF7YAT00000000000000000A")
	if err != nil {
		t.Fatal(err)
	}
	second, err := claim.CreatedAt("t/01HF7YAT00000000000000000A" + claim.InstanceSeparator + "1")
	if err != nil || !second.Equal(first) {
		t.Errorf("got %v and %v, want %v", second, err, first)
	}
}
