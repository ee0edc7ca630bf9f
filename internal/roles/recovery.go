package roles

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// recoveryState tracks the recoveries of lost decode engines.
type recoveryState struct {
	// lastAt is the time of the latest recovery, zero if there was none.
	lastAt time.Time
	// hold is how long decode engines keep their role after lastAt.
	hold time.Duration
	// failedUntil maps the IDs of engines that failed an order to the time until which the others are tried first.
	failedUntil map[string]time.Time
	// retryAt is when the next recovery may be tried after one that no engine accepted, and retryPause how long that one was after the one
	// before.
	retryAt    time.Time
	retryPause time.Duration
	// previous is the state before the latest recovery.
	previous *recoveryState
}

// orderFailureTimeout is how long an engine that failed an order is tried after the others.
const orderFailureTimeout = 3 * time.Second

// Pauses between recoveries that no engine accepts. The pause doubles each time, so that a controller that reaches no engine sends few orders.
const (
	initialRetryPause = 50 * time.Millisecond
	maxRetryPause     = 3 * time.Second
)

// OrderFailed records that an engine failed an order, so that other engines are tried next.
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

// RecoverySucceeded records that an engine accepted an order of the latest recovery.
func (p *Planner) RecoverySucceeded() { p.recovery.retryAt, p.recovery.retryPause = time.Time{}, 0 }

// RecoveryFailed records that no engine accepted an order of the latest recovery: it restores the hold from before, and delays the next one.
func (p *Planner) RecoveryFailed(now time.Time) {
	p.recovery.retryPause = min(max(2*p.recovery.retryPause, initialRetryPause), maxRetryPause)
	p.recovery.retryAt = now.Add(p.recovery.retryPause)
	if p.recovery.previous != nil {
		p.recovery.lastAt, p.recovery.hold, p.recovery.previous = p.recovery.previous.lastAt, p.recovery.previous.hold, nil
	}
}

// failureRank returns 1 if the engine failed an order recently, otherwise 0.
func (s *recoveryState) failureRank(now time.Time, worker string) int {
	if now.Before(s.failedUntil[worker]) {
		return 1
	}
	return 0
}

// holds reports whether decode engines must keep their role.
func (s *recoveryState) holds(now time.Time) bool {
	return !s.lastAt.IsZero() && now.Before(s.lastAt.Add(s.hold))
}

// record records a recovery. Recoveries within ChangeInterval belong to the same loss.
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

// Recover returns the changes that restore the decode role when at most half of its minimum is live, regardless of ChangeInterval. Lost
// prefill engines need no recovery, because decode engines can process prompts, and Next replaces decode engines if fewer are lost. The prefill
// role keeps its minimum unless no decode engine is live: then all but one prefill engine may change.
//
// Engines that are expected back before another one could change its role count as live, and engines that are changing count with their
// new role, so that a loss is not recovered twice.
func (p *Planner) Recover(now time.Time, group *Group) []Change {
	prefill, decode := summarize(now, group, backend.RolePrefill), summarize(now, group, backend.RoleDecode)
	live := prefill.live + decode.live
	minDecode := p.minEngines(decode.role, live)
	if !group.HadDecode || 2*decode.live > minDecode || now.Before(p.recovery.retryAt) {
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
			p.paces.compare(backend.RoleDecode)(a, b),
		)
	})
	p.recovery.record(now, &p.settings)
	p.groupSize = prefill.count + decode.count
	p.delayNextChange(now)
	reason := fmt.Sprintf("Only %d decode engines are live, at most half of the minimum of %d: the processes of %d have ended.",
		decode.live, minDecode, decode.ended)
	var changes []Change
	for _, engine := range candidates[:count] {
		changes = append(changes, Change{Worker: engine.Worker, Role: backend.RoleDecode, Reason: reason, Urgent: true})
	}
	return changes
}
