package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/roles"
)

// engineReportAge is the assumed age of a report when it arrives: engines report their state as it was a moment before.
const engineReportAge = 100 * time.Millisecond

// newFleetWindow is how long after the first list of the store a fleet counts as new: no gateway has sent requests to the
// engines before.
const newFleetWindow = time.Minute

// learnEngineLoad asks engines for their load and their role, after a start at which no other gateway knew them. Each
// entry asks its share of the engines first and then those of which no other entry has told it. Only the first call asks.
func (g *Gateway) learnEngineLoad(ctx context.Context) {
	if g.dependencies.Orderer == nil {
		return
	}
	began := boottime.Now()
	if !g.dispatcher.BeginWarmup(g.enginesByShare()) {
		return
	}
	var queries sync.WaitGroup
	for range maxConcurrentProbes {
		queries.Go(func() {
			for ctx.Err() == nil {
				engine, found := g.dispatcher.NextUnreported()
				if !found {
					return
				}
				g.learnLoadOf(ctx, engine)
			}
		})
	}
	queries.Wait()
	g.reportWarmup(boottime.Now().Sub(began))
}

// learnLoadOf asks one engine. An engine that does not answer counts as half full until the warm-up ends; a failure is
// not retried, because requests show soon what the engine can take.
func (g *Gateway) learnLoadOf(ctx context.Context, engine *backend.Worker) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := g.dependencies.Orderer.Inspect(ctx, engine)
	g.metrics.countEngineReport(err != nil)
	if errors.Is(err, roles.ErrWorkerReplaced) {
		g.dispatcher.RecordRefused(engine.ID)
	}
	if err != nil {
		logging.Component(g.logger, "gateway").WithError(err).WithField("engine", engine.ID).Debug("Asking an engine for its load failed.")
		return
	}
	g.dispatcher.RecordEngineReport(forward.EngineReport{
		Worker: engine.ID, Role: state.Role, Changing: state.Busy, Running: state.Running, Age: engineReportAge,
	})
}

// enginesByShare returns the ids of all engines, this gateway's share first and that of each other entry in turn. All
// entries divide the engines in the same way.
func (g *Gateway) enginesByShare() []string {
	names := gatewayNames(g.view.RegisteredEntries())
	shares := map[string][]string{}
	for _, group := range g.dispatcher.Groups() {
		for _, engine := range group.Engines {
			owner := rendezvous.First(engine.Worker.Address, names)
			shares[owner] = append(shares[owner], engine.Worker.ID)
		}
	}
	ordered := shares[g.settings.Name]
	for _, name := range rendezvous.Order(g.settings.Name, names) {
		if name != g.settings.Name {
			ordered = append(ordered, shares[name]...)
		}
	}
	return ordered
}

// reportWarmup logs the end of the queries and records it as a decision.
func (g *Gateway) reportWarmup(elapsed time.Duration) {
	known := fmt.Sprintf("%.2f", g.dispatcher.KnownShare())
	reason := "No other gateway knew the load of the engines, so the engines were asked for it."
	logging.Component(g.logger, "gateway").WithField("known", known).WithField("took_ms", elapsed.Milliseconds()).Info(reason)
	g.recordDecision(decision.Record{
		Kind: decision.KindEntry, Subject: g.settings.Name, Outcome: "warmed up", Reason: reason,
		Inputs: map[string]string{"known": known, "took_ms": fmt.Sprint(elapsed.Milliseconds())},
	})
}
