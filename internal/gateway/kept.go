package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/logging"
)

// Bounds of the questions what engines keep.
const (
	// keptTimeout bounds one question.
	keptTimeout = 500 * time.Millisecond
	// mostAsked bounds the engines that a gateway asks: with more of them each gateway asks some, drawn at random. Ten or so
	// entries ask each engine of a fleet of thousands a few times.
	mostAsked = 512
	// askedAtOnce bounds the questions under way.
	askedAtOnce = 16
)

// learnKept asks the engines what they keep of prompts, once they are known and whenever this gateway begins to take requests:
// one that starts again, or all of them at once, else has every shared part read anew although it lies ready.
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
			if g.takesRequests() {
				g.askEngines(ctx)
			}
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

// askEngines asks each engine what it keeps.
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

// enginesToAsk returns the engines to ask, in random order.
func (g *Gateway) enginesToAsk() []*backend.Worker {
	var engines []*backend.Worker
	for _, group := range g.dispatcher.Groups() {
		for _, engine := range group.Engines {
			engines = append(engines, engine.Worker)
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
