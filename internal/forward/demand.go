package forward

import (
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/peersync"
)

// demandCounter counts the prompt tokens to prefill for requests that this gateway placed in one role group.
type demandCounter struct {
	tokens int64
	rate   peersync.Rate
}

// countDemand adds the work of prefilling one prompt. It is called for each placement without excluded workers, with the mutex held.
func (d *Dispatcher) countDemand(worker *backend.Worker, tokens int) {
	roleGroup := worker.RoleGroup()
	counter, found := d.demand[roleGroup]
	if !found {
		counter = &demandCounter{}
		d.demand[roleGroup] = counter
	}
	counter.tokens += int64(tokens)
}

// demandToSend returns the counters for the other gateways. The mutex is held.
func (d *Dispatcher) demandToSend() []peersync.OfferedLoad {
	var demand []peersync.OfferedLoad
	for roleGroup, counter := range d.demand {
		demand = append(demand, peersync.OfferedLoad{Group: roleGroup, Tokens: counter.tokens})
	}
	return demand
}

// prefillDemand returns how many prefill engines the prompts of a role group, received by all gateways, would keep busy, given the prefill
// speed of the routing group's engines. The mutex is held.
func (d *Dispatcher) prefillDemand(roleGroup, group string) float64 {
	now := d.now()
	perSecond := d.peers.board.Offered(now, roleGroup)
	if own, found := d.demand[roleGroup]; found {
		own.rate.Update(now, own.tokens)
		perSecond += own.rate.PerSecond()
	}
	estimate := d.model.Estimate(now, enginemodel.Class{Group: group, Role: backend.RolePrefill})
	return perSecond * estimate.SecondsPerToken
}
