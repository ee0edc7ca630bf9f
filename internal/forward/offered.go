package forward

import (
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/loadshare"
)

// offered counts the reading that callers have offered for the engines of one group through this gateway.
type offered struct {
	tokens int64
	rate   loadshare.Rate
}

// countOffered notes the work of reading one prompt, once for each request. The mutex is held.
func (d *Dispatcher) countOffered(worker *backend.Worker, tokens int) {
	group := worker.RoleGroup()
	known, found := d.offered[group]
	if !found {
		known = &offered{}
		d.offered[group] = known
	}
	known.tokens += int64(tokens)
}

// toTellOffered returns what was offered, for the other gateways. The mutex is held.
func (d *Dispatcher) toTellOffered() []loadshare.Offered {
	var told []loadshare.Offered
	for group, known := range d.offered {
		told = append(told, loadshare.Offered{Group: group, Tokens: known.tokens})
	}
	return told
}

// readingDemand returns how many engines that only read would be busy with the prompts that callers offer for a group through all
// gateways. The engines are of a service. The mutex is held.
func (d *Dispatcher) readingDemand(group, service string) float64 {
	now := d.now()
	perSecond := d.sharing.board.Offered(now, group)
	if own, found := d.offered[group]; found {
		own.rate.Update(now, own.tokens)
		perSecond += own.rate.PerSecond()
	}
	estimate := d.model.Estimate(now, enginemodel.Class{Group: service, Role: backend.RolePrefill})
	return perSecond * estimate.SecondsPerToken
}
