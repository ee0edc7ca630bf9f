package balance

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/granitebay/granitebay/internal/backend"
)

// workerIndex indexes the workers, so that an update or a pick does not visit all of them.
//
// Invariant: each worker is listed once under its address, once under each of its groups, and in two rings of each
// group: that of its role, and that of its role and zone. A worker without a zone is listed twice in the first one.
type workerIndex struct {
	// byGroup holds the workers of each group, ordered by ID.
	byGroup map[string][]*workerState
	// byAddress holds the workers at each address. There may be several for a while after a restart.
	byAddress map[string][]*workerState
	rings     map[ringKey]*ring
}

// ringKey identifies a ring. An empty zone means all zones.
type ringKey struct {
	group string
	role  backend.Role
	zone  string
}

// newWorkerIndex returns an empty index.
func newWorkerIndex() workerIndex {
	return workerIndex{byGroup: map[string][]*workerState{}, byAddress: map[string][]*workerState{}, rings: map[ringKey]*ring{}}
}

// add adds a worker to the index.
func (x *workerIndex) add(state *workerState) {
	worker := state.worker
	state.ringPosition = xxhash.Sum64String(worker.Address)
	x.byAddress[worker.Address] = append(x.byAddress[worker.Address], state)
	for _, group := range worker.Groups() {
		i, _ := findID(x.byGroup[group], worker.ID)
		x.byGroup[group] = slices.Insert(x.byGroup[group], i, state)
		for _, key := range ringKeys(worker, group) {
			if x.rings[key] == nil {
				x.rings[key] = &ring{}
			}
			x.rings[key].add(state)
		}
	}
}

// remove removes a worker, whose description must be the one that was added.
func (x *workerIndex) remove(state *workerState) {
	worker := state.worker
	x.byAddress[worker.Address] = slices.DeleteFunc(x.byAddress[worker.Address], func(other *workerState) bool { return other == state })
	if len(x.byAddress[worker.Address]) == 0 {
		delete(x.byAddress, worker.Address)
	}
	for _, group := range worker.Groups() {
		if i, found := findID(x.byGroup[group], worker.ID); found {
			x.byGroup[group] = slices.Delete(x.byGroup[group], i, i+1)
		}
		for _, key := range ringKeys(worker, group) {
			x.rings[key].remove(state)
		}
	}
}

// sameIndexKeys reports whether two descriptions of a worker have the same position in the index.
func sameIndexKeys(a, b *backend.Worker) bool {
	return a.Address == b.Address && a.Role == b.Role && a.Zone == b.Zone && a.Group == b.Group &&
		slices.Equal(a.Selected, b.Selected)
}

// ringKeys returns the keys of the rings of a group that hold a worker.
func ringKeys(worker *backend.Worker, group string) [2]ringKey {
	return [2]ringKey{{group: group, role: worker.Role}, {group: group, role: worker.Role, zone: worker.Zone}}
}

// ring returns the ring of a key, which may be empty.
func (x *workerIndex) ring(key ringKey) *ring {
	if existing := x.rings[key]; existing != nil {
		return existing
	}
	return &ring{}
}

// findID returns the position of an ID in a list ordered by ID, and whether it is present.
func findID(states []*workerState, id string) (int, bool) {
	return slices.BinarySearchFunc(states, id, func(state *workerState, id string) int { return strings.Compare(state.worker.ID, id) })
}
