package roleplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
)

// changes picks the engines that change now: as many as may be out at once, those with the least work to wait for
// first.
func (p *planner) changes(present, best option) []Change {
	from, to := engine.RoleDecode, engine.RolePrefill
	if best.prefill < present.prefill {
		from, to = to, from
	}
	count := min(best.moves, p.freeChanges())
	return lo.Map(lo.Slice(p.changeable(from), 0, count), func(each Engine, _ int) Change {
		return Change{
			Engine: each.Name,
			From:   from,
			To:     to,
			Reason: fmt.Sprintf("%s goes from %s to %s, as it has the least work left. %s", each.Name, from, to, p.reason(present, best)),
			Gain:   best.gain / float64(best.moves),
			Cost:   p.policy.ChangeCost,
		}
	})
}

// assignments gives a role to each engine that has none.
func (p *planner) assignments(serving, present option) []Change {
	free := lo.Filter(p.engines, func(each Engine, _ int) bool { return p.nextRole(each) == engine.RoleNone && !each.Changing })
	prefill := present.prefill - serving.prefill
	return lo.Map(free, func(each Engine, index int) Change {
		to := lo.Ternary(index < prefill, engine.RolePrefill, engine.RoleDecode)
		return Change{
			Engine: each.Name,
			From:   engine.RoleNone,
			To:     to,
			Reason: fmt.Sprintf("%s has no role yet and is to be %s.", each.Name, to),
		}
	})
}

// freeChanges is how many further engines may be out.
func (p *planner) freeChanges() int {
	changing := lo.CountBy(p.engines, func(each Engine) bool { return each.Changing })
	return max(0, max(1, p.policy.MaxChanging)-changing)
}

// changeable returns the engines of a role that may change now, best first.
func (p *planner) changeable(role engine.Role) []Engine {
	result := lo.Filter(p.engines, func(each Engine, _ int) bool {
		return !each.Changing && each.Role == role && p.dwelt(each)
	})
	slices.SortFunc(result, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Pending, b.Pending), a.ChangedAt.Compare(b.ChangedAt), cmp.Compare(a.Name, b.Name))
	})
	return result
}

// dwelt tells whether an engine has had its role for long enough.
func (p *planner) dwelt(each Engine) bool {
	return each.ChangedAt.IsZero() || p.now.Sub(each.ChangedAt) >= p.policy.MinDwell
}

func (p *planner) reason(present, best option) string {
	return fmt.Sprintf("The split of %s is to become %s: it gains %.1f answers in time over %s and costs %.1f.",
		describe(present), describe(best), best.gain, p.settings.Horizon.Round(time.Second), best.cost)
}

func describe(counts option) string {
	return fmt.Sprintf("%d prefill and %d decode", counts.prefill, counts.decode)
}
