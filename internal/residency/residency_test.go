package residency_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/residency"
)

// Capacities of engines in the tests, tokens.
const (
	capacity      = 100
	largeCapacity = 20_000
)

// modelPart is a part that an engine of the model keeps.
type modelPart struct {
	key    string
	tokens int
	ready  bool
}

// model keeps the parts of each engine, those used last first, in the plainest way.
type model map[string][]modelPart

// keep is residency.Table.Keep.
func (m model) keep(worker, key string, tokens int, ready bool) {
	parts := m[worker]
	at := slices.IndexFunc(parts, func(p modelPart) bool { return p.key == key })
	if at >= 0 {
		known := parts[at]
		known.ready = known.ready || ready
		parts = slices.Delete(parts, at, at+1)
		m[worker] = slices.Insert(parts, 0, known)
		return
	}
	parts = slices.Insert(parts, 0, modelPart{key: key, tokens: tokens, ready: ready})
	for len(parts) > 1 && total(parts) > largeCapacity {
		parts = parts[:len(parts)-1]
	}
	m[worker] = parts
}

// fill is residency.Table.Fill, for fillings that are too large to be kept as one.
func (m model) fill(worker string, tokens int) {
	if _, known := m[worker]; !known {
		return
	}
	parts := slices.Insert(m[worker], 0, modelPart{tokens: tokens})
	for len(parts) > 1 && total(parts) > largeCapacity {
		parts = parts[:len(parts)-1]
	}
	m[worker] = parts
}

// forget is residency.Table.Forget.
func (m model) forget(worker, key string) {
	m[worker] = slices.DeleteFunc(m[worker], func(p modelPart) bool { return p.key == key })
}

// holders returns who keeps a key, in the order of their names.
func (m model) holders(key string) []residency.Holder {
	var found []residency.Holder
	for worker, parts := range m {
		for _, part := range parts {
			if part.key == key {
				found = append(found, residency.Holder{Worker: worker, Ready: part.ready})
			}
		}
	}
	return sorted(found)
}

// total sums up the tokens of parts.
func total(parts []modelPart) int {
	sum := 0
	for _, part := range parts {
		sum += part.tokens
	}
	return sum
}

// sorted returns holders in the order of their names.
func sorted(holders []residency.Holder) []residency.Holder {
	slices.SortFunc(holders, func(a, b residency.Holder) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return holders
}

// TestTableKeepsWhatThePlainModelKeeps makes random changes to a table and to the model, and compares every key after each.
func TestTableKeepsWhatThePlainModelKeeps(t *testing.T) {
	workers := []string{"w0", "w1", "w2"}
	keys := []string{"k0", "k1", "k2", "k3", "k4", "k5"}
	rapid.Check(t, func(t *rapid.T) {
		table, plain := residency.New(), model{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			worker := rapid.SampledFrom(workers).Draw(t, "worker")
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 7).Draw(t, "change") {
			case 0:
				table.Forget(worker, key)
				plain.forget(worker, key)
			case 1:
				table.ForgetWorker(worker)
				delete(plain, worker)
			case 2:
				tokens := rapid.IntRange(3000, 9000).Draw(t, "own")
				table.Fill(worker, tokens)
				plain.fill(worker, tokens)
			default:
				tokens, ready := rapid.IntRange(1, 24_000).Draw(t, "tokens"), rapid.Bool().Draw(t, "ready")
				table.Keep(worker, largeCapacity, key, tokens, ready)
				plain.keep(worker, key, tokens, ready)
			}
			for _, each := range keys {
				got, want := fmt.Sprint(sorted(table.Holders(each))), fmt.Sprint(plain.holders(each))
				if got != want {
					t.Fatalf("%s is kept by %s, want %s", each, got, want)
				}
			}
		}
	})
}

// TestHoldersComeInTheOrderInWhichTheyGotThePart keeps one part on three engines.
func TestHoldersComeInTheOrderInWhichTheyGotThePart(t *testing.T) {
	table := residency.New()
	for _, worker := range []string{"w2", "w0", "w1"} {
		table.Keep(worker, capacity, "k", 10, true)
	}
	table.Keep("w2", capacity, "k", 10, true)
	want := []residency.Holder{{Worker: "w2", Ready: true}, {Worker: "w0", Ready: true}, {Worker: "w1", Ready: true}}
	if got := table.Holders("k"); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestShortFillingsAreKeptAsOne guards against a table that grows with each request.
func TestShortFillingsAreKeptAsOne(t *testing.T) {
	table := residency.New()
	table.Keep("w", largeCapacity, "first", 1000, true)
	for range 180 {
		table.Fill("w", 100)
	}
	if len(table.Holders("first")) != 1 {
		t.Fatal("a part gave way although there was room")
	}
	for range 20 {
		table.Fill("w", 100)
	}
	if len(table.Holders("first")) != 0 {
		t.Fatal("a part is taken to be kept although newer tokens fill the memory")
	}
}
