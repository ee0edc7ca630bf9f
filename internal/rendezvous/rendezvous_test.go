package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/rendezvous"
)

// nodeNames returns the names of n nodes.
func nodeNames(n int) []string {
	return lo.Times(n, func(i int) string { return fmt.Sprintf("worker-%d", i) })
}

func TestFirstIgnoresOrderAndMovesOnlyKeysOfRemovedNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.String(), 1, 12, rapid.ID).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		first := rendezvous.First(key, nodes)
		if !lo.Contains(nodes, first) {
			t.Fatalf("First = %q, want one of %q", first, nodes)
		}
		shuffled := rapid.Permutation(nodes).Draw(t, "shuffled")
		if again := rendezvous.First(key, shuffled); again != first {
			t.Fatalf("First = %q, but %q with the nodes reordered", first, again)
		}
		removed := rapid.SampledFrom(nodes).Draw(t, "removed")
		after := rendezvous.First(key, lo.Without(nodes, removed))
		if removed != first && after != first {
			t.Fatalf("removing %q moved the key from %q to %q", removed, first, after)
		}
	})
}

func TestFirstMovesKeysOnlyToAddedNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.String(), 2, 12, rapid.ID).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		added := nodes[len(nodes)-1]
		before, after := rendezvous.First(key, nodes[:len(nodes)-1]), rendezvous.First(key, nodes)
		if after != before && after != added {
			t.Fatalf("adding %q moved the key from %q to %q", added, before, after)
		}
	})
}

func TestFirstSpreadsKeysEvenly(t *testing.T) {
	const keys, nodes = 20000, 8
	counts := lo.CountValues(lo.Times(keys, func(i int) string {
		return rendezvous.First(fmt.Sprintf("engine-%d", i), nodeNames(nodes))
	}))
	for node, count := range counts {
		if count < keys/nodes*9/10 || count > keys/nodes*11/10 {
			t.Errorf("%s has %d of %d keys, want %d within a tenth", node, count, keys, keys/nodes)
		}
	}
}

func TestFirstWithoutNodes(t *testing.T) {
	if got := rendezvous.First("key", nil); got != "" {
		t.Errorf("First = %q, want an empty string", got)
	}
}

// BenchmarkOrder measures the choice of the gateways that keep a record.
func BenchmarkOrder(b *testing.B) {
	for _, nodes := range []int{9, 82, 300} {
		names := nodeNames(nodes)
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				rendezvous.Order(fmt.Sprint(i), names)
			}
		})
	}
}
