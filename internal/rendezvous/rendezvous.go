// Package rendezvous chooses a node for a key by highest-random-weight hashing (Thaler and Ravishankar, 1998). Processes that
// know the same nodes choose the same one without talking to each other, and when a node goes only its own keys move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is a node with its weight for one key.
type weightedNode struct {
	node   string
	weight uint64
}

// First returns the node of the highest weight, or the empty string when there are no nodes. The order of the argument does
// not matter. Names must differ.
func First(key string, nodes []string) string {
	var best weightedNode
	for i, node := range nodes {
		candidate := weightedNode{node: node, weight: weight(key, node)}
		if i == 0 || compare(candidate, best) < 0 {
			best = candidate
		}
	}
	return best.node
}

// Order returns the nodes by their weights, the first as First chooses it. Names must differ.
func Order(key string, nodes []string) []string {
	ordered := make([]weightedNode, len(nodes))
	for i, node := range nodes {
		ordered[i] = weightedNode{node: node, weight: weight(key, node)}
	}
	slices.SortFunc(ordered, compare)
	names := make([]string, len(ordered))
	for i, candidate := range ordered {
		names[i] = candidate.node
	}
	return names
}

// Slot returns the one of so many slots that is a key's.
func Slot(key string, slots int) int { return int(weight(key, "") % uint64(slots)) }

// Hash returns a number that is a key's.
func Hash(key string) uint64 { return weight(key, "") }

// compare puts the higher weight first, and the lower name first among equal weights.
func compare(a, b weightedNode) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

// weight hashes a key with a node. The zero byte keeps ("ab", "c") and ("a", "bc") apart.
func weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
