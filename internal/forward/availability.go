package forward

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/poison"
)

// unavailability describes why no worker accepts a request now, and when one is expected to.
type unavailability struct {
	// loss is the lost role; nil if the workers are up but backing off or at their limits.
	loss *RoleLoss
	// expectedAt is when a worker is expected to accept the request.
	expectedAt time.Time
	// saturation describes when workers at their limits accept requests again; zero if loss is set.
	saturation balance.RoleFull
}

// unavailability returns why no worker accepts the request and when one is expected to, or false if that is unknown.
func (c *call) unavailability() (unavailability, bool) {
	d := c.handler.dispatcher
	if loss, lost := d.RoleLoss(c.match.Group); lost {
		return unavailability{loss: &loss, expectedAt: loss.ExpectedAt}, true
	}
	full, known := d.saturatedUntil(c.match.Group)
	return unavailability{expectedAt: full.Until, saturation: full}, known
}

// awaitWorker waits for a worker to accept the request if one is expected soon. It reports whether to try placement again.
func (c *call) awaitWorker(ctx context.Context) bool {
	expected, known := c.unavailability()
	if !known {
		return false
	}
	if expected.saturation.PerSecond > 0 {
		// Requests are not queued for rate-limited workers, because new requests would take the capacity first. Try to borrow unused
		// capacity from other gateways instead.
		return c.handler.dispatcher.borrow(ctx, c.match.Group)
	}
	objective := c.match.Rule.Objective
	latest := c.report.Arrived.Add(time.Duration(c.handler.settings.MaxWaitFraction * float64(objective)))
	if until := c.deadline.Add(-c.handler.settings.MinRemaining); until.Before(latest) {
		latest = until
	}
	now := c.handler.dispatcher.now()
	if expected.expectedAt.After(latest) || !now.Before(latest) {
		return false
	}
	if expected.loss != nil {
		return awaitRecovery(ctx, expected.loss, latest.Sub(now))
	}
	// The jitter keeps waiting requests from all reaching the first available worker at once and being refused again.
	jitter := time.Duration(hashFraction(c.request.ID) * float64(wakeJitter))
	if !ctxsleep.Sleep(ctx, min(expected.expectedAt.Sub(now)+jitter, latest.Sub(now))) {
		return false
	}
	c.attempts.reincludeRefused()
	return true
}

// wakeJitter is the interval over which requests that wait for a worker are sent. It is long enough for the response to the first of them
// to arrive before the last is sent, and a quarter of the tightest objective of the users' deployments whose requests wait, 0.25 s.
const wakeJitter = 60 * time.Millisecond

// awaitRecovery waits, up to the timeout, until an engine of a lost role accepts requests. It reports whether one does.
func awaitRecovery(ctx context.Context, loss *RoleLoss, timeout time.Duration) bool {
	return arrivesWithin(ctx, loss.Recovered, timeout)
}

// arrivesWithin reports whether a channel is closed within a timeout and before the context ends. After a standstill of this process both the
// channel and the timer may be ready, and then the channel counts.
func arrivesWithin(ctx context.Context, arrived <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-arrived:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	select {
	case <-arrived:
		return true
	default:
		return false
	}
}

// Additions to the Retry-After time while no worker accepts requests.
const (
	// availabilityPropagationDelay is the time until all gateways know that a worker accepts requests again.
	availabilityPropagationDelay = 60 * time.Millisecond
	// retryAfterJitter is the fraction of the time that is added as jitter, so that refused callers do not return all at once.
	retryAfterJitter = 0.15
)

// refuseWithRetryAfter tells the caller that its request did not run and when to retry. If a part of the prompt was barred meanwhile, it tells that
// instead, since a retry would be in vain.
func (c *call) refuseWithRetryAfter() connAction {
	if status, bar := c.guarded.status(); status == poison.Barred && !bar.Part.IsZero() {
		return respondBarred(c.writer, c.report, c.guarded, bar)
	}
	expected, known := c.unavailability()
	reason := ReasonBackOff
	if !known {
		expected.expectedAt, known = c.handler.dispatcher.backOffUntil(c.match.Group)
		reason = ReasonOthersBackOff
	}
	if !known {
		after, promised := c.handler.dispatcher.promiseReturn(c.admissionRequest())
		if !promised {
			after = c.handler.settings.RefusedRetryAfter
		}
		return respondRetryAfter(c.writer, c.report, ReasonNoWorker, after.Round(time.Millisecond))
	}
	if expected.saturation.PerSecond > 0 {
		expected.expectedAt = c.handler.dispatcher.reserveSlot(c.match.Group.Name, expected.saturation, c.deadline)
	}
	after := max(expected.expectedAt.Sub(c.handler.dispatcher.now()), 0) + availabilityPropagationDelay
	after += time.Duration(retryAfterJitter * hashFraction(c.request.ID) * float64(after))
	switch {
	case expected.loss != nil:
		c.report.Loss = expected.loss
		reason = ReasonRoleLost
	case expected.saturation.PerSecond > 0:
		reason = ReasonRateLimit
	}
	return respondRetryAfter(c.writer, c.report, reason, after.Round(time.Millisecond))
}

// hashFraction returns a pseudo-random number in [0, 1) that depends only on the id.
func hashFraction(id string) float64 {
	const parts = 1 << 16
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return float64(digest.Sum64()%parts) / parts
}
