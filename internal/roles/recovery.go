package roles

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// rescues remember when writers were made for lost ones.
type recoveryState struct {
	lastAt time.Time
	// hold is for how long after the last one no writer is made a reader again.
	hold time.Duration
	// failed holds until when engines that took no order come after the others, by their ids.
	failedUntil map[string]time.Time
	// before is what was known before the changes that were asked for last.
	previous *recoveryState
}

// failedFor is for how long an engine that took no order is passed over for others: as long as two orders that get no answer.
const orderFailureTimeout = 3 * time.Second

// Failed notes that an engine took no order for a lost role. Without it the same idle engines would be asked each time, and the others
// never.
func (p *Planner) OrderFailed(now time.Time, worker string) {
	if p.recovery.failedUntil == nil {
		p.recovery.failedUntil = map[string]time.Time{}
	}
	for id, expiry := range p.recovery.failedUntil {
		if now.After(expiry) {
			delete(p.recovery.failedUntil, id)
		}
	}
	p.recovery.failedUntil[worker] = now.Add(orderFailureTimeout)
}

// Unrescued tells that none of the changes that Rescue returned last was taken: they are no loss that was mended.
func (p *Planner) RecoveryFailed() {
	if p.recovery.previous != nil {
		p.recovery.lastAt, p.recovery.hold, p.recovery.previous = p.recovery.previous.lastAt, p.recovery.previous.hold, nil
	}
}

// passedOver tells whether an engine took no order a moment ago.
func (s *recoveryState) failureRank(now time.Time, worker string) int {
	if now.Before(s.failedUntil[worker]) {
		return 1
	}
	return 0
}

// calm tells whether writers are kept although readers may be busy.
func (s *recoveryState) holds(now time.Time) bool {
	return !s.lastAt.IsZero() && now.Before(s.lastAt.Add(s.hold))
}

// note takes changes for lost writers. Those within a pause belong to one loss.
func (s *recoveryState) record(now time.Time, settings *Settings) {
	s.previous = &recoveryState{lastAt: s.lastAt, hold: s.hold}
	switch {
	case s.lastAt.IsZero() || now.Sub(s.lastAt) > 2*s.hold:
		s.hold = settings.RecoveryHold
	case now.Sub(s.lastAt) > settings.ChangeInterval:
		s.hold = min(2*s.hold, settings.MaxRecoveryHold)
	}
	s.lastAt = now
}

// Rescue returns the changes that bring writers back when all or all but a few of them have ended. They wait for no pause: readers
// answer nobody by themselves. When readers are gone nothing of the like is needed, since writers read prompts too; and a few lost
// writers of many are left to their return and to the plan of the mix. Readers keep their least share, but for one case: while no writer
// lives at all they read for nobody, and all but one may be asked.
//
// Engines that are expected back before another one could have changed its role count as if they lived, and those that are changing
// already as what they will be, so that the same loss is never mended twice.
func (p *Planner) Recover(now time.Time, group *Group) []Change {
	prefill, decode := summarize(now, group, backend.RolePrefill), summarize(now, group, backend.RoleDecode)
	live := prefill.live + decode.live
	minDecode := p.minEngines(decode.role, live)
	if !group.Wrote || 2*decode.live > minDecode {
		return nil
	}
	minPrefill := p.minEngines(prefill.role, live)
	if decode.live == 0 {
		minPrefill = min(minPrefill, max(prefill.live-minDecode, 1))
	}
	count := min(minDecode-decode.live, prefill.live-minPrefill, len(prefill.ready))
	if count <= 0 {
		return nil
	}
	candidates := slices.Clone(prefill.ready)
	slices.SortFunc(candidates, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(p.recovery.failureRank(now, a.Worker.ID), p.recovery.failureRank(now, b.Worker.ID)),
			cmp.Compare(a.workload(), b.workload()), strings.Compare(a.Worker.ID, b.Worker.ID),
		)
	})
	p.recovery.record(now, &p.settings)
	p.groupSize = prefill.count + decode.count
	p.delayNextChange(now)
	reason := fmt.Sprintf("Of the writers %d live, fewer than half of their least share, %d: the processes of %d have ended.",
		decode.live, minDecode, decode.gone)
	var changes []Change
	for _, engine := range candidates[:count] {
		changes = append(changes, Change{Worker: engine.Worker, Role: backend.RoleDecode, Reason: reason, Urgent: true})
	}
	return changes
}
