package standincommand

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/platformclient"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
	"github.com/granitebay/granitebay/internal/standin/engineserver"
)

// The pace at which a stopping engine looks whether it is empty.
const (
	idleCheckInterval = 100 * time.Millisecond
	// idleBeforeExit is how long it must have been empty.
	idleBeforeExit = time.Second
)

// EngineCommand runs the stand-in of one model engine.
type EngineCommand struct {
	Name     string            `required:"" help:"Name of the engine in the fleet."`
	Zone     string            `required:"" help:"Zone in which the engine runs."`
	Listen   string            `default:"127.0.0.1:0" help:"Address to serve at."`
	Address  string            `help:"Address at which others reach the engine; by default the one it serves at."`
	Platform string            `help:"URL of the platform. If given, the engine keeps itself on the membership list."`
	Register time.Duration     `default:"3s" help:"Time between registrations on the membership list."`
	Label    map[string]string `help:"Labels on the membership list, as KEY=VALUE."`
	Drain    time.Duration     `default:"30s" help:"Longest time for which runs may still end when the engine is stopped."`
	Seed     uint64            `default:"1" help:"Decides which changes crash and which cache events are lost."`

	Speed              float64       `default:"1" help:"Factor on the speed of prompts and decode steps."`
	MemoryTokens       int           `default:"200000" help:"Room for KV cache, in tokens."`
	PrefixCacheTokens  int           `default:"100000" help:"Bound of the prefix cache, in tokens."`
	MaxWaiting         int           `default:"64" help:"Runs that wait while the batch is full."`
	RoleChangeTime     time.Duration `default:"4s" help:"Time out of service for a change of role."`
	WeightLoadTime     time.Duration `default:"20s" help:"Time out of service for a change of model, version or adapters."`
	CrashDuringChange  float64       `default:"0" help:"Share of changes during which the engine crashes, 0 to 1."`
	RestartAfter       time.Duration `default:"5s" help:"Time until a crashed engine starts again."`
	LoadReportInterval time.Duration `default:"1s" help:"Time between load reports."`
	LoadReportLag      time.Duration `default:"500ms" help:"Time until a load report can be read."`
	CacheEventLoss     float64       `default:"0.05" help:"Share of cache events that are lost, 0 to 1."`

	RunLog string `type:"path" help:"File to which each start and end of a run is appended, as lines of JSON."`

	InitialRole  string `enum:",prefill,decode" default:"" help:"Role before the first order; only to measure an engine without routers."`
	InitialModel string `help:"Model before the first order; only to measure an engine without routers."`
}

// Validate checks what the types of the flags cannot say.
func (c *EngineCommand) Validate() error {
	if c.Speed <= 0 {
		return errors.Newf("--speed is %g, allowed is more than 0", c.Speed)
	}
	if (c.InitialRole == "") != (c.InitialModel == "") {
		return errors.Newf("--initial-role is %q and --initial-model is %q, allowed are both or neither", c.InitialRole, c.InitialModel)
	}
	settings := c.settings()
	return settings.Validate()
}

// Run serves until the context ends. Then the engine tells the membership list that it leaves, waits for its runs to
// end, and takes itself off the list.
func (c *EngineCommand) Run(ctx context.Context, logger *logrus.Logger) error {
	settings := c.settings()
	if c.RunLog != "" {
		runs, err := openRunLog(c.RunLog)
		if err != nil {
			return errors.Wrapf(err, "engine %s", c.Name)
		}
		defer runs.close()
		settings.Observer = runs
	}
	server, err := engineserver.New(engineserver.Options{
		Model:        settings,
		Seed:         c.Seed,
		RestartAfter: c.RestartAfter,
		Logger:       logger,
	})
	if err != nil {
		return errors.Wrapf(err, "make engine %s", c.Name)
	}
	defer server.Close()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrapf(err, "engine %s: listen at %s", c.Name, c.Listen)
	}
	c.log(logger).WithField("address", listener.Addr().String()).Info("Serving.")

	serving := &http.Server{Handler: server.Handler()}
	failed := make(chan error, 1)
	go func() { failed <- serving.Serve(listener) }()
	defer func() { _ = serving.Close() }()

	registration, err := c.register(listener.Addr().String(), server, logger)
	if err != nil {
		return err
	}
	select {
	case err := <-failed:
		return errors.Wrapf(err, "engine %s: serve at %s", c.Name, listener.Addr())
	case <-ctx.Done():
	}
	registration.leave()
	c.awaitIdle(server)
	registration.remove()
	c.log(logger).Info("Stopped.")
	return nil
}

