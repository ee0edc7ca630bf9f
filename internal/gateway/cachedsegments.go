package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// Limits on cache queries.
const (
	// engineQueryTimeout bounds the query of one engine.
	engineQueryTimeout = 500 * time.Millisecond
	// maxEnginesQueried bounds the engines that one gateway queries when it becomes an entry.
	maxEnginesQueried = 1024
	// maxConcurrentQueries bounds concurrent engine queries.
	maxConcurrentQueries = 16
	// maxGatewaysQueried is how many gateways to query. One is enough, unless it has only just become an entry and knows no
	// cached segments yet.
	maxGatewaysQueried = 4
	// gatewayPatience is how long the engines are not queried because a gateway may still respond. It is short: gateways
	// that start at the same time respond late, if at all.
	gatewayPatience = 50 * time.Millisecond
)

// learnCachedSegments learns which prompt segments engines cache, once the engines are known and whenever this gateway
// becomes an entry. Without it, a new entry would send requests to engines that do not cache their prompts. Entries that
// already serve know the segments; if there are none, each entry queries its share of the engines and then the other
// entries.
func (g *Gateway) learnCachedSegments(ctx context.Context) {
	if g.dependencies.PromptCache == nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-g.workersKnown:
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.learnTrigger:
			// The trigger may be outdated: a starting gateway considers itself an entry until it knows the others.
			if !g.isEntry() {
				continue
			}
			learned, isWarm := g.learnFromGateways(ctx, gatewayPatience)
			if learned > 0 && isWarm {
				continue
			}
			var queries sync.WaitGroup
			if !isWarm && !g.view.IsNewFleet(newFleetWindow) {
				queries.Go(func() { g.learnEngineLoad(ctx) })
			}
			g.learnFromEngines(ctx)
			queries.Wait()
			g.learnFromGateways(ctx, engineQueryTimeout)
		}
	}
}

// triggerLearning starts learning in the background.
func (g *Gateway) triggerLearning() {
	select {
	case g.learnTrigger <- struct{}{}:
	default:
	}
}

// learnFromGateways queries some current and previous entries for cached prompt segments, and waits for their responses no
// longer than patience. It returns how many segments were new, and whether a gateway responded that knows the load of the
// engines. If one does, its segments are waited for; later responses of others are still used.
func (g *Gateway) learnFromGateways(ctx context.Context, patience time.Duration) (learned int, isWarm bool) {
	addresses := g.gatewaysToQuery()
	learnedCounts, warm := make(chan int, len(addresses)), make(chan struct{}, len(addresses))
	for _, address := range addresses {
		g.tasks.Go(func() {
			learnedCounts <- g.learnFromGateway(ctx, address, func() { warm <- struct{}{} })
		})
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for remaining := len(addresses); remaining > 0; {
		select {
		case count := <-learnedCounts:
			learned += count
			remaining--
		case <-warm:
			isWarm = true
			timer.Reset(engineQueryTimeout)
		case <-timer.C:
			return learned, isWarm
		}
		if isWarm && learned > 0 {
			break
		}
	}
	return learned, isWarm || len(warm) > 0
}

// learnFromGateway queries one gateway for cached prompt segments and returns how many were new. It calls onWarm if that
// gateway knows the load of the engines.
func (g *Gateway) learnFromGateway(ctx context.Context, address string, onWarm func()) int {
	log := logging.Component(g.logger, "gateway").WithField("peer", address)
	segments, err := g.cacheClient.Query(ctx, address, onWarm)
	if err != nil {
		log.WithError(err).Debug("Querying a gateway for cached prompt segments failed.")
		return 0
	}
	learned := g.dispatcher.MergeCache(segments)
	log.WithField("segments", learned).Info("Learned cached prompt segments from another gateway.")
	return learned
}

// gatewaysToQuery returns the addresses of the gateways to query, in random order with the previous entries first.
func (g *Gateway) gatewaysToQuery() []string {
	g.entries.mu.Lock()
	previous, current := g.entries.previous, g.entries.current
	g.entries.mu.Unlock()
	addresses := lo.Uniq(append(g.controlAddresses(previous), g.controlAddresses(current)...))
	return addresses[:min(len(addresses), maxGatewaysQueried)]
}

// controlAddresses returns the control addresses of the given gateways, without this one, in random order.
func (g *Gateway) controlAddresses(gateways []member.Gateway) []string {
	var addresses []string
	for _, gateway := range gateways {
		if gateway.Name != g.settings.Name && gateway.ControlAddress != "" {
			addresses = append(addresses, gateway.ControlAddress)
		}
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}

// learnFromEngines queries engines for their cached prompt segments.
func (g *Gateway) learnFromEngines(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentQueries)
	var queries sync.WaitGroup
	for _, engine := range g.enginesToQuery() {
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			g.learnFromEngine(ctx, engine)
		})
	}
	queries.Wait()
}

// enginesToQuery returns the engines that this gateway queries, in random order. In large groups each entry queries its
// share.
func (g *Gateway) enginesToQuery() []*backend.Worker {
	names := gatewayNames(g.advertised())
	var engines []*backend.Worker
	for _, group := range g.dispatcher.Groups() {
		for _, engine := range group.Engines {
			if len(group.Engines) <= maxEnginesQueried || rendezvous.First(engine.Worker.Address, names) == g.settings.Name {
				engines = append(engines, engine.Worker)
			}
		}
	}
	rand.Shuffle(len(engines), func(a, b int) { engines[a], engines[b] = engines[b], engines[a] })
	return engines[:min(len(engines), maxEnginesQueried)]
}

// learnFromEngine queries one engine. Failures are not retried, because cached segments also become known as they are
// used.
func (g *Gateway) learnFromEngine(ctx context.Context, engine *backend.Worker) {
	ctx, cancel := context.WithTimeout(ctx, engineQueryTimeout)
	defer cancel()
	segments, err := g.dependencies.PromptCache.CachedSegments(ctx, engine)
	if err != nil {
		logging.Component(g.logger, "gateway").WithError(err).WithField("engine", engine.ID).Debug("Querying an engine for cached prompt segments failed.")
		return
	}
	g.dispatcher.RecordCache(engine.ID, segments)
}
