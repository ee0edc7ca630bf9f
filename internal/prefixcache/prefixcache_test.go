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
	smallCapacity = 100
	largeCapacity = 20_000
)

// referenceSegment is a cached segment in the reference implementation.
type referenceSegment struct {
	key    string
	tokens int
	cached bool
}

// referenceTable is a simple implementation of prefixcache.Table, with the most recently used segment of each engine
// first.
type referenceTable map[string][]referenceSegment

// add implements Table.Add.
func (m referenceTable) add(worker, key string, tokens int, cached bool) {
	segments := m[worker]
	i := slices.IndexFunc(segments, func(p referenceSegment) bool { return p.key == key })
	if i >= 0 {
		existing := segments[i]
		existing.cached = existing.cached || cached
		segments = slices.Delete(segments, i, i+1)
		m[worker] = slices.Insert(segments, 0, existing)
		return
	}
	segments = slices.Insert(segments, 0, referenceSegment{key: key, tokens: tokens, cached: cached})
	for len(segments) > 1 && totalTokens(segments) > largeCapacity {
		segments = segments[:len(segments)-1]
	}
	m[worker] = segments
}

// addAnonymous implements Table.AddAnonymous, for tokens that are too many to be merged.
func (m referenceTable) addAnonymous(worker string, tokens int) {
	if _, exists := m[worker]; !exists {
		return
	}
	segments := slices.Insert(m[worker], 0, referenceSegment{tokens: tokens})
	for len(segments) > 1 && totalTokens(segments) > largeCapacity {
		segments = segments[:len(segments)-1]
	}
	m[worker] = segments
}

// remove implements Table.Remove.
func (m referenceTable) remove(worker, key string) {
	m[worker] = slices.DeleteFunc(m[worker], func(p referenceSegment) bool { return p.key == key })
}

// holders implements Table.Holders, sorted by worker.
func (m referenceTable) holders(key string) []prefixcache.Holder {
	var found []prefixcache.Holder
	for worker, segments := range m {
		for _, segment := range segments {
			if segment.key == key {
				found = append(found, prefixcache.Holder{Worker: worker, Cached: segment.cached})
			}
		}
	}
	return sortHolders(found)
}

// totalTokens returns the sum of the tokens of the segments.
func totalTokens(segments []referenceSegment) int {
	sum := 0
	for _, segment := range segments {
		sum += segment.tokens
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

// TestTableMatchesReference guards against a table that differs from a simple list of the least recently used segments.
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
				reference.remove(worker, key)
			case 1:
				table.ForgetWorker(worker)
				delete(reference, worker)
			case 2:
				tokens := rapid.IntRange(3000, 9000).Draw(t, "anonymous tokens")
				table.AddAnonymous(worker, tokens)
				reference.addAnonymous(worker, tokens)
			default:
				tokens, cached := rapid.IntRange(1, 24_000).Draw(t, "tokens"), rapid.Bool().Draw(t, "cached")
				table.Add(worker, largeCapacity, key, tokens, cached)
				reference.add(worker, key, tokens, cached)
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

// TestHoldersAreInCachingOrder guards against holders that change places when they use the segment again.
func TestHoldersAreInCachingOrder(t *testing.T) {
	table := prefixcache.New()
	for _, worker := range []string{"w2", "w0", "w1"} {
		table.Add(worker, smallCapacity, "k", 10, true)
	}
	table.Add("w2", smallCapacity, "k", 10, true)
	want := []prefixcache.Holder{{Worker: "w2", Cached: true}, {Worker: "w0", Cached: true}, {Worker: "w1", Cached: true}}
	if got := table.Holders("k"); !slices.Equal(got, want) {
		t.Errorf("holders of k: got %v, want %v", got, want)
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
		t.Fatal("w no longer has the segment \"first\" after 18,000 further tokens, although the cache had room")
	}
	for range 20 {
		table.AddAnonymous("w", 100)
	}
	if len(table.Holders("first")) != 0 {
		t.Fatal("w still has the segment \"first\" after 20,000 further tokens, which fill the cache")
	}
}
