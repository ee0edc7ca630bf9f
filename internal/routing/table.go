package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
)

// Table matches requests to the rules of one configuration. It is safe for concurrent use.
type Table struct {
	configuration *Configuration
	groups        map[string]*Group
	// byHost holds the path entries of each host, the longest prefix first.
	byHost map[string][]*ruleEntry
	// byLabels holds the label entries in matching order.
	byLabels []*ruleEntry
}

// ruleEntry is a rule with the rotation over its shares.
type ruleEntry struct {
	rule     *Rule
	match    Matcher
	rotation *rotation
}

// Match is the rule of a request and the group that serves it.
type Match struct {
	Rule  *Rule
	Group *Group
}

// NewTable compiles a valid configuration. Rules whose shares are unchanged from the previous table, which may be
// nil, keep their rotation, so that a configuration change does not affect the traffic split.
func NewTable(configuration *Configuration, previous *Table) *Table {
	table := &Table{
		configuration: configuration,
		groups:        map[string]*Group{},
		byHost:        map[string][]*ruleEntry{},
	}
	for i := range configuration.Groups {
		group := &configuration.Groups[i]
		table.groups[group.Name] = group
	}
	for i := range configuration.Rules {
		rule := &configuration.Rules[i]
		table.add(&ruleEntry{rule: rule, match: rule.Match, rotation: previous.rotationOf(rule)})
	}
	table.sort()
	return table
}

// add adds an entry to the list of its host or to the label entries.
func (t *Table) add(added *ruleEntry) {
	switch match := added.match.(type) {
	case PathMatch:
		host := strings.ToLower(match.Host)
		t.byHost[host] = append(t.byHost[host], added)
	case LabelMatch:
		t.byLabels = append(t.byLabels, added)
	}
}

// sort sorts the entries into matching order.
func (t *Table) sort() {
	for _, entries := range t.byHost {
		slices.SortStableFunc(entries, func(a, b *ruleEntry) int {
			return cmp.Compare(len(b.match.(PathMatch).PathPrefix), len(a.match.(PathMatch).PathPrefix))
		})
	}
	slices.SortStableFunc(t.byLabels, func(a, b *ruleEntry) int {
		byPrecedence := cmp.Compare(b.match.(LabelMatch).Precedence, a.match.(LabelMatch).Precedence)
		return cmp.Or(byPrecedence, cmp.Compare(a.rule.Name, b.rule.Name))
	})
}

// Configuration returns the configuration of the table.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Group returns the group with a name, or nil.
func (t *Table) Group(name string) *Group { return t.groups[name] }

// Match returns the rule of the host with the longest matching path prefix, and selects its next group. The host may
// include a port.
func (t *Table) Match(host, path string) (Match, bool) {
	return t.resolve(t.findByPath(host, path))
}

// MatchLabels returns the first rule whose selector matches the labels, and selects its next group.
func (t *Table) MatchLabels(labels map[string]string) (Match, bool) {
	for _, candidate := range t.byLabels {
		if candidate.match.(LabelMatch).Selector.MatchesLabels(labels) {
			return t.resolve(candidate)
		}
	}
	return Match{}, false
}

// resolve selects the next group of an entry, which may be nil.
func (t *Table) resolve(found *ruleEntry) (Match, bool) {
	if found == nil {
		return Match{}, false
	}
	group, exists := t.groups[found.rotation.next()]
	if !exists {
		return Match{}, false
	}
	return Match{Rule: found.rule, Group: group}, true
}

// findByPath returns the entry for a host and a path, or nil.
func (t *Table) findByPath(host, path string) *ruleEntry {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, candidate := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, candidate.match.(PathMatch).PathPrefix) {
			return candidate
		}
	}
	return nil
}

// rotationOf returns the rotation of the rule with the same path or name in this table if its shares are unchanged,
// otherwise a new one. The table may be nil.
func (t *Table) rotationOf(rule *Rule) *rotation {
	fresh := newRotation(rule.Shares)
	if t == nil {
		return fresh
	}
	for _, candidate := range t.entriesLike(rule) {
		if candidate.rotation.hasShares(rule.Shares) {
			return candidate.rotation
		}
	}
	return fresh
}

// entriesLike returns the entries with the path of the rule, or with its name if it matches by labels.
func (t *Table) entriesLike(rule *Rule) []*ruleEntry {
	var found []*ruleEntry
	switch match := rule.Match.(type) {
	case PathMatch:
		for _, candidate := range t.byHost[strings.ToLower(match.Host)] {
			if candidate.match.(PathMatch).PathPrefix == match.PathPrefix {
				found = append(found, candidate)
			}
		}
	case LabelMatch:
		for _, candidate := range t.byLabels {
			if candidate.rule.Name == rule.Name {
				found = append(found, candidate)
			}
		}
	}
	return found
}

// rotation distributes requests over groups by smooth weighted round robin: after any number of requests, the
// requests of each group differ from its share by at most one.
type rotation struct {
	shares []Share
	total  int

	mutex   sync.Mutex
	credits []int
}

// newRotation returns a new rotation over the shares.
func newRotation(shares []Share) *rotation {
	r := &rotation{shares: shares, credits: make([]int, len(shares))}
	for _, share := range shares {
		r.total += share.Weight
	}
	return r
}

// hasShares reports whether the rotation uses exactly these shares.
func (r *rotation) hasShares(shares []Share) bool {
	if len(shares) != len(r.shares) {
		return false
	}
	for i := range shares {
		if shares[i] != r.shares[i] {
			return false
		}
	}
	return true
}

// next returns the group of the next request.
func (r *rotation) next() string {
	if len(r.shares) == 1 {
		return r.shares[0].Group
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	best := 0
	for i, share := range r.shares {
		r.credits[i] += share.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= r.total
	return r.shares[best].Group
}
