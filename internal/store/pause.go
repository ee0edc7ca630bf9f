package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/ctxsleep"
)

// maxPauseFraction bounds the pause by the number of readers to a fraction of the propagation bound, which it would
// exceed in fleets of thousands.
const maxPauseFraction = 0.1

// stretchPause extends a pause by the number of readers, within the propagation bound.
func (r *Replica) stretchPause(pause time.Duration) time.Duration {
	stretched := time.Duration(r.readers.Load()) * pausePerReader
	if bound := r.propagationBound.Load(); bound > 0 {
		stretched = min(stretched, time.Duration(maxPauseFraction*float64(bound)))
	}
	return max(pause, stretched)
}

// batchPause returns the pause after events that were not recorded yet. When all processes of a large fleet start at
// once, every registration and new record is a change for all of them: without a longer pause, the number of calls
// would grow with the square of the fleet size. The pause delays only later changes.
func (r *Replica) batchPause(events []Event) time.Duration {
	if len(events) == 0 {
		return 0
	}
	pause := r.stretchPause(r.settings.BatchPause)
	for _, event := range events {
		if !r.isDeferrable(event) {
			return pause
		}
	}
	deferrablePause := time.Duration(r.readers.Load()) * r.settings.DeferrablePausePerReader
	return max(pause, min(deferrablePause, r.settings.MaxDeferrablePause))
}

// isDeferrable reports whether changes after this one may be delayed: this process is standby, or the event is of a new
// item or of a key that Deferrable selects. A starting fleet produces many such events, and no process waits for them.
func (r *Replica) isDeferrable(event Event) bool {
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
func sleep(ctx context.Context, lasting time.Duration) { ctxsleep.Sleep(ctx, lasting) }
