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
	// learn corrects the capacity by what engines do.
	learn bool
}

func newPlanController(policy roleplan.Policy, settings roleplan.Settings) *planController {
	return &planController{policy: policy, settings: settings, capacity: roleplan.NewCapacity(roleSpeeds()), learn: true}
}

func (c *planController) decide(now time.Time, f *front) []roleplan.Change {
	demand := f.demand(now)
	for _, each := range f.engines {
		if observation, busy := each.observe(controlInterval); busy && c.learn {
			c.capacity.Learn(observation)
		}
	}
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

// thresholdController is the reactive baseline, in the usual manner: one threshold on the backlog of prompts at the
// prefill engines and one on the use of the slots of the decode engines, with a cooldown. It looks at the present only.
type thresholdController struct {
	// backlog is the time to read the waiting prompts, for each prefill engine, above which a decode engine changes over,
	// and slots the share of slots in use above which a prefill engine changes over. Engines are taken only from a pool
	// that is below half its own threshold.
	backlog  time.Duration
	slots    float64
	cooldown time.Duration
	last     time.Time
}

// poolReserve is the part of its threshold below which a pool can spare an engine.
const poolReserve = 0.5

func (c *thresholdController) decide(now time.Time, f *front) []roleplan.Change {
	if !c.last.IsZero() && now.Sub(c.last) < c.cooldown {
		return nil
	}
	backlog, slots := f.promptBacklog()/c.backlog.Seconds(), f.slotUse()/c.slots
	var from, to engine.Role
	switch {
	case backlog > 1 && slots < poolReserve:
		from, to = engine.RoleDecode, engine.RolePrefill
	case slots > 1 && backlog < poolReserve:
		from, to = engine.RolePrefill, engine.RoleDecode
	default:
		return nil
	}
	chosen, found := f.leastBusy(from, nil)
	if !found || f.count(from) < 2 {
		return nil
	}
	c.last = now
	return []roleplan.Change{{Engine: chosen.name, From: from, To: to, Reason: "The other pool is above its threshold."}}
}

// promptBacklog is the time to read the prompts that wait in the queue and at prefill engines, for each of them.
func (f *front) promptBacklog() float64 {
	tokens := 0
	for _, each := range f.queue.all() {
		tokens += each.request.PromptTokens
	}
	for _, each := range f.engines {
		if each.configuration.Role == engine.RolePrefill {
			tokens += each.pendingPromptTokens
		}
	}
	speed := f.speeds.Speeds[engine.RolePrefill].PromptTokensPerSecond
	return float64(tokens) / speed / float64(max(1, f.count(engine.RolePrefill)))
}

// slotUse is the share of the slots of the decode engines that are in use.
func (f *front) slotUse() float64 {
	running := 0
	for _, each := range f.engines {
		if each.configuration.Role == engine.RoleDecode {
			running += each.running
		}
	}
	slots := f.speeds.Speeds[engine.RoleDecode].Slots * max(1, f.count(engine.RoleDecode))
	return float64(running) / float64(slots)
}

// count counts the engines that serve in a role or are changing to it.
func (f *front) count(role engine.Role) int {
	return lo.CountBy(f.engines, func(each *engineState) bool { return each.nextRole() == role })
}

// leastBusy returns the serving engine of a role with the least work, except for those that are taken.
func (f *front) leastBusy(role engine.Role, taken map[string]bool) (*engineState, bool) {
	candidates := lo.Filter(f.engines, func(each *engineState, _ int) bool {
		return each.phase == phaseServing && each.configuration.Role == role && !taken[each.name]
	})
	if len(candidates) == 0 {
		return nil, false
	}
	return lo.MinBy(candidates, func(a, b *engineState) bool { return f.pending(a) < f.pending(b) }), true
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
	from, to, count := engine.RoleDecode, engine.RolePrefill, c.prefill[step]-f.count(engine.RolePrefill)
	if count < 0 {
		from, to, count = to, from, -count
	}
	changing := lo.CountBy(f.engines, func(each *engineState) bool { return each.phase != phaseServing })
	var changes []roleplan.Change
	taken := map[string]bool{}
	for range max(0, min(count, c.out-changing)) {
		chosen, found := f.leastBusy(from, taken)
		if !found {
			break
		}
		taken[chosen.name] = true
		changes = append(changes, roleplan.Change{Engine: chosen.name, From: from, To: to, Reason: "The schedule says so."})
	}
	return changes
}
