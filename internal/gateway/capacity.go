package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/capacity"
	"github.com/granitebay/granitebay/internal/routing"
)

// recordRecoveryTime is how long after a store outage, or after the start, records of live workers may be missing. They
// register again with one of their next heartbeats.
const recordRecoveryTime = 3500 * time.Millisecond

// initialRecordTime is how long after the start most workers have registered. Until then, too few records exist to tell
// how many workers a zone has.
const initialRecordTime = 2500 * time.Millisecond

// newFleetPeriod is how long a fleet counts as new. It covers the registration of the first workers and is shorter than
// the boot time of ordered spot workers.
const newFleetPeriod = 5 * time.Second

// CapacityGroups implements capacity.Fleet. Only entries and the leader return groups.
func (g *Gateway) CapacityGroups() []capacity.Group {
	table := g.handler.Table()
	if table == nil || !(g.isEntry() || g.controller.HasAuthority()) {
		return nil
	}
	var groups []capacity.Group
	for _, group := range table.Configuration().Groups {
		if group.Scaling != nil {
			groups = append(groups, g.capacityGroup(group))
		}
	}
	return groups
}

// capacityGroup returns the observed workers and the scaling limits of a group.
func (g *Gateway) capacityGroup(group routing.Group) capacity.Group {
	observed := capacity.Group{
		Name: group.Name, BootTime: group.Scaling.BootTime, Present: capacity.Plan{}, Busy: g.dispatcher.Utilization(group.Name),
		MostRegistered: g.view.TimeSinceStoreLoss() > initialRecordTime, RecordsComplete: g.view.TimeSinceStoreLoss() > recordRecoveryTime, NewFleet: g.view.IsNewFleet(newFleetPeriod),
		Offer: capacity.Offer{MinPerZone: group.Scaling.Min, MaxPerZone: group.Scaling.Max, SpotPrice: group.Scaling.SpotPrice},
	}
	for zone, price := range group.Scaling.ZonePrices {
		observed.Offer.Zones = append(observed.Offer.Zones, capacity.Zone{Name: zone, Price: price, SpotUnavailable: group.Scaling.SpotPrice <= 0})
	}
	slices.SortFunc(observed.Offer.Zones, func(a, b capacity.Zone) int { return strings.Compare(a.Name, b.Name) })
	for _, view := range g.dispatcher.Workers() {
		worker := view.Worker
		if worker.Group != group.Name || worker.Draining {
			continue
		}
		count := observed.Present[worker.Zone]
		if worker.Spot {
			count.Spot++
		} else {
			count.OnDemand++
		}
		observed.Present[worker.Zone] = count
	}
	return observed
}
