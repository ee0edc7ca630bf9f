package balance

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/quota"
)

// QuotaShares tells which share of the rate limits of workers this gateway may use.
type QuotaShares interface {
	// Share returns the share of this gateway in the limit of a worker, given the limit in requests per second.
	Share(worker string, perSecond float64) float64
	// Loans returns how many requests to a worker this gateway may send on loan from other gateways.
	Loans(worker string) int
	// UseLoan takes one of the loans, and reports whether there was one.
	UseLoan(worker string) bool
}

// soleGateway implements QuotaShares for a single gateway.
type soleGateway struct{}

func (soleGateway) Share(string, float64) float64 { return 1 }
func (soleGateway) Loans(string) int              { return 0 }
func (soleGateway) UseLoan(string) bool           { return false }

// limits holds the workers that have announced a request rate limit, which applies to all gateways together, by
// worker ID. Entries outlive the registration of the worker.
//
// Invariant: a limit ends only when the worker withdraws it, to any gateway, or restarts, or limitTTL after the last
// announcement if the worker is not registered. Every request to a limited worker spends the local quota. Successes, failures and ejections have no effect on it.
type limits struct {
	byWorker map[string]*workerLimit
	shares   QuotaShares
	// nextOutOfQuotaIndex is the position in the group from which OutOfQuota continues.
	nextOutOfQuotaIndex int
}

// workerLimit is the rate limit of a worker and the local quota of it.
type workerLimit struct {
	id     string
	quota  *quota.Quota
	shares QuotaShares
	// reportedAt is when the worker last announced the limit.
	reportedAt time.Time
}

// share returns the share of this gateway.
func (l *workerLimit) share() float64 { return l.shares.Share(l.id, l.quota.Rate()) }

// limitTTL is how long after its last announcement the limit of a removed worker is kept at least.
const limitTTL = 10 * time.Minute

// ShareLimits sets the shares of this gateway in rate limits; by default it has the whole. It must be called before
// the first limit is set.
func (b *Balancer) ShareLimits(shares QuotaShares) { b.limits.shares = shares }

// SetLimit sets the request rate limit that a worker announced at the given time, and reports whether that changes it.
// Earlier announcements than the current one are ignored.
func (b *Balancer) SetLimit(now time.Time, id string, perSecond float64, reportedAt time.Time) bool {
	limit := b.limits.byWorker[id]
	if limit == nil {
		b.forgetLimits(now)
		limit = &workerLimit{id: id, shares: b.limits.shares, quota: quota.New(now, perSecond, 0), reportedAt: reportedAt}
		limit.quota.Accrue(now, limit.share())
		b.limits.byWorker[id] = limit
		if state, found := b.workers[id]; found {
			state.limit = limit
		}
		return true
	}
	if reportedAt.Before(limit.reportedAt) {
		return false
	}
	limit.reportedAt = reportedAt
	if perSecond == limit.quota.Rate() {
		return false
	}
	limit.quota.Accrue(now, limit.share())
	limit.quota.SetRate(now, perSecond, limit.shares.Share(id, perSecond))
	return true
}

// RemoveLimit records that a worker announced no limit in the response to a request sent at the given time, and
// reports whether that removes its limit. A limit that was announced later is kept, because responses may arrive out
// of order.
func (b *Balancer) RemoveLimit(id string, sentAt time.Time) bool {
	limit := b.limits.byWorker[id]
	if limit == nil || !sentAt.After(limit.reportedAt) {
		return false
	}
	delete(b.limits.byWorker, id)
	if state, found := b.workers[id]; found {
		state.limit = nil
	}
	return true
}

// forgetLimits deletes expired limits of removed workers.
func (b *Balancer) forgetLimits(now time.Time) {
	for id, limit := range b.limits.byWorker {
		if now.Sub(limit.reportedAt) > limitTTL && b.workers[id] == nil {
			delete(b.limits.byWorker, id)
		}
	}
}

// AccrueLimits accrues all quotas. It must be called before and after the shares of this gateway change.
func (b *Balancer) AccrueLimits(now time.Time) {
	for _, limit := range b.limits.byWorker {
		limit.quota.Accrue(now, limit.share())
	}
}

