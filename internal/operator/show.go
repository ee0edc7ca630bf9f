package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/configuration"
)

// statusCommand shows the status of the gateway that responds.
type statusCommand struct{}

// Run shows the status.
func (statusCommand) Run(s *session) error {
	return show(s, s.client.Status, func(writer io.Writer, status adminapi.GatewayStatus) error {
		fmt.Fprintf(writer, "gateway         %s (%s), version %s\n", status.Gateway, status.Zone, status.Version)
		fmt.Fprintf(writer, "ready           %t%s\n", status.Ready, lo.Ternary(status.Stopping, ", stopping", ""))
		fmt.Fprintf(writer, "configuration   routes version %d, label configuration revision %d, in sync with the store %d ms ago\n",
			status.RouteVersion, status.Revision, status.StoreAgeMillis)
		fmt.Fprintf(writer, "gateways        %d, callers are directed to %d%s\n", status.Gateways, status.Entries,
			lo.Ternary(status.Entry, ", including this one", ""))
		fmt.Fprintf(writer, "workers         %s\n", formatCounts(status.Workers))
		fmt.Fprintf(writer, "orders          %s\n", lo.Ternary(status.GivesOrders, "sent by this gateway", "not sent by this gateway"))
		fmt.Fprintf(writer, "requests        %d in progress at this gateway\n", status.InProgress)
		printList(writer, "warnings", status.Warnings)
		return nil
	})
}

// getCommand shows objects.
type getCommand struct {
	Workers  getWorkers  `cmd:"" aliases:"worker" help:"Show all workers."`
	Groups   getGroups   `cmd:"" aliases:"group" help:"Show all groups."`
	Rules    getRules    `cmd:"" aliases:"rule" help:"Show all rules, in the order in which they are matched."`
	Gateways getGateways `cmd:"" aliases:"gateway" help:"Show all gateways."`
	Tenants  getTenants  `cmd:"" aliases:"tenant" help:"Show all tenants, without their keys."`
	Barred   getBarred   `cmd:"" help:"Show requests that are not sent to workers, because workers exited while serving them."`
	Capacity getCapacity `cmd:"" help:"Show existing and wanted workers by zone, with price and demand."`
	Queues   getQueues   `cmd:"" help:"Show what waits for engines, by group and urgency, where requests have different priorities."`
	Usage    getUsage    `cmd:"" help:"Show the state of usage reports at the gateway that responds."`
	Config   getConfig   `cmd:"" help:"Show the current configuration, in the format that apply reads."`
}

// show fetches a value and prints it.
func show[T any](s *session, read func(context.Context) (T, error), printText func(io.Writer, T) error) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	value, err := read(ctx)
	if err != nil {
		return err
	}
	return s.print(value, func(writer io.Writer) error { return printText(writer, value) })
}

// showTable fetches a list and prints it as a table.
func showTable[T any](s *session, read func(context.Context) ([]T, error), header table.Row, row func(T) table.Row) error {
	return show(s, read, func(writer io.Writer, list []T) error {
		return printTable(writer, header, lo.Map(list, func(entry T, _ int) table.Row { return row(entry) }))
	})
}

type getWorkers struct {
	ShowLabels bool `help:"Show all labels."`
}

// Run shows the workers.
func (g getWorkers) Run(s *session) error {
	header := table.Row{"Address", "Service", "Groups", "Zone", "State", "Role", "Running", "Reading", "Slots", "Limit", "ID"}
	if g.ShowLabels {
		header = append(header, "Labels")
	}
	return showTable(s, s.client.Workers, header, func(worker adminapi.WorkerStatus) table.Row {
		row := table.Row{
			worker.Address, worker.Service, orDash(strings.Join(worker.Groups, ",")), worker.Zone, worker.State, orDash(worker.Role),
			worker.Running, worker.PrefillTokens, worker.Slots, formatLimit(worker.Limit), worker.ID,
		}
		if g.ShowLabels {
			row = append(row, formatLabels(worker.Labels))
		}
		return row
	})
}

// formatLimit formats the request limit that a worker announced, the share of this gateway, and how long ago it was announced.
func formatLimit(status *adminapi.LimitStatus) string {
	if status == nil {
		return orDash("")
	}
	age := time.Duration(status.AgeMs) * time.Millisecond
	return fmt.Sprintf("%.3g/s, %.3g here, %s ago", status.PerSecond, status.PerSecond*status.Share, age.Round(100*time.Millisecond))
}

type getGroups struct{}

// Run shows the groups.
func (getGroups) Run(s *session) error {
	header := table.Row{"Name", "Service", "Workers", "Roles", "Running", "Reading"}
	return showTable(s, s.client.Groups, header, func(group adminapi.GroupStatus) table.Row {
		return table.Row{group.Name, orDash(group.Of), group.Workers, formatCounts(group.Roles), group.Running, group.PrefillTokens}
	})
}

type getRules struct{}

// Run shows the rules.
func (getRules) Run(s *session) error {
	header := table.Row{"Name", "Match", "Groups", "Priority", "Timeout", "Objective"}
	return showTable(s, s.client.Rules, header, func(rule adminapi.RuleStatus) table.Row {
		return table.Row{
			rule.Name, rule.Match, strings.Join(rule.Groups, ","), rule.Priority,
			fmt.Sprintf("%d ms", rule.TimeoutMs), fmt.Sprintf("%d ms", rule.ObjectiveMs),
		}
	})
}

type getGateways struct{}

// Run shows the gateways.
func (getGateways) Run(s *session) error {
	header := table.Row{"Name", "Zone", "Entry", "Reachable", "Cores", "Address", "Admin"}
	return showTable(s, s.client.Gateways, header, func(gateway adminapi.PeerStatus) table.Row {
		return table.Row{
			gateway.Name, gateway.Zone, gateway.Entry, gateway.Reachable, gateway.Cores, gateway.Address, orDash(gateway.AdminAddress),
		}
	})
}

type getConfig struct{}

// Run shows the configuration without its history, which config history shows.
func (getConfig) Run(s *session) error {
	read := func(ctx context.Context) (configuration.Document, error) {
		document, err := s.client.Configuration(ctx)
		document.History = nil
		return document, err
	}
	return show(s, read, func(writer io.Writer, document configuration.Document) error {
		return printYAML(writer, document)
	})
}
