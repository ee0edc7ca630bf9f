package balance

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// TestIncrementalChangesMatchSetWorkers guards against an index that differs after single changes from that of a
// balancer that is given the final workers at once.
func TestIncrementalChangesMatchSetWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		incremental, replaced := New(DefaultSettings(), enginemodel.New(), nil), New(DefaultSettings(), enginemodel.New(), nil)
		set := backend.Set{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprint("w", rapid.IntRange(0, 9).Draw(t, "worker"))
			changes := backend.Changes{Removed: []string{id}}
			if rapid.IntRange(0, 3).Draw(t, "stays") > 0 {
				changes = backend.Changes{Updated: []*backend.Worker{{
					ID: id, Group: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"),
					Address:  fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "address")),
					Zone:     rapid.SampledFrom([]string{"y", "z"}).Draw(t, "zone"),
					Role:     rapid.SampledFrom([]backend.Role{backend.RolePrefill, backend.RoleDecode}).Draw(t, "role"),
					Draining: rapid.Bool().Draw(t, "draining"), Selected: rapid.SampledFrom([][]string{nil, {"s"}}).Draw(t, "selected"),
				}}}
			}
			changes.Apply(set)
			incremental.Change(changes)
		}
		replaced.SetWorkers(set)
		if got, want := indexContents(incremental), indexContents(replaced); !maps.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("index after single changes: %v, want %v", got, want)
		}
	})
}

// indexContents returns the workers in each list of the index, by the name of the list.
func indexContents(b *Balancer) map[string][]string {
	contents := map[string][]string{"all": b.IDs()}
	add := func(name string, states []*workerState) {
		for _, state := range states {
			contents[name] = append(contents[name], fmt.Sprint(*state.worker))
		}
	}
	for group, states := range b.index.byGroup {
		add("group "+group, states)
	}
	for key, ring := range b.index.rings {
		add(fmt.Sprint("ring ", key), ring.members)
	}
	for address, states := range b.index.byAddress {
		add("address "+address, slices.SortedFunc(slices.Values(states), compareRingPositions))
	}
	return contents
}
