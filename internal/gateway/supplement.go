package gateway

import "github.com/granitebay/granitebay/internal/loadshare"

// DrainSupplement is part of loadshare.Source.
func (g *Gateway) DrainSupplement(full bool) loadshare.Supplement {
	asks, loans := g.dispatcher.DrainLoans()
	return loadshare.Supplement{Leaving: g.notices.drain(full), Limits: g.workerLimits.drain(full), Asks: asks, Loans: loans}
}

// HearSupplement is part of loadshare.Source. A worker that is named there drains here as well, whether this gateway had an answer of it
// or not.
func (g *Gateway) HearSupplement(supplement *loadshare.Supplement) {
	for _, id := range supplement.Leaving {
		if g.view.WorkerLeaves(id) {
			g.notices.reportRemoteLeaving(id)
		}
	}
	g.workerLimits.handlePeer(supplement.Limits)
	g.dispatcher.HearLoans(supplement.Asks, supplement.Loans)
}
