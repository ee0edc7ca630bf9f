package experiment

import (
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// controller decides which engines change role. It is asked once each control interval.
type controller interface {
	decide(now time.Time, f *front) []roleplan.Change
}

// controlInterval is the time between two decisions on roles.
const controlInterval = time.Second

// staticController never changes a role.
type staticController struct{}

func (staticController) decide(time.Time, *front) []roleplan.Change { return nil }

// planController follows the role plan.
type planController struct {
	policy   roleplan.Policy
	settings roleplan.Settings
	capacity *roleplan.Capacity
}

func newPlanController(policy roleplan.Policy, settings roleplan.Settings) *planController {
	return &planController{policy: policy, settings: settings, capacity: roleplan.NewCapacity(roleSpeeds())}
}

func (c *planController) decide(now time.Time, f *front) []roleplan.Change {
	demand := f.demand(now)
	if now.Sub(epoch) < warmUp {
		return nil
	}
	return roleplan.MakePlan(now, demand, f.planEngines(), c.policy, c.capacity, c.settings).Changes
}

// warmUp is how long the averages are given before the first decision.
const warmUp = 5 * time.Second

// roleSpeeds returns the speeds of the engine model as the role plan takes them.
func roleSpeeds() map[engine.Role]roleplan.Speed {
	settings := engineSettings("")
	result := map[engine.Role]roleplan.Speed{}
	for _, role := range engine.Roles() {
		profile := settings.Profile(role)
		result[role] = roleplan.Speed{
			PromptTokensPerSecond: profile.PrefillTokensPerSecond,
			StepSeconds:           (profile.StepBase + profile.StepPerRun).Seconds(),
			StepSecondsPerRun:     profile.StepPerRun.Seconds(),
			Slots:                 profile.Slots,
		}
	}
	return result
}

// thresholdController is the reactive baseline: when one pool of engines has much more work for each engine than the
// other, an engine changes over. It knows nothing of the cost of a change.
type thresholdController struct {
	// ratio is how much more work, and least the work in seconds for each engine, that make a change.
	ratio    float64
	least    time.Duration
	cooldown time.Duration
	last     time.Time
}

func (c *thresholdController) decide(now time.Time, f *front) []roleplan.Change {
	if !c.last.IsZero() && now.Sub(c.last) < c.cooldown {
		return nil
	}
	prefill, decode := f.poolWork()
	from, to := engine.RoleDecode, engine.RolePrefill
	if decode > prefill {
		from, to = to, from
		prefill, decode = decode, prefill
	}
	if prefill < c.least.Seconds() || prefill < c.ratio*decode {
		return nil
	}
	candidates := lo.Filter(f.engines, func(each *engineState, _ int) bool {
		return each.phase == phaseServing && each.configuration.Role == from
	})
	if len(candidates) < 2 {
		return nil
	}
	c.last = now
	chosen := lo.MinBy(candidates, func(a, b *engineState) bool { return f.pending(a) < f.pending(b) })
	return []roleplan.Change{{Engine: chosen.name, From: from, To: to, Reason: "The other pool has more work."}}
}

// poolWork returns the work in seconds for each engine of either role: what the engines have, and what is queued, at
// the role that suits it best.
func (f *front) poolWork() (prefill, decode float64) {
	work := map[engine.Role]float64{}
	count := map[engine.Role]int{}
	for _, each := range f.engines {
		role := lo.Ternary(each.phase == phaseServing, each.configuration.Role, each.target)
		count[role]++
		work[each.configuration.Role] += f.pending(each).Seconds()
	}
	for _, each := range f.queue.all() {
		work[f.bestRole(each.request)] += f.leastSeconds(each.request)
	}
	return work[engine.RolePrefill] / float64(max(1, count[engine.RolePrefill])),
		work[engine.RoleDecode] / float64(max(1, count[engine.RoleDecode]))
}

// bestRole is the role at which a request takes less engine time than a typical one would.
func (f *front) bestRole(request *Request) engine.Role {
	const typicalRatio = 20
	return lo.Ternary(request.PromptTokens > typicalRatio*request.OutputTokens, engine.RolePrefill, engine.RoleDecode)
}

// scheduledController follows a schedule that was made beforehand.
type scheduledController struct {
	// prefill is the wanted number of prefill engines in each step of the schedule.
	prefill []int
	step    time.Duration
	// out is how many engines may be out at once.
	out int
}

func (c *scheduledController) decide(now time.Time, f *front) []roleplan.Change {
	step := min(len(c.prefill)-1, int(now.Sub(epoch)/c.step))
	present, changing := 0, 0
	for _, each := range f.engines {
		role := lo.Ternary(each.phase == phaseServing, each.configuration.Role, each.target)
		present += lo.Ternary(role == engine.RolePrefill, 1, 0)
		changing += lo.Ternary(each.phase != phaseServing, 1, 0)
	}
	from, to, count := engine.RoleDecode, engine.RolePrefill, c.prefill[step]-present
	if count < 0 {
		from, to, count = to, from, -count
	}
	count = min(count, c.out-changing)
	var changes []roleplan.Change
	for range max(0, count) {
		candidates := lo.Filter(f.engines, func(each *engineState, _ int) bool {
			return each.phase == phaseServing && each.configuration.Role == from &&
				!lo.ContainsBy(changes, func(change roleplan.Change) bool { return change.Engine == each.name })
		})
		if len(candidates) == 0 {
			break
		}
		chosen := lo.MinBy(candidates, func(a, b *engineState) bool { return f.pending(a) < f.pending(b) })
		changes = append(changes, roleplan.Change{Engine: chosen.name, From: from, To: to})
	}
	return changes
}
