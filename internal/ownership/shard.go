package ownership

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/platform"
)

// Holder is the value of the key of a shard.
type Holder struct {
	Router      string `json:"router"`
	Incarnation uint64 `json:"incarnation"`
}

// requestKind is what the request of a shard that is under way asks.
type requestKind int

const (
	requestClaim requestKind = iota
	requestRelease
	requestReadBack
)

// shard is what this router knows of one shard.
type shard struct {
	name, zone, key string
	// engines counts the engines that the shard has.
	engines int
	// order is the dispatch order; firstSince is since when its first router is that, rankSince since when this
	// router has its place.
	order      []string
	firstSince time.Time
	rankSince  time.Time
	// freeSince is since when the shard is known to have no holder; zero when it has one.
	freeSince time.Time
	// epoch under which this router has authority; zero when it has none.
	epoch uint64
	// gainedAt is when this router got its authority.
	gainedAt time.Time
	// releasing is the epoch that this router is giving back; zero when it is giving none back. What is being given
	// back is never used again, even if the answer is lost.
	releasing uint64
	// handOnDelay grows when the shard came back because the router to which it was handed on did not take it.
	handOnDelay time.Duration

	request platform.RequestID
	kind    requestKind
	sentAt  time.Time
	retryAt time.Time
}

// advanceShard does the next step for a shard.
func (c *Core) advanceShard(now time.Time, shard *shard, effects *core.Effects) {
	if !c.mirror.Ready() {
		return
	}
	entry, present := c.mirror.Entry(shard.key)
	c.noteHolder(now, shard, entry, present, effects)
	if shard.request != 0 {
		if !c.reached(now, shard.sentAt.Add(c.settings.RequestTimeout)) {
			return
		}
		c.readBackLater(now, shard)
	}
	if !c.lease.valid(now) {
		return
	}
	switch {
	case shard.kind == requestReadBack:
		if c.reached(now, shard.retryAt) {
			c.askShard(now, shard, requestReadBack, platform.Get{Key: shard.key}, effects)
		}
	case shard.releasing != 0:
		c.release(now, shard, effects)
	case shard.epoch != 0:
		c.considerHandOn(now, shard, effects)
	case !present:
		c.considerClaim(now, shard, effects)
	}
}

// noteHolder compares what the service holds with what this router believes, and takes or drops authority accordingly.
func (c *Core) noteHolder(now time.Time, shard *shard, entry platform.Entry, present bool, effects *core.Effects) {
	if present {
		shard.freeSince = time.Time{}
	} else if shard.freeSince.IsZero() {
		shard.freeSince = now
	}
	if shard.releasing != 0 && (!present || entry.CreateRevision != shard.releasing) {
		shard.releasing = 0
	}
	mine := present && c.isMine(entry)
	switch {
	case shard.epoch != 0 && (!mine || entry.CreateRevision != shard.epoch):
		c.decide(shard, shard.epoch, "lost", "the key-value service no longer holds the claim of this router", effects)
		shard.epoch = 0
		c.version++
	case shard.epoch == 0 && mine && entry.CreateRevision != shard.releasing && c.lease.valid(now):
		c.gain(now, shard, entry.CreateRevision, effects)
	}
}

func (c *Core) gain(now time.Time, shard *shard, epoch uint64, effects *core.Effects) {
	shard.epoch = epoch
	shard.gainedAt = now
	c.version++
	if rank(shard.order, c.settings.Self) == 0 {
		shard.handOnDelay = c.settings.HandOnDelay
		c.decide(shard, epoch, "gained", "this router is first in the order of the shard", effects)
		return
	}
	shard.handOnDelay = min(2*shard.handOnDelay, MaxHandOnDelay)
	c.decide(shard, epoch, "gained", "the routers before this one in the order did not take the shard", effects)
}

// isMine tells whether an entry was written under the present lease of this router.
func (c *Core) isMine(entry platform.Entry) bool {
	return c.lease.id != 0 && entry.Lease == c.lease.id && bytes.Equal(entry.Value, c.holderValue)
}

// encodeHolder returns the value of the shards of a router. It is compared with what the service holds at every step, so
// it is made once.
func encodeHolder(settings Settings) []byte {
	value, err := json.Marshal(Holder{Router: settings.Self, Incarnation: settings.Incarnation})
	if err != nil {
		return nil // a Holder always marshals
	}
	return value
}

