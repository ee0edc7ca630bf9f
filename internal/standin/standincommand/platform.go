// Package standincommand has the commands that run stand-ins for the outside systems.
package standincommand

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/standin/platformmodel"
	"github.com/granitebay/granitebay/internal/standin/platformserver"
)

// shutdownTimeout is how long open requests may still take when the command is stopped.
const shutdownTimeout = 2 * time.Second

// PlatformCommand runs the stand-in of the platform.
type PlatformCommand struct {
	Listen string `default:"127.0.0.1:7000" help:"Address to serve at."`
	State  string `type:"path" help:"File that keeps the state over restarts. Without it nothing is kept."`
	Seed   uint64 `default:"1" help:"Decides which answers are lost when that fault is on."`

	ServiceRate  float64 `default:"500" help:"Requests a second that each service takes from all clients; 0 for no limit."`
	ServiceBurst int     `default:"1000" help:"Requests that each service takes at once after a quiet time."`
	ClientRate   float64 `default:"50" help:"Requests a second that each service takes from one client; 0 for no limit."`
	ClientBurst  int     `default:"100" help:"Requests that each service takes at once from one client after a quiet time."`
	History      int     `default:"1000" help:"Commits that are kept for watches."`

	OutageAnswer string `default:"refuse" enum:"refuse,silent" help:"What requests get in an outage: refuse or silent."`
	OutageLeases string `default:"keep" enum:"keep,expire" help:"Whether leases expire in an outage: keep or expire."`

	MembershipLag time.Duration `default:"3s" help:"How late changes of the membership list become visible."`
	MemberTTL     time.Duration `default:"10s" help:"How long a registration lasts without a renewal; 0 for ever."`

	WeightsRate     float64          `default:"8589934592" help:"Bytes a second that all loads of a region share; 0 for no limit."`
	WeightsBurst    float64          `default:"17179869184" help:"Bytes that can be read ahead of the rate after a quiet time."`
	WeightsLoadRate float64          `default:"4294967296" help:"Bytes a second that one load reaches; 0 for no limit."`
	WeightsLoads    int              `default:"8" help:"Loads of a region that may be under way or waiting; 0 for no limit."`
	ModelBytes      int64            `default:"15032385536" help:"Size of a model that --model-size does not name."`
	ModelSize       map[string]int64 `help:"Size of a model in bytes, as MODEL=BYTES."`
}

// Run serves until the context ends.
func (c *PlatformCommand) Run(ctx context.Context, logger *logrus.Logger) error {
	server, err := platformserver.New(platformserver.Options{
		Settings:  c.settings(),
		StateFile: c.State,
		Seed:      c.Seed,
		Logger:    logger,
	})
	if err != nil {
		return errors.Wrap(err, "make platform stand-in")
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", c.Listen)
	}
	logger.WithField("address", listener.Addr().String()).Info("platform stand-in: Serving.")
	return serve(ctx, listener, server)
}

// serve serves until the context ends. Open watches end with the context.
func serve(ctx context.Context, listener net.Listener, server *platformserver.Server) error {
	serving := &http.Server{
		Handler:     server,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	done := make(chan error, 1)
	go func() { done <- serving.Serve(listener) }()
	go server.Run(ctx)
	select {
	case err := <-done:
		return errors.Wrapf(err, "serve at %s", listener.Addr())
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Wrap(serving.Shutdown(stopping), "stop serving")
}

func (c *PlatformCommand) settings() platformmodel.Settings {
	settings := platformmodel.DefaultSettings()
	settings.KeyValueLimits = platformmodel.Limits{
		Service: platformmodel.Limit{PerSecond: c.ServiceRate, Burst: c.ServiceBurst},
		Client:  platformmodel.Limit{PerSecond: c.ClientRate, Burst: c.ClientBurst},
	}
	settings.MembershipLimits = settings.KeyValueLimits
	settings.HistoryLength = c.History
	settings.OutageAnswer = platformmodel.OutageAnswer(c.OutageAnswer)
	settings.OutageLeases = platformmodel.OutageLeases(c.OutageLeases)
	settings.MembershipLag = c.MembershipLag
	settings.MemberTTL = c.MemberTTL
	settings.Weights = platformmodel.WeightSettings{
		BytesPerSecond:     c.WeightsRate,
		BurstBytes:         c.WeightsBurst,
		LoadBytesPerSecond: c.WeightsLoadRate,
		MaximumLoads:       c.WeightsLoads,
		ModelBytes:         c.ModelSize,
		DefaultModelBytes:  c.ModelBytes,
	}
	return settings
}
