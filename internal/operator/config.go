package operator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/configuration"
)

// configCommand shows the state of the configuration.
type configCommand struct {
	Status  configStatusCommand  `cmd:"" help:"Show which revision is accepted and where it is in force."`
	History configHistoryCommand `cmd:"" help:"Show the latest edits, newest first."`
}

type configStatusCommand struct{}

// spread is how far the configuration got around.
type spread struct {
	// Newest revision that a gateway has in force, and Everywhere the one that all have that answered.
	Newest     uint64 `json:"newest"`
	Everywhere uint64 `json:"everywhere"`
	Gateways   int    `json:"gateways"`
	// Behind names the gateways that have an older one, and Silent those that did not answer.
	Behind []string `json:"behind,omitempty"`
	Silent []string `json:"silent,omitempty"`
	// unknown is set when a gateway that another one lists did not answer.
	unknown bool
}

// spreadOf asks all gateways which revision they have in force.
func spreadOf(ctx context.Context, s *session) spread {
	processes, gaps := gatewayProcesses(ctx, s)
	answers := askAll(ctx, processes, func(ctx context.Context, client *adminapi.Client) (adminapi.GatewayStatus, error) {
		return client.Status(ctx)
	})
	result := spread{Silent: gaps}
	statuses := map[string]adminapi.GatewayStatus{}
	for _, each := range answers {
		if each.err != nil {
			result.Silent = append(result.Silent, each.process.gap(each.err))
			result.unknown = result.unknown || each.process.name != ""
			continue
		}
		statuses[each.value.Gateway] = each.value
		result.Newest = max(result.Newest, each.value.Revision)
	}
	result.Gateways, result.Everywhere = len(statuses), result.Newest
	for name, status := range statuses {
		result.Everywhere = min(result.Everywhere, status.Revision)
		if status.Revision < result.Newest {
			result.Behind = append(result.Behind, fmt.Sprintf("%s has revision %d", name, status.Revision))
		}
	}
	slices.Sort(result.Behind)
	return result
}

// Run shows how far the configuration got around.
func (configStatusCommand) Run(s *session) error {
	read := func(ctx context.Context) (spread, error) {
		found := spreadOf(ctx, s)
		if found.Gateways == 0 {
			return found, errors.Newf("no gateway answered: %s", strings.Join(found.Silent, "; "))
		}
		return found, nil
	}
	return show(s, read, func(writer io.Writer, found spread) error {
		fmt.Fprintf(writer, "newest in force      revision %d\n", found.Newest)
		fmt.Fprintf(writer, "in force everywhere  revision %d (%d gateways)\n", found.Everywhere, found.Gateways)
		printList(writer, "behind", found.Behind)
		printList(writer, "did not answer", found.Silent)
		return nil
	})
}

type configHistoryCommand struct{}

// Run shows the latest edits.
func (configHistoryCommand) Run(s *session) error {
	header := table.Row{"Revision", "Time", "Author", "Change", "Fields"}
	return show(s, s.client.ConfigHistory, func(writer io.Writer, history adminapi.ConfigHistory) error {
		if len(history.Changes) == 0 {
			fmt.Fprintln(writer, "no edit is recorded")
			return nil
		}
		return printTable(writer, header, lo.Map(history.Changes, func(change configuration.Change, _ int) table.Row {
			when := time.UnixMilli(change.UnixMillis).UTC().Format(time.RFC3339)
			return table.Row{change.Revision, when, orNone(change.Author), change.ChangeID, fieldSummary(change.Fields)}
		}))
	})
}

// shownFields is the most fields of one edit that are named.
const shownFields = 3

// fieldSummary names the first fields of an edit and counts the rest.
func fieldSummary(fields []configuration.FieldChange) string {
	names := lo.Map(fields, func(changed configuration.FieldChange, _ int) string { return changed.Field.String() })
	if len(names) <= shownFields {
		return strings.Join(names, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(names[:shownFields], "; "), len(names)-shownFields)
}
