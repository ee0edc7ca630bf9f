package gateway

import "github.com/granitebay/granitebay/internal/loadshare"

// TakeSupplement implements loadshare.Source.
func (g *Gateway) TakeSupplement(full bool) loadshare.Supplement {
	asks, loans := g.dispatcher.TakeLoans()
	return loadshare.Supplement{Leaving: g.notices.drain(full), Limits: g.workerLimits.drain(full), Asks: asks, Loans: loans}
}

// ApplySupplement implements loadshare.Source. Workers announced as leaving are drained here as well, even if this
// gateway got no notice from them.
func (g *Gateway) ApplySupplement(supplement *loadshare.Supplement) {
	for _, id := range supplement.Leaving {
		if g.view.WorkerLeaving(id) {
			g.notices.reportRemoteLeaving(id)
		}
	}
	g.workerLimits.handlePeer(supplement.Limits)
	g.dispatcher.ApplyLoans(supplement.Asks, supplement.Loans)
}
