package forward

import (
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/peersync"
)

// demandCounter counts the prefill work that callers request from the engines of one group through this gateway.
type demandCounter struct {
	tokens int64
	rate   peersync.Rate
}

// countDemand adds the work of prefilling one prompt. It is called once per request, with the mutex held.
func (d *Dispatcher) countDemand(worker *backend.Worker, tokens int) {
	group := worker.RoleGroup()
	counter, found := d.demand[group]
	if !found {
		counter = &demandCounter{}
		d.demand[group] = counter
	}
	counter.tokens += int64(tokens)
}

// demandToSend returns the counters for the other gateways. The mutex is held.
func (d *Dispatcher) demandToSend() []peersync.OfferedLoad {
	var demand []peersync.OfferedLoad
	for group, counter := range d.demand {
		demand = append(demand, peersync.OfferedLoad{Group: group, Tokens: counter.tokens})
	}
	return demand
}

// prefillDemand returns how many prefill engines the prompts of a group, received by all gateways, would keep busy. The service determines
// the class of the engines. The mutex is held.
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
