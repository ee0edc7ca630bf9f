package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/configuration"
)

// configureInterval is the pause after a router did not accept the configuration.
const configureInterval = 200 * time.Millisecond

// configure puts the example configuration of the deployment in force, as an operator does: by an edit through a router.
// The edit keeps its change id, so that proposing it again does no harm.
func (f *Fleet) configure(ctx context.Context) error {
	document, err := configuration.Example(f.options.Deployment.Configuration)
	if err != nil {
		return errors.Wrap(err, "step configure")
	}
	httpClient := &http.Client{Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	addresses := lo.Map(f.Routers(), func(router Process, _ int) string { return router.Address })
	client := adminapi.NewClient(addresses, httpClient)
	request := configuration.EditRequest{
		ChangeID: "example-" + f.options.Deployment.Configuration,
		Author:   operatorProcess,
		Edits:    []configuration.Edit{{Kind: configuration.EditApply, Spec: &document.Spec}},
	}
	for {
		result, err := client.Edit(ctx, request, false)
		switch {
		case err == nil && result.Outcome == adminapi.EditAccepted:
			return nil
		case err == nil && (result.Outcome == adminapi.EditInvalid || result.Outcome == adminapi.EditConflict):
			return errors.Newf("step configure: the example %s is refused: %s: %v %v", f.options.Deployment.Configuration,
				result.Outcome, result.Faults, result.Conflicts)
		}
		f.options.Logger.WithError(err).WithField("outcome", result.Outcome).Debug(logPrefix + "Configuration not accepted yet.")
		select {
		case <-time.After(configureInterval):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "step configure: last outcome %q", result.Outcome)
		}
	}
}
