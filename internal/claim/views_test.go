package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/core"
)

// uniqueID makes a request id of a time.
func uniqueID(createdAt time.Time, number uint64) string {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(createdAt))
	_ = id.SetEntropy([]byte(fmt.Sprintf("%010d", number)))
	return "fes/" + id.String()
}

// TestSafetyAcrossViews replaces, restarts, cuts off and misinforms holders while proposers on both sides of each cut
// claim the same ids, over a network and a key-value service that lose, repeat and delay.
func TestSafetyAcrossViews(t *testing.T) {
	const length = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "more seed")))
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		perZone := rapid.IntRange(1, 2).Draw(t, "routers per zone")
		lead := time.Duration(rapid.IntRange(100, 600).Draw(t, "lead")) * time.Millisecond
		run := &viewRun{
			viewWorld: newViewWorld(random, zoneHolders(perZone, zones), lead),
			restart:   rapid.IntRange(0, 15).Draw(t, "restart"),
			replace:   rapid.IntRange(0, 5).Draw(t, "replace"),
			cutting:   rapid.IntRange(0, 10).Draw(t, "cut"),
			outage:    rapid.IntRange(0, 10).Draw(t, "outage"),
			misinform: rapid.IntRange(0, 20).Draw(t, "misinform"),
		}
		run.everybodyBelieves()
		run.run(time.Second) // the first view is there, and no id is forgotten any more
		run.lose = rapid.IntRange(0, 10).Draw(t, "lose")
		run.repeat = rapid.IntRange(0, 10).Draw(t, "repeat")
		run.slow = run.drawDelay
		for until := run.now.Add(length); run.now.Before(until); {
			run.step()
			run.check(t)
		}
	})
}

// viewRun is one run of TestSafetyAcrossViews. The rates are chances in a thousand for each step of 10 ms.
type viewRun struct {
	*viewWorld
	restart, replace, cutting, outage, misinform int

	cutUntil, downUntil time.Time
	claims              []plannedClaim
	ids                 uint64
	added               int
}

// plannedClaim is a proposal that is to be made by any machine.
type plannedClaim struct {
	at time.Time
	id string
}

// drawDelay is mostly short, and sometimes longer than a change of view takes.
func (r *viewRun) drawDelay() time.Duration {
	switch kind := r.random.IntN(100); {
	case kind < 85:
		return time.Duration(r.random.IntN(10)) * time.Millisecond
	case kind < 96:
		return time.Duration(r.random.IntN(100)) * time.Millisecond
	default:
		return time.Duration(r.random.IntN(1500)) * time.Millisecond
	}
}

func (r *viewRun) happensRarely(rate int) bool { return r.random.IntN(1000) < rate }

// step lets 10 ms go by.
func (r *viewRun) step() {
	machine := r.anyMachine()
	if r.happensRarely(r.restart) {
		machine = r.startMachine(machine.Holder)
	}
	if r.happensRarely(r.replace) {
		delete(r.machines, machine.Name)
		r.added++
		machine = r.startMachine(claim.Holder{Name: fmt.Sprintf("new-%d", r.added), Zone: machine.Zone})
	}
	r.stepFaults()
	r.believeMore(machine)
	r.claimMore()
	r.run(10 * time.Millisecond)
}

func (r *viewRun) anyMachine() *viewMachine {
	names := r.names()
	return r.machines[names[r.random.IntN(len(names))]]
}

// stepFaults begins and ends cuts and outages.
func (r *viewRun) stepFaults() {
	if len(r.cut) > 0 && !r.now.Before(r.cutUntil) {
		clear(r.cut)
	}
	if len(r.cut) == 0 && r.happensRarely(r.cutting) {
		r.cutUntil = r.now.Add(time.Duration(r.random.IntN(8000)) * time.Millisecond)
		for _, name := range r.names() {
			if r.happens(50) {
				r.cut[name] = true
			}
		}
	}
	r.storeDown = r.now.Before(r.downUntil)
	if !r.storeDown && r.happensRarely(r.outage) {
		r.downUntil = r.now.Add(time.Duration(r.random.IntN(1500)) * time.Millisecond)
	}
}

// believeMore tells one machine whom it reaches, or now and then any part of all that ever ran.
func (r *viewRun) believeMore(machine *viewMachine) {
	known, wrong := r.holders(), r.happensRarely(r.misinform)
	if wrong {
		known = r.everSeen
	}
	r.believe(machine, slices.DeleteFunc(slices.Clone(known), func(holder claim.Holder) bool {
		if wrong {
			return holder.Name != machine.Name && r.happens(30)
		}
		return r.cut[holder.Name] != r.cut[machine.Name]
	}))
}

