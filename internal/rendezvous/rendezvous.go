// Package rendezvous assigns keys to nodes by rendezvous hashing, also known as highest-random-weight hashing (Thaler
// and Ravishankar, 1998). Processes with the same nodes make the same assignment without communication, and removing
// a node moves only its own keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weightedNode pairs a node with its weight for a key.
type weightedNode struct {
	node   string
	weight uint64
}

// First returns the node with the highest weight for the key, or the empty string if there are no nodes. The order of
// the nodes does not matter. They must be distinct.
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

// Order returns the nodes by descending weight for the key, so its first element is the result of First. The nodes
// must be distinct.
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

// Bucket maps a key to one of the given number of buckets, counted from zero.
func Bucket(key string, buckets int) int { return int(weight(key, "") % uint64(buckets)) }

// Hash returns the hash of a key.
func Hash(key string) uint64 { return weight(key, "") }

// compare sorts by descending weight, and by node for equal weights.
func compare(a, b weightedNode) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

// weight returns the hash of a key and a node. The zero byte separates them, so that ("ab", "c") and ("a", "bc")
// differ.
func weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
