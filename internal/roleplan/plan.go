package roleplan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
)

// planner holds what the steps of one planning share.
type planner struct {
	now      time.Time
	engines  []Engine
	policy   Policy
	settings Settings
	loads    []load
}

// option is one split that the group could have.
type option struct {
	// prefill and decode count engines, and moves those that must change.
	prefill int
	decode  int
	moves   int
	// gain is the expected worth of answers in time over the horizon beyond the present split, and cost what the
	// policy asks for the moves.
	gain float64
	cost float64
}

// net is what the option is worth.
func (o option) net() float64 { return o.gain - o.cost }

// MakePlan plans the roles of one group and model. The result depends only on the arguments, and not on their order.
func MakePlan(now time.Time, demand Demand, engines []Engine, policy Policy, capacity *Capacity, settings Settings) Plan {
	p := &planner{
		now:      now,
		engines:  lo.Filter(engines, func(each Engine, _ int) bool { return !each.Unusable }),
		policy:   policy,
		settings: settings,
		loads:    capacity.resolve(demand, settings),
	}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	return p.plan()
}

func (p *planner) plan() Plan {
	serving, unassigned := p.present()
	present := p.assign(serving, unassigned)
	best := p.bestOption(present)
	result := Plan{
		Wanted:        map[engine.Role]int{engine.RolePrefill: best.prefill, engine.RoleDecode: best.decode},
		Goodput:       p.goodput(splitOf(present)),
		WantedGoodput: p.goodput(splitOf(best)),
		Utilization:   utilization(p.loads, splitOf(present)),
	}
	result.Changes = p.assignments(serving, present)
	if best.moves == 0 {
		result.Reason = fmt.Sprintf("The split of %s stays: no other gains enough.", describe(present))
		return result
	}
	result.Changes = append(result.Changes, p.changes(present, best)...)
	result.Reason = p.reason(present, best)
	return result
}

// present is the split when the changes that are under way have ended, and the number of engines without a role.
func (p *planner) present() (serving option, unassigned int) {
	for _, each := range p.engines {
		switch p.nextRole(each) {
		case engine.RolePrefill:
			serving.prefill++
		case engine.RoleDecode:
			serving.decode++
		default:
			unassigned++
		}
	}
	return serving, unassigned
}

// assign adds the engines without a role where they bring most, floors first. That costs nothing, as they serve nobody.
func (p *planner) assign(serving option, unassigned int) option {
	best := serving
	for added := range unassigned + 1 {
		candidate := option{prefill: serving.prefill + added, decode: serving.decode + unassigned - added}
		missing, leastMissing := p.missing(candidate), p.missing(best)
		better := p.goodput(splitOf(candidate)) > p.goodput(splitOf(best))
		if added == 0 || missing < leastMissing || (missing == leastMissing && better) {
			best = candidate
		}
	}
	return best
}

// missing counts the engines that a split lacks to the floors, and those in roles that are not allowed.
func (p *planner) missing(candidate option) int {
	count := 0
	for _, each := range []struct {
		role  engine.Role
		count int
	}{{engine.RolePrefill, candidate.prefill}, {engine.RoleDecode, candidate.decode}} {
		count += max(0, p.policy.Floors[each.role]-each.count)
		if !p.roleListed(each.role) {
			count += each.count
		}
	}
	return count
}

func (p *planner) nextRole(each Engine) engine.Role {
	if each.Changing {
		return each.Target
	}
	return each.Role
}

// bestOption returns the split with the highest net gain; the present one unless another gains enough.
func (p *planner) bestOption(present option) option {
	best := present
	total := present.prefill + present.decode
	for prefill := range total + 1 {
		candidate := option{prefill: prefill, decode: total - prefill}
		candidate.moves = absolute(prefill - present.prefill)
		if candidate.moves == 0 || !p.allowed(candidate, present) {
			continue
		}
		candidate.gain = p.gain(present, candidate)
		candidate.cost = p.policy.ChangeCost * float64(candidate.moves)
		if candidate.net() > p.leastGain(candidate) && better(candidate, best) {
			best = candidate
		}
	}
	return best
}

// better prefers the higher net gain, and the fewer moves when both gain the same.
func better(a, b option) bool {
	return cmp.Or(cmp.Compare(a.net(), b.net()), cmp.Compare(b.moves, a.moves)) > 0
}

// allowed tells whether the policy allows a split. A floor that the present split misses already may be approached.
func (p *planner) allowed(candidate, present option) bool {
	return p.roleAllowed(engine.RolePrefill, candidate.prefill, present.prefill) &&
		p.roleAllowed(engine.RoleDecode, candidate.decode, present.decode)
}

func (p *planner) roleAllowed(role engine.Role, count, presentCount int) bool {
	if count > presentCount && !p.roleListed(role) {
		return false
	}
	return count >= p.policy.Floors[role] || count > presentCount
}

func (p *planner) roleListed(role engine.Role) bool {
	return len(p.policy.AllowedRoles) == 0 || lo.Contains(p.policy.AllowedRoles, role)
}

// leastGain is what an option must gain beyond its cost, against changes back and forth.
func (p *planner) leastGain(candidate option) float64 {
	return p.settings.Hysteresis * p.goodput(splitOf(candidate)) * p.settings.Horizon.Seconds()
}

// gain is what an option is expected to bring over the horizon: the engines that change are missing first and serve in
// their new role then.
func (p *planner) gain(present, candidate option) float64 {
	waves := math.Ceil(float64(candidate.moves) / float64(max(1, p.policy.MaxChanging)))
	out := min(p.settings.Horizon, time.Duration(waves)*(p.settings.ChangeTime+p.settings.DrainTime))
	during := splitOf(present)
	missing := float64(candidate.moves) / waves
	if candidate.prefill > present.prefill {
		during.decode -= missing
	} else {
		during.prefill -= missing
	}
	before := p.goodput(splitOf(present))
	meanwhile := p.goodput(during)
	after := p.goodput(splitOf(candidate))
	return (after-before)*(p.settings.Horizon-out).Seconds() + (meanwhile-before)*out.Seconds()
}

// goodput is the expected goodput of a split.
func (p *planner) goodput(engines split) float64 { return goodput(p.loads, engines, p.settings) }

func splitOf(counts option) split {
	return split{prefill: float64(counts.prefill), decode: float64(counts.decode)}
}

func absolute(number int) int { return max(number, -number) }
