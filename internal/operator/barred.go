package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/poison"
)

type getBarred struct{}

// Run shows the barred requests and parts.
func (getBarred) Run(s *session) error {
	header := table.Row{"Digest", "Part", "Group", "At version", "Rule", "Of", "Exited workers", "Times", "Until"}
	return showTable(s, s.client.Barred, header, func(bar adminapi.BarredStatus) table.Row {
		return table.Row{
			bar.Digest, orDash(bar.Part), orDash(bar.Group), orDash(bar.SoftwareVersion), orDash(bar.Rule), orDash(bar.Tenant), strings.Join(bar.Workers, ","), bar.Times, bar.Until.UTC().Format(time.RFC3339),
		}
	})
}

// releaseCommand releases a barred request or part.
type releaseCommand struct {
	Digest string `arg:"" name:"digest" help:"Digest of the request or part, as shown by granitebay get barred."`
}

// Run releases the request or part.
func (r releaseCommand) Run(s *session) error {
	if _, err := poison.ParseDigest(r.Digest); err != nil {
		return badInput(err)
	}
	release := func(ctx context.Context) (adminapi.ReleaseResult, error) { return s.client.Release(ctx, r.Digest) }
	return show(s, release, func(w io.Writer, result adminapi.ReleaseResult) error {
		outcome := "is released; it is barred again if three more workers exit while serving it"
		if !result.WasBarred {
			outcome = "was not barred"
		}
		_, err := fmt.Fprintf(w, "request %s %s\n", result.Digest, outcome)
		return err
	})
}
