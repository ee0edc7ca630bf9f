package member

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestUpdatedRankingEqualsNewOne guards against a ranking that depends on the order of changes, so that gateways select
// different entries.
func TestUpdatedRankingEqualsNewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updated := newRanking(nil)
		present := map[string]Gateway{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			name := fmt.Sprint("g", rapid.IntRange(0, 12).Draw(t, "gateway"))
			updated.remove(present[name])
			delete(present, name)
			if rapid.Bool().Draw(t, "add") {
				present[name] = Gateway{
					Name: name, Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
					Cores: rapid.SampledFrom([]float64{0.2, 0.4, 0.8}).Draw(t, "cores"),
				}
				updated.add(present[name])
			}
		}
		var all []Gateway
		for _, gateway := range present {
			all = append(all, gateway)
		}
		rebuilt := newRanking(all)
		if one, other := slices.Collect(updated.ordered()), slices.Collect(rebuilt.ordered()); !slices.Equal(one, other) || updated.count != len(all) {
			t.Fatalf("updated ranking %v, new ranking %v", one, other)
		}
		for zone, count := range updated.zones {
			if count != rebuilt.zones[zone] || count == 0 {
				t.Fatalf("zone %s has %d gateways, %d in the new ranking", zone, count, rebuilt.zones[zone])
			}
		}
	})
}

// BenchmarkRegistration measures a changed registration and the following selection of entries.
func BenchmarkRegistration(b *testing.B) {
	for _, size := range []int{300, 1_000, 2_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			list := NewList(Gateway{Name: "own", Zone: "a", Cores: 0.2})
			all := newFleet(size/6, 0.2, "g", "a", "b", "c", "d", "e", "f")
			for _, gateway := range all {
				list.register(KeyPrefix+gateway.Name, gateway)
			}
			b.ResetTimer()
			for i := range b.N {
				list.register(KeyPrefix+all[i%len(all)].Name, all[i%len(all)])
				list.Entries(startTime)
			}
		})
	}
}
