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
type workerIndex struct {
	// groups holds the workers of each group by id.
	byGroup map[string][]*workerState
	// addresses holds the workers at each address: those of two incarnations for a while.
	byAddress map[string][]*workerState
	rings     map[ringKey]*ring
}

// poolKey names a ring. An empty zone is all zones.
type ringKey struct {
	group string
	role  backend.Role
	zone  string
}

// newPools returns pools without workers.
func newWorkerIndex() workerIndex {
	return workerIndex{byGroup: map[string][]*workerState{}, byAddress: map[string][]*workerState{}, rings: map[ringKey]*ring{}}
}

// add takes a worker.
func (p *workerIndex) add(state *workerState) {
	worker := state.worker
	state.ringPosition = xxhash.Sum64String(worker.Address)
	p.byAddress[worker.Address] = append(p.byAddress[worker.Address], state)
	for _, group := range worker.Groups() {
		i, _ := findID(p.byGroup[group], worker.ID)
		p.byGroup[group] = slices.Insert(p.byGroup[group], i, state)
		for _, key := range ringKeys(worker, group) {
			if p.rings[key] == nil {
				p.rings[key] = &ring{}
			}
			p.rings[key].add(state)
		}
	}
}

// remove drops a worker, described as it was added.
func (p *workerIndex) remove(state *workerState) {
	worker := state.worker
	p.byAddress[worker.Address] = slices.DeleteFunc(p.byAddress[worker.Address], func(other *workerState) bool { return other == state })
	if len(p.byAddress[worker.Address]) == 0 {
		delete(p.byAddress, worker.Address)
	}
	for _, group := range worker.Groups() {
		if i, found := findID(p.byGroup[group], worker.ID); found {
			p.byGroup[group] = slices.Delete(p.byGroup[group], i, i+1)
		}
		for _, key := range ringKeys(worker, group) {
			p.rings[key].remove(state)
		}
	}
}

// hasPlaceOf tells whether two descriptions of a worker stand at the same places.
func sameIndexKeys(a, b *backend.Worker) bool {
	return a.Address == b.Address && a.Role == b.Role && a.Zone == b.Zone && a.Group == b.Group &&
		slices.Equal(a.Selected, b.Selected)
}

// ringsOf returns the rings of a group in which a worker stands.
func ringKeys(worker *backend.Worker, group string) [2]ringKey {
	return [2]ringKey{{group: group, role: worker.Role}, {group: group, role: worker.Role, zone: worker.Zone}}
}

// ring returns the ring of a group, a role and a zone, which may be empty.
func (p *workerIndex) ring(key ringKey) *ring {
	if existing := p.rings[key]; existing != nil {
		return existing
	}
	return &ring{}
}

// findID returns the place of an id in a list by ids.
func findID(states []*workerState, id string) (int, bool) {
	return slices.BinarySearchFunc(states, id, func(state *workerState, id string) int { return strings.Compare(state.worker.ID, id) })
}
