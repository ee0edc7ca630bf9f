package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// demandKey names what the demand is for: the first group that may run a request, and its model.
type demandKey struct{ group, model string }

// demandMeters measure the demand that arrives at this router.
type demandMeters struct {
	settings roleplan.MeterSettings
	meters   map[demandKey]*roleplan.Meter
}

// keyOf returns the key of a request; false if its rule names no group.
func keyOf(entry *request) (demandKey, bool) {
	if len(entry.policy.Groups) == 0 {
		return demandKey{}, false
	}
	return demandKey{group: entry.policy.Groups[0], model: entry.work.GetModel()}, true
}

// add counts the arrival of a request.
func (d *demandMeters) add(now time.Time, entry *request, cachedTokens int) {
	key, ok := keyOf(entry)
	if !ok {
		return
	}
	if d.meters == nil {
		d.meters = make(map[demandKey]*roleplan.Meter)
	}
	meter := d.meters[key]
	if meter == nil {
		meter = roleplan.NewMeter(now, d.settings)
		d.meters[key] = meter
	}
	meter.Record(now, roleplan.Arrival{
		Class:        shapeOf(entry),
		PromptTokens: max(0, int(entry.work.GetPromptTokens())-cachedTokens),
		OutputTokens: int(entry.work.GetMaxTokens()),
		Deadline:     entry.deadline.Sub(entry.arrived),
		Worth:        1,
	})
}

// shapeOf names the class of a request.
func shapeOf(entry *request) string {
	deadline := entry.deadline.Sub(entry.arrived).Round(deadlineStep)
	return roleplan.ShapeClass(int(entry.work.GetPromptTokens()), int(entry.work.GetMaxTokens()), deadline)
}

// deadlineStep keeps deadlines that differ by little in one class.
const deadlineStep = time.Second

// Demand returns the demand since the last call folded into the averages, in order of group, model and class.
func (c *Core) Demand(now time.Time) []*granitebayv1.DemandClass {
	keys := lo.Keys(c.demand.meters)
	slices.SortFunc(keys, func(a, b demandKey) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.model, b.model))
	})
	var classes []*granitebayv1.DemandClass
	for _, key := range keys {
		meter := c.demand.meters[key]
		meter.Tick(now)
		for _, class := range meter.Demand().Classes {
			classes = append(classes, c.demandClass(now, key, class))
		}
	}
	return classes
}

// demandClass puts the averages of a class and its share of the queue into a message.
func (c *Core) demandClass(now time.Time, key demandKey, class roleplan.ClassDemand) *granitebayv1.DemandClass {
	message := &granitebayv1.DemandClass{
		Group:            key.group,
		Model:            key.model,
		Name:             class.Name,
		RequestsFast:     class.Requests.Fast,
		RequestsSlow:     class.Requests.Slow,
		PromptTokensFast: class.PromptTokens.Fast,
		PromptTokensSlow: class.PromptTokens.Slow,
		OutputTokensFast: class.OutputTokens.Fast,
		OutputTokensSlow: class.OutputTokens.Slow,
		DeadlineMillis:   class.Deadline.Milliseconds(),
	}
	for _, item := range c.queue.waiting {
		if itemKey, ok := keyOf(item.entry); !ok || itemKey != key || shapeOf(item.entry) != class.Name {
			continue
		}
		message.Queued++
		message.OldestQueuedMillis = max(message.OldestQueuedMillis, uint32(now.Sub(item.entry.arrived).Milliseconds()))
	}
	return message
}
