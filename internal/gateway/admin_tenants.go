package gateway

import (
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/admission"
	"github.com/granitebay/granitebay/internal/tenant"
)

// Tenants implements adminapi.Backend.
func (a admin) Tenants() []adminapi.TenantStatus {
	table := a.handler.Table()
	if table == nil || table.Configuration().Tenants == nil {
		return []adminapi.TenantStatus{}
	}
	return lo.Map(table.Configuration().Tenants.Tenants(), func(t *tenant.Tenant, _ int) adminapi.TenantStatus {
		status := adminapi.TenantStatus{Name: t.Name(), Keys: t.Keys(), RouteVersion: table.Configuration().Version}
		if priority, given := t.Priority(); given {
			status.Priority = &priority
		}
		return status
	})
}

// Capacity implements adminapi.Backend.
func (a admin) Capacity() []adminapi.CapacityStatus {
	statuses := []adminapi.CapacityStatus{}
	if a.capacity == nil {
		return statuses
	}
	for _, group := range a.capacity.Status() {
		for _, zone := range group.Offer.Zones {
			present, wanted := group.Present[zone.Name], group.Plan[zone.Name]
			statuses = append(statuses, adminapi.CapacityStatus{
				Group: group.Group, Zone: zone.Name, Price: zone.Price, Busy: group.Busy, Needed: group.Need,
				OnDemand: present.OnDemand, Spot: present.Spot, WantedOnDemand: wanted.OnDemand, WantedSpot: wanted.Spot,
			})
		}
	}
	return statuses
}

// Usage implements adminapi.Backend.
func (a admin) Usage() adminapi.UsageStatus {
	status := adminapi.UsageStatus{Gateway: a.settings.Name, Open: []adminapi.OpenWindow{}}
	if a.tenantUsage.reporter != nil {
		counts := a.tenantUsage.reporter.Stats()
		status.Finalized, status.Sent, status.Late, status.Failed, status.Superseded = counts.Finalized, counts.Sent, counts.Late, counts.Failed, counts.Superseded
	}
	if a.tenantUsage.tally != nil {
		for _, window := range a.tenantUsage.tally.OpenWindows() {
			requests := a.tenantUsage.tally.Sum(window)
			status.Open = append(status.Open, adminapi.OpenWindow{
				Window: window, Requests: lo.Sum(lo.Values(requests)), Tenants: len(requests),
			})
		}
	}
	return status
}

// Queues implements adminapi.Backend.
func (a admin) Queues() []adminapi.QueueStatus {
	return lo.Map(a.dispatcher.Queues(), func(c admission.Count, _ int) adminapi.QueueStatus {
		return adminapi.QueueStatus{
			Group: c.Group, Queue: c.Queue.String(), Urgency: c.Urgency, Waiting: c.Amount, SentPerSecond: c.Sent, StartedPerSecond: c.Started,
		}
	})
}
