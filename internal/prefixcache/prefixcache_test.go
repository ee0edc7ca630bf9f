package prefixcache_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/prefixcache"
)

// Cache capacities in tokens.
const (
	capacity      = 100
	largeCapacity = 20_000
)

// referencePart is a cached part in the reference implementation.
type referencePart struct {
	key    string
	tokens int
	ready  bool
}

// referenceTable is a simple implementation of prefixcache.Table, with the most recently used part of each engine
// first.
type referenceTable map[string][]referencePart

// keep implements Table.Add.
func (m referenceTable) keep(worker, key string, tokens int, ready bool) {
	parts := m[worker]
	i := slices.IndexFunc(parts, func(p referencePart) bool { return p.key == key })
	if i >= 0 {
		existing := parts[i]
		existing.ready = existing.ready || ready
		parts = slices.Delete(parts, i, i+1)
		m[worker] = slices.Insert(parts, 0, existing)
		return
	}
	parts = slices.Insert(parts, 0, referencePart{key: key, tokens: tokens, ready: ready})
	for len(parts) > 1 && totalTokens(parts) > largeCapacity {
		parts = parts[:len(parts)-1]
	}
	m[worker] = parts
}

// fill implements Table.AddAnonymous, for fills that are too large to be merged.
func (m referenceTable) fill(worker string, tokens int) {
	if _, exists := m[worker]; !exists {
		return
	}
	parts := slices.Insert(m[worker], 0, referencePart{tokens: tokens})
	for len(parts) > 1 && totalTokens(parts) > largeCapacity {
		parts = parts[:len(parts)-1]
	}
	m[worker] = parts
}

// forget implements Table.Remove.
func (m referenceTable) forget(worker, key string) {
	m[worker] = slices.DeleteFunc(m[worker], func(p referencePart) bool { return p.key == key })
}

// holders implements Table.Holders, sorted by worker.
func (m referenceTable) holders(key string) []prefixcache.Holder {
	var found []prefixcache.Holder
	for worker, parts := range m {
		for _, part := range parts {
			if part.key == key {
				found = append(found, prefixcache.Holder{Worker: worker, Cached: part.ready})
			}
		}
	}
	return sortHolders(found)
}

// totalTokens returns the sum of the tokens of the parts.
func totalTokens(parts []referencePart) int {
	sum := 0
	for _, part := range parts {
		sum += part.tokens
	}
	return sum
}

// sortHolders sorts holders by worker.
func sortHolders(holders []prefixcache.Holder) []prefixcache.Holder {
	slices.SortFunc(holders, func(a, b prefixcache.Holder) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return holders
}

// TestTableMatchesReference applies random changes to a table and to the reference implementation.
func TestTableMatchesReference(t *testing.T) {
	workers := []string{"w0", "w1", "w2"}
	keys := []string{"k0", "k1", "k2", "k3", "k4", "k5"}
	rapid.Check(t, func(t *rapid.T) {
		table, reference := prefixcache.New(), referenceTable{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			worker := rapid.SampledFrom(workers).Draw(t, "worker")
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 7).Draw(t, "change") {
			case 0:
				table.Remove(worker, key)
				reference.forget(worker, key)
			case 1:
				table.ForgetWorker(worker)
				delete(reference, worker)
			case 2:
				tokens := rapid.IntRange(3000, 9000).Draw(t, "own")
				table.AddAnonymous(worker, tokens)
				reference.fill(worker, tokens)
			default:
				tokens, ready := rapid.IntRange(1, 24_000).Draw(t, "tokens"), rapid.Bool().Draw(t, "ready")
				table.Add(worker, largeCapacity, key, tokens, ready)
				reference.keep(worker, key, tokens, ready)
			}
			for _, each := range keys {
				got, want := fmt.Sprint(sortHolders(table.Holders(each))), fmt.Sprint(reference.holders(each))
				if got != want {
					t.Fatalf("holders of %s: got %s, want %s", each, got, want)
				}
			}
		}
	})
}

// TestHoldersAreInCachingOrder checks that using a part again does not change the order.
func TestHoldersAreInCachingOrder(t *testing.T) {
	table := prefixcache.New()
	for _, worker := range []string{"w2", "w0", "w1"} {
		table.Add(worker, capacity, "k", 10, true)
	}
	table.Add("w2", capacity, "k", 10, true)
	want := []prefixcache.Holder{{Worker: "w2", Cached: true}, {Worker: "w0", Cached: true}, {Worker: "w1", Cached: true}}
	if got := table.Holders("k"); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestSmallFillsAreMerged guards against a table that grows with every request.
func TestSmallFillsAreMerged(t *testing.T) {
	table := prefixcache.New()
	table.Add("w", largeCapacity, "first", 1000, true)
	for range 180 {
		table.AddAnonymous("w", 100)
	}
	if len(table.Holders("first")) != 1 {
		t.Fatal("a part was evicted although the cache had room")
	}
	for range 20 {
		table.AddAnonymous("w", 100)
	}
	if len(table.Holders("first")) != 0 {
		t.Fatal("a part was kept although newer tokens fill the cache")
	}
}
