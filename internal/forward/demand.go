package forward

import (
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/loadshare"
)

// offered counts the reading that callers have offered for the engines of one group through this gateway.
type demandCounter struct {
	tokens int64
	rate   loadshare.Rate
}

// countOffered notes the work of reading one prompt, once for each request. The mutex is held.
func (d *Dispatcher) countDemand(worker *backend.Worker, tokens int) {
	group := worker.RoleGroup()
	counter, found := d.demand[group]
	if !found {
		counter = &demandCounter{}
		d.demand[group] = counter
	}
	counter.tokens += int64(tokens)
}

// toTellOffered returns what was offered, for the other gateways. The mutex is held.
func (d *Dispatcher) demandToSend() []loadshare.Offered {
	var demand []loadshare.Offered
	for group, counter := range d.demand {
		demand = append(demand, loadshare.Offered{Group: group, Tokens: counter.tokens})
	}
	return demand
}

// readingDemand returns how many engines that only read would be busy with the prompts that callers offer for a group through all
// gateways. The engines are of a service. The mutex is held.
func (d *Dispatcher) prefillDemand(group, service string) float64 {
	now := d.now()
	perSecond := d.peers.board.Offered(now, group)
	if own, found := d.demand[group]; found {
		own.rate.Update(now, own.tokens)
		perSecond += own.rate.PerSecond()
	}
	estimate := d.model.Estimate(now, enginemodel.Class{Group: service, Role: backend.RolePrefill})
	return perSecond * estimate.SecondsPerToken
}
