package configuration

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// gossip is the state of the exchange with peers.
type gossip struct {
	// next is when the next digests are sent.
	next time.Time
	// lastHeard is when a peer was last heard.
	lastHeard time.Time
	// fetch is the document that was asked for.
	fetch fetch
	// budget is how many bytes of documents may be sent, as of budgetAt.
	budget   int
	budgetAt time.Time
}

// fetch is an outstanding request for a document. The zero value means none.
type fetch struct {
	peer     string
	deadline time.Time
}

// wake tells when the exchange has something to do.
func (g *gossip) wake() time.Time { return core.Earliest(g.next, g.fetch.deadline) }

// tickGossip sends digests to a few random peers, and gives up a fetch that takes too long.
func (c *Core) tickGossip(now time.Time, effects *core.Effects) {
	if !c.gossip.fetch.deadline.IsZero() && !now.Before(c.gossip.fetch.deadline) {
		c.gossip.fetch = fetch{}
	}
	if now.Before(c.gossip.next) {
		return
	}
	c.gossip.next = now.Add(c.jitter(c.settings.GossipInterval))
	for i, place := range c.random.Perm(len(c.peers)) {
		if i == c.settings.Fanout {
			break
		}
		peer := c.peers[place]
		c.send(peer.Name, peer.Address, c.fullDigest(), effects)
	}
}

// fullDigest returns a digest with the applied revisions of other routers. Agents pass none on.
func (c *Core) fullDigest() *granitebayv1.ConfigurationDigest {
	switch {
	case c.settings.ReadOnly:
		return c.digest(nil)
	case len(c.peers) < vectorFrom:
		return c.digest(c.applied.choose(c.settings.AppliedPerDigest, c.settings.AppliedRefresh))
	}
	digest := c.digest(c.applied.choose(vectorNamed, vectorRefresh))
	c.applied.putVector(digest)
	return digest
}

// jitter spreads a time by a tenth to both sides, so that processes do not act in step.
func (c *Core) jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.9 + 0.2*c.random.Float64()))
}

// digest returns a digest with some applied revisions.
func (c *Core) digest(applied []*granitebayv1.AppliedRevision) *granitebayv1.ConfigurationDigest {
	digest := &granitebayv1.ConfigurationDigest{Revision: c.Revision(), Applied: applied}
	if c.current != nil {
		digest.Digest = c.current.Digest()
	}
	return digest
}

func (c *Core) send(to, address string, digest *granitebayv1.ConfigurationDigest, effects *core.Effects) {
	effects.Send(to, address, &granitebayv1.Envelope{
		Body: &granitebayv1.Envelope_ConfigurationDigest{ConfigurationDigest: digest},
	})
}

// handleDigest fetches the document of a peer that is ahead, and answers a peer that is behind so that it can fetch.
func (c *Core) handleDigest(now time.Time, from *granitebayv1.Peer, digest *granitebayv1.ConfigurationDigest, effects *core.Effects) {
	c.heard(now, from)
	for _, entry := range digest.GetApplied() {
		c.applied.merge(entry)
	}
	c.applied.mergeVector(digest)
	switch {
	case digest.GetRevision() > c.knownRevision():
		c.requestDocument(now, from, effects)
	case digest.GetRevision() < c.Revision():
		c.send(from.GetName(), from.GetAddress(), c.digest(c.applied.own()), effects)
	}
}

// heard notes a sign of life of a peer.
func (c *Core) heard(now time.Time, from *granitebayv1.Peer) {
	for i := range c.peers {
		if c.peers[i].Name == from.GetName() {
			c.gossip.lastHeard = now
			return
		}
	}
}

// knownRevision returns the highest revision that this process holds, in force or not yet.
func (c *Core) knownRevision() uint64 {
	if c.candidate != nil {
		return max(c.Revision(), c.candidate.Revision())
	}
	return c.Revision()
}

func (c *Core) requestDocument(now time.Time, from *granitebayv1.Peer, effects *core.Effects) {
	if c.gossip.fetch.peer != "" {
		return
	}
	c.fetchSince(now, from, c.knownRevision(), effects)
}

