package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/ctxsleep"
)

// maxPauseFraction bounds the pause, which grows with the number of readers, to a fraction of the propagation bound.
const maxPauseFraction = 0.1

// stretchPause returns the given pause, or one that grows with the number of readers within a fraction of the propagation
// bound if that is longer.
func (r *Replica) stretchPause(pause time.Duration) time.Duration {
	stretched := time.Duration(r.readers.Load()) * pausePerReader
	if bound := r.propagationBound.Load(); bound > 0 {
		stretched = min(stretched, time.Duration(maxPauseFraction*float64(bound)))
	}
	return max(pause, stretched)
}

// batchPause returns the pause after the events of a watch. It must be called before they are recorded. When all processes
// of a large fleet start at
// once, every registration and new record is a change for all of them: without a longer pause, the number of calls
// would grow with the square of the fleet size. The pause delays only later changes.
func (r *Replica) batchPause(events []Event) time.Duration {
	if len(events) == 0 {
		return 0
	}
	pause := r.stretchPause(r.settings.BatchPause)
	for _, event := range events {
		if !r.mayDelayNextWatch(event) {
			return pause
		}
	}
	deferrablePause := time.Duration(r.readers.Load()) * r.settings.DeferrablePausePerReader
	return max(pause, min(deferrablePause, r.settings.MaxDeferrablePause))
}

// mayDelayNextWatch reports whether changes after this one may be delayed: this process is standby, or the event is of a new
// item or of a key that Deferrable selects. A starting fleet produces many such events, and no process waits for them.
func (r *Replica) mayDelayNextWatch(event Event) bool {
	if r.standby.Load() {
		return true
	}
	if r.settings.Deferrable != nil && r.settings.Deferrable(event.Key) {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.table.get(event.Key).Key == "" && !event.Deleted
}

// jitter returns a random pause between half of the given one and all of it.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2+1)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) { ctxsleep.Sleep(ctx, duration) }
