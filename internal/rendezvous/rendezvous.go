// Package rendezvous chooses nodes for a key by highest-random-weight hashing. Processes that know the same nodes
// choose the same ones without talking to each other, and when a node goes only its own keys move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Node is a candidate with the failure domain in which it runs.
type Node struct {
	Name string
	Zone string
}

// scored is a node with its weight for one key.
type scored struct {
	node   Node
	weight uint64
}

// Order returns all nodes, highest weight for the key first. The order of the argument does not matter. Names must
// differ.
func Order(key string, nodes []string) []string {
	return lo.Map(order(key, withoutZones(nodes)), func(s scored, _ int) string { return s.node.Name })
}

// First returns the node of the highest weight, or the empty string when there are no nodes.
func First(key string, nodes []string) string {
	var best scored
	for i, name := range nodes {
		candidate := scored{node: Node{Name: name}, weight: weight(key, name)}
		if i == 0 || compare(candidate, best) < 0 {
			best = candidate
		}
	}
	return best.node.Name
}

// Top returns the n nodes of the highest weights, or all nodes when there are fewer.
func Top(key string, nodes []string, n int) []string {
	ordered := Order(key, nodes)
	return ordered[:min(max(n, 0), len(ordered))]
}

// TopAcrossZones returns n nodes, or all when there are fewer. The first of them are the highest nodes of as many
// different zones as there are, by weight; only when there are fewer zones than n do further nodes follow, by weight.
func TopAcrossZones(key string, nodes []Node, n int) []Node {
	ordered := lo.Map(order(key, nodes), func(s scored, _ int) Node { return s.node })
	firstOfZone := lo.UniqBy(ordered, func(node Node) string { return node.Zone })
	chosen := firstOfZone[:min(max(n, 0), len(firstOfZone))]
	rest := lo.Without(ordered, firstOfZone...)
	missing := max(n, 0) - len(chosen)
	return append(slices.Clone(chosen), rest[:min(missing, len(rest))]...)
}

// withoutZones wraps names as nodes.
func withoutZones(names []string) []Node {
	return lo.Map(names, func(name string, _ int) Node { return Node{Name: name} })
}

// order sorts nodes by falling weight for the key.
func order(key string, nodes []Node) []scored {
	result := lo.Map(nodes, func(node Node, _ int) scored {
		return scored{node: node, weight: weight(key, node.Name)}
	})
	slices.SortFunc(result, compare)
	return result
}

// compare puts the higher weight first, and the lower name first among equal weights.
func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node.Name, b.node.Name))
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
