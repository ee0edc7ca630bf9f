package rolecontrol

import (
	"fmt"
	"strings"

	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/platform"
)

// checks looks from outside, at the engines and at what the service holds, for breaches of what must always hold.
type checks struct {
	breaches []string
	// commits is how much of the history of the service was looked at.
	commits int
	// shards holds the epoch of each shard key, records the committed record of each engine and generation.
	shards  map[string]uint64
	records map[string]Record
	// orders is how many accepted orders of each engine were looked at, epochs the ones that it ever accepted.
	orders map[string]int
	epochs map[string]bool
}

func newChecks() checks {
	return checks{
		shards: map[string]uint64{}, records: map[string]Record{}, orders: map[string]int{}, epochs: map[string]bool{},
	}
}

func (c *checks) breach(format string, arguments ...any) {
	c.breaches = append(c.breaches, fmt.Sprintf(format, arguments...))
}

func (c *checks) check(w *world) {
	for _, e := range w.engines {
		c.checkOrders(e)
	}
	history := w.model.History()
	for _, commit := range history[c.commits:] {
		for _, key := range commit.Deletes {
			delete(c.shards, key)
		}
		for _, entry := range commit.Puts {
			if strings.HasPrefix(entry.Key, ownership.ShardPrefix) {
				c.shards[entry.Key] = entry.CreateRevision
			} else {
				c.checkCommit(w, entry)
			}
		}
	}
	c.commits = len(history)
	for _, e := range w.engines {
		if len(e.cut) > 0 {
			c.breach("%s: a change cut runs %v", e.name, e.cut)
		}
	}
}

// checkCommit checks that a record comes from the holder, who restated the one before it, and that no generation has
// two contents.
func (c *checks) checkCommit(w *world, entry platform.Entry) {
	record, err := parseRecord(entry)
	if err != nil {
		c.breach("%s: %v", entry.Key, err)
	}
	name := recordEngine(entry.Key)
	key := generationKey(name, record.Generation)
	if before, exists := c.records[key]; exists {
		c.breach("%s is committed as %v and as %v", key, before, record)
	}
	c.records[key] = record
	if shard := w.routers[0].ownership.ShardKey(name); c.shards[shard] != record.Epoch {
		c.breach("%s is committed under epoch %d while the shard has %d", key, record.Epoch, c.shards[shard])
	}
	if record.Generation > 1 && !c.epochs[epochKey(name, record.Epoch)] {
		c.breach("%s is committed under epoch %d before the engine accepted an order of that epoch", key, record.Epoch)
	}
}

// checkOrders checks accepted orders: each has the content that is committed for its generation, and within one
// incarnation neither epoch nor generation goes back.
func (c *checks) checkOrders(e *fakeEngine) {
	for i := c.orders[e.name]; i < len(e.accepted); i++ {
		order := e.accepted[i]
		c.epochs[epochKey(e.name, order.fence.Epoch)] = true
		record, committed := c.records[generationKey(e.name, order.fence.Generation)]
		if !committed || !sameConfiguration(record.Configuration, order.configuration) {
			c.breach("%s accepted %+v, committed is %+v", e.name, order, record)
		}
		if i == 0 || e.accepted[i-1].incarnation != order.incarnation {
			continue
		}
		before := e.accepted[i-1].fence
		if order.fence.Epoch < before.Epoch || order.fence.Generation < before.Generation {
			c.breach("%s accepted fence %+v after %+v", e.name, order.fence, before)
		}
	}
	c.orders[e.name] = len(e.accepted)
}

func generationKey(name string, generation uint64) string {
	return fmt.Sprintf("%s@%d", name, generation)
}

func epochKey(name string, epoch uint64) string { return fmt.Sprintf("%s/%d", name, epoch) }
