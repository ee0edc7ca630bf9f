package forward

import (
	"fmt"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/poison"
)

// Bounds of the copies of one suspect.
const (
	// soloFrom is from how many ends of workers at different moments on one copy runs at a time. A request that ran beside another one that
	// ends workers has seldom seen two of them, and one that is asked often has run at many workers of a rack that goes, so that few wait
	// which do no harm; one that ends workers ends one more before it is barred.
	exclusiveFromCrashes = 2
	// soloTurn is for how long one gateway is the one that runs copies, from the last end on; then it is another one, so that a caller who
	// asks a single gateway is served, too. None begins in the last soloRun of a turn: a copy that ends its worker takes about as long.
	exclusiveTurn    = time.Second
	exclusiveRunTime = 200 * time.Millisecond
)

// soloRuns has one copy of a suspect run at a time in the fleet: at the gateway whose turn it is, and there after each other. A bound on
// workers alone does not see that copies at several gateways share what it allows: they would wait there, and reach a worker together.
// It is safe for concurrent use.
type exclusiveRuns struct {
	// chosen tells whether this gateway is the one for a key; nil chooses it for all.
	isElected func(key string) bool

	mu      sync.Mutex
	running map[poison.Digest]bool
}

// ChooseForSuspects tells the handler how to ask whether this gateway is the one of all for a key. Without it each is. It is called before
// the first request.
func (h *Handler) ChooseForSuspects(isElected func(key string) bool) {
	h.exclusive.isElected = isElected
}

// hasTurn tells whether copies of a suspect may begin to run here, so long after the last end under it.
func (s *exclusiveRuns) hasTurn(digest poison.Digest, sinceCrash time.Duration) bool {
	if s.isElected == nil {
		return true
	}
	return sinceCrash%exclusiveTurn < exclusiveTurn-exclusiveRunTime && s.isElected(fmt.Sprint(digest, "/", int(sinceCrash/exclusiveTurn)))
}

// begin tells whether a copy of a suspect is the one that may run; then end is called once it does not run any more.
func (s *exclusiveRuns) begin(digest poison.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[digest] {
		return false
	}
	if s.running == nil {
		s.running = map[poison.Digest]bool{}
	}
	s.running[digest] = true
	return true
}

// end notes that a copy does not run any more.
func (s *exclusiveRuns) end(digest poison.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, digest)
}

// maySolo tells whether the call may be placed now as far as other copies of what it asks for are concerned.
func (c *call) mayRunExclusively(status poison.Standing, bar poison.Bar) bool {
	if status != poison.Suspected || bar.Moments < exclusiveFromCrashes {
		return true
	}
	if !c.handler.exclusive.hasTurn(c.guarded.requestDigest(), c.handler.guard.HeardAgo(bar)) {
		return false
	}
	c.isExclusive = c.isExclusive || c.handler.exclusive.begin(c.guarded.requestDigest())
	return c.isExclusive
}

// endSolo lets the next copy run.
func (c *call) endExclusive() {
	if c.isExclusive {
		c.handler.exclusive.end(c.guarded.requestDigest())
	}
}
