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
	keptTimeout = 500 * time.Millisecond
	// mostAsked bounds the engines that a gateway asks: a second of its time, at some milliseconds each.
	mostAsked = 1024
	// askedAtOnce bounds the questions under way.
	askedAtOnce = 16
	// gatewaysAsked is how many gateways are asked: each of those that take requests knows all, but some begin at the same moment.
	gatewaysAsked = 4
)

// learnKept learns what engines keep of prompts, once they are known and whenever this gateway begins to take requests: one that starts
// again, or all of them at once, else has every shared part read anew although it lies ready. Those that take requests know it. Where none
// of them does, each asks its own part of the engines, and all of them each other afterwards.
func (g *Gateway) learnKept(ctx context.Context) {
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
		case <-g.learn:
			// One that took itself for an entry before it knew the others has nothing to learn for.
			if !g.takesRequests() || g.askGateways(ctx) > 0 {
				continue
			}
			g.askEngines(ctx)
			g.askGateways(ctx)
		}
	}
}

// learnKeptAgain has the engines asked soon.
func (g *Gateway) learnKeptAgain() {
	select {
	case g.learn <- struct{}{}:
	default:
	}
}

// askGateways asks some of the gateways that take requests, or did a moment ago, what engines keep, and returns how much of it was news.
func (g *Gateway) askGateways(ctx context.Context) int {
	var asking sync.WaitGroup
	var news atomic.Int64
	for _, address := range g.gatewaysToAsk() {
		asking.Go(func() {
			parts, err := g.keptAsker.Ask(ctx, address)
			if err != nil {
				logging.Part(g.logger, "gateway").WithError(err).Debug("A gateway did not tell what engines keep.")
				return
			}
			news.Add(int64(g.dispatcher.LearnAll(parts)))
		})
	}
	asking.Wait()
	logging.Part(g.logger, "gateway").WithField("parts", news.Load()).Info("Learnt from other gateways what engines keep.")
	return int(news.Load())
}

// gatewaysToAsk returns the addresses of the gateways to ask, in random order: those that took requests before this one did come first.
func (g *Gateway) gatewaysToAsk() []string {
	g.entries.mu.Lock()
	before, now := g.entries.before, g.entries.current
	g.entries.mu.Unlock()
	asked := lo.Uniq(append(g.controlAddresses(before), g.controlAddresses(now)...))
	return asked[:min(len(asked), gatewaysAsked)]
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
func (g *Gateway) askEngines(ctx context.Context) {
	free := make(chan struct{}, askedAtOnce)
	var asking sync.WaitGroup
	for _, engine := range g.enginesToAsk() {
		free <- struct{}{}
		asking.Go(func() {
			defer func() { <-free }()
			g.learnFrom(ctx, engine)
		})
	}
	asking.Wait()
}

// enginesToAsk returns the engines that this gateway asks, in random order: its own part of them, as those that take requests divide them.
func (g *Gateway) enginesToAsk() []*backend.Worker {
	names := namesOf(g.named())
	var engines []*backend.Worker
	for _, group := range g.dispatcher.Groups() {
		for _, engine := range group.Engines {
			if len(group.Engines) <= mostAsked || rendezvous.First(engine.Worker.Address, names) == g.settings.Name {
				engines = append(engines, engine.Worker)
			}
		}
	}
	rand.Shuffle(len(engines), func(a, b int) { engines[a], engines[b] = engines[b], engines[a] })
	return engines[:min(len(engines), mostAsked)]
}

// learnFrom asks one engine. One that does not answer is not asked again: its parts become known as they are used.
func (g *Gateway) learnFrom(ctx context.Context, engine *backend.Worker) {
	ctx, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	parts, err := g.ports.KeptParts.Kept(ctx, engine)
	if err != nil {
		logging.Part(g.logger, "gateway").WithError(err).Debug("An engine did not tell what it keeps.")
		return
	}
	g.dispatcher.Learn(engine.ID, parts)
}