// Spend takes a request from the quota of a worker, and reports whether it could; it always can if there is no limit.
// It must be called for every request that may take a slot of the worker.
func (b *Balancer) Spend(now time.Time, id string) bool {
	limit := b.limits.byWorker[id]
	return limit == nil || limit.quota.Spend(now, limit.share()) || limit.shares.UseLoan(id)
}

// Lend takes up to count requests from the quota of a worker for another gateway, and returns how many it took.
func (b *Balancer) Lend(now time.Time, id string, count int) int {
	limit := b.limits.byWorker[id]
	if limit == nil {
		return 0
	}
	return limit.quota.Lend(now, limit.share(), count)
}

// OutOfQuota returns up to maxWorkers workers of a role that would accept a request if this gateway had quota left.
// Successive calls rotate through the workers.
func (b *Balancer) OutOfQuota(now time.Time, group string, role backend.Role, maxWorkers int) []string {
	workers := b.index.byGroup[group]
	var ids []string
	for i := range workers {
		state := workers[(b.limits.nextOutOfQuotaIndex+i)%len(workers)]
		if state.worker.Role == role && state.inService(now) && !state.backingOff(now) && !state.hasQuota(now) {
			if ids = append(ids, state.worker.ID); len(ids) == maxWorkers {
				break
			}
		}
	}
	b.limits.nextOutOfQuotaIndex += maxWorkers
	return ids
}

// Quota is the limit of a worker and the share of this gateway.
type Quota struct {
	// PerSecond is the limit of all gateways together, and Share the share of this gateway.
	PerSecond, Share float64
	// ReportedAt is when the worker last announced the limit.
	ReportedAt time.Time
}

// QuotaOf returns the quota of a worker, or false if it has no limit.
func (b *Balancer) QuotaOf(id string) (Quota, bool) {
	limit := b.limits.byWorker[id]
	if limit == nil {
		return Quota{}, false
	}
	return Quota{PerSecond: limit.quota.Rate(), Share: limit.share(), ReportedAt: limit.reportedAt}, true
}

// hasQuota reports whether the quota of the worker allows a request now.
func (s *workerState) hasQuota(now time.Time) bool {
	return s.limit == nil || s.limit.quota.CanSpend(now, s.limit.share()) || s.limit.shares.Loans(s.worker.ID) > 0
}

// acceptsFrom returns the earliest time at which the worker accepts a request from this gateway, as far as its
// back-off time and its limit tell. If this gateway has no share of the limit, it is when the next request of any
// gateway is due, since a retry may reach another gateway.
func (s *workerState) acceptsFrom(now time.Time) time.Time {
	from := s.backOff.until
	if s.limit == nil {
		return from
	}
	next, holdsShare := s.limit.quota.NextAt(now, s.limit.share())
	if !holdsShare {
		next = now.Add(time.Duration(float64(time.Second) / s.limit.quota.Rate()))
	}
	if next.After(from) {
		return next
	}
	return from
}

// RoleFull describes a role of which no worker in service accepts requests now.
type RoleFull struct {
	// Until is when the first worker in service accepts requests again.
	Until time.Time
	// PerSecond is the sum of the limits of these workers, zero if none has one.
	PerSecond float64
}

// RoleFullUntil returns when a full role accepts requests again. It returns false if a worker of the role accepts
// requests now, or if none is in service.
func (b *Balancer) RoleFullUntil(now time.Time, group string, role backend.Role) (RoleFull, bool) {
	var full RoleFull
	for _, state := range b.index.byGroup[group] {
		if state.worker.Role != role || !state.inService(now) {
			continue
		}
		if state.acceptsNow(now) {
			return RoleFull{}, false
		}
		if from := state.acceptsFrom(now); full.Until.IsZero() || from.Before(full.Until) {
			full.Until = from
		}
		if state.limit != nil {
			full.PerSecond += state.limit.quota.Rate()
		}
	}
	return full, !full.Until.IsZero()
}
