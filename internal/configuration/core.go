package configuration

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/platform"
)

// Peer is a router to exchange documents with.
type Peer struct {
	Name        string
	Address     string
	Incarnation uint64
}

// Core keeps the highest accepted document in force and spreads it. It never goes back to a lower revision.
type Core struct {
	settings Settings
	random   *rand.Rand
	ids      *core.RequestIDs

	// started is set by the first call; startDeadline ends the wait for the store.
	started       bool
	startDeadline time.Time
	// current is in force; candidate is the best document of peers while a starting process waits for the store.
	current   *Snapshot
	candidate *Snapshot

	peers   []Peer
	gossip  gossip
	applied *appliedTable
	store   storeReader
	// proposals wait in order; the first one is being worked on.
	proposals []*proposal
	results   []ProposeResult
}

// NewCore returns a core that has no document yet.
func NewCore(settings Settings, random *rand.Rand) *Core {
	return &Core{
		settings: settings,
		random:   random,
		ids:      core.NewRequestIDs(requestOwner),
		applied:  newAppliedTable(settings.Self, settings.Incarnation, random.Uint32()),
	}
}

// Snapshot returns the document in force, or nil before the first.
func (c *Core) Snapshot() *Snapshot { return c.current }

// Revision returns the revision in force; zero before the first.
func (c *Core) Revision() uint64 {
	if c.current == nil {
		return 0
	}
	return c.current.Revision()
}

