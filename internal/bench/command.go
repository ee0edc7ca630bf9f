// Package bench measures what agent and routers add to a request: time to the first token, time for each token, token
// throughput and processor time. It runs the real programs as processes on loopback and calls the same engines both
// directly and through the fleet, alternating, so that both see the same machine.
package bench

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/processtest"
)

// startTimeout bounds the build and the start of the fleet.
const startTimeout = 2 * time.Minute

// BenchCommand measures the path through agent and routers against engines called directly.
type BenchCommand struct {
	Rounds  int    `default:"5" help:"Rounds. Each measures both ways; figures have a spread over rounds."`
	Pairs   int    `default:"60" help:"Requests a round and way, one at a time, for the time to the first token."`
	Streams int    `default:"200" help:"Streams at once, for throughput."`
	Tokens  uint32 `default:"100" help:"Tokens of each of these streams."`
	Engines int    `default:"4" help:"Engines that share the streams."`
	Logs    string `type:"path" help:"Directory that keeps the logs of the processes. By default they are removed."`
}

// Validate checks what the types of the flags cannot say.
func (c *BenchCommand) Validate() error {
	if c.Rounds < 1 || c.Pairs < 2 || c.Streams < 1 || c.Tokens < 2 || c.Engines < 1 {
		return errors.Newf("--rounds %d --pairs %d --streams %d --tokens %d --engines %d: allowed are 1, 2, 1, 2, 1 or more",
			c.Rounds, c.Pairs, c.Streams, c.Tokens, c.Engines)
	}
	return nil
}

// Run builds and starts the fleet, measures, and prints a table and a line of JSON.
func (c *BenchCommand) Run(ctx context.Context, logger *logrus.Logger) error {
	directory, err := os.MkdirTemp("", "granitebay-bench")
	if err != nil {
		return errors.Wrap(err, "step make a directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	fleet, err := c.start(ctx, directory)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	logger.Info("bench: The fleet serves.")
	measured, err := c.measure(ctx, fleet)
	if err != nil {
		return err
	}
	return measured.write(os.Stdout)
}

// start starts one zone with two routers, so that about half of the requests go through a router that does not own
// their engine. Engines have one role, so that both ways meet the same engines.
func (c *BenchCommand) start(ctx context.Context, directory string) (*processtest.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	programs, err := processtest.Build(ctx, directory)
	if err != nil {
		return nil, err
	}
	if c.Logs != "" {
		directory = c.Logs
		if err := os.MkdirAll(directory, 0o755); err != nil {
			return nil, errors.Wrap(err, "step make the directory of the logs")
		}
	}
	return processtest.Start(ctx, processtest.Options{
		Programs: programs, Directory: directory, Zones: 1, EnginesPerZone: c.Engines, RoutersPerZone: 2, AgentsPerZone: 1,
		Roles: []engine.Role{engine.RoleDecode},
	})
}
