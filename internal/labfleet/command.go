package labfleet

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/store"
)

// Connect returns a client of the store at an address.
type Connect func(address string) store.Store

// Command is the command line of the simulated fleet.
type Command struct {
	Deployment string  `default:"fes" help:"Deployment to simulate: fes or magnolia."`
	Listen     string  `default:"127.0.0.1:7000" help:"Address on which the store listens."`
	Speed      float64 `default:"1" help:"Factor applied to the speed of the engines."`
}

// Validate checks the flag values and returns all problems at once.
func (c *Command) Validate() error {
	_, err := deployment.Find(c.Deployment)
	problems := errors.Wrap(err, "--deployment")
	if c.Speed <= 0 {
		problems = errors.Join(problems, errors.Newf("--speed is %g, must be greater than 0", c.Speed))
	}
	return problems
}

// Run runs the simulated fleet until the context ends.
func (c *Command) Run(ctx context.Context, out io.Writer, connect Connect) error {
	chosen, err := deployment.Find(c.Deployment)
	if err != nil {
		return err
	}
	standins, err := Start(ctx, Options{Deployment: chosen, Listen: c.Listen, Speed: c.Speed, Connect: connect})
	if err != nil {
		return err
	}
	defer standins.Stop()
	fmt.Fprintf(out, "store %s\n", standins.StoreAddress())
	for i, worker := range chosen.Workers {
		fmt.Fprintf(out, "worker %s at %s\n", worker.Name, standins.workers[i].Address())
	}
	<-ctx.Done()
	return nil
}
