package member

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// preference holds gateways in the order in which they are picked as entries: by falling capacity, and those of one capacity by their place
// within their zone, so that all zones get the same number. One that comes or goes moves only those of its own zone and capacity.
type ranking struct {
	// classes hold the gateways of one capacity in one zone by name, in the order of capacities and zones.
	classes []*capacityClass
	// zones counts the gateways of each zone.
	zones map[string]int
	count int
}

// class is the gateways of one capacity in one zone.
type capacityClass struct {
	zone     string
	cores    float64
	gateways []Gateway
}

// newPreference returns the order of some gateways. Their names differ.
func newRanking(gateways []Gateway) *ranking {
	r := &ranking{zones: map[string]int{}}
	for _, gateway := range gateways {
		r.add(gateway)
	}
	return r
}

// find returns the place of the class of a gateway.
func (r *ranking) findClass(gateway Gateway) (int, bool) {
	return slices.BinarySearchFunc(r.classes, gateway, func(c *capacityClass, g Gateway) int {
		return cmp.Or(cmp.Compare(g.Cores, c.cores), strings.Compare(c.zone, g.Zone))
	})
}

// place returns the place of a name in a class.
func (c *capacityClass) index(name string) (int, bool) {
	return slices.BinarySearchFunc(c.gateways, name, func(g Gateway, name string) int { return strings.Compare(g.Name, name) })
}

// add takes a gateway that is not there.
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

// remove drops a gateway as it was added, if it is there.
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

// all returns the gateways in their order.
func (r *ranking) all() iter.Seq[Gateway] {
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

// yieldByPlace yields the first gateways of some classes, then the second ones, and so on. It returns false when that was broken off.
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

// without returns the gateways in their order but for some, by name.
func (r *ranking) without(names map[string]bool) iter.Seq[Gateway] {
	return func(yield func(Gateway) bool) {
		for gateway := range r.all() {
			if !names[gateway.Name] && !yield(gateway) {
				return
			}
		}
	}
}
