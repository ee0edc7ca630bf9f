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

// TestChangesOneByOneAreTheSameAsAList has workers come, go and be described anew one at a time, at one balancer, while another one is given
// the list at the end. Both have the same workers at the same places.
func TestChangesOneByOneAreTheSameAsAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stepwise, atOnce := New(DefaultSettings(), enginemodel.New(), nil), New(DefaultSettings(), enginemodel.New(), nil)
		set := backend.Set{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprint("w", rapid.IntRange(0, 9).Draw(t, "worker"))
			changes := backend.Changes{Gone: []string{id}}
			if rapid.IntRange(0, 3).Draw(t, "stays") > 0 {
				changes = backend.Changes{Put: []*backend.Worker{{
					ID: id, Group: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"),
					Address:  fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "address")),
					Zone:     rapid.SampledFrom([]string{"y", "z"}).Draw(t, "zone"),
					Role:     rapid.SampledFrom([]backend.Role{backend.RolePrefill, backend.RoleDecode}).Draw(t, "role"),
					Draining: rapid.Bool().Draw(t, "draining"), Selected: rapid.SampledFrom([][]string{nil, {"s"}}).Draw(t, "selected"),
				}}}
			}
			changes.Apply(set)
			stepwise.Change(changes)
		}
		atOnce.SetWorkers(set)
		if one, other := places(stepwise), places(atOnce); !maps.EqualFunc(one, other, slices.Equal) {
			t.Fatalf("one by one %v, as a list %v", one, other)
		}
	})
}

// places returns the workers that stand at each place, by its name.
func places(b *Balancer) map[string][]string {
	all := map[string][]string{"all": b.IDs()}
	note := func(place string, states []*state) {
		for _, each := range states {
			all[place] = append(all[place], fmt.Sprint(*each.worker))
		}
	}
	for group, states := range b.pools.groups {
		note("group "+group, states)
	}
	for key, ring := range b.pools.rings {
		note(fmt.Sprint("ring ", key), ring.members)
	}
	for address, states := range b.pools.addresses {
		note("address "+address, slices.SortedFunc(slices.Values(states), byPlace))
	}
	return all
}
