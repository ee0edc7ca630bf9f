package balance

import (
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// RiskSettings bound what requests under which workers have ended may do to a role.
type RiskSettings struct {
	// Share is the part of a role that may be away, or run such requests, at one moment: what a fleet spares for a zone or a release.
	// One worker is always allowed; otherwise small roles would never find out.
	Share float64
	// Away is how long a worker that ended and is not back counts as a loss. Then the role is taken to be that much smaller. It is some
	// times what the record of a worker needs to lapse, so that one which starts again at once is back before.
	Away time.Duration
	// Memory is how long the address of a worker that ended comes after the others: one that ends by itself, again and again, would have
	// requests barred that do no harm.
	Memory time.Duration
	// Sets is into how many sets such requests are divided, so that one which ends workers meets few of the others again: over the workers
	// at risk as far as there are so many, and over time beyond, in turns of Turn. Without turns, of 50 plays at a role of four three ended
	// with a bar of an often asked request that does no harm. A turn is somewhat longer than such a request takes to end its worker.
	Sets int
	Turn time.Duration
}

// Round is how long the turns of all sets take, at the most.
func (s RiskSettings) Round() time.Duration { return time.Duration(s.Sets) * s.Turn }

// DefaultRiskSettings allow a quarter of a role.
func DefaultRiskSettings() RiskSettings {
	return RiskSettings{Share: 0.25, Away: 10 * time.Second, Memory: 10 * time.Minute, Sets: 8, Turn: 100 * time.Millisecond}
}

// loss is the end of a worker.
type loss struct {
	worker *backend.Worker
	at     time.Time
	// isBack is set once there is another worker at its address, or in its place.
	isBack bool
}

// losses are the workers that ended, by the ids of their incarnations.
type losses struct {
	workers map[string]*loss
	// backAfter is how long the last one took that came back; zero before.
	backAfter time.Duration
	// newcomers have come since Returned was called last.
	newcomers []*state
	// counting is set once newcomers can be told from those that were there before.
	counting bool
}

// Ended notes that a worker ended at a moment, as its connections or other gateways tell. Hearing it again changes nothing.
func (b *Balancer) Ended(now, at time.Time, id string) {
	known, found := b.workers[id]
	if b.losses.workers[id] != nil || !found {
		return
	}
	for other, each := range b.losses.workers {
		if now.Sub(each.at) > b.settings.Risk.Memory {
			delete(b.losses.workers, other)
		}
	}
	b.losses.workers[id] = &loss{worker: known.worker, at: at}
}

// Returned notes which of the workers that ended have come back at their addresses, or have others in their place. It is called when the
// workers have changed.
func (b *Balancer) Returned(now time.Time) {
	for _, each := range b.losses.workers {
		if each.isBack {
			continue
		}
		back := func(other *state) bool {
			return b.losses.workers[other.worker.ID] == nil && slices.Contains(other.worker.Groups(), each.worker.Group)
		}
		if slices.ContainsFunc(b.pools.addresses[each.worker.Address], back) {
			b.isBack(now, each)
		}
	}
	newcomers := b.losses.newcomers
	b.losses.newcomers = nil
	if b.losses.counting {
		slices.SortFunc(newcomers, func(one, other *state) int { return strings.Compare(one.worker.ID, other.worker.ID) })
		for _, newcomer := range newcomers {
			if replaced := b.firstAway(newcomer); replaced != nil {
				b.isBack(now, replaced)
			}
		}
	}
	// Those that are there when the first ones are known are no newcomers.
	b.losses.counting = b.losses.counting || len(b.workers) > 0
}

// isBack notes that a worker which ended is back, or that another one takes its place.
func (b *Balancer) isBack(now time.Time, lost *loss) {
	if !lost.isBack {
		lost.isBack, b.losses.backAfter = true, min(now.Sub(lost.at), b.settings.Risk.Away)
	}
}

// firstAway returns the worker that ended first of those in whose place a newcomer may have come, or nil: another one has its address.
func (b *Balancer) firstAway(newcomer *state) *loss {
	var first *loss
	for _, each := range b.losses.workers {
		if each.worker.Address == newcomer.worker.Address {
			return nil
		}
		isOf := each.worker.Role == newcomer.worker.Role && each.worker.Group == newcomer.worker.Group
		if isOf && !each.isBack && (first == nil || each.at.Before(first.at)) {
			first = each
		}
	}
	return first
}

// upAndAway returns the workers of a role that are up, by their addresses, and when those ended that are not back. One whose address
// refuses connections is away from now on, if its end was not told yet.
func (b *Balancer) upAndAway(now time.Time, query Query) (map[string]*state, []time.Time) {
	up := map[string]*state{}
	var away []time.Time
	for _, candidate := range b.pools.groups[query.Group] {
		lost := b.losses.workers[candidate.worker.ID]
		isUp := lost == nil || now.Sub(lost.at) >= b.settings.Risk.Away
		if !isUp || candidate.worker.Draining || candidate.worker.Role != query.Role || candidate.changing(now) {
			continue
		}
		if candidate.gone(now) {
			away = append(away, now)
			continue
		}
		up[candidate.worker.Address] = candidate
	}
	for _, lost := range b.losses.workers {
		if lost.isOf(query) && !lost.isBack && now.Sub(lost.at) < b.settings.Risk.Away {
			away = append(away, lost.at)
		}
	}
	return up, away
}

// isOf tells whether a worker that ended was of the role of a query.
func (l *loss) isOf(query Query) bool {
	return l.worker.Role == query.Role && slices.Contains(l.worker.Groups(), query.Group)
}

// mostAtRisk returns at how many workers of a role requests may run that may end them.
func (b *Balancer) mostAtRisk(up, away int) int {
	return max(int(b.settings.Risk.Share*float64(up+away)), 1) - away
}

// atRisk returns the workers at which requests may run that may end them: as many as the role can lose besides those that are away. All
// gateways that heard of the same ends choose the same ones, so that requests which come to several of them put no more at risk.
func (b *Balancer) atRisk(now time.Time, query Query) []*state {
	up, away := b.upAndAway(now, query)
	most := b.mostAtRisk(len(up), len(away))
	if most <= 0 || (!query.Begun && b.untilTurn(now, query, most) > 0) {
		return nil
	}
	var chosen []*state
	for _, each := range b.mayEnd(query, up, most) {
		if each.mayBeAsked(now) {
			chosen = append(chosen, each)
		}
	}
	return chosen
}

// mayEnd returns the workers that a request may end, of those that are up and so many at the most. Others do not take the place of one that
// it was tried at, or that wants no requests now.
func (b *Balancer) mayEnd(query Query, up map[string]*state, most int) []*state {
	var workers []*state
	for _, address := range b.riskOrder(query, up)[:min(most, len(up))] {
		if !slices.Contains(query.Excluded, up[address].worker.ID) {
			workers = append(workers, up[address])
		}
	}
	return workers
}

// untilOneTakes returns how long it takes until the first of some workers takes requests again.
func untilOneTakes(now time.Time, workers []*state) time.Duration {
	if len(workers) == 0 {
		return 0
	}
	first := slices.MinFunc(workers, func(one, other *state) int { return one.takesFrom(now).Compare(other.takesFrom(now)) })
	return max(first.takesFrom(now).Sub(now), 0)
}

// untilTurn returns how long a request waits for its turn at so many workers; zero when it is its turn. Turns are counted from the last
// end in the role, which all gateways know within some milliseconds, and each end shuffles the sets.
func (b *Balancer) untilTurn(now time.Time, query Query, workers int) time.Duration {
	sets := (b.settings.Risk.Sets + workers - 1) / workers
	last := ""
	for id, lost := range b.losses.workers {
		if lost.isOf(query) && (last == "" || lost.at.After(b.losses.workers[last].at)) {
			last = id
		}
	}
	if sets <= 1 || last == "" {
		return 0
	}
	since := now.Sub(b.losses.workers[last].at)
	turn := b.settings.Risk.Turn
	own := rendezvous.Slot(last+"/"+query.Apart, sets)
	turns := (own - int(since/turn)%sets + sets) % sets
	if turns == 0 {
		return 0
	}
	return time.Duration(turns)*turn - since%turn
}

// riskOrder returns the addresses of workers, those at which none ended first, and those where it is longest ago.
func (b *Balancer) riskOrder(query Query, up map[string]*state) []string {
	endedAt := map[string]time.Time{}
	for _, lost := range b.losses.workers {
		if address := lost.worker.Address; lost.at.After(endedAt[address]) {
			endedAt[address] = lost.at
		}
	}
	addresses := make([]string, 0, len(up))
	for address := range up {
		addresses = append(addresses, address)
	}
	ordered := rendezvous.Order(query.Group+"/"+string(query.Role), addresses)
	slices.SortStableFunc(ordered, func(a, b string) int { return endedAt[a].Compare(endedAt[b]) })
	return ordered
}

// RunsIn returns after how long a request that may end workers is expected to run: when it is its turn and a worker takes it, or when the first worker of the
// role that ended is back, as long as the last one took, or does not count as a loss any more.
func (b *Balancer) RunsIn(now time.Time, query Query) time.Duration {
	up, away := b.upAndAway(now, query)
	if most := b.mostAtRisk(len(up), len(away)); most > 0 {
		return max(b.untilTurn(now, query, most), untilOneTakes(now, b.mayEnd(query, up, most)))
	}
	takes := b.settings.Risk.Away
	if b.losses.backAfter > 0 {
		takes = b.losses.backAfter
	}
	return max(takes-now.Sub(slices.MinFunc(away, time.Time.Compare)), 0)
}

// Tried tells whether a request that may end workers was tried at all those at which it may run: another one does not take their place.
func (b *Balancer) Tried(now time.Time, query Query) bool {
	up, away := b.upAndAway(now, query)
	most := min(b.mostAtRisk(len(up), len(away)), len(up))
	if most <= 0 || len(query.Excluded) == 0 {
		return false
	}
	return len(b.mayEnd(query, up, most)) == 0
}
