package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Behaviour of the network while nothing is cut.
const (
	// Chances of one message in a thousand.
	lossPerMille      = 2
	duplicatePerMille = 5
	overtakePerMille  = 10
	lateCopyPerMille  = 2
	perMille          = 1000
	// lateAfterCutPerMille is the share of envelopes that arrive after a cut instead of being lost, unreachablePerMille
	// that of undelivered ones of which the sender hears.
	lateAfterCutPerMille = 100
	unreachablePerMille  = 800
	// notSentPerMille is the share of undelivered commands whose sender learns that they surely had no effect.
	notSentPerMille = 500
	// jitter is the largest usual extra delay, overtakenDelay the largest of a message that others overtake.
	jitter         = 300 * time.Microsecond
	overtakenDelay = 80 * time.Millisecond
	// latestCopy is the longest time until a copy arrives that was held back somewhere.
	latestCopy = 8 * time.Second
	// brokenAfter is how long a sender tries to get through a cut before it gives up a connection.
	brokenAfter = 2 * time.Second
	// cutRetry is the time between two tries to get a late envelope through a cut.
	cutRetry = 100 * time.Millisecond
)

// endpoint is a place in the network.
type endpoint struct {
	name string
	zone string
	// client is set for agents, which are some way from all machines.
	client bool
}

// platformEndpoint is where the platform is. It belongs to no zone.
var platformEndpoint = endpoint{name: "platform"}

// cut stops messages that match it.
type cut struct {
	fault Fault
}

// stops tells whether the cut stops messages in a direction.
func (c cut) stops(from, to endpoint) bool {
	switch c.fault.Variant {
	case VariantOneWay:
		return from.name == c.fault.Target && to.name == c.fault.Other
	case VariantBothWays:
		return from.name == c.fault.Target && to.name == c.fault.Other ||
			from.name == c.fault.Other && to.name == c.fault.Target
	case VariantZoneOneWay:
		return from.zone == c.fault.Target && to.zone == c.fault.Other
	case VariantZoneBothWays:
		return from.zone == c.fault.Target && to.zone == c.fault.Other ||
			from.zone == c.fault.Other && to.zone == c.fault.Target
	case VariantIsolated:
		return from.name == c.fault.Target || to.name == c.fault.Target
	case VariantFromPlatform:
		return from.name == c.fault.Target && to == platformEndpoint || from == platformEndpoint && to.name == c.fault.Target
	}
	return false
}

// network decides whether and when messages arrive.
type network struct {
	random     *rand.Rand
	deployment Deployment
	cuts       []cut
}

// isCut tells whether messages in a direction are stopped now.
func (n *network) isCut(from, to endpoint) bool {
	return slices.ContainsFunc(n.cuts, func(c cut) bool { return c.stops(from, to) })
}

// begin puts a cut in force and heal ends it.
func (n *network) begin(fault Fault) { n.cuts = append(n.cuts, cut{fault: fault}) }

func (n *network) heal(fault Fault) {
	n.cuts = slices.DeleteFunc(n.cuts, func(c cut) bool { return c.fault == fault })
}

// delay draws how long a message that arrives takes.
func (n *network) delay(from, to endpoint) time.Duration {
	delay := localDelay
	switch {
	case from.client || to.client:
		delay = n.deployment.ClientDelay
	case from.zone != to.zone:
		delay = n.deployment.ZoneDelay
	}
	return delay + time.Duration(n.random.Int64N(int64(jitter)))
}

// arrivals draws the delays after which copies of an envelope arrive: none if it is lost, several if it is
// repeated, at times long after.
func (n *network) arrivals(from, to endpoint) []time.Duration {
	if n.chance(lossPerMille) {
		return nil
	}
	first := n.delay(from, to)
	if n.chance(overtakePerMille) {
		first += time.Duration(n.random.Int64N(int64(overtakenDelay)))
	}
	arrivals := []time.Duration{first}
	if n.chance(duplicatePerMille) {
		arrivals = append(arrivals, first+time.Duration(n.random.Int64N(int64(overtakenDelay))))
	}
	if n.chance(lateCopyPerMille) {
		arrivals = append(arrivals, between(n.random, overtakenDelay, latestCopy))
	}
	return arrivals
}

// chance draws whether something with a chance of so many in a thousand happens.
func (n *network) chance(inThousand int) bool { return n.random.IntN(perMille) < inThousand }
