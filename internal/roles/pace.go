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
	// partnerRole is the role to take by the second engine of an exchange, of which the first has changed; otherwise empty.
	partnerRole backend.Role
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

// update records the paces of the engines, once for each time, and forgets those of engines that are gone. After more than PaceDelay without an
// update, engines have to be slow for PaceDelay anew.
func (s *paceState) update(now time.Time, engines []Engine, settings *Settings) {
	if s.known == nil {
		s.known, s.slowSince, s.exchangedAt = map[string]enginePace{}, map[string]time.Time{}, map[string]time.Time{}
	}
	if now.Equal(s.updatedAt) {
		return
	}
	if now.Sub(s.updatedAt) > settings.PaceDelay {
		// Nothing is known of the time since then.
		clear(s.slowSince)
		s.partnerRole = backend.RoleNone
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

// exchange returns the next change of an exchange of a slow decode engine for a faster prefill engine, or nil. The second change follows the
// first immediately.
func (p *Planner) exchange(now time.Time, group *Group, prefill, decode roleSummary) *Change {
	if p.paces.partnerRole != backend.RoleNone {
		return p.endExchange(now, prefill, decode)
	}
	if len(p.paces.slowSince) == 0 {
		return nil
	}
	return p.beginExchange(now, group, prefill, decode)
}

// beginExchange returns the first change of an exchange, or nil if none is due.
func (p *Planner) beginExchange(now time.Time, group *Group, prefill, decode roleSummary) *Change {
	slow, hasSlow := p.slowDecode(now, decode)
	fast, hasFast := p.fastPrefill(prefill)
	isClear := hasSlow && hasFast && p.paces.of(slow) >= clearPaceRatio*p.paces.of(fast)
	if !isClear || p.changing >= max(int(p.settings.MaxExchangeShare*float64(p.groupSize)), 2) || !p.allowsSlowPrefill(group, prefill) {
		return nil
	}
	available := decode.live - decode.changing - 1
	switch {
	case available < 1 || p.decodeLoad.value > p.settings.MaxDecodeUse*float64(available):
		return nil
	case p.canSpare(decode, prefill):
		p.paces.partnerRole = backend.RoleDecode
		return p.changeForPace(now, slow, backend.RolePrefill)
	case p.canSpare(prefill, decode):
		// The decode role has its minimum, so the faster engine joins it first.
		p.paces.partnerRole = backend.RolePrefill
		return p.changeForPace(now, fast, backend.RoleDecode)
	default:
		return nil
	}
}

// endExchange returns the second change of an exchange, or nil if no engine can make it any more.
func (p *Planner) endExchange(now time.Time, prefill, decode roleSummary) *Change {
	role := p.paces.partnerRole
	p.paces.partnerRole = backend.RoleNone
	if role == backend.RoleDecode {
		if fast, found := p.fastPrefill(prefill); found && p.canSpare(prefill, decode) {
			return p.changeForPace(now, fast, role)
		}
		return nil
	}
	if slow, found := p.slowDecode(now, decode); found && p.canSpare(decode, prefill) {
		return p.changeForPace(now, slow, role)
	}
	return nil
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

// changeForPace returns a change of an exchange.
func (p *Planner) changeForPace(now time.Time, engine Engine, role backend.Role) *Change {
	p.paces.exchanged, p.paces.exchangedAt[engine.Worker.ID] = true, now
	reason := "It is clearly slower than a prefill engine, which becomes a decode engine."
	if role == backend.RoleDecode {
		reason = "It is clearly faster than a decode engine, which becomes a prefill engine."
	}
	return &Change{Worker: engine.Worker, Role: role, Reason: reason}
}
