package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/httpclient"
)

// Limits of the wait for workers that have not answered a connection attempt.
const (
	// maxWorkerSilence is the longest silence of a worker that is taken for sound.
	maxWorkerSilence = 1500 * time.Millisecond
	// reconnectInterval is the pause between two rounds of connection attempts.
	reconnectInterval = 50 * time.Millisecond
)

// isUnresponsive reports whether an attempt failed because the worker did not answer the opening of a connection: nothing was sent, and the worker may
// only be silent for a moment. A refused connection is an answer: nothing listens there.
func isUnresponsive(err error) bool {
	var transport *httpclient.Error
	return errors.As(err, &transport) && transport.NothingSent() && transport.FailureCause() == httpclient.CauseTimeout
}

// awaitUnresponsive waits until a worker that has not answered a connection attempt accepts one, and makes it eligible again, or until another worker
// joins. It is called when no other worker is left, and returns false if none comes in time or the role is lost, true also if the context ends.
func (c *call) awaitUnresponsive(ctx context.Context) bool {
	if _, isLost := c.handler.dispatcher.RoleLoss(c.match.Group); isLost || !c.attempts.allowsAnother() {
		return false
	}
	end := c.endOfWait(time.Now())
	for len(c.attempts.unresponsive) > 0 && time.Now().Before(end) {
		if c.reachUnresponsive(ctx) || !ctxsleep.Sleep(ctx, reconnectInterval) {
			return true
		}
		if c.handler.dispatcher.hasAlternative(c.request, c.match.Group, c.versions(), c.attempts.excluded) {
			return true
		}
	}
	return false
}

// reachUnresponsive opens a connection to the workers that have not answered one, the best first, until one accepts it.
func (c *call) reachUnresponsive(ctx context.Context) bool {
	dispatcher, versions := c.handler.dispatcher, c.versions()
	excluded := c.attempts.notUnresponsive()
	for range c.attempts.unresponsive {
		worker := dispatcher.alternative(c.request, c.match.Group, versions, excluded)
		if worker == nil {
			break
		}
		excluded = append(excluded, worker.ID)
		err := c.handler.workers.Connect(ctx, worker)
		if err == nil {
			c.attempts.reinclude(worker.ID)
			return true
		}
		if !isUnresponsive(err) {
			c.attempts.forgetUnresponsive(worker.ID)
		}
	}
	c.attempts.unresponsive = slices.DeleteFunc(c.attempts.unresponsive, func(id string) bool { return !slices.Contains(excluded, id) })
	return false
}

// endOfWait returns until when a request without a worker waits for those that have not answered. Its objective does not shorten the wait: connection
// attempts that time out have used most of it. A stream that has begun waits no longer than for a retry.
func (c *call) endOfWait(now time.Time) time.Time {
	end := earliestSet(now.Add(maxWorkerSilence), c.deadline.Add(-c.handler.settings.MinRemaining))
	if c.relay.started && c.match.Rule.Patience > 0 {
		return earliestSet(end, now.Add(c.match.Rule.Patience/retryWaitShare))
	}
	return end
}
