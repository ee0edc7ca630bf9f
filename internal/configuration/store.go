package configuration

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// storeReader is the state of reading and watching the store.
type storeReader struct {
	// watcher is set when this process is one of the few that watch and poll the store.
	watcher bool
	// answered is set once the store has answered a read.
	answered bool
	// readID is the outstanding read, zero when there is none, and readDeadline when it is given up.
	readID       platform.RequestID
	readDeadline time.Time
	// nextRead is when the store is read next, if it has to be.
	nextRead time.Time
	// watchID is the open watch; zero when there is none.
	watchID platform.RequestID
	// failures counts the failed requests in a row.
	failures int
	// refusedRevision is the revision of the service at which an unreadable document was reported.
	refusedRevision uint64
}

// followsStore tells whether this process has to follow the store closely: it has just started, is one of the few
// watchers, or hears no peers.
func (c *Core) followsStore(now time.Time) bool {
	return c.needsFirstAnswer() || c.store.watcher || c.isolated(now)
}

// pollInterval is the time between two reads. Routers that do not follow the store closely read it so seldom that all of
// them together ask no more than the watchers do. So a new document is found even if no watcher can reach the store.
func (c *Core) pollInterval(now time.Time) time.Duration {
	if c.followsStore(now) {
		return c.jitter(c.settings.PollInterval)
	}
	all := c.settings.PollInterval * time.Duration(len(c.peers)+1) / time.Duration(c.settings.Watchers)
	return time.Duration(float64(all) * 2 * c.random.Float64())
}

// needsFirstAnswer tells whether this process has heard of a document neither from the store nor from peers.
func (c *Core) needsFirstAnswer() bool { return c.current == nil && !c.store.answered }

// chooseWatchers finds out whether this process is one of the routers that watch the store. Routers that see the same
// members choose the same watchers.
func (c *Core) chooseWatchers() {
	names := append(lo.Map(c.peers, func(peer Peer, _ int) string { return peer.Name }), c.settings.Self)
	c.store.watcher = lo.Contains(rendezvous.Top(StoreKey, lo.Uniq(names), c.settings.Watchers), c.settings.Self)
}

// isolated tells whether this process counts as cut off, because it has heard no peer for some time.
func (c *Core) isolated(now time.Time) bool {
	return now.Sub(c.gossip.lastHeard) >= c.settings.IsolationTimeout
}

// wakeStore tells when the reader has something to do.
func (c *Core) wakeStore() time.Time {
	if c.settings.ReadOnly {
		return time.Time{}
	}
	if c.store.readID != 0 {
		return c.store.readDeadline
	}
	return c.store.nextRead
}

// tickStore reads the store when that is due.
func (c *Core) tickStore(now time.Time, effects *core.Effects) {
	if c.settings.ReadOnly {
		return
	}
	if c.store.readID != 0 && !now.Before(c.store.readDeadline) {
		c.store.readID = 0
		c.readFailed(now, 0)
	}
	if c.followsStore(now) && c.store.nextRead.Sub(now) > 2*c.settings.PollInterval {
		// It did not follow the store when the time of the next read was set.
		c.store.nextRead = now
	}
	if c.store.readID != 0 || now.Before(c.store.nextRead) {
		return
	}
	c.store.readID = c.ids.Next()
	c.store.readDeadline = now.Add(c.settings.StoreTimeout)
	effects.Ask(c.store.readID, platform.Get{Key: StoreKey})
}

// readFailed sets the time of the next read.
func (c *Core) readFailed(now time.Time, retryAfter time.Duration) {
	c.store.failures++
	wait := c.backoff(c.store.failures, retryAfter)
	if !c.followsStore(now) {
		wait = max(wait, c.pollInterval(now))
	}
	c.store.nextRead = now.Add(wait)
}

// backoff returns how long to wait after some failures in a row: doubling, with jitter, within bounds.
func (c *Core) backoff(failures int, retryAfter time.Duration) time.Duration {
	wait := c.settings.RetryMinimum << min(failures-1, 16)
	wait = min(wait, c.settings.RetryMaximum)
	wait = time.Duration(float64(wait) * (0.5 + c.random.Float64()))
	return max(wait, retryAfter)
}

// handleStoreResponse takes the answer to a read or the refusal of a watch.
func (c *Core) handleStoreResponse(now time.Time, response platform.Response, effects *core.Effects) {
	switch {
	case response.ID == c.store.readID && c.store.readID != 0:
		c.store.readID = 0
		c.handleRead(now, response, effects)
	case response.ID == c.store.watchID && c.store.watchID != 0 && response.Failure != platform.FailureNone:
		c.store.watchID = 0
		c.readFailed(now, response.RetryAfter)
	}
}

func (c *Core) handleRead(now time.Time, response platform.Response, effects *core.Effects) {
	if response.Failure != platform.FailureNone {
		c.readFailed(now, response.RetryAfter)
		return
	}
	c.store.failures = 0
	c.store.answered = true
	c.store.nextRead = now.Add(c.pollInterval(now))
	for _, entry := range response.Entries {
		c.offerEntry(now, entry, "the store", effects)
	}
	c.finishStart(now, effects)
	c.watchStore(now, response.Revision, effects)
}

// watchStore opens a watch if this process has to and has none. Just after the start it waits to learn of its peers,
// because every router takes itself for a watcher as long as it knows no other.
func (c *Core) watchStore(now time.Time, fromRevision uint64, effects *core.Effects) {
	if c.store.watchID != 0 || !(c.store.watcher || c.isolated(now)) {
		return
	}
	if len(c.peers) == 0 && now.Before(c.startDeadline) {
		c.store.nextRead = c.startDeadline
		return
	}
	c.store.watchID = c.ids.Next()
	effects.Ask(c.store.watchID, platform.Watch{Prefix: StoreKey, FromRevision: fromRevision})
}

// handleStoreWatch takes changes of the document. A deleted document stays in force.
func (c *Core) handleStoreWatch(now time.Time, event platform.WatchEvent, effects *core.Effects) {
	if event.ID != c.store.watchID || c.store.watchID == 0 {
		return
	}
	for _, entry := range event.Changed {
		c.offerEntry(now, entry, "the watch of the store", effects)
	}
	if event.Closed {
		c.store.watchID = 0
		c.readFailed(now, 0)
	}
}

// offerEntry takes a document as the store holds it.
func (c *Core) offerEntry(now time.Time, entry platform.Entry, source string, effects *core.Effects) {
	if entry.Key != StoreKey {
		return
	}
	snapshot, err := compileEncoded(entry.Value)
	if err != nil {
		if c.store.refusedRevision != entry.ModRevision {
			c.store.refusedRevision = entry.ModRevision
			c.refuse(StoreKey, fmt.Sprintf("The document in the store is not valid: %s.", err), effects)
		}
		return
	}
	c.offer(now, snapshot, source, effects)
}
