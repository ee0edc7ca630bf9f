package member

import (
	"cmp"
	"iter"
	"slices"
)

// EntrySettings determines how many gateways of a fleet are entries, which callers are directed to. With fewer entries,
// each sees more of the requests and so knows the load and the caches of the workers better. The other gateways are
// standby.
type EntrySettings struct {
	// MaxAllEntries is the maximum size of a fleet in which all gateways are entries. Such a fleet is small enough for
	// all of them to exchange their state.
	MaxAllEntries int
	// MinPerZone is the minimum number of entries in each zone, or all its gateways if it has fewer.
	MinPerZone int
	// Min is the minimum number of entries of the fleet.
	Min int
	// Max is the maximum number of entries: as many as one response of the directory to a caller can list.
	Max int
}

// DefaultEntrySettings returns settings that tolerate the concurrent loss of several entries in any zone.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{MaxAllEntries: 12, MinPerZone: 2, Min: 6, Max: 64}
}

// maxSumErrorCores is above the rounding error of the sum of the cores of all entries. A need can be a multiple of the cores
// of a gateway, and without this margin a sum that is rounded down would add an entry.
const maxSumErrorCores = 1e-9

// Entries returns the entries: all gateways of a small fleet, in the given order, and otherwise the minimum number of each
// zone and more until they have the needed cores, by name. It prefers gateways with more cores and distributes equal ones evenly over the zones. All processes that know the same
// gateways select the same entries, and a lost entry is replaced in its own zone.
func Entries(gateways []Gateway, neededCores float64, settings EntrySettings) []Gateway {
	if len(gateways) <= settings.MaxAllEntries {
		return gateways
	}
	ranking := newRanking(gateways)
	return selectEntries(ranking.ordered(), ranking.zones, neededCores, settings)
}

// selectEntries selects the entries from gateways in ranking order. The map zones holds the number of gateways of each
// zone, which may include gateways that are not in ranked.
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
		if len(entries) >= settings.Max || (len(entries) >= settings.Min && cores >= neededCores-maxSumErrorCores) {
			break
		}
		if !selected[gateway.Name] {
			add(gateway)
		}
	}
	return byName(entries)
}

// byName returns the gateways sorted by name.
func byName(gateways []Gateway) []Gateway {
	return slices.SortedFunc(slices.Values(gateways), func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
}
