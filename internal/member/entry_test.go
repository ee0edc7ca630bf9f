package member

import (
	"fmt"
	"testing"
)

// fleet returns gateways of a size in each zone.
func fleet(perZone int, cores float64, kind string, zones ...string) []Gateway {
	var gateways []Gateway
	for _, zone := range zones {
		for i := range perZone {
			gateways = append(gateways, Gateway{Name: fmt.Sprintf("%s-%s-%02d", kind, zone, i), Zone: zone, Cores: cores})
		}
	}
	return gateways
}

func TestEveryGatewayOfASmallFleetIsAnEntry(t *testing.T) {
	small := fleet(3, 0.4, "g", "a", "b", "c")
	if got := names(Entries(small, DefaultEntrySettings())); got != names(small) {
		t.Errorf("entries %s", got)
	}
}

func TestTheLargestGatewaysOfAMixedFleetAreEntries(t *testing.T) {
	large := fleet(2, 0.8, "large", "a", "b", "c", "d")
	mixed := append(fleet(20, 0.2, "small", "a", "b", "c", "d"), large...)
	if got := names(Entries(mixed, DefaultEntrySettings())); got != names(large) {
		t.Errorf("entries %s", got)
	}
	withoutOne := append(fleet(20, 0.2, "small", "a", "b", "c", "d"), large[1:]...)
	entries := Entries(withoutOne, DefaultEntrySettings())
	if len(entries) != 8 || names(entries[:7]) != names(large[1:]) || entries[7].Name != "small-a-00" {
		t.Errorf("entries after the loss of one: %s", names(entries))
	}
}

func TestEntriesOfAnEvenFleetAreSpreadOverZones(t *testing.T) {
	even := fleet(30, 0.4, "g", "a", "b", "c")
	entries := Entries(even, DefaultEntrySettings())
	count := map[string]int{}
	for _, entry := range entries {
		count[entry.Zone]++
	}
	if len(entries) != 23 || count["a"] != 8 || count["b"] != 8 || count["c"] != 7 {
		t.Errorf("%d entries, by zone %v", len(entries), count)
	}
	huge := fleet(500, 0.4, "g", "a", "b", "c")
	if got := len(Entries(huge, DefaultEntrySettings())); got != DefaultEntrySettings().Most {
		t.Errorf("%d entries of a huge fleet", got)
	}
}
