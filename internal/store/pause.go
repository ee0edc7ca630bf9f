package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/pause"
)

// settleShare is the part of the time within which changes have to be known that may be spent on gathering them. The number of readers alone
// would take all of it in a fleet of thousands.
const maxPauseFraction = 0.1

// share stretches a pause by the number of readers, as far as the bound of changes allows.
func (r *Replica) stretchPause(pause time.Duration) time.Duration {
	stretched := time.Duration(r.readers.Load()) * pausePerReader
	if bound := r.propagationBound.Load(); bound > 0 {
		stretched = min(stretched, time.Duration(maxPauseFraction*float64(bound)))
	}
	return max(pause, stretched)
}

// settle returns the pause after changes that were not noted yet. When every process of a large fleet starts at once, each
// registration and each new record is a change for all of them: without a longer pause their calls grow with the square of
// the fleet. The pause delays only what comes after those changes.
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

// unhurried tells whether those that come after a change may be told late: it concerns an unhurried key, or an item that was
// not there before. A large fleet that starts has many of these, and none that is waited for.
func (r *Replica) isDeferrable(event Event) bool {
	if r.standby.Load() {
		return true
	}
	if r.settings.Unhurried != nil && r.settings.Unhurried(event.Key) {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.table.get(event.Key).Key == "" && !event.Deleted
}

// jitter returns a pause between a half and the whole of the given one.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2+1)
}

// sleep waits for a pause or the end of the context.
func sleep(ctx context.Context, lasting time.Duration) { pause.For(ctx, lasting) }
