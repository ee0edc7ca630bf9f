package operator

import (
	"strings"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// refusedCommand stands for commands to a single worker, which do not exist.
type unsupportedCommand struct {
	Arguments []string `arg:"" optional:"" passthrough:""`
}

// Run says which label or field to set instead.
func (r unsupportedCommand) Run(kctx *kong.Context) error {
	name, found := lo.Find(r.Arguments, func(argument string) bool { return !strings.HasPrefix(argument, "-") })
	if !found {
		name = "WORKER"
	}
	verb := kctx.Command()
	verb, _, _ = strings.Cut(verb, " ")
	return badInput(errors.Newf("there is no command %q: workers take no commands, only labels and selectors move them.\n%s",
		verb, strings.ReplaceAll(alternative(verb), "WORKER", name)))
}

// instead names the edit that has the effect of a command.
func alternative(verb string) string {
	switch verb {
	case "order":
		return "To change roles, edit roleFloors of the worker's group: granitebay apply -f FILE.\n" +
			"To move one worker, change its labels: granitebay label worker WORKER pool=GROUP"
	case "restart":
		return "Workers are restarted by the platform. To let one run empty first, take it out of its group, as far as its\n" +
			"group selects the label pool: granitebay label worker WORKER pool-"
	case "uncordon":
		return "To give a worker new work, set the label that its group selects: granitebay label worker WORKER pool=GROUP"
	default:
		return "To let a worker run empty, take it out of its group by removing the label that the group selects:\n" +
			"granitebay label worker WORKER pool-\nSee the selectors with: granitebay get groups"
	}
}