// considerClaim claims a free shard when it is this router's turn.
func (c *Core) considerClaim(now time.Time, shard *shard, effects *core.Effects) {
	place := rank(shard.order, c.settings.Self)
	if place < 0 || shard.engines == 0 {
		return
	}
	free := shard.freeSince.Add(time.Duration(place) * c.settings.StandbyDelay)
	settled := shard.rankSince.Add(c.settings.SettleDelay)
	if !c.reached(now, free) || !c.reached(now, settled) || !c.reached(now, shard.retryAt) {
		return
	}
	c.askShard(now, shard, requestClaim, platform.Transaction{
		Compares: []platform.Compare{{Key: shard.key}},
		Puts:     []platform.Put{{Key: shard.key, Value: c.holderValue, Lease: c.lease.id}},
	}, effects)
}

// considerHandOn starts to give a shard back when another router has been first for long enough.
func (c *Core) considerHandOn(now time.Time, shard *shard, effects *core.Effects) {
	if len(shard.order) == 0 || shard.order[0] == c.settings.Self {
		return
	}
	if !c.reached(now, shard.firstSince.Add(shard.handOnDelay)) || !c.reached(now, shard.gainedAt.Add(shard.handOnDelay)) {
		return
	}
	c.decide(shard, shard.epoch, shard.order[0], "another router is now first in the order of the shard", effects)
	shard.releasing = shard.epoch
	shard.epoch = 0
	c.version++
	c.release(now, shard, effects)
}

// release deletes the key of a shard if it is still the one that this router wrote.
func (c *Core) release(now time.Time, shard *shard, effects *core.Effects) {
	if !c.reached(now, shard.retryAt) {
		return
	}
	c.askShard(now, shard, requestRelease, platform.Transaction{
		Compares: []platform.Compare{{Key: shard.key, ModRevision: shard.releasing}},
		Deletes:  []string{shard.key},
	}, effects)
}

func (c *Core) askShard(now time.Time, shard *shard, kind requestKind, request platform.Request, effects *core.Effects) {
	shard.request = c.ids.Next()
	shard.kind = kind
	shard.sentAt = now
	effects.Ask(shard.request, request)
	c.reached(now, now.Add(c.settings.RequestTimeout))
}

// readBackLater leaves the request that is under way and reads the key after a while.
func (c *Core) readBackLater(now time.Time, shard *shard) {
	shard.request = 0
	shard.kind = requestReadBack
	shard.retryAt = now.Add(c.backoff.Next(c.random, 0))
}

// handleShard takes the answer to a claim, a release or a read.
func (c *Core) handleShard(now time.Time, response platform.Response) {
	for _, name := range c.shardNames {
		shard := c.shards[name]
		if response.ID == 0 || shard.request != response.ID {
			continue
		}
		kind := shard.kind
		shard.request = 0
		shard.retryAt = now
		switch {
		case response.Failure != platform.FailureNone:
			shard.retryAt = now.Add(c.backoff.Next(c.random, response.RetryAfter))
			if response.Failure == platform.FailureUnknown {
				shard.kind = requestReadBack
			}
		case kind == requestReadBack:
			shard.kind = requestClaim
			c.mirror.Observe(shard.key, response)
		default:
			// Whether it succeeded or not, the key tells what holds now.
			shard.kind = requestReadBack
		}
		return
	}
}

// dropShards forgets all authority and all requests for shards.
func (c *Core) dropShards(reason string, effects *core.Effects) {
	for _, name := range c.shardNames {
		shard := c.shards[name]
		if shard.epoch != 0 {
			c.decide(shard, shard.epoch, "lost", reason, effects)
		}
		shard.epoch = 0
		shard.releasing = 0
		shard.request = 0
		shard.kind = requestClaim
	}
	c.version++
}

func (c *Core) decide(shard *shard, epoch uint64, outcome, reason string, effects *core.Effects) {
	effects.Decide(decision.Record{
		Kind:    decision.KindOwnership,
		Subject: "shard " + shard.name,
		Outcome: outcome,
		Reason:  reason,
		Inputs:  map[string]string{"engines": strconv.Itoa(shard.engines)},
		Epoch:   epoch,
	})
}
