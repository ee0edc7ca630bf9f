package admission

import (
	"math"
	"time"
)

// urgencies is the number of urgencies that engines distinguish.
const urgencies = 10

// queueCounts counts the requests of a group at the queues of decode engines, by urgency.
type queueCounts struct {
	// waiting are in a queue now. sent and started are how many were sent there and started to run, a second.
	waiting       [urgencies]int
	sent, started [urgencies]float64
}

// rateWindow is the time over which rates are averaged.
const rateWindow = time.Second

// fade reduces the rates by the time since they were last reduced.
func (q *queueCounts) fade(elapsed time.Duration) {
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

// Sent records that a request was sent to the queue of a decode engine of a group.
func (c *Controller) Sent(now time.Time, group string, urgency int) {
	if state, found := c.groups[group]; found && urgency >= 0 && urgency < urgencies {
		state.fade(now)
		state.queued.waiting[urgency]++
		state.queued.sent[urgency] += 1 / rateWindow.Seconds()
	}
}

// Left records that a request that was sent has left the queue: its answer started, or the attempt ended.
func (c *Controller) Left(now time.Time, group string, urgency int, started bool) {
	state, found := c.groups[group]
	if !found || urgency < 0 || urgency >= urgencies {
		return
	}
	state.fade(now)
	state.queued.waiting[urgency] = max(state.queued.waiting[urgency]-1, 0)
	if started {
		state.queued.started[urgency] += 1 / rateWindow.Seconds()
	}
}

// fadeInterval is how often rates and counts of tokens are reduced.
const fadeInterval = 50 * time.Millisecond

// fade reduces the rates and removes the counts of silent gateways.
func (g *groupState) fade(now time.Time) {
	elapsed := now.Sub(g.fadedAt)
	if elapsed < fadeInterval {
		return
	}
	g.fadedAt = now
	g.queued.fade(elapsed)
	for name, peer := range g.peers {
		if now.Sub(peer.at) > peerTimeout {
			delete(g.peers, name)
		}
	}
}

// Count is what one gateway has at the queues of the decode engines of a group with one urgency.
type Count struct {
	Group   string
	Urgency int
	Waiting int
	// Sent and Started are how many requests were sent to the queues and started to run, a second.
	Sent, Started float64
}

// minRate is the rate below which nothing is sent to the other gateways.
const minRate = 0.1

// contended reports whether requests were ordered lately.
func (q *queueCounts) contended() bool {
	for urgency := range urgencies {
		if urgency != DefaultUrgency && q.sent[urgency] >= minRate {
			return true
		}
	}
	return false
}

// Counts returns the counts of this gateway in the groups with contention.
func (c *Controller) Counts(now time.Time) []Count {
	var counts []Count
	for group, state := range c.groups {
		state.fade(now)
		if !state.queued.contended() {
			continue
		}
		for urgency := range urgencies {
			count := Count{
				Group: group, Urgency: urgency, Waiting: state.queued.waiting[urgency],
				Sent: state.queued.sent[urgency], Started: state.queued.started[urgency],
			}
			if count.Waiting > 0 || count.Sent >= minRate || count.Started >= minRate {
				counts = append(counts, count)
			}
		}
	}
	return counts
}

// peerCounts is what another gateway has in one group.
type peerCounts struct {
	at     time.Time
	queued queueCounts
}

// peerTimeout is how long the counts of a silent gateway count.
const peerTimeout = 3 * time.Second

// ApplyPeer replaces the counts of another gateway.
func (c *Controller) ApplyPeer(now time.Time, name string, counts []Count) {
	for _, state := range c.groups {
		delete(state.peers, name)
	}
	for _, count := range counts {
		state, found := c.groups[count.Group]
		if !found || count.Urgency < 0 || count.Urgency >= urgencies {
			continue
		}
		if state.peers == nil {
			state.peers = map[string]*peerCounts{}
		}
		peer := state.peers[name]
		if peer == nil {
			peer = &peerCounts{at: now}
			state.peers[name] = peer
		}
		peer.queued.waiting[count.Urgency] = max(count.Waiting, 0)
		peer.queued.sent[count.Urgency], peer.queued.started[count.Urgency] = count.Sent, count.Started
	}
}

// Order is the place of a request in the queues of decode engines.
type Order struct {
	// YieldingShare is the share of the waiting requests that yield to it.
	YieldingShare float64
	// UrgentLoad is the share of the slots that become free that more urgent requests take, which arrive later.
	UrgentLoad float64
}

// Bounds of Order: maxUrgentLoad keeps forecasts finite, and a queue that is done within minQueue tells nothing of the load, because slots
// are free at other engines.
const (
	maxUrgentLoad = 0.95
	minQueue      = 100 * time.Millisecond
)

// OrderOf returns the place of requests of a group with an urgency; the zero Order if nothing is known. Requests of the same urgency are
// served in order of arrival.
func (c *Controller) OrderOf(now time.Time, group string, urgency int) Order {
	state, found := c.groups[group]
	if !found {
		return Order{}
	}
	state.fade(now)
	all := state.queued
	for _, peer := range state.peers {
		all.add(&peer.queued)
	}
	total, yielding := 0, 0
	sent, started := 0.0, 0.0
	for other := range urgencies {
		total += all.waiting[other]
		started += all.started[other]
		switch {
		case other > urgency:
			yielding += all.waiting[other]
		case other < urgency:
			sent += all.sent[other]
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
