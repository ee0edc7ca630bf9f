package member

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestAGatewayThatComesOrGoesChangesNothingElse compares an order that was kept through changes with one that is made anew.
func TestAGatewayThatComesOrGoesChangesNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept := newPreference(nil)
		present := map[string]Gateway{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			name := fmt.Sprint("g", rapid.IntRange(0, 12).Draw(t, "gateway"))
			kept.remove(present[name])
			delete(present, name)
			if rapid.Bool().Draw(t, "comes") {
				present[name] = Gateway{
					Name: name, Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
					Cores: rapid.SampledFrom([]float64{0.2, 0.4, 0.8}).Draw(t, "cores"),
				}
				kept.add(present[name])
			}
		}
		var all []Gateway
		for _, gateway := range present {
			all = append(all, gateway)
		}
		anew := newPreference(all)
		if one, other := slices.Collect(kept.all()), slices.Collect(anew.all()); !slices.Equal(one, other) || kept.count != len(all) {
			t.Fatalf("kept %v, anew %v", one, other)
		}
		for zone, count := range kept.zones {
			if count != anew.zones[zone] || count == 0 {
				t.Fatalf("zone %s has %d, anew %d", zone, count, anew.zones[zone])
			}
		}
	})
}

// BenchmarkOneRegistration has the registration of one gateway of a fleet change, and the entries picked anew.
func BenchmarkOneRegistration(b *testing.B) {
	for _, size := range []int{300, 1_000, 2_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			list := NewList(Gateway{Name: "own", Zone: "a", Cores: 0.2})
			all := fleet(size/6, 0.2, "g", "a", "b", "c", "d", "e", "f")
			for _, gateway := range all {
				list.register(KeyPrefix+gateway.Name, gateway)
			}
			b.ResetTimer()
			for i := range b.N {
				list.register(KeyPrefix+all[i%len(all)].Name, all[i%len(all)])
				list.Entries(epoch)
			}
		})
	}
}
