package member

import (
	"cmp"
	"slices"
)

// EntrySettings say how many gateways of a fleet take requests of callers. The fewer they are, the more each knows of the
// load of the workers and of what they keep; the others stand by.
type EntrySettings struct {
	// EveryoneUpTo is the size of a fleet up to which every gateway is an entry.
	EveryoneUpTo int
	// Least and Most bound the number of entries of larger fleets.
	Least int
	Most  int
	// CapacityShare is the part of the processor capacity of all gateways that the entries have together.
	CapacityShare float64
}

// DefaultEntrySettings suit fleets whose processors are sized for several times their traffic.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{EveryoneUpTo: 12, Least: 8, Most: 48, CapacityShare: 0.25}
}

// Entries returns the gateways to which callers are sent, by name. It takes those of the largest capacity first and goes
// round the zones among equals, so that every process that knows the same gateways picks the same ones.
func Entries(gateways []Gateway, settings EntrySettings) []Gateway {
	if len(gateways) <= settings.EveryoneUpTo {
		return gateways
	}
	total := 0.0
	for _, gateway := range gateways {
		total += gateway.Cores
	}
	var entries []Gateway
	cores := 0.0
	for _, gateway := range byPreference(gateways) {
		enough := len(entries) >= settings.Least && cores >= settings.CapacityShare*total
		if enough || len(entries) >= settings.Most {
			break
		}
		entries = append(entries, gateway)
		cores += gateway.Cores
	}
	slices.SortFunc(entries, func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}

// byPreference orders gateways by falling capacity, and those of one capacity by their place within their zone.
func byPreference(gateways []Gateway) []Gateway {
	type class struct {
		zone  string
		cores float64
	}
	sorted := slices.SortedFunc(slices.Values(gateways), func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
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
