package member

import (
	"cmp"
	"iter"
	"slices"
)

// EntrySettings say how many gateways of a fleet take requests of callers. The fewer they are, the more each knows of the
// load of the workers and of what they keep; the others stand by.
type EntrySettings struct {
	// EveryoneUpTo is the size of a fleet up to which every gateway is an entry: so few tell each other everything anyway.
	EveryoneUpTo int
	// LeastPerZone entries are in each zone as long as it has as many gateways, so that the loss of one leaves another one near.
	LeastPerZone int
	// Least is the number of entries of a fleet of few zones.
	Least int
	// Most is what the directory may name in one answer.
	Most int
}

// DefaultEntrySettings bear the loss of several entries at once, in any zone.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{EveryoneUpTo: 12, LeastPerZone: 2, Least: 6, Most: 64}
}

// Entries returns the gateways to which callers are sent, by name: the least number of each zone, and more of them until they
// have the cores that are needed. It takes those of the largest capacity first and goes round the zones among equals, so that
// every process that knows the same gateways picks the same ones, and one that is lost is replaced in its own zone.
func Entries(gateways []Gateway, neededCores float64, settings EntrySettings) []Gateway {
	if len(gateways) <= settings.EveryoneUpTo {
		return gateways
	}
	preferred := newPreference(gateways)
	return pickEntries(preferred.all(), preferred.zones, neededCores, settings)
}

// pickEntries returns the entries of a fleet of which some stand by, of gateways in the order of preference. Zones counts the gateways of
// each zone; some of them may not be among the gateways.
func pickEntries(preferred iter.Seq[Gateway], zones map[string]int, neededCores float64, settings EntrySettings) []Gateway {
	picked := map[string]bool{}
	var entries []Gateway
	cores := 0.0
	pick := func(gateway Gateway) {
		picked[gateway.Name] = true
		entries = append(entries, gateway)
		cores += gateway.Cores
	}
	inZone := map[string]int{}
	left := len(zones)
	for gateway := range preferred {
		if left == 0 || len(entries) >= settings.Most {
			break
		}
		if inZone[gateway.Zone] >= settings.LeastPerZone {
			continue
		}
		if inZone[gateway.Zone]++; inZone[gateway.Zone] == min(settings.LeastPerZone, zones[gateway.Zone]) {
			left--
		}
		pick(gateway)
	}
	for gateway := range preferred {
		if len(entries) >= settings.Most || (len(entries) >= settings.Least && cores >= neededCores) {
			break
		}
		if !picked[gateway.Name] {
			pick(gateway)
		}
	}
	return byName(entries)
}

// byName returns gateways by name.
func byName(gateways []Gateway) []Gateway {
	return slices.SortedFunc(slices.Values(gateways), func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
}
