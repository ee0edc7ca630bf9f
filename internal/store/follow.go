package store

import (
	"context"
	"time"
)

// callSlack is how much longer than its wait a call to the store may take before the replica follows the feed meanwhile.
const callSlack = 250 * time.Millisecond

// canFollow reports whether the feed can provide changes, whether or not this process is standby.
func (r *Replica) canFollow() bool { return r.feed != nil && r.table != nil }

// callWithFeed runs a call to the store with the given wait, and follows the feed if the call takes longer. The store may answer some processes and
// not others; without the feed, this one would learn of no change until the call times out. The call must not use fields of the replica that the feed
// changes.
func (r *Replica) callWithFeed(ctx context.Context, wait time.Duration, call func()) {
	if !r.canFollow() {
		call()
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	overdue := time.NewTimer(wait + callSlack)
	defer overdue.Stop()
	select {
	case <-done:
	case <-overdue.C:
		r.followUntil(ctx, done)
		<-done
	}
}

// followUntil polls the feed until the channel is closed or the context ends.
func (r *Replica) followUntil(ctx context.Context, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		<-done
	}()
	for ctx.Err() == nil {
		if r.pollFeed(ctx, r.feedWait()) != nil {
			sleep(ctx, jitter(r.stretchPause(shardRetryPause)))
		}
	}
}

// waitWithFeed waits before the next call to the store and follows the feed meanwhile, until that fails.
func (r *Replica) waitWithFeed(ctx context.Context, pause time.Duration) {
	end := time.Now().Add(pause)
	for isFirst := true; r.canFollow(); isFirst = false {
		remaining := time.Until(end)
		if !isFirst && remaining <= r.settings.MinFeedInterval {
			break
		}
		// An error is ignored: the process continues with the items it has.
		if r.pollFeed(ctx, min(r.feedWait(), remaining)) != nil {
			break
		}
	}
	sleep(ctx, time.Until(end))
}
