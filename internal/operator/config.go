package operator

import (
	"fmt"
	"io"
	"strings"
	"time"

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

// Run shows how far the configuration got around.
func (configStatusCommand) Run(s *session) error {
	return show(s, s.client.ConfigStatus, func(writer io.Writer, status adminapi.ConfigStatus) error {
		fmt.Fprintf(writer, "accepted             revision %d (change %s)\n", status.Accepted, orNone(status.ChangeID))
		fmt.Fprintf(writer, "in force here        revision %d\n", status.InForceHere)
		fmt.Fprintf(writer, "in force everywhere  revision %d (%d live routers)\n", status.InForceEverywhere, status.LiveRouters)
		laggards := lo.Map(status.Laggards, func(laggard configuration.Applied, _ int) string {
			return fmt.Sprintf("%s has revision %d", laggard.Process, laggard.Revision)
		})
		printList(writer, "behind", laggards)
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
