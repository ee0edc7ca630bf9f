package operator

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
)

type getTenants struct{}

// Run shows the tenants.
func (getTenants) Run(s *session) error {
	header := table.Row{"Name", "Keys", "Priority", "Version"}
	return showTable(s, s.client.Tenants, header, func(tenant adminapi.TenantStatus) table.Row {
		priority := "from rule"
		if tenant.Priority != nil {
			priority = fmt.Sprint(*tenant.Priority)
		}
		return table.Row{tenant.Name, tenant.Keys, priority, tenant.RouteVersion}
	})
}

type getCapacity struct{}

// Run shows the workers that can be ordered.
func (getCapacity) Run(s *session) error {
	header := table.Row{"Group", "Zone", "Kept", "Wanted", "Spot", "Wanted", "Price", "Busy", "Needed"}
	return showTable(s, s.client.Capacity, header, func(c adminapi.CapacityStatus) table.Row {
		return table.Row{
			c.Group, c.Zone, c.OnDemand, c.WantedOnDemand, c.Spot, c.WantedSpot, c.Price, fmt.Sprintf("%.1f", c.Busy), c.Needed,
		}
	})
}

type getQueues struct{}

// Run shows what waits for engines.
func (getQueues) Run(s *session) error {
	header := table.Row{"Group", "Queue", "Urgency", "Waiting", "Sent/s", "Started/s"}
	return showTable(s, s.client.Queues, header, func(q adminapi.QueueStatus) table.Row {
		return table.Row{q.Group, q.Queue, q.Urgency, q.Waiting, fmt.Sprintf("%.1f", q.SentPerSecond), fmt.Sprintf("%.1f", q.StartedPerSecond)}
	})
}

type getUsage struct{}

// Run shows the state of usage reports.
func (getUsage) Run(s *session) error {
	return show(s, s.client.Usage, func(w io.Writer, usage adminapi.UsageStatus) error {
		fmt.Fprintf(w, "gateway %s: %d windows agreed on, %d sent, %d of them late, %d calls failed, superseded %d times\n",
			usage.Gateway, usage.Finalized, usage.Sent, usage.Late, usage.Failed, usage.Superseded)
		return printTable(w, table.Row{"Open window", "Requests", "Tenants"}, lo.Map(usage.Open, func(o adminapi.OpenWindow, _ int) table.Row {
			return table.Row{o.Window, o.Requests, o.Tenants}
		}))
	})
}