// log returns the logger of the engine.
func (c *EngineCommand) log(logger *logrus.Logger) *logrus.Entry {
	return logging.Part(logger, "engine stand-in").WithField("engine", c.Name)
}

// awaitIdle waits until nothing has run for a while, but no longer than Drain.
func (c *EngineCommand) awaitIdle(server *engineserver.Server) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	deadline := time.Now().Add(c.Drain)
	idleSince := time.Now()
	for now := time.Now(); now.Before(deadline) && now.Sub(idleSince) < idleBeforeExit; now = <-ticker.C {
		if server.Runs() > 0 {
			idleSince = now
		}
	}
}

func (c *EngineCommand) settings() enginemodel.Settings {
	settings := enginemodel.DefaultSettings(c.Name, 0)
	settings.Prefill = settings.Prefill.Faster(c.Speed)
	settings.Decode = settings.Decode.Faster(c.Speed)
	settings.MemoryTokens = c.MemoryTokens
	settings.PrefixCacheTokens = c.PrefixCacheTokens
	settings.MaxWaiting = c.MaxWaiting
	settings.RoleChangeTime = c.RoleChangeTime
	settings.WeightLoadTime = c.WeightLoadTime
	settings.CrashDuringChangeProbability = c.CrashDuringChange
	settings.LoadReportInterval = c.LoadReportInterval
	settings.LoadReportLag = c.LoadReportLag
	settings.CacheEventLossProbability = c.CacheEventLoss
	settings.InitialConfiguration = engine.Configuration{Role: engine.Role(c.InitialRole), Model: c.InitialModel}
	return settings
}

// registration keeps an engine on the membership list. Nil keeps it off.
type registration struct {
	client  *platformclient.Client
	server  *engineserver.Server
	member  platform.Member
	leaving atomic.Bool
	stop    context.CancelFunc
	ended   chan struct{}
	logger  *logrus.Entry
}

// register begins to keep the engine on the membership list, if there is a platform.
func (c *EngineCommand) register(listening string, server *engineserver.Server, logger *logrus.Logger) (*registration, error) {
	if c.Platform == "" {
		return nil, nil
	}
	client, err := platformclient.New(platformclient.Options{Endpoint: c.Platform, Name: c.Name, Logger: logger})
	if err != nil {
		return nil, errors.Wrapf(err, "engine %s: platform %s", c.Name, c.Platform)
	}
	address := c.Address
	if address == "" {
		address = listening
	}
	keeping, stop := context.WithCancel(context.Background())
	r := &registration{
		client: client,
		server: server,
		member: platform.Member{Name: c.Name, Kind: platform.MemberEngine, Zone: c.Zone, Address: address, Labels: c.Label},
		stop:   stop,
		ended:  make(chan struct{}),
		logger: c.log(logger),
	}
	go func() {
		defer close(r.ended)
		client.KeepRegistered(keeping, c.Register, r.current)
	}()
	return r, nil
}

// current is what the membership list is told.
func (r *registration) current() platform.Member {
	member := r.member
	member.Incarnation = r.server.Incarnation()
	member.Leaving = r.leaving.Load()
	return member
}

// leave tells the membership list that the engine will go away soon.
func (r *registration) leave() {
	if r == nil {
		return
	}
	r.leaving.Store(true)
	if _, err := r.client.RegisterMember(context.Background(), r.current()); err != nil {
		r.logger.WithError(err).Warn("Leaving was not told to the platform.")
	}
}

// remove takes the engine off the membership list.
func (r *registration) remove() {
	if r == nil {
		return
	}
	r.stop()
	<-r.ended
	if err := r.client.RemoveMember(context.Background(), r.member.Name); err != nil {
		r.logger.WithError(err).Warn("Not taken off the membership list.")
	}
	r.client.Close()
}
