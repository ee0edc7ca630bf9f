package roles

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// clearPaceRatio is the ratio of two paces from which on the engines count as differently fast. It is well above the error of a pace.
const clearPaceRatio = 1.5

// paceState tracks the paces of the engines of a group, and the changes that were made because of them.
type paceState struct {
	// updatedAt is the time of the last update.
	updatedAt time.Time
	// known holds the last known pace of each engine.
	known map[string]enginePace
	// slowSince maps decode engines that are clearly slower than typical to the time since when they are.
	slowSince map[string]time.Time
	// exchangedAt maps engines that changed their role because of their pace to the time of the change.
	exchangedAt map[string]time.Time
	// exchanged is set once engines changed their role because of their pace.
	exchanged bool
	// partnerDue is set while the second change of an exchange is missing.
	partnerDue bool
}

// enginePace is the pace of an engine in the given role.
type enginePace struct {
	factor float64
	role   backend.Role
}

// record records the pace of an engine. That as a decode engine is kept while the engine has the prefill role. A pace as a prefill engine is
// relative to other prefill engines, so it isn't comparable any more once slow engines were exchanged.
func (s *paceState) record(engine Engine) {
	id, role := engine.Worker.ID, engine.Worker.Role
	known, found := s.known[id]
	isComparable := role == backend.RoleDecode || !found || (known.role == role && !s.exchanged)
	if engine.Pace > 0 && isComparable {
		s.known[id] = enginePace{factor: engine.Pace, role: role}
	}
}

// update records the paces of the engines, once for each time, and forgets those of engines that are gone.
func (s *paceState) update(now time.Time, engines []Engine, settings *Settings) {
	if s.known == nil {
		s.known, s.slowSince, s.exchangedAt = map[string]enginePace{}, map[string]time.Time{}, map[string]time.Time{}
	}
	if now.Equal(s.updatedAt) {
		return
	}
	s.updatedAt = now
	for _, engine := range engines {
		s.record(engine)
		id := engine.Worker.ID
		switch isSlow := engine.Worker.Role == backend.RoleDecode && s.of(engine) >= clearPaceRatio; {
		case !isSlow:
			delete(s.slowSince, id)
		case s.slowSince[id].IsZero():
			s.slowSince[id] = now
		}
	}
	maps.DeleteFunc(s.exchangedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= settings.PaceHold })
	if len(s.known) > len(engines) {
		s.forgetOthers(engines)
	}
}

// forgetOthers forgets all but the given engines.
func (s *paceState) forgetOthers(engines []Engine) {
	present := make(map[string]bool, len(engines))
	for _, engine := range engines {
		present[engine.Worker.ID] = true
	}
	maps.DeleteFunc(s.known, func(id string, _ enginePace) bool { return !present[id] })
	maps.DeleteFunc(s.slowSince, func(id string, _ time.Time) bool { return !present[id] })
}

// of returns the pace of an engine, 1 if it was never known.
func (s *paceState) of(engine Engine) float64 {
	if pace, found := s.known[engine.Worker.ID]; found {
		return pace.factor
	}
	return 1
}

// level returns the pace of an engine on a scale of powers of clearPaceRatio, 0 for those that are not clearly faster or slower than typical.
func (s *paceState) level(engine Engine) int {
	return int(math.Log(s.of(engine)) / math.Log(clearPaceRatio))
}

// compare orders engines by which should take a role first: the slowest for prefill, the fastest for decode, and the idlest of those that are
// alike.
func (s *paceState) compare(role backend.Role) func(a, b Engine) int {
	return func(a, b Engine) int {
		byPace := cmp.Compare(s.level(a), s.level(b))
		if role == backend.RolePrefill {
			byPace = -byPace
		}
		return cmp.Or(byPace, cmp.Compare(a.workload(), b.workload()), strings.Compare(a.Worker.ID, b.Worker.ID))
	}
}

