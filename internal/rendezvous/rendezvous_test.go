package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/rendezvous"
)

func names(n int) []string {
	return lo.Times(n, func(i int) string { return fmt.Sprintf("router-%d", i) })
}

func TestOrderIgnoresOrderOfNodesAndMovesOnlyKeysOfALostNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.String(), 1, 12, rapid.ID).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		ordered := rendezvous.Order(key, nodes)
		shuffled := rapid.Permutation(nodes).Draw(t, "shuffled")
		if !slices.Equal(ordered, rendezvous.Order(key, shuffled)) {
			t.Fatalf("order depends on the order of the nodes")
		}
		if first := rendezvous.First(key, shuffled); first != ordered[0] {
			t.Fatalf("First = %q, Order starts with %q", first, ordered[0])
		}
		lost := rapid.SampledFrom(nodes).Draw(t, "lost")
		if !slices.Equal(lo.Without(ordered, lost), rendezvous.Order(key, lo.Without(nodes, lost))) {
			t.Fatalf("losing %q changed the order of the others", lost)
		}
	})
}

func TestFirstSpreadsKeysEvenly(t *testing.T) {
	const keys, nodes = 20000, 8
	counts := lo.CountValues(lo.Times(keys, func(i int) string {
		return rendezvous.First(fmt.Sprintf("engine-%d", i), names(nodes))
	}))
	for node, count := range counts {
		if count < keys/nodes*9/10 || count > keys/nodes*11/10 {
			t.Errorf("%s has %d of %d keys", node, count, keys)
		}
	}
}

func TestTop(t *testing.T) {
	for _, test := range []struct {
		desc string
		n    int
		want int
	}{
		{desc: "fewer than there are", n: 2, want: 2},
		{desc: "more than there are", n: 9, want: 5},
		{desc: "negative", n: -1, want: 0},
	} {
		t.Run(test.desc, func(t *testing.T) {
			if got := rendezvous.Top("key", names(5), test.n); len(got) != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
	if got := rendezvous.First("key", nil); got != "" {
		t.Errorf("First of no nodes = %q", got)
	}
}

func TestTopAcrossZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 12).Draw(t, "count")
		nodes := lo.Times(count, func(i int) rendezvous.Node {
			zone := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "zone")
			return rendezvous.Node{Name: fmt.Sprintf("router-%d", i), Zone: zone}
		})
		n := rapid.IntRange(0, 5).Draw(t, "n")
		chosen := rendezvous.TopAcrossZones("key", nodes, n)
		if len(chosen) != min(n, count) || len(lo.Uniq(chosen)) != len(chosen) {
			t.Fatalf("chose %v", chosen)
		}
		zonesOf := func(nodes []rendezvous.Node) int {
			return len(lo.UniqBy(nodes, func(node rendezvous.Node) string { return node.Zone }))
		}
		if zonesOf(chosen) != min(n, zonesOf(nodes)) {
			t.Fatalf("chose %v of %v", chosen, nodes)
		}
		reversed := slices.Clone(nodes)
		slices.Reverse(reversed)
		if !slices.Equal(chosen, rendezvous.TopAcrossZones("key", reversed, n)) {
			t.Fatalf("choice depends on the order of the nodes")
		}
	})
}
