package operator

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/configuration"
)

// statusCommand shows the status of the fleet.
type statusCommand struct{}

// Run shows the status.
func (statusCommand) Run(s *session) error {
	return show(s, s.client.FleetStatus, func(writer io.Writer, status adminapi.FleetStatus) error {
		everywhere := lo.Ternary(status.ConfigRevisionInForce >= status.ConfigRevision, "in force everywhere",
			fmt.Sprintf("lowest in force %d", status.ConfigRevisionInForce))
		fmt.Fprintf(writer, "router          %s (%s), version %s\n", status.Router, status.Zone, status.Version)
		fmt.Fprintf(writer, "ready           %t%s\n", status.Ready, lo.Ternary(status.Stopping, ", stopping", ""))
		fmt.Fprintf(writer, "configuration   revision %d, %s\n", status.ConfigRevision, everywhere)
		fmt.Fprintf(writer, "routers         %d live\n", status.LiveRouters)
		fmt.Fprintf(writer, "engines         %d (%s)\n", status.Engines, counts(status.EngineStates))
		fmt.Fprintf(writer, "requests        %d running, %d waiting\n", status.RunningRequests, status.WaitingRequests)
		fmt.Fprintf(writer, "role changes    %d since the routers started\n", status.RoleChanges)
		printList(writer, "warnings", status.Warnings)
		return nil
	})
}

// getCommand shows objects.
type getCommand struct {
	Engines getEngines `cmd:"" aliases:"engine" help:"Show all engines."`
	Groups  getGroups  `cmd:"" aliases:"group" help:"Show all groups."`
	Rules   getRules   `cmd:"" aliases:"rule" help:"Show all rules, in the order in which they are tried."`
	Routers getRouters `cmd:"" aliases:"router" help:"Show all routers."`
	Config  getConfig  `cmd:"" help:"Show the configuration in force, as a file for apply."`
}

// show reads a value and prints it.
func show[T any](s *session, read func(context.Context) (T, error), forPeople func(io.Writer, T) error) error {
	ctx, cancel := s.limited()
	defer cancel()
	value, err := read(ctx)
	if err != nil {
		return err
	}
	return s.print(value, func(writer io.Writer) error { return forPeople(writer, value) })
}

// showTable reads a list and prints one row for each entry.
func showTable[T any](s *session, read func(context.Context) ([]T, error), header table.Row, row func(T) table.Row) error {
	return show(s, read, func(writer io.Writer, list []T) error {
		return printTable(writer, header, lo.Map(list, func(entry T, _ int) table.Row { return row(entry) }))
	})
}

type getEngines struct {
	ShowLabels bool `help:"Show all labels."`
}

// Run shows the engines.
func (g getEngines) Run(s *session) error {
	header := table.Row{"Name", "Zone", "Group", "State", "Role", "Model", "Running", "Waiting", "Memory", "Owner", "Fence"}
	if g.ShowLabels {
		header = append(header, "Labels")
	}
	return showTable(s, s.client.Engines, header, func(engine adminapi.EngineStatus) table.Row {
		row := table.Row{
			engine.Name, engine.Zone, orNone(engine.Group), engine.State, orNone(engine.Role),
			orNone(engine.Model) + ":" + orNone(engine.ModelVersion), engine.RunningRequests, engine.WaitingRequests,
			percent(engine.MemoryUsed, engine.MemoryTotal), orNone(engine.Owner),
			fmt.Sprintf("%d.%d", engine.Epoch, engine.Generation),
		}
		if g.ShowLabels {
			row = append(row, pairs(engine.Labels))
		}
		return row
	})
}

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return strconv.Itoa(100*part/whole) + "%"
}

type getGroups struct{}

// Run shows the groups.
func (getGroups) Run(s *session) error {
	header := table.Row{"Name", "Engines", "Roles", "Changing", "Running", "Waiting", "Change cost", "Models", "Selector", "Plan"}
	return showTable(s, s.client.Groups, header, func(group adminapi.GroupStatus) table.Row {
		return table.Row{
			group.Name, group.Engines, counts(group.Roles), group.Changing, group.RunningRequests, group.WaitingRequests,
			group.ChangeCost, strings.Join(group.Models, ","), orNone(group.EngineSelector), orNone(group.Plan),
		}
	})
}

type getRules struct{}

// Run shows the rules.
func (getRules) Run(s *session) error {
	header := table.Row{"Name", "Precedence", "Selector", "Groups", "Priority", "Running", "Waiting"}
	return showTable(s, s.client.Rules, header, func(rule adminapi.RuleStatus) table.Row {
		return table.Row{
			rule.Name, rule.Precedence, orNone(rule.RequestSelector), strings.Join(rule.Groups, ","), rule.Priority,
			rule.RunningRequests, rule.WaitingRequests,
		}
	})
}

type getRouters struct{}

// Run shows the routers.
func (getRouters) Run(s *session) error {
	header := table.Row{"Name", "Zone", "State", "Configuration", "Engines", "Address", "Admin", "Incarnation"}
	return showTable(s, s.client.Routers, header, func(router adminapi.RouterStatus) table.Row {
		return table.Row{
			router.Name, router.Zone, router.State, router.ConfigRevision, router.OwnedEngines, router.Address,
			orNone(router.AdminAddress), router.Incarnation,
		}
	})
}

type getConfig struct{}

// Run shows the configuration without its history, which has a command of its own.
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
