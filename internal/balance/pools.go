package balance

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/granitebay/granitebay/internal/backend"
)

// pools index the workers, so that a worker that changes touches only its own places and a choice need not look at all of them.
//
// Invariant: each worker stands once among the workers of its address, once in the list of each of its groups, and once in two rings of
// each of them: that of its role, and that of its role in its zone.
type pools struct {
	// groups holds the workers of each group by id.
	groups map[string][]*state
	// addresses holds the workers at each address: those of two incarnations for a while.
	addresses map[string][]*state
	rings     map[poolKey]*ring
}

// poolKey names a ring. An empty zone is all zones.
type poolKey struct {
	group string
	role  backend.Role
	zone  string
}

// newPools returns pools without workers.
func newPools() pools {
	return pools{groups: map[string][]*state{}, addresses: map[string][]*state{}, rings: map[poolKey]*ring{}}
}

// add takes a worker.
func (p *pools) add(one *state) {
	worker := one.worker
	one.place = xxhash.Sum64String(worker.Address)
	p.addresses[worker.Address] = append(p.addresses[worker.Address], one)
	for _, group := range worker.Groups() {
		at, _ := findID(p.groups[group], worker.ID)
		p.groups[group] = slices.Insert(p.groups[group], at, one)
		for _, key := range ringsOf(worker, group) {
			if p.rings[key] == nil {
				p.rings[key] = &ring{}
			}
			p.rings[key].add(one)
		}
	}
}

// remove drops a worker, described as it was added.
func (p *pools) remove(one *state) {
	worker := one.worker
	p.addresses[worker.Address] = slices.DeleteFunc(p.addresses[worker.Address], func(each *state) bool { return each == one })
	if len(p.addresses[worker.Address]) == 0 {
		delete(p.addresses, worker.Address)
	}
	for _, group := range worker.Groups() {
		if at, found := findID(p.groups[group], worker.ID); found {
			p.groups[group] = slices.Delete(p.groups[group], at, at+1)
		}
		for _, key := range ringsOf(worker, group) {
			p.rings[key].remove(one)
		}
	}
}

// hasPlaceOf tells whether two descriptions of a worker stand at the same places.
func hasPlaceOf(one, other *backend.Worker) bool {
	return one.Address == other.Address && one.Role == other.Role && one.Zone == other.Zone && one.Group == other.Group &&
		slices.Equal(one.Selected, other.Selected)
}

// ringsOf returns the rings of a group in which a worker stands.
func ringsOf(worker *backend.Worker, group string) [2]poolKey {
	return [2]poolKey{{group: group, role: worker.Role}, {group: group, role: worker.Role, zone: worker.Zone}}
}

// ring returns the ring of a group, a role and a zone, which may be empty.
func (p *pools) ring(key poolKey) *ring {
	if known := p.rings[key]; known != nil {
		return known
	}
	return &ring{}
}

// findID returns the place of an id in a list by ids.
func findID(list []*state, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(one *state, id string) int { return strings.Compare(one.worker.ID, id) })
}
