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
	Status  configStatusCommand  `cmd:"" help:"Show which revision the gateways use."`
	History configHistoryCommand `cmd:"" help:"Show the latest edits, newest first."`
}

type configStatusCommand struct{}

// rolloutStatus lists which gateways use the newest revision of the configuration.
type rolloutStatus struct {
	// Newest is the newest revision that a gateway uses, OldestInUse the oldest one among the gateways that responded.
	Newest      uint64 `json:"newest"`
	OldestInUse uint64 `json:"everywhere"`
	Gateways    int    `json:"gateways"`
	// Behind lists the gateways that use an older revision, Unreachable those that did not respond.
	Behind      []string `json:"behind,omitempty"`
	Unreachable []string `json:"silent,omitempty"`
	// incomplete is set if a gateway that is listed by another one did not respond.
	incomplete bool
}

// queryRollout queries the revision of all gateways.
func queryRollout(ctx context.Context, s *session) rolloutStatus {
	targets, gaps := gatewayTargets(ctx, s)
	responses := queryAll(ctx, targets, func(ctx context.Context, client *adminapi.Client) (adminapi.GatewayStatus, error) {
		return client.Status(ctx)
	})
	result := rolloutStatus{Unreachable: gaps}
	statuses := map[string]adminapi.GatewayStatus{}
	for _, response := range responses {
		if response.err != nil {
			result.Unreachable = append(result.Unreachable, response.target.describeFailure(response.err))
			result.incomplete = result.incomplete || response.target.name != ""
			continue
		}
		statuses[response.value.Gateway] = response.value
		result.Newest = max(result.Newest, response.value.Revision)
	}
	result.Gateways, result.OldestInUse = len(statuses), result.Newest
	for name, status := range statuses {
		result.OldestInUse = min(result.OldestInUse, status.Revision)
		if status.Revision < result.Newest {
			result.Behind = append(result.Behind, fmt.Sprintf("%s has revision %d", name, status.Revision))
		}
	}
	slices.Sort(result.Behind)
	return result
}

// Run shows the rollout status.
func (configStatusCommand) Run(s *session) error {
	read := func(ctx context.Context) (rolloutStatus, error) {
		status := queryRollout(ctx, s)
		if status.Gateways == 0 {
			return status, errors.Newf("no gateway responded: %s", strings.Join(status.Unreachable, "; "))
		}
		return status, nil
	}
	return show(s, read, func(writer io.Writer, status rolloutStatus) error {
		fmt.Fprintf(writer, "newest revision      %d\n", status.Newest)
		fmt.Fprintf(writer, "in use by all        %d (%d gateways that responded)\n", status.OldestInUse, status.Gateways)
		printList(writer, "older revision", status.Behind)
		printList(writer, "did not respond", status.Unreachable)
		return nil
	})
}

type configHistoryCommand struct{}

// Run shows the latest edits.
func (configHistoryCommand) Run(s *session) error {
	header := table.Row{"Revision", "Time", "Author", "Change", "Fields"}
	return show(s, s.client.ConfigHistory, func(writer io.Writer, history adminapi.ConfigHistory) error {
		if len(history.Changes) == 0 {
			fmt.Fprintln(writer, "no edits")
			return nil
		}
		return printTable(writer, header, lo.Map(history.Changes, func(change configuration.Change, _ int) table.Row {
			when := time.UnixMilli(change.UnixMillis).UTC().Format(time.RFC3339)
			return table.Row{change.Revision, when, orDash(change.Author), change.ChangeID, fieldSummary(change.Fields)}
		}))
	})
}

// maxShownFields limits how many fields of an edit are listed.
const maxShownFields = 3

// fieldSummary lists the first fields of an edit and counts the rest.
func fieldSummary(fields []configuration.FieldChange) string {
	names := lo.Map(fields, func(changed configuration.FieldChange, _ int) string { return changed.Field.String() })
	if len(names) <= maxShownFields {
		return strings.Join(names, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(names[:maxShownFields], "; "), len(names)-maxShownFields)
}