// fetchSince asks a peer for its document, or for the changes since a revision.
func (c *Core) fetchSince(now time.Time, from *granitebayv1.Peer, revision uint64, effects *core.Effects) {
	c.gossip.fetch = fetch{peer: from.GetName(), deadline: now.Add(c.settings.FetchTimeout)}
	effects.Send(from.GetName(), from.GetAddress(), &granitebayv1.Envelope{
		Body: &granitebayv1.Envelope_ConfigurationFetch{ConfigurationFetch: &granitebayv1.ConfigurationFetch{HaveRevision: revision}},
	})
}

// handleChanges makes the document of a peer out of one that this process has. If that does not give the document that
// the peer has, the whole one is asked for.
func (c *Core) handleChanges(now time.Time, from *granitebayv1.Peer, message *granitebayv1.ConfigurationSnapshot, effects *core.Effects) {
	base := c.current
	if c.candidate != nil && c.candidate.Revision() > c.Revision() {
		base = c.candidate
	}
	if base != nil && base.Revision() == message.GetBaseRevision() {
		snapshot, err := base.applyDelta(message.GetChanges())
		if err == nil && snapshot.Revision() == message.GetRevision() && snapshot.Digest() == message.GetDigest() {
			c.offer(now, snapshot, from.GetName(), effects)
			return
		}
	}
	c.fetchSince(now, from, 0, effects)
}

// handleFetch sends the document in force to a peer that has a lower one, or the changes since that one, within the budget
// of bytes.
func (c *Core) handleFetch(now time.Time, from *granitebayv1.Peer, request *granitebayv1.ConfigurationFetch, effects *core.Effects) {
	if c.current == nil || request.GetHaveRevision() >= c.Revision() {
		return
	}
	answer := &granitebayv1.ConfigurationSnapshot{Revision: c.Revision(), Digest: c.current.Digest()}
	if changes, ok := c.current.deltaSince(request.GetHaveRevision()); ok {
		answer.BaseRevision, answer.Changes = request.GetHaveRevision(), changes
	} else {
		answer.Document = c.current.encoded
	}
	if !c.spend(now, len(answer.GetDocument())+len(answer.GetChanges())) {
		return
	}
	effects.Send(from.GetName(), from.GetAddress(), &granitebayv1.Envelope{
		Body: &granitebayv1.Envelope_ConfigurationSnapshot{ConfigurationSnapshot: answer},
	})
}

// spend takes bytes from the budget, which fills up over one second, and tells whether there were enough.
func (c *Core) spend(now time.Time, bytes int) bool {
	perSecond := c.settings.ServeBytesPerSecond
	refill := int(now.Sub(c.gossip.budgetAt).Seconds() * float64(perSecond))
	c.gossip.budget = min(perSecond, c.gossip.budget+max(refill, 0))
	c.gossip.budgetAt = now
	if c.gossip.budget < bytes {
		return false
	}
	c.gossip.budget -= bytes
	return true
}

// handleSnapshot takes a document from a peer.
func (c *Core) handleSnapshot(now time.Time, from *granitebayv1.Peer, message *granitebayv1.ConfigurationSnapshot, effects *core.Effects) {
	c.heard(now, from)
	if c.gossip.fetch.peer == from.GetName() {
		c.gossip.fetch = fetch{}
	}
	if message.GetRevision() <= c.knownRevision() {
		return
	}
	if message.GetBaseRevision() != 0 {
		c.handleChanges(now, from, message, effects)
		return
	}
	if xxhash.Sum64(message.GetDocument()) != message.GetDigest() {
		c.refuse(revisionName(message.GetRevision()), fmt.Sprintf("The document from %s does not match its digest.", from.GetName()), effects)
		return
	}
	snapshot, err := compileEncoded(message.GetDocument())
	if err != nil {
		c.refuse(revisionName(message.GetRevision()), fmt.Sprintf("The document from %s is not valid: %s.", from.GetName(), err), effects)
		return
	}
	c.offer(now, snapshot, from.GetName(), effects)
}
