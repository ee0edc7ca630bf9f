package completeness

import (
	"context"
	"time"
)

// Times for which a connection to the worker has to stay open after the end of a response. An exiting process closes its connections and its
// listener one after the other.
const (
	// SettleTime is for plain responses, of which nothing has been sent to the caller.
	SettleTime = 2 * time.Millisecond
	// StreamSettleTime is for streams. Their events have been sent to the caller, so only the end waits.
	StreamSettleTime = 20 * time.Millisecond
)

const (
	// maxWait bounds how long evidence is awaited. A sound worker may not answer for as long.
	maxWait = 1500 * time.Millisecond
	// firstPause is the time between the first two looks at a worker. It doubles each time.
	firstPause = 5 * time.Millisecond
	// lateTime is how long evidence is awaited after the end of the request. A response may have been read to its end just before.
	lateTime = 100 * time.Millisecond
)

// Await looks at a worker until the evidence decides, or no further look can, but for maxWait at most, and not longer than lateTime after ctx has
// ended. Evidence that stays undecided is Unknown.
func Await(ctx context.Context, look func(ctx context.Context) Evidence) Result {
	request := ctx
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request), maxWait)
	defer cancel()
	defer context.AfterFunc(request, func() { time.AfterFunc(lateTime, cancel) })()
	for pause := firstPause; ; pause *= 2 {
		evidence := look(ctx)
		if !evidence.AwaitsMore() {
			return evidence.Judge()
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Unknown
		}
	}
}
