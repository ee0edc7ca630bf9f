package member

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// preference holds gateways in the order in which they are picked as entries: by falling capacity, and those of one capacity by their place
// within their zone, so that all zones get the same number. One that comes or goes moves only those of its own zone and capacity.
type preference struct {
	// classes hold the gateways of one capacity in one zone by name, in the order of capacities and zones.
	classes []*class
	// zones counts the gateways of each zone.
	zones map[string]int
	count int
}

// class is the gateways of one capacity in one zone.
type class struct {
	zone     string
	cores    float64
	gateways []Gateway
}

// newPreference returns the order of some gateways. Their names differ.
func newPreference(gateways []Gateway) *preference {
	p := &preference{zones: map[string]int{}}
	for _, gateway := range gateways {
		p.add(gateway)
	}
	return p
}

// find returns the place of the class of a gateway.
func (p *preference) find(gateway Gateway) (int, bool) {
	return slices.BinarySearchFunc(p.classes, gateway, func(c *class, g Gateway) int {
		return cmp.Or(cmp.Compare(g.Cores, c.cores), strings.Compare(c.zone, g.Zone))
	})
}

// place returns the place of a name in a class.
func (c *class) place(name string) (int, bool) {
	return slices.BinarySearchFunc(c.gateways, name, func(g Gateway, name string) int { return strings.Compare(g.Name, name) })
}

// add takes a gateway that is not there.
func (p *preference) add(gateway Gateway) {
	at, found := p.find(gateway)
	if !found {
		p.classes = slices.Insert(p.classes, at, &class{zone: gateway.Zone, cores: gateway.Cores})
	}
	c := p.classes[at]
	place, _ := c.place(gateway.Name)
	c.gateways = slices.Insert(c.gateways, place, gateway)
	p.zones[gateway.Zone]++
	p.count++
}

// remove drops a gateway as it was added, if it is there.
func (p *preference) remove(gateway Gateway) {
	at, found := p.find(gateway)
	if !found {
		return
	}
	c := p.classes[at]
	place, found := c.place(gateway.Name)
	if !found {
		return
	}
	if c.gateways = slices.Delete(c.gateways, place, place+1); len(c.gateways) == 0 {
		p.classes = slices.Delete(p.classes, at, at+1)
	}
	if p.zones[gateway.Zone]--; p.zones[gateway.Zone] == 0 {
		delete(p.zones, gateway.Zone)
	}
	p.count--
}

// all returns the gateways in their order.
func (p *preference) all() iter.Seq[Gateway] {
	return func(yield func(Gateway) bool) {
		for first := 0; first < len(p.classes); {
			next := first
			for next < len(p.classes) && p.classes[next].cores == p.classes[first].cores {
				next++
			}
			if !yieldByPlace(p.classes[first:next], yield) {
				return
			}
			first = next
		}
	}
}

// yieldByPlace yields the first gateways of some classes, then the second ones, and so on. It returns false when that was broken off.
func yieldByPlace(classes []*class, yield func(Gateway) bool) bool {
	for place, more := 0, true; more; place++ {
		more = false
		for _, c := range classes {
			if place >= len(c.gateways) {
				continue
			}
			more = true
			if !yield(c.gateways[place]) {
				return false
			}
		}
	}
	return true
}

// without returns the gateways in their order but for some, by name.
func (p *preference) without(names map[string]bool) iter.Seq[Gateway] {
	return func(yield func(Gateway) bool) {
		for gateway := range p.all() {
			if !names[gateway.Name] && !yield(gateway) {
				return
			}
		}
	}
}
