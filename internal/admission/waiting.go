package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// urgencies is the number of urgencies that engines distinguish.
const urgencies = 10

// Queue is a kind of queue at the engines of a group.
type Queue int

// The queues. That for prefills at prefill engines is counted in tokens, that for slots at decode engines in requests. Requests that are
// refused are counted as sent to queueRefused, where none waits.
const (
	QueueSlots Queue = iota
	QueuePrefills
	queueRefused
	queueKinds
)

// String returns the name of the queue as operators see it.
func (q Queue) String() string {
	switch q {
	case QueueSlots:
		return "slots"
	case QueuePrefills:
		return "prefills"
	default:
		return "refused"
	}
}

// queueCounts counts the work of a group at one kind of queue, by urgency.
type queueCounts struct {
	// waiting is in a queue now. sent and started are how much was sent there and started to run, a second.
	waiting       [urgencies]int
	sent, started [urgencies]float64
}

// rateWindow is the time over which rates are averaged.
const rateWindow = time.Second

// decay reduces the rates by the time since they were last reduced.
func (q *queueCounts) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	for urgency := range urgencies {
		q.sent[urgency] *= factor
		q.started[urgency] *= factor
	}
}

// add adds other counts.
func (q *queueCounts) add(other *queueCounts) {
	for urgency := range urgencies {
		q.waiting[urgency] += other.waiting[urgency]
		q.sent[urgency] += other.sent[urgency]
		q.started[urgency] += other.started[urgency]
	}
}

// Work is what a request puts into a queue: one request for QueueSlots, the tokens to prefill for QueuePrefills.
type Work struct {
	Group   string
	Queue   Queue
	Urgency int
	Amount  int
}

// valid reports whether the queue and the urgency exist.
func (w Work) valid() bool {
	return w.Queue >= 0 && w.Queue < queueKinds && w.Urgency >= 0 && w.Urgency < urgencies
}

// Sent records that work was sent to a queue.
func (c *Controller) Sent(now time.Time, work Work) {
	if state, found := c.groups[work.Group]; found && work.valid() {
		state.decay(now)
		counts := &state.queued[work.Queue]
		counts.waiting[work.Urgency] += work.Amount
		counts.sent[work.Urgency] += float64(work.Amount) / rateWindow.Seconds()
	}
}

// Left records that work has left its queue: the prompt was prefilled, the answer started, or the attempt ended.
func (c *Controller) Left(now time.Time, work Work, started bool) {
	state, found := c.groups[work.Group]
	if !found || !work.valid() {
		return
	}
	state.decay(now)
	counts := &state.queued[work.Queue]
	counts.waiting[work.Urgency] = max(counts.waiting[work.Urgency]-work.Amount, 0)
	if started {
		counts.started[work.Urgency] += float64(work.Amount) / rateWindow.Seconds()
	}
}

// countRefused counts a refused request.
func (g *groupState) countRefused(now time.Time) {
	g.decay(now)
	g.queued[queueRefused].sent[DefaultUrgency] += 1 / rateWindow.Seconds()
}

// RefusedPerSecond returns how many requests of a group all gateways refuse, a second. They are demand that no engine sees.
func (c *Controller) RefusedPerSecond(now time.Time, group string) float64 {
	state, found := c.groups[group]
	if !found {
		return 0
	}
	state.decay(now)
	refused := state.queued[queueRefused].sent[DefaultUrgency]
	for _, peer := range state.peers {
		refused += peer.queued[queueRefused].sent[DefaultUrgency]
	}
	return refused
}

// decayInterval is how often rates and counts of tokens are reduced.
const decayInterval = 50 * time.Millisecond

// decay reduces the rates and removes the counts of silent gateways.
func (g *groupState) decay(now time.Time) {
	elapsed := now.Sub(g.decayedAt)
	if elapsed < decayInterval {
		return
	}
	g.decayedAt = now
	for queue := range g.queued {
		g.queued[queue].decay(elapsed)
	}
	for name, peer := range g.peers {
		if now.Sub(peer.at) > peerTimeout {
			delete(g.peers, name)
		}
	}
}

// Count is what one gateway has at one kind of queue of a group with one urgency.
type Count struct {
	Work
	// Sent and Started are how much was sent to the queues and started to run, a second.
	Sent, Started float64
}

// minRate is the rate below which a count is not sent.
const minRate = 0.1

// contentionTime is how long there is contention in a group after a request was ordered. It bridges the time between two requests of a
// gateway.
const contentionTime = time.Second

// ordersItself reports whether this gateway ordered a request of the group lately. Requests that have the urgency of their rank only because
// others are ordered don't count, or there would be no end.
func (g *groupState) ordersItself(now time.Time) bool {
	return !g.orderedAt.IsZero() && now.Sub(g.orderedAt) < contentionTime
}

// contended reports whether this or another gateway ordered a request of the group lately.
func (g *groupState) contended(now time.Time) bool { return g.ordersItself(now) || len(g.peers) > 0 }