// claimMore makes new ids, and proposals for them by several machines at different times.
func (r *viewRun) claimMore() {
	if r.happens(30) {
		r.ids++
		id := uniqueID(r.now.Add(time.Duration(r.random.Int64N(int64(viewSkew)))-viewSkew/2), r.ids)
		for range 4 {
			wait := time.Duration(r.random.IntN(100)) * time.Millisecond
			if r.happens(50) {
				wait *= 20
			}
			r.claims = append(r.claims, plannedClaim{at: r.now.Add(wait), id: id})
		}
	}
	r.claims = slices.DeleteFunc(r.claims, func(planned plannedClaim) bool {
		if r.now.Before(planned.at) {
			return false
		}
		machine := r.anyMachine()
		r.propose(machine, planned.id, &granitebayv1.ClaimValue{Engine: "engine-" + machine.Name}, 500*time.Millisecond)
		return true
	})
}

// TestViewFollowsReplacedMachines replaces the machines of a zone one by one, and has ids decided by those that are left.
func TestViewFollowsReplacedMachines(t *testing.T) {
	w := newViewWorld(rand.New(rand.NewPCG(1, 2)), zoneHolders(2, 3), 600*time.Millisecond)
	w.everybodyBelieves()
	w.run(time.Second)
	for number, name := range []string{"router-0", "router-3"} {
		zone := w.machines[name].Zone
		delete(w.machines, name)
		w.startMachine(claim.Holder{Name: fmt.Sprintf("new-%d", number), Zone: zone})
		w.everybodyBelieves()
		w.run(3 * time.Second)
		if got := w.current().Holders; !slices.Equal(got, w.holders()) {
			t.Fatalf("holders %v after %s was replaced, want %v", got, name, w.holders())
		}
	}
	// One machine of another zone is down: without the new holders there would be no majority.
	delete(w.machines, "router-1")
	delete(w.machines, "router-4")
	voted := make(map[string]bool)
	for number := range uint64(20) {
		id := uniqueID(w.now, number)
		w.propose(w.machines["router-2"], id, &granitebayv1.ClaimValue{Engine: "engine"}, time.Second)
		w.run(100 * time.Millisecond)
		if results := w.results[id]; len(results) != 1 || !results[0].Decided {
			t.Fatalf("id %d: %+v", number, results)
		}
	}
	for _, acceptors := range w.votes {
		for name := range acceptors {
			voted[name] = true
		}
	}
	if !voted["new-0"] || !voted["new-1"] {
		t.Errorf("only %v voted", voted)
	}
	w.check(t)
}

// TestViewChangeWithoutSeal takes away a machine in each of two zones for good: the others cannot rule out that these two
// decide, so that the next view starts only when they have surely stopped to vote.
func TestViewChangeWithoutSeal(t *testing.T) {
	w := newViewWorld(rand.New(rand.NewPCG(3, 4)), zoneHolders(2, 3), 600*time.Millisecond)
	w.everybodyBelieves()
	w.run(time.Second)
	lost := w.now
	delete(w.machines, "router-0")
	delete(w.machines, "router-1")
	w.everybodyBelieves()
	w.run(20 * time.Second)
	current := w.current()
	if !slices.Equal(current.Holders, w.holders()) {
		t.Fatalf("holders %v, want %v", current.Holders, w.holders())
	}
	if earliest := lost.Add(viewLifetime); time.UnixMilli(current.StartMilliseconds).Before(earliest) {
		t.Errorf("the view starts at %v, before those that are gone surely stopped", time.UnixMilli(current.StartMilliseconds))
	}
}

