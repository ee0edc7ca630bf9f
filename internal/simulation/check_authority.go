package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Keys of the key-value service that the checker of authority reads.
const (
	// shardPrefix is the prefix of the keys that are bound to the lease of the router which owns a shard of engines.
	shardPrefix = "/granitebay/shards/"
	// recordPrefix is the prefix of the committed records of engines.
	recordPrefix = "/granitebay/engines/"
)

// storedRecord is the part of a committed engine record that the checker reads.
type storedRecord struct {
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
}

// authorityChecker follows the store and the engines.
type authorityChecker struct {
	// granted holds the epochs that the store gave out: the create revisions of shard keys. holding holds the present
	// epoch of each shard key.
	granted map[uint64]time.Duration
	holding map[string]uint64
	// latest is the latest generation that was committed of each engine.
	latest map[string]uint64
	// committed is the highest epoch under which a record of an engine was committed, accepted the highest under which
	// the present incarnation of an engine accepted an order.
	committed map[string]uint64
	accepted  map[string]uint64
	// records holds the generations of an engine that were committed.
	records    map[generationKey]bool
	violations []Violation
}

// checkAuthority finds records of engines that were committed under an epoch which had ended, or that do not have the next
// generation. It finds accepted orders of an epoch that the store never gave out, of a generation that nobody committed,
// or of an epoch older than one under which this engine was already ordered or its record committed.
func checkAuthority(history *History) []Violation {
	checker := &authorityChecker{granted: map[uint64]time.Duration{}, holding: map[string]uint64{},
		latest: map[string]uint64{}, committed: map[string]uint64{},
		accepted: map[string]uint64{}, records: map[generationKey]bool{}}
	for _, observation := range history.Observations {
		switch seen := observation.(type) {
		case StoreCommitted:
			checker.commit(seen)
		case OrderReceived:
			checker.order(seen)
		case EngineChanged:
			if seen.State == EngineStarted {
				delete(checker.accepted, seen.Engine)
			}
		}
	}
	return checker.violations
}

// commit takes a commit of the store.
func (c *authorityChecker) commit(seen StoreCommitted) {
	for _, key := range seen.Deleted {
		delete(c.holding, key)
	}
	for _, entry := range seen.Changed {
		if strings.HasPrefix(entry.Key, shardPrefix) && entry.CreateRevision == seen.Revision {
			c.granted[entry.CreateRevision] = seen.At
			c.holding[entry.Key] = entry.CreateRevision
		}
		name, ok := strings.CutPrefix(entry.Key, recordPrefix)
		if !ok {
			continue
		}
		var record storedRecord
		if json.Unmarshal(entry.Value, &record) == nil {
			c.record(seen, name, record)
			c.records[generationKey{engine: name, generation: record.Generation}] = true
			c.committed[name] = max(c.committed[name], record.Epoch)
		}
	}
}

// record takes a committed record.
func (c *authorityChecker) record(seen StoreCommitted, name string, record storedRecord) {
	held := lo.Contains(lo.Values(c.holding), record.Epoch)
	next := record.Generation == c.latest[name]+1
	c.latest[name] = record.Generation
	if held && next {
		return
	}
	c.violations = append(c.violations, Violation{Promise: PromiseNoOrderWithoutLease, At: seen.At,
		Subjects: []string{name, recordPrefix + name},
		Reason: fmt.Sprintf("generation %d of %s was committed under epoch %d (epoch in force: %t, next generation: %t)",
			record.Generation, name, record.Epoch, held, next)})
}

// order takes an order that reached an engine.
func (c *authorityChecker) order(seen OrderReceived) {
	if !seen.Accepted {
		return
	}
	epoch := seen.Fence.Epoch
	if _, ok := c.granted[epoch]; !ok {
		c.violate(seen, "the store never gave out this epoch")
	}
	if !c.records[generationKey{engine: seen.Engine, generation: seen.Fence.Generation}] {
		c.violate(seen, "nobody had committed this generation")
	}
	if newer := max(c.committed[seen.Engine], c.accepted[seen.Engine]); epoch < newer {
		c.violate(seen, fmt.Sprintf("a holder of epoch %d had already acted on this engine", newer))
	}
	c.accepted[seen.Engine] = max(c.accepted[seen.Engine], epoch)
}

// violate adds a violation.
func (c *authorityChecker) violate(seen OrderReceived, why string) {
	c.violations = append(c.violations, Violation{Promise: PromiseNoOrderWithoutLease, At: seen.At,
		Subjects: []string{seen.Engine, recordPrefix + seen.Engine},
		Reason: fmt.Sprintf("%s accepted order (%d,%d) from %s, but %s", seen.Engine, seen.Fence.Epoch,
			seen.Fence.Generation, seen.Sender, why)})
}
