package forward

import (
	"fmt"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/poison"
)

// Parameters for running copies of a suspect request one at a time.
const (
	// exclusiveMinCrashes is the number of distinct crashes from which on copies of a request run one at a time. A harmless request that
	// coincided with one crash is not delayed.
	exclusiveMinCrashes = 2
	// exclusiveTurn is how long one gateway may run the copies before another is elected, so that callers of every gateway are served. No
	// copy starts in the last exclusiveRunTime of a turn, which is about how long a copy takes to crash its worker.
	exclusiveTurn    = time.Second
	exclusiveRunTime = 200 * time.Millisecond
)

// exclusiveRuns lets only one copy of a suspect request run at a time across all gateways: only the elected gateway runs copies, one after
// the other. A limit on workers alone would not keep copies at several gateways from reaching a worker at once. It is safe for concurrent
// use.
type exclusiveRuns struct {
	// isElected reports whether this gateway is elected for a key; if nil, it always is.
	isElected func(key string) bool
	// hearsOthers reports whether this gateway receives the updates of the others; if nil, it always does.
	hearsOthers func() bool

	mu      sync.Mutex
	running map[poison.Digest]bool
}

// SetSuspectElection sets the function that reports whether this gateway is elected for a key. Without it, every gateway is. It must be
// called before the first request.
func (h *Handler) SetSuspectElection(isElected func(key string) bool) {
	h.exclusive.isElected = isElected
}

// SetTrialKnowledge sets the function that reports whether this gateway receives the updates of the others, which tell of the trials of bars.
// While it doesn't, it begins none. Without the function, it always does. It must be called before the first request.
func (h *Handler) SetTrialKnowledge(hearsOthers func() bool) {
	h.exclusive.hearsOthers = hearsOthers
}

// hasTurn reports whether copies of a suspect request may start at this gateway. Turns are numbered by the time since the last crash, which
// is about the same at all gateways.
func (r *exclusiveRuns) hasTurn(digest poison.Digest, sinceCrash time.Duration) bool {
	if r.isElected == nil {
		return true
	}
	return sinceCrash%exclusiveTurn < exclusiveTurn-exclusiveRunTime && r.isElected(fmt.Sprint(digest, "/", int(sinceCrash/exclusiveTurn)))
}

// mayBeginTrials reports whether this gateway begins trials of bars at all. One that is not told of the trials of others would repeat them.
func (r *exclusiveRuns) mayBeginTrials() bool { return r.hearsOthers == nil || r.hearsOthers() }

// hasTrial reports whether this gateway begins a trial of the bar with a digest.
func (r *exclusiveRuns) hasTrial(digest poison.Digest, number int) bool {
	return r.isElected == nil || r.isElected(fmt.Sprint(digest, "/trial/", number))
}

// begin reports whether a copy may run now. If so, end must be called when it is done.
func (r *exclusiveRuns) begin(digest poison.Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[digest] {
		return false
	}
	if r.running == nil {
		r.running = map[poison.Digest]bool{}
	}
	r.running[digest] = true
	return true
}

// end marks the copy of a request as done.
func (r *exclusiveRuns) end(digest poison.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, digest)
}

// mayRunExclusively reports whether the call may be placed now with regard to other copies of the same request, or to other requests with the
// same suspect part.
func (c *call) mayRunExclusively(status poison.Status, bar poison.Bar) bool {
	if status != poison.Suspected || bar.DistinctCrashes < exclusiveMinCrashes {
		return true
	}
	if !c.handler.exclusive.hasTurn(bar.Digest, c.handler.guard.SinceLastReport(bar)) {
		return false
	}
	if !c.isExclusive && c.handler.exclusive.begin(bar.Digest) {
		c.isExclusive, c.exclusiveDigest = true, bar.Digest
	}
	return c.isExclusive
}

// endExclusive lets the next copy run if this call was the only one that may run.
func (c *call) endExclusive() {
	if c.isExclusive {
		c.handler.exclusive.end(c.exclusiveDigest)
	}
}