// TestRestartedHolderVotesOnlyOnceItReadTheViews restarts all holders while the key-value service is down: they hear of
// the views from nobody who could tell them by what they sealed themselves before.
func TestRestartedHolderVotesOnlyOnceItReadTheViews(t *testing.T) {
	w := newViewWorld(rand.New(rand.NewPCG(5, 6)), zoneHolders(1, 3), 600*time.Millisecond)
	w.everybodyBelieves()
	w.run(time.Second)
	w.storeDown = true
	for _, holder := range w.initial[:2] {
		w.startMachine(holder)
	}
	w.everybodyBelieves()
	w.run(time.Second)
	ask := func(number uint64) claim.Result {
		id := uniqueID(w.now, number)
		w.propose(w.machines["router-2"], id, &granitebayv1.ClaimValue{Engine: "engine"}, 500*time.Millisecond)
		w.run(600 * time.Millisecond)
		return w.results[id][0]
	}
	if got := ask(1); got.Decided || got.Failure != claim.FailureView {
		t.Errorf("in the outage: %+v", got)
	}
	w.storeDown = false
	w.run(6 * time.Second)
	if got := ask(2); !got.Decided {
		t.Errorf("after the outage: %+v", got)
	}
}

// pendingViews is a record with a pending view.
func pendingViews(start time.Time) claim.Views {
	views := claim.InitialViews(zoneHolders(1, 3))
	views.Sequence = 2
	views.Pending = &claim.View{Version: 2, StartMilliseconds: start.UnixMilli(), Holders: zoneHolders(2, 3)}
	return views
}

func TestAcceptorSealsItselfOnlyWhenItCannotHaveVoted(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		desc        string
		startedAt   time.Time
		voteOn      time.Time
		unconfirmed bool
		want        bool
	}{
		{desc: "no vote", startedAt: start.Add(-time.Hour), want: true},
		{desc: "votes on earlier ids", startedAt: start.Add(-time.Hour), voteOn: start.Add(-time.Millisecond), want: true},
		{desc: "a vote on the first id of the view", startedAt: start.Add(-time.Hour), voteOn: start},
		{desc: "the process before may have voted", startedAt: start.Add(-2 * clockSkew)},
		{desc: "the process before cannot have voted", startedAt: start.Add(-2*clockSkew - time.Millisecond), want: true},
		{desc: "did not read the views since it started", startedAt: start.Add(-time.Hour), unconfirmed: true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			acceptor := claim.NewAcceptor(claim.AcceptorSettings{StartedAt: test.startedAt, ClockSkew: clockSkew})
			acceptor.SetViews(claim.InitialViews(zoneHolders(1, 3)))
			if !test.unconfirmed {
				acceptor.Confirm(start.Add(-second))
			}
			if !test.voteOn.IsZero() {
				accept(acceptor, test.voteOn, requestID(test.voteOn), 1, 1)
			}
			acceptor.SetViews(pendingViews(start))
			if got := acceptor.Sealed(); got != test.want {
				t.Errorf("sealed = %v", got)
			}
			if got := prepare(acceptor, start, requestID(start), 1); got != granitebayv1.ClaimRefusal_CLAIM_REFUSAL_VIEW {
				t.Errorf("an id of the pending view got %v", got)
			}
		})
	}
}

// accept asks an acceptor for a vote.
func accept(acceptor *claim.Acceptor, now time.Time, id string, view, round uint64) *granitebayv1.Envelope {
	var effects core.Effects
	acceptor.Handle(now, &granitebayv1.Envelope{
		From: &granitebayv1.Peer{Name: "router-9", Address: "router-9:1"},
		Body: &granitebayv1.Envelope_ClaimAccept{ClaimAccept: &granitebayv1.ClaimAccept{
			RequestId: id, View: view, Ballot: &granitebayv1.Ballot{Round: round, Proposer: "router-9"},
			Value: &granitebayv1.ClaimValue{Engine: "engine-1"},
		}},
	}, &effects)
	return effects.Messages[0].Envelope
}

// A vote of the earlier view was one of a minority. Reported in the new view, with a ballot above one that decided there,
// it would overturn that decision.
func TestVoteOfEarlierViewDoesNotCount(t *testing.T) {
	acceptor := claim.NewAcceptor(claim.AcceptorSettings{StartedAt: start.Add(-time.Hour), ClockSkew: clockSkew})
	acceptor.SetViews(claim.InitialViews(zoneHolders(1, 3)))
	acceptor.Confirm(start.Add(-time.Second))
	if accept(acceptor, start, requestID(start), 1, 5).GetClaimAccepted() == nil {
		t.Fatal("no vote in the first view")
	}
	views := pendingViews(start)
	views.Sequence, views.Committed, views.Pending = 3, append(views.Committed, *views.Pending), nil
	acceptor.SetViews(views)
	if accept(acceptor, start, requestID(start), 2, 1).GetClaimAccepted() == nil {
		t.Error("a vote of the first view holds in the second")
	}
}