// Counts returns the counts of this gateway in the groups with contention.
func (c *Controller) Counts(now time.Time) []Count {
	var counts []Count
	for group, state := range c.groups {
		state.decay(now)
		if !state.ordersItself(now) {
			continue
		}
		for queue := range queueKinds {
			counts = append(counts, state.queued[queue].list(group, queue)...)
		}
	}
	return counts
}

// Totals returns the counts of all gateways, by group, queue and urgency, whether there is contention or not.
func (c *Controller) Totals(now time.Time) []Count {
	var totals []Count
	for _, group := range slices.Sorted(maps.Keys(c.groups)) {
		state := c.groups[group]
		state.decay(now)
		for queue := range queueKinds {
			sum := state.queued[queue]
			for _, peer := range state.peers {
				sum.add(&peer.queued[queue])
			}
			totals = append(totals, sum.list(group, queue)...)
		}
	}
	return totals
}

// list returns the counts that are not zero.
func (q *queueCounts) list(group string, queue Queue) []Count {
	var counts []Count
	for urgency := range urgencies {
		count := Count{
			Work: Work{Group: group, Queue: queue, Urgency: urgency, Amount: q.waiting[urgency]}, Sent: q.sent[urgency], Started: q.started[urgency],
		}
		if count.Amount > 0 || count.Sent >= minRate || count.Started >= minRate {
			counts = append(counts, count)
		}
	}
	return counts
}

// queues are the counts of all kinds of queues.
type queues [queueKinds]queueCounts

// peerCounts is what another gateway has in one group.
type peerCounts struct {
	at     time.Time
	queued queues
}

// peerTimeout is how long the counts of a silent gateway count.
const peerTimeout = 3 * time.Second

// maxPeerCount bounds what another gateway may say to have in one queue, in requests or tokens, so that sums don't overflow.
const maxPeerCount = 1 << 40

// maxPeers bounds the gateways whose counts are kept in one group.
const maxPeers = 4096

// boundedRate returns a rate that another gateway sent, from 0 to maxPeerCount a second.
func boundedRate(rate float64) float64 {
	if !(rate > 0) {
		return 0
	}
	return min(rate, maxPeerCount)
}

// ApplyPeer replaces the counts of another gateway. Those of more than maxPeers are ignored.
func (c *Controller) ApplyPeer(now time.Time, name string, counts []Count) {
	for _, state := range c.groups {
		state.decay(now)
		delete(state.peers, name)
	}
	for _, count := range counts {
		state, found := c.groups[count.Group]
		if !found || !count.valid() {
			continue
		}
		if state.peers == nil {
			state.peers = map[string]*peerCounts{}
		}
		peer := state.peers[name]
		if peer == nil && len(state.peers) >= maxPeers {
			continue
		}
		if peer == nil {
			peer = &peerCounts{at: now}
			state.peers[name] = peer
		}
		counted := &peer.queued[count.Queue]
		counted.waiting[count.Urgency] = min(max(count.Amount, 0), maxPeerCount)
		counted.sent[count.Urgency], counted.started[count.Urgency] = boundedRate(count.Sent), boundedRate(count.Started)
	}
}

// Order is the place of a request in one kind of queue.
type Order struct {
	// YieldingShare is the share of the waiting work that yields to it.
	YieldingShare float64
	// UrgentLoad is the share of what the engines do that more urgent requests take, which arrive later.
	UrgentLoad float64
}

// Bounds of Order: maxUrgentLoad keeps forecasts finite, and a queue that is done within minQueue tells nothing of the load, because there is
// room at other engines.
const (
	maxUrgentLoad = 0.95
	minQueue      = 100 * time.Millisecond
)

// OrderOf returns the place of requests of a group with an urgency; the zero Order if nothing is known. Requests of the same urgency are
// served in order of arrival.
func (c *Controller) OrderOf(now time.Time, group string, queue Queue, urgency int) Order {
	state, found := c.groups[group]
	if !found {
		return Order{}
	}
	state.decay(now)
	all := state.queued[queue]
	for _, peer := range state.peers {
		all.add(&peer.queued[queue])
	}
	return all.orderOf(urgency)
}

// orderOf returns the place of an urgency.
func (q *queueCounts) orderOf(urgency int) Order {
	total, yielding := 0, 0
	sent, started := 0.0, 0.0
	for other := range urgencies {
		total += q.waiting[other]
		started += q.started[other]
		switch {
		case other > urgency:
			yielding += q.waiting[other]
		case other < urgency:
			sent += q.sent[other]
		}
	}
	if total == 0 {
		return Order{}
	}
	order := Order{YieldingShare: float64(yielding) / float64(total)}
	if float64(total) > started*minQueue.Seconds() {
		order.UrgentLoad = min(sent/max(started, sent, 1), maxUrgentLoad)
	}
	return order
}
