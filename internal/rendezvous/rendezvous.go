// Package rendezvous orders nodes for a key by highest random weight, so that a node that comes or goes moves only
// its own share of the keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the nodes in order of preference for the key. It is the same at every process.
func Order(key string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	scores := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		scores = append(scores, scored{node: node, score: xxhash.Sum64String(key + "\x00" + node)})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.node, b.node)
	})
	ordered := make([]string, 0, len(scores))
	for _, entry := range scores {
		ordered = append(ordered, entry.node)
	}
	return ordered
}