// exchange returns the next change of an exchange of a slow decode engine for a faster prefill engine, or nil. The slow engine changes first,
// and the faster one immediately afterwards.
func (p *Planner) exchange(now time.Time, group *Group, prefill, decode roleSummary) *Change {
	if p.paces.partnerDue {
		p.paces.partnerDue = false
		if fast, found := p.fastPrefill(prefill); found && p.canSpare(prefill, decode) {
			return p.changeForPace(now, fast, backend.RoleDecode, "It is clearly faster than a decode engine that became a prefill engine.")
		}
		return nil
	}
	if p.changing >= max(int(p.settings.MaxExchangeShare*float64(p.groupSize)), 2) || !p.canSpare(decode, prefill) {
		return nil
	}
	if available := decode.live - decode.changing - 1; p.decodeLoad.value > p.settings.MaxDecodeUse*float64(available) {
		return nil
	}
	slow, found := p.slowDecode(now, decode)
	fast, fastFound := p.fastPrefill(prefill)
	if !found || !fastFound || p.paces.of(slow) < clearPaceRatio*p.paces.of(fast) || !p.allowsSlowPrefill(group, prefill) {
		return nil
	}
	p.paces.partnerDue = true
	return p.changeForPace(now, slow, backend.RolePrefill, "It is clearly slower than a prefill engine, which becomes a decode engine.")
}

// slowDecode returns the slowest decode engine that has been clearly slower than typical for PaceDelay.
func (p *Planner) slowDecode(now time.Time, decode roleSummary) (Engine, bool) {
	return p.first(decode.ready, backend.RolePrefill, func(engine Engine) bool {
		since := p.paces.slowSince[engine.Worker.ID]
		return !since.IsZero() && now.Sub(since) >= p.settings.PaceDelay
	})
}

// fastPrefill returns the fastest prefill engine.
func (p *Planner) fastPrefill(prefill roleSummary) (Engine, bool) {
	return p.first(prefill.ready, backend.RoleDecode, func(engine Engine) bool { return p.paces.of(engine) < clearPaceRatio })
}

// first returns the engine that should take a role first, of those that did not change because of their pace lately and match.
func (p *Planner) first(engines []Engine, role backend.Role, match func(Engine) bool) (Engine, bool) {
	var matching []Engine
	for _, engine := range engines {
		if p.paces.exchangedAt[engine.Worker.ID].IsZero() && match(engine) {
			matching = append(matching, engine)
		}
	}
	if len(matching) == 0 {
		return Engine{}, false
	}
	return slices.MinFunc(matching, p.paces.compare(role)), true
}

// toPrefill returns the engines of which one may become a prefill engine: those that are not clearly slow, if enough prefill engines are.
func (p *Planner) toPrefill(group *Group, decode, prefill roleSummary) []Engine {
	if p.allowsSlowPrefill(group, prefill) {
		return decode.ready
	}
	faster := slices.DeleteFunc(slices.Clone(decode.ready), func(engine Engine) bool { return p.paces.of(engine) >= clearPaceRatio })
	if len(faster) == 0 {
		return decode.ready
	}
	return faster
}

// allowsSlowPrefill reports whether one more prefill engine may be clearly slower than typical: some must not, because long prompts need them.
func (p *Planner) allowsSlowPrefill(group *Group, prefill roleSummary) bool {
	slow := 0
	for _, engine := range group.Engines {
		if engine.targetRole() == backend.RolePrefill && !engine.Worker.Draining && p.paces.of(engine) >= clearPaceRatio {
			slow++
		}
	}
	return float64(slow) < p.settings.MaxSlowPrefillShare*float64(prefill.count)
}

// changeForPace returns a change that is made because of the pace of an engine.
func (p *Planner) changeForPace(now time.Time, engine Engine, role backend.Role, reason string) *Change {
	p.paces.exchanged, p.paces.exchangedAt[engine.Worker.ID] = true, now
	return &Change{Worker: engine.Worker, Role: role, Reason: reason}
}