// SetPeers tells which other routers are live. The order does not matter.
func (c *Core) SetPeers(now time.Time, peers []Peer) {
	c.begin(now)
	c.peers = slices.Clone(peers)
	slices.SortFunc(c.peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	c.applied.setMembers(c.peers)
	c.chooseWatchers()
}

// InForce returns the lowest revision that the given live routers are known to have in force, and the routers that are
// behind this one, in order of name. A router of which nothing is known counts as zero.
func (c *Core) InForce(liveProcesses []string) (lowest uint64, laggards []Applied) {
	lowest = c.Revision()
	for _, process := range liveProcesses {
		revision := c.applied.revisionOf(process)
		lowest = min(lowest, revision)
		if revision < c.Revision() {
			laggards = append(laggards, Applied{Process: process, Revision: revision})
		}
	}
	slices.SortFunc(laggards, func(a, b Applied) int { return cmp.Compare(a.Process, b.Process) })
	return lowest, laggards
}

// HandleEnvelope takes a message from a peer. Messages of other protocols are ignored.
func (c *Core) HandleEnvelope(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	c.begin(now)
	switch body := envelope.GetBody().(type) {
	case *granitebayv1.Envelope_ConfigurationDigest:
		c.handleDigest(now, envelope.GetFrom(), body.ConfigurationDigest, effects)
	case *granitebayv1.Envelope_ConfigurationFetch:
		c.handleFetch(now, envelope.GetFrom(), body.ConfigurationFetch, effects)
	case *granitebayv1.Envelope_ConfigurationSnapshot:
		c.handleSnapshot(now, envelope.GetFrom(), body.ConfigurationSnapshot, effects)
	}
}

// HandlePeerUnreachable takes word that messages to a peer could not be handed over.
func (c *Core) HandlePeerUnreachable(now time.Time, peer string, _ *core.Effects) {
	c.begin(now)
	if c.gossip.fetch.peer == peer {
		c.gossip.fetch = fetch{}
	}
}

// HandlePlatformResponse takes the answer to a request of this core. Answers to other requests are ignored.
func (c *Core) HandlePlatformResponse(now time.Time, response platform.Response, effects *core.Effects) {
	c.begin(now)
	c.handleStoreResponse(now, response, effects)
	c.handleProposalResponse(now, response, effects)
}

// HandlePlatformWatch takes changes of the watch of this core. Events of other watches are ignored.
func (c *Core) HandlePlatformWatch(now time.Time, event platform.WatchEvent, effects *core.Effects) {
	c.begin(now)
	c.handleStoreWatch(now, event, effects)
}

// Tick runs what is due.
func (c *Core) Tick(now time.Time, effects *core.Effects) {
	c.begin(now)
	c.tickStore(now, effects)
	c.finishStart(now, effects)
	c.tickProposals(now, effects)
	c.tickGossip(now, effects)
}

// NextWake tells when Tick is due next.
func (c *Core) NextWake() time.Time {
	if !c.started {
		return time.Unix(0, 0)
	}
	wake := core.Earliest(c.gossip.wake(), c.wakeStore())
	if len(c.proposals) > 0 {
		wake = core.Earliest(wake, c.proposals[0].wake())
	}
	if c.candidate != nil {
		wake = core.Earliest(wake, c.startDeadline)
	}
	return wake
}

// begin sets the timers at the first call.
func (c *Core) begin(now time.Time) {
	if c.started {
		return
	}
	c.started = true
	c.startDeadline = now.Add(c.settings.StartWait)
	c.gossip.next = now
	c.gossip.lastHeard = now
	c.gossip.budget = c.settings.ServeBytesPerSecond
	c.gossip.budgetAt = now
	c.store.nextRead = now
	c.chooseWatchers()
}

// waitsForStore tells whether this process has just started and does not know yet what the store holds.
func (c *Core) waitsForStore(now time.Time) bool {
	return !c.settings.ReadOnly && !c.store.answered && c.current == nil && now.Before(c.startDeadline)
}

// finishStart puts the best document of the peers in force once the store has answered or was waited for long enough.
func (c *Core) finishStart(now time.Time, effects *core.Effects) {
	if c.candidate == nil || c.waitsForStore(now) {
		return
	}
	snapshot := c.candidate
	c.candidate = nil
	c.apply(now, snapshot, "peers at the start", effects)
}

// offer takes a document from anywhere. Only a higher revision is taken.
func (c *Core) offer(now time.Time, snapshot *Snapshot, source string, effects *core.Effects) {
	if c.waitsForStore(now) {
		if c.candidate == nil || snapshot.Revision() > c.candidate.Revision() {
			c.candidate = snapshot
		}
		return
	}
	c.apply(now, snapshot, source, effects)
}

// apply puts a document in force if its revision is higher, and tells peers soon.
func (c *Core) apply(now time.Time, snapshot *Snapshot, source string, effects *core.Effects) {
	if snapshot.Revision() <= c.Revision() {
		c.noteContradiction(snapshot, source, effects)
		return
	}
	before := c.Revision()
	c.current = snapshot
	c.applied.setOwn(snapshot.Revision())
	c.gossip.next = now
	effects.Decide(decision.Record{
		Kind:    decision.KindConfiguration,
		Subject: revisionName(snapshot.Revision()),
		Outcome: "in force",
		Reason: fmt.Sprintf("Edit %s is in force in place of revision %d; it came from %s.",
			snapshot.document.ChangeID, before, source),
		Inputs:         map[string]string{"source": source, "before": strconv.FormatUint(before, 10)},
		ConfigRevision: snapshot.Revision(),
	})
}

// noteContradiction reports another document of the revision in force. It takes a store that lost its data.
func (c *Core) noteContradiction(snapshot *Snapshot, source string, effects *core.Effects) {
	if snapshot.Revision() != c.Revision() || snapshot.Digest() == c.current.Digest() {
		return
	}
	c.refuse(revisionName(snapshot.Revision()), fmt.Sprintf(
		"The document from %s has the revision in force but another content; the one in force stays.", source), effects)
}

// refuse reports a document that is not taken.
func (c *Core) refuse(subject, reason string, effects *core.Effects) {
	effects.Decide(decision.Record{
		Kind: decision.KindConfiguration, Subject: subject, Outcome: "refused", Reason: reason, ConfigRevision: c.Revision(),
	})
}

// compileEncoded compiles a document that another process or the store sent. The bytes are kept as they came.
func compileEncoded(data []byte) (*Snapshot, error) {
	document, err := Decode(data)
	if err != nil {
		return nil, errors.Wrap(err, "decode the configuration")
	}
	if document.Revision == 0 {
		return nil, errors.New("check the configuration: status.revision is 0, allowed is 1 or more")
	}
	snapshot, err := Compile(document)
	if err != nil {
		return nil, errors.Wrap(err, "compile the configuration")
	}
	snapshot.encoded, snapshot.digest = data, xxhash.Sum64(data)
	return snapshot, nil
}

func revisionName(revision uint64) string { return fmt.Sprintf("revision %d", revision) }
