package member

import (
	"cmp"
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
	return pickEntries(byPreference(gateways), neededCores, settings)
}

// pickEntries returns the entries of a fleet of which some stand by, of gateways in the order of preference.
func pickEntries(preferred []Gateway, neededCores float64, settings EntrySettings) []Gateway {
	picked := make([]bool, len(preferred))
	var entries []Gateway
	cores := 0.0
	pick := func(i int) {
		picked[i] = true
		entries = append(entries, preferred[i])
		cores += preferred[i].Cores
	}
	inZone := map[string]int{}
	for i, gateway := range preferred {
		if inZone[gateway.Zone] < settings.LeastPerZone && len(entries) < settings.Most {
			inZone[gateway.Zone]++
			pick(i)
		}
	}
	for i := range preferred {
		if len(entries) >= settings.Most || (len(entries) >= settings.Least && cores >= neededCores) {
			break
		}
		if !picked[i] {
			pick(i)
		}
	}
	return byName(entries)
}

// byName returns gateways by name.
func byName(gateways []Gateway) []Gateway {
	return slices.SortedFunc(slices.Values(gateways), func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
}

// byPreference orders gateways by falling capacity, and those of one capacity by their place within their zone.
func byPreference(gateways []Gateway) []Gateway {
	type class struct {
		zone  string
		cores float64
	}
	sorted := byName(gateways)
	places := make(map[string]int, len(sorted))
	next := map[class]int{}
	for _, gateway := range sorted {
		c := class{gateway.Zone, gateway.Cores}
		places[gateway.Name] = next[c]
		next[c]++
	}
	slices.SortStableFunc(sorted, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(places[a.Name], places[b.Name]), cmp.Compare(a.Zone, b.Zone))
	})
	return sorted
}
