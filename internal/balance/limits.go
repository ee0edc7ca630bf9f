package balance

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/quota"
)

// Holdings are what this gateway may send of what workers with limits take.
type QuotaShares interface {
	// Part returns which part it holds of the requests that a worker takes, of which that names so many a second.
	Part(worker string, perSecond float64) float64
	// Lent returns how many requests at a worker other gateways have lent it, and UseLent uses one, and tells whether there was one.
	Lent(worker string) int
	UseLent(worker string) bool
}

// everything is the holdings of the only gateway.
type soleGateway struct{}

func (soleGateway) Part(string, float64) float64 { return 1 }
func (soleGateway) Lent(string) int              { return 0 }
func (soleGateway) UseLent(string) bool          { return false }

// limits are the workers that name how many requests a second they take of all gateways together, by the ids of their incarnations. They
// outlast records that go and come again.
//
// Invariant: nothing but the worker's own word, to whichever gateway, and its next start ends a limit, and a worker with one is asked only
// by a request of the quota here, whoever asks: failures, successes and a worker that is set aside have no part in it.
type limits struct {
	byWorker map[string]*workerLimit
	shares   QuotaShares
	// turn is how often workers were asked for that lack room.
	nextLacking int
}

// limit is what this gateway may send of what a worker takes.
type workerLimit struct {
	id     string
	quota  *quota.Quota
	shares QuotaShares
	// heard is when the worker named it last.
	reportedAt time.Time
}

// own returns the part that this gateway holds.
func (l *workerLimit) share() float64 { return l.shares.Part(l.id, l.quota.PerSecond()) }

// limitMemory is how long a limit is kept of which nothing more is heard: longer than a worker in need takes to recover, and to be replaced.
const limitTTL = 10 * time.Minute

// ShareLimits tells what this gateway holds of limits; without it that is the whole. It is called before the first limit.
func (b *Balancer) ShareLimits(shares QuotaShares) { b.limits.shares = shares }

// Limit takes how many requests a second a worker takes, as it said at a moment, and tells whether that is news. Of two words the later
// one holds.
func (b *Balancer) Limit(now time.Time, id string, perSecond float64, reportedAt time.Time) bool {
	limit := b.limits.byWorker[id]
	if limit == nil {
		b.forgetLimits(now)
		limit = &workerLimit{id: id, shares: b.limits.shares, quota: quota.New(now, perSecond, 0), reportedAt: reportedAt}
		limit.quota.Earn(now, limit.share())
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
	if perSecond == limit.quota.PerSecond() {
		return false
	}
	limit.quota.Earn(now, limit.share())
	limit.quota.SetRate(now, perSecond, limit.shares.Part(id, perSecond))
	return true
}

// Unlimit takes that a worker named no limit in the answer to a request which was sent at a moment, and tells whether that ends one. A limit
// that was named later holds on: answers overtake one another.
func (b *Balancer) Unlimit(id string, sentAt time.Time) bool {
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

// forgetLimits drops limits of workers that are gone, once nothing was heard of them for long.
func (b *Balancer) forgetLimits(now time.Time) {
	for id, limit := range b.limits.byWorker {
		if now.Sub(limit.reportedAt) > limitTTL && b.workers[id] == nil {
			delete(b.limits.byWorker, id)
		}
	}
}

// EarnLimits has all quotas earn, before and after the parts of this gateway change.
func (b *Balancer) EarnLimits(now time.Time) {
	for _, limit := range b.limits.byWorker {
		limit.quota.Earn(now, limit.share())
	}
}

// Spend takes a request from the quota of a worker, and tells whether there was one; without a limit there always is. It is called for all that
// is sent to a worker and may take a place there.
func (b *Balancer) Spend(now time.Time, id string) bool {
	limit := b.limits.byWorker[id]
	return limit == nil || limit.quota.Spend(now, limit.share()) || limit.shares.UseLent(id)
}

// Lend takes up to so many requests from the quota of a worker for another gateway, and returns how many.
func (b *Balancer) Lend(now time.Time, id string, count int) int {
	limit := b.limits.byWorker[id]
	if limit == nil {
		return 0
	}
	return limit.quota.Lend(now, limit.share(), count)
}

// Lacking returns up to so many workers of a role that would take work if this gateway held more of their limits, others each time.
func (b *Balancer) Lacking(now time.Time, group string, role backend.Role, maxWorkers int) []string {
	workers := b.index.byGroup[group]
	var lacking []string
	for i := range workers {
		state := workers[(b.limits.nextLacking+i)%len(workers)]
		if state.worker.Role == role && state.inService(now) && !state.backingOff(now) && !state.hasQuota(now) {
			if lacking = append(lacking, state.worker.ID); len(lacking) == maxWorkers {
				break
			}
		}
	}
	b.limits.nextLacking += maxWorkers
	return lacking
}

// Quota is what this gateway may send to a worker that names a limit.
type Quota struct {
	// PerSecond is the limit, of all gateways together, and Part which part of it this gateway holds.
	PerSecond, Part float64
	// Heard is when the worker named it last.
	Heard time.Time
}

// QuotaOf returns the quota of a worker, or false if it names no limit.
func (b *Balancer) QuotaOf(id string) (Quota, bool) {
	limit := b.limits.byWorker[id]
	if limit == nil {
		return Quota{}, false
	}
	return Quota{PerSecond: limit.quota.PerSecond(), Part: limit.share(), Heard: limit.reportedAt}, true
}

// hasRoom tells whether the quota of the worker allows one more request now.
func (s *workerState) hasQuota(now time.Time) bool {
	return s.limit == nil || s.limit.quota.Takes(now, s.limit.share()) || s.limit.shares.Lent(s.worker.ID) > 0
}

// takesFrom returns from when on the worker takes requests of this gateway, if nothing else speaks against that: a time that has passed if it
// takes them. Of a limit that others hold it is when one of theirs is due: callers that come back find them.
func (s *workerState) acceptsFrom(now time.Time) time.Time {
	from := s.backOffUntil
	if s.limit == nil {
		return from
	}
	next, holdsShare := s.limit.quota.Next(now, s.limit.share())
	if !holdsShare {
		next = now.Add(time.Duration(float64(time.Second) / s.limit.quota.PerSecond()))
	}
	if next.After(from) {
		return next
	}
	return from
}

// Full is why none of the workers of a role that would take work takes any now.
type Full struct {
	// Until is when the first of them takes requests again.
	Until time.Time
	// PerSecond is how many requests the workers with limits take, of all gateways together; zero if none of them has one.
	PerSecond float64
}

// FullUntil returns why and until when no worker of a role takes requests, or false unless all that would take work want none now.
func (b *Balancer) FullUntil(now time.Time, group string, role backend.Role) (Full, bool) {
	var full Full
	for _, state := range b.index.byGroup[group] {
		if state.worker.Role != role || !state.inService(now) {
			continue
		}
		if state.acceptsNow(now) {
			return Full{}, false
		}
		if from := state.acceptsFrom(now); full.Until.IsZero() || from.Before(full.Until) {
			full.Until = from
		}
		if state.limit != nil {
			full.PerSecond += state.limit.quota.PerSecond()
		}
	}
	return full, !full.Until.IsZero()
}
