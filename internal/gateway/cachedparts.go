package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// Bounds of the questions what engines keep.
const (
	// keptTimeout bounds one question to an engine.
	engineQueryTimeout = 500 * time.Millisecond
	// mostAsked bounds the engines that a gateway asks: a second of its time, at some milliseconds each.
	maxEnginesQueried = 1024
	// askedAtOnce bounds the questions under way.
	maxConcurrentQueries = 16
	// gatewaysAsked is how many gateways are asked: each of those that take requests knows all, but some begin at the same moment.
	maxGatewaysQueried = 4
)

// learnKept learns what engines keep of prompts, once they are known and whenever this gateway begins to take requests: one that starts
// again, or all of them at once, else has every shared part read anew although it lies ready. Those that take requests know it. Where none
// of them does, each asks its own part of the engines, and all of them each other afterwards.
func (g *Gateway) learnCachedParts(ctx context.Context) {
	if g.ports.KeptParts == nil {
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
			// One that took itself for an entry before it knew the others has nothing to learn for.
			if !g.isEntry() || g.learnFromGateways(ctx) > 0 {
				continue
			}
			g.learnFromEngines(ctx)
			g.learnFromGateways(ctx)
		}
	}
}

// learnKeptAgain has the engines asked soon.
func (g *Gateway) triggerLearning() {
	select {
	case g.learnTrigger <- struct{}{}:
	default:
	}
}

// askGateways asks some of the gateways that take requests, or did a moment ago, what engines keep, and returns how much of it was news.
func (g *Gateway) learnFromGateways(ctx context.Context) int {
	var queries sync.WaitGroup
	var learned atomic.Int64
	for _, address := range g.gatewaysToQuery() {
		queries.Go(func() {
			parts, err := g.cacheAsker.Ask(ctx, address)
			if err != nil {
				logging.Part(g.logger, "gateway").WithError(err).Debug("A gateway did not tell what engines keep.")
				return
			}
			learned.Add(int64(g.dispatcher.LearnAll(parts)))
		})
	}
	queries.Wait()
	logging.Part(g.logger, "gateway").WithField("parts", learned.Load()).Info("Learnt from other gateways what engines keep.")
	return int(learned.Load())
}

// gatewaysToAsk returns the addresses of the gateways to ask, in random order: those that took requests before this one did come first.
func (g *Gateway) gatewaysToQuery() []string {
	g.entries.mu.Lock()
	previous, current := g.entries.previous, g.entries.current
	g.entries.mu.Unlock()
	addresses := lo.Uniq(append(g.controlAddresses(previous), g.controlAddresses(current)...))
	return addresses[:min(len(addresses), maxGatewaysQueried)]
}

// controlAddresses returns where the others of some gateways answer, in random order.
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

// askEngines asks engines what they keep.
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

// enginesToAsk returns the engines that this gateway asks, in random order: its own part of them, as those that take requests divide them.
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

// learnFrom asks one engine. One that does not answer is not asked again: its parts become known as they are used.
func (g *Gateway) learnFromEngine(ctx context.Context, engine *backend.Worker) {
	ctx, cancel := context.WithTimeout(ctx, engineQueryTimeout)
	defer cancel()
	parts, err := g.ports.KeptParts.Kept(ctx, engine)
	if err != nil {
		logging.Part(g.logger, "gateway").WithError(err).Debug("An engine did not tell what it keeps.")
		return
	}
	g.dispatcher.Learn(engine.ID, parts)
}
