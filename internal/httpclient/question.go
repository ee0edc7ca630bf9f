package httpclient

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/completeness"
)

// answerTime is how long the answer to a question is awaited: longer than an exiting process with many connections takes to close all of them and its
// listener. A worker answers later only if all its slots are taken.
const answerTime = 50 * time.Millisecond

// Ask asks the process at an address whether it still runs after one of its connections has ended. A connection that stays open shows less: the
// listener of an exiting process accepts connections until it is closed, which may be after all others. Any response to the question shows a process;
// isSame reports from its header whether it is the one that is looked for. An idle connection is used if there is one. A process that doesn't answer
// in answerTime is looked at as Look does. One that ends the connection of the question lives if all others stay open for as long: an exiting process
// closes them one after the other.
func (c *Client) Ask(
	ctx context.Context, address string, question *Request, isSame func(header http.Header) bool, settle time.Duration,
) completeness.Worker {
	if ctx.Err() != nil {
		return completeness.WorkerUnseen
	}
	// A response leaves its connection open, so the contexts end only without one.
	asking, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopWatch := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(answerTime, cancel)
	response, err := c.do(asking, address, question)
	timer.Stop()
	stopWatch()
	var failure *Error
	switch {
	case err == nil:
		defer response.Discard()
		if !isSame(response.Header) {
			return completeness.WorkerReplaced
		}
		return completeness.WorkerAlive
	case ctx.Err() != nil:
		return completeness.WorkerUnseen
	case asking.Err() != nil:
		return c.Look(ctx, address, settle)
	case errors.As(err, &failure) && failure.NothingSent():
		return refusalOf(err)
	case c.pool.stayOpen(ctx, address, max(settle, answerTime)):
		return completeness.WorkerAlive
	default:
		return completeness.WorkerCloses
	}
}
