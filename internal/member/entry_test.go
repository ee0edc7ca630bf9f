package member

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newFleet returns gateways with the same number of cores in each zone.
func newFleet(perZone int, cores float64, kind string, zones ...string) []Gateway {
	var gateways []Gateway
	for _, zone := range zones {
		for i := range perZone {
			gateways = append(gateways, Gateway{Name: fmt.Sprintf("%s-%s-%02d", kind, zone, i), Zone: zone, Cores: cores})
		}
	}
	return gateways
}

// TestAllGatewaysOfSmallFleetAreEntries guards against standby gateways in a small fleet.
func TestAllGatewaysOfSmallFleetAreEntries(t *testing.T) {
	small := newFleet(3, 0.4, "g", "a", "b", "c")
	if got := gatewayNames(Entries(small, 0, DefaultEntrySettings())); got != gatewayNames(small) {
		t.Errorf("got entries %s", got)
	}
}

// TestLargestGatewaysAreEntries guards against selecting small gateways while larger ones are left, and against replacing a
// lost entry in another zone.
func TestLargestGatewaysAreEntries(t *testing.T) {
	large := newFleet(2, 0.8, "large", "a", "b", "c", "d")
	mixed := append(newFleet(20, 0.2, "small", "a", "b", "c", "d"), large...)
	if got := gatewayNames(Entries(mixed, 0, DefaultEntrySettings())); got != gatewayNames(large) {
		t.Errorf("got entries %s", got)
	}
	withoutOne := append(newFleet(20, 0.2, "small", "a", "b", "c", "d"), large[1:]...)
	entries := Entries(withoutOne, 0, DefaultEntrySettings())
	if len(entries) != 8 || gatewayNames(entries[:7]) != gatewayNames(large[1:]) || entries[7].Name != "small-a-00" {
		t.Errorf("after the loss of one: got entries %s", gatewayNames(entries))
	}
}

// TestEntriesAreSpreadOverZones guards against zones with fewer entries than others, and against fewer or more cores than
// needed.
func TestEntriesAreSpreadOverZones(t *testing.T) {
	even := newFleet(30, 0.4, "g", "a", "b", "c")
	tests := []struct {
		neededCores float64
		want        map[string]int
	}{
		{0, map[string]int{"a": 2, "b": 2, "c": 2}},
		{2.4, map[string]int{"a": 2, "b": 2, "c": 2}},
		{2.5, map[string]int{"a": 3, "b": 2, "c": 2}},
		{3.2, map[string]int{"a": 3, "b": 3, "c": 2}},
		{9.1, map[string]int{"a": 8, "b": 8, "c": 7}},
		{18.8, map[string]int{"a": 16, "b": 16, "c": 15}},
		{1000, map[string]int{"a": 22, "b": 21, "c": 21}},
	}
	for _, test := range tests {
		count := map[string]int{}
		for _, entry := range Entries(even, test.neededCores, DefaultEntrySettings()) {
			count[entry.Zone]++
		}
		if !maps.Equal(count, test.want) {
			t.Errorf("%.1f cores needed: %v, want %v", test.neededCores, count, test.want)
		}
	}
}

// thousandths returns a number of cores in thousandths, whose sums are exact in any order.
func thousandths(cores float64) int { return int(math.Round(1000 * cores)) }

// TestEntriesDependOnlyOnKnownGateways guards against gateways that select different entries, zones without entries, too
// few or too many entries, and entries that are displaced by the loss of another one.
func TestEntriesDependOnlyOnKnownGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var gateways []Gateway
		for i := range rapid.IntRange(1, 80).Draw(t, "gateways") {
			gateways = append(gateways, Gateway{
				Name: fmt.Sprintf("g%02d", i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Cores: rapid.SampledFrom([]float64{0.2, 0.4, 0.8}).Draw(t, "cores"),
			})
		}
		neededThousandths := thousandths(rapid.Float64Range(0, 20).Draw(t, "needed"))
		needed := float64(neededThousandths) / 1000
		settings := DefaultEntrySettings()
		entries := Entries(gateways, needed, settings)
		if got := Entries(rapid.Permutation(gateways).Draw(t, "order"), needed, settings); gatewayNames(byName(got)) != gatewayNames(byName(entries)) {
			t.Fatalf("got entries %s in another order, want %s", gatewayNames(got), gatewayNames(entries))
		}
		inZone, all := map[string][]int{}, map[string]bool{}
		for _, gateway := range gateways {
			all[gateway.Zone] = true
		}
		total := 0
		for _, entry := range entries {
			cores := thousandths(entry.Cores)
			inZone[entry.Zone] = append(inZone[entry.Zone], cores)
			total += cores
		}
		if len(inZone) != len(all) {
			t.Fatalf("entries in %d of %d zones", len(inZone), len(all))
		}
		if len(entries) < min(len(gateways), settings.Max) && total < neededThousandths {
			t.Fatalf("the entries have %d thousandths of a core of the needed %d, though there are more gateways", total, neededThousandths)
		}
		if len(gateways) > settings.MaxAllEntries && len(entries) > settings.Min {
			for _, zone := range slices.Sorted(maps.Keys(inZone)) {
				// A zone has more than its minimum only of gateways that were selected for their cores, the smallest last.
				if cores := inZone[zone]; len(cores) > settings.MinPerZone && total-slices.Min(cores) >= neededThousandths {
					t.Fatalf("the entries have %d thousandths of a core of the needed %d, enough without the smallest in zone %s", total, neededThousandths, zone)
				}
			}
		}
		lost := rapid.SampledFrom(entries).Draw(t, "lost").Name
		rest := slices.DeleteFunc(slices.Clone(gateways), func(g Gateway) bool { return g.Name == lost })
		after := Entries(rest, needed, settings)
		for _, entry := range entries {
			if entry.Name != lost && !slices.ContainsFunc(after, func(g Gateway) bool { return g.Name == entry.Name }) {
				t.Fatalf("%s is no longer an entry after the loss of %s", entry.Name, lost)
			}
		}
	})
}
