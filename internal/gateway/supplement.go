package gateway

import "github.com/granitebay/granitebay/internal/peersync"

// TakeSupplement implements peersync.Source.
func (g *Gateway) TakeSupplement(full bool) peersync.Supplement {
	requests, loans := g.dispatcher.TakeLoans()
	supplement := peersync.Supplement{
		Leaving: g.notices.takeUpdate(full), Limits: g.workerLimits.takeUpdate(full), LoanRequests: requests, Loans: loans,
		EngineReports: g.dispatcher.TakeEngineReports(),
	}
	supplement.Queued, supplement.Promises = g.dispatcher.TakeQueued(full)
	if len(supplement.Queued)+len(supplement.Promises) > 0 {
		supplement.Sender = g.settings.Name
	}
	if parts := g.barSyncer.guard.TakePartUpdate(full); !parts.Empty() {
		supplement.Parts = &parts
	}
	return supplement
}

// ApplySupplement implements peersync.Source. A worker that another gateway announces as leaving is
// draining on this one, too.
func (g *Gateway) ApplySupplement(supplement *peersync.Supplement) {
	for _, id := range supplement.Leaving {
		if g.view.WorkerLeaving(id) {
			g.notices.reportRemoteLeaving(id)
		}
	}
	g.workerLimits.handlePeer(supplement.Limits)
	g.dispatcher.ApplyEngineReports(supplement.EngineReports)
	g.dispatcher.ApplyLoans(supplement.LoanRequests, supplement.Loans)
	g.streams.applyRecords(supplement.StreamVersions)
	g.barSyncer.guard.ApplyPartUpdate(supplement.Parts)
	g.dispatcher.ApplyQueued(supplement.Sender, supplement.Queued, supplement.Promises)
}
