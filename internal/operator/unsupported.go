package operator

import (
	"strings"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// unsupportedCommand handles commands to a single worker, which are not supported.
type unsupportedCommand struct {
	Arguments []string `arg:"" optional:"" passthrough:""`
}

// Run returns an error that names the label or field to edit instead.
func (c unsupportedCommand) Run(kctx *kong.Context) error {
	name, found := lo.Find(c.Arguments, func(argument string) bool { return !strings.HasPrefix(argument, "-") })
	if !found {
		name = "WORKER"
	}
	verb := kctx.Command()
	verb, _, _ = strings.Cut(verb, " ")
	return badInput(errors.Newf("there is no command %q: workers are not controlled directly, only with labels and selectors.\n%s",
		verb, strings.ReplaceAll(supportedEdit(verb), "WORKER", name)))
}

// supportedEdit returns the edit that has the effect of a command.
func supportedEdit(verb string) string {
	switch verb {
	case "order":
		return "To change roles, edit roleFloors of the worker's group: granitebay apply -f FILE.\n" +
			"To move one worker, change its labels: granitebay label worker WORKER pool=GROUP"
	case "restart":
		return "Workers are restarted by the platform. To drain one first, remove it from its group. If the selector of its\n" +
			"group uses the label pool: granitebay label worker WORKER pool-"
	case "uncordon":
		return "To send requests to a worker again, set the label that the selector of its group uses: granitebay label worker WORKER pool=GROUP"
	default:
		return "To drain a worker, remove it from its group by removing the label that the selector of the group uses:\n" +
			"granitebay label worker WORKER pool-\nTo see the selectors, run: granitebay get config"
	}
}
