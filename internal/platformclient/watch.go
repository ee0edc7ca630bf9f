package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/platform"
)

// watchLine is one line of the answer to a watch.
type watchLine struct {
	Revision uint64           `json:"revision"`
	Opened   bool             `json:"opened"`
	Changed  []platform.Entry `json:"changed"`
	Deleted  []string         `json:"deleted"`
	Closed   bool             `json:"closed"`
}

// watch opens a watch, delivers whether that worked, and then its changes until it breaks.
func (c *Client) watch(id platform.RequestID, request platform.Watch) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.options.Timeout, func() { cancel(errors.New("no sign of life from the watch")) })
	defer silence.Stop()

	lines, opened, err := c.openWatch(ctx, request)
	if err != nil {
		response := c.failed(errors.CombineErrors(err, context.Cause(ctx)))
		response.ID = id
		c.deliver(response)
		return
	}
	defer lines.Close()
	c.deliver(platform.Response{ID: id, Revision: opened.Revision})

	last := request.FromRevision
	for {
		silence.Reset(c.options.WatchSilence)
		line, err := lines.read()
		if err != nil || line.Closed {
			c.closeWatch(id, last, errors.CombineErrors(err, context.Cause(ctx)))
			return
		}
		if len(line.Changed) == 0 && len(line.Deleted) == 0 {
			continue
		}
		last = line.Revision
		c.deliverWatch(platform.WatchEvent{ID: id, Revision: last, Changed: line.Changed, Deleted: line.Deleted})
	}
}

// openWatch returns the lines of a watch after the first, which tells that it is open.
func (c *Client) openWatch(ctx context.Context, request platform.Watch) (*watchLines, watchLine, error) {
	query := url.Values{"prefix": {request.Prefix}, "from": {fmt.Sprint(request.FromRevision)}}
	outgoing := exchange{method: http.MethodGet, path: "/v1/kv/watch?" + query.Encode()}
	response, endpoint, err := c.open(ctx, outgoing)
	if err != nil {
		return nil, watchLine{}, err
	}
	lines := &watchLines{response: response, decoder: json.NewDecoder(response.Body)}
	first, err := lines.read()
	if err != nil || !first.Opened {
		lines.Close()
		err = errors.CombineErrors(err, errors.New("the first line does not tell that the watch is open"))
		return nil, watchLine{}, newFailedError(platform.FailureUnknown, errors.Wrapf(err, "open watch at %s", endpoint))
	}
	return lines, first, nil
}

func (c *Client) closeWatch(id platform.RequestID, last uint64, cause error) {
	if c.ctx.Err() == nil {
		c.options.Logger.WithError(cause).WithField("revision", last).Info(logPrefix + "Watch closed.")
	}
	c.deliverWatch(platform.WatchEvent{ID: id, Revision: last, Closed: true})
}

func (c *Client) deliverWatch(event platform.WatchEvent) {
	if c.ctx.Err() == nil {
		c.options.DeliverWatch(event)
	}
}

// watchLines reads the lines of a watch.
type watchLines struct {
	response *http.Response
	decoder  *json.Decoder
}

func (l *watchLines) read() (watchLine, error) {
	var line watchLine
	err := l.decoder.Decode(&line)
	return line, err
}

// Close ends the watch.
func (l *watchLines) Close() { _ = l.response.Body.Close() }
