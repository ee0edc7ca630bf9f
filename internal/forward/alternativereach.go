package forward

import (
	"sync"
	"time"
)

// reachRecheckInterval is the time between two looks whether another worker has been reached.
const reachRecheckInterval = 20 * time.Millisecond

// alternativeReach tells those that must not block whether another worker can be reached, which is tried in the background.
type alternativeReach struct {
	mu              sync.Mutex
	trying, reached bool
	// triedAt is when the last attempt began.
	triedAt time.Time
}

// confirm reports whether an attempt to reach another worker has succeeded. If none is in progress it starts one, at most every
// firstReachInterval.
func (r *alternativeReach) confirm(now time.Time, try func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reached || r.trying || now.Sub(r.triedAt) < firstReachInterval {
		return r.reached
	}
	r.trying, r.triedAt = true, now
	go func() {
		reached := try()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.trying, r.reached = false, reached
	}()
	return false
}
