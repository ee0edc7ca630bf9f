package member

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// ranking holds gateways in the order in which they are selected as entries: by decreasing cores, and alternating
// between zones among those with equal cores. Adding or removing a gateway changes the relative order only of
// gateways with the same cores, and keeps it within each zone.
type ranking struct {
	// classes are sorted by decreasing cores and by zone.
	classes []*capacityClass
	// zones holds the number of gateways of each zone, and count the total.
	zones map[string]int
	count int
}

// capacityClass holds the gateways of one zone with the same number of cores, by name.
type capacityClass struct {
	zone     string
	cores    float64
	gateways []Gateway
}

// newRanking returns a ranking of gateways with distinct names.
func newRanking(gateways []Gateway) *ranking {
	r := &ranking{zones: map[string]int{}}
	for _, gateway := range gateways {
		r.add(gateway)
	}
	return r
}

// findClass returns the index of the class of a gateway, or where to insert it and false.
func (r *ranking) findClass(gateway Gateway) (int, bool) {
	return slices.BinarySearchFunc(r.classes, gateway, func(c *capacityClass, g Gateway) int {
		return cmp.Or(cmp.Compare(g.Cores, c.cores), strings.Compare(c.zone, g.Zone))
	})
}

// index returns the index of a gateway by name, or where to insert it and false.
func (c *capacityClass) index(name string) (int, bool) {
	return slices.BinarySearchFunc(c.gateways, name, func(g Gateway, name string) int { return strings.Compare(g.Name, name) })
}

// add adds a gateway that is not in the ranking.
func (r *ranking) add(gateway Gateway) {
	classIndex, found := r.findClass(gateway)
	if !found {
		r.classes = slices.Insert(r.classes, classIndex, &capacityClass{zone: gateway.Zone, cores: gateway.Cores})
	}
	c := r.classes[classIndex]
	gatewayIndex, _ := c.index(gateway.Name)
	c.gateways = slices.Insert(c.gateways, gatewayIndex, gateway)
	r.zones[gateway.Zone]++
	r.count++
}

// remove removes a gateway if it is in the ranking with the same zone and cores.
func (r *ranking) remove(gateway Gateway) {
	classIndex, found := r.findClass(gateway)
	if !found {
		return
	}
	c := r.classes[classIndex]
	gatewayIndex, found := c.index(gateway.Name)
	if !found {
		return
	}
	if c.gateways = slices.Delete(c.gateways, gatewayIndex, gatewayIndex+1); len(c.gateways) == 0 {
		r.classes = slices.Delete(r.classes, classIndex, classIndex+1)
	}
	if r.zones[gateway.Zone]--; r.zones[gateway.Zone] == 0 {
		delete(r.zones, gateway.Zone)
	}
	r.count--
}

// ordered returns the gateways in order.
func (r *ranking) ordered() iter.Seq[Gateway] {
	return func(yield func(Gateway) bool) {
		for first := 0; first < len(r.classes); {
			next := first
			for next < len(r.classes) && r.classes[next].cores == r.classes[first].cores {
				next++
			}
			if !yieldInterleaved(r.classes[first:next], yield) {
				return
			}
			first = next
		}
	}
}

// yieldInterleaved yields the first gateways of all classes, then the second ones, and so on. It returns false if yield
// did.
func yieldInterleaved(classes []*capacityClass, yield func(Gateway) bool) bool {
	for index, more := 0, true; more; index++ {
		more = false
		for _, c := range classes {
			if index >= len(c.gateways) {
				continue
			}
			more = true
			if !yield(c.gateways[index]) {
				return false
			}
		}
	}
	return true
}

// orderedExcept returns the gateways in order, except those with the given names.
func (r *ranking) orderedExcept(names map[string]bool) iter.Seq[Gateway] {
	return func(yield func(Gateway) bool) {
		for gateway := range r.ordered() {
			if !names[gateway.Name] && !yield(gateway) {
				return
			}
		}
	}
}
