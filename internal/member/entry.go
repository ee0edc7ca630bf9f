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
	MaxAllEntries int
	// LeastPerZone entries are in each zone as long as it has as many gateways, so that the loss of one leaves another one near.
	MinPerZone int
	// Least is the number of entries of a fleet of few zones.
	Min int
	// Most is what the directory may name in one answer.
	Max int
}

// DefaultEntrySettings bear the loss of several entries at once, in any zone.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{MaxAllEntries: 12, MinPerZone: 2, Min: 6, Max: 64}
}

// Entries returns the gateways to which callers are sent, by name: the least number of each zone, and more of them until they
// have the cores that are needed. It takes those of the largest capacity first and goes round the zones among equals, so that
// every process that knows the same gateways picks the same ones, and one that is lost is replaced in its own zone.
func Entries(gateways []Gateway, neededCores float64, settings EntrySettings) []Gateway {
	if len(gateways) <= settings.MaxAllEntries {
		return gateways
	}
	ranking := newRanking(gateways)
	return selectEntries(ranking.all(), ranking.zones, neededCores, settings)
}

// pickEntries returns the entries of a fleet of which some stand by, of gateways in the order of preference. Zones counts the gateways of
// each zone; some of them may not be among the gateways.
func selectEntries(ranked iter.Seq[Gateway], zones map[string]int, neededCores float64, settings EntrySettings) []Gateway {
	selected := map[string]bool{}
	var entries []Gateway
	cores := 0.0
	add := func(gateway Gateway) {
		selected[gateway.Name] = true
		entries = append(entries, gateway)
		cores += gateway.Cores
	}
	inZone := map[string]int{}
	incompleteZones := len(zones)
	for gateway := range ranked {
		if incompleteZones == 0 || len(entries) >= settings.Max {
			break
		}
		if inZone[gateway.Zone] >= settings.MinPerZone {
			continue
		}
		if inZone[gateway.Zone]++; inZone[gateway.Zone] == min(settings.MinPerZone, zones[gateway.Zone]) {
			incompleteZones--
		}
		add(gateway)
	}
	for gateway := range ranked {
		if len(entries) >= settings.Max || (len(entries) >= settings.Min && cores >= neededCores) {
			break
		}
		if !selected[gateway.Name] {
			add(gateway)
		}
	}
	return byName(entries)
}

// byName returns gateways by name.
func byName(gateways []Gateway) []Gateway {
	return slices.SortedFunc(slices.Values(gateways), func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
}
