package engineclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
)

// The buffer of a stream. One server-sent event fits into maxEventBytes.
const (
	streamBufferBytes = 4 << 10
	maxEventBytes     = 4 << 20
)

// errSilent means that nothing came for as long as the time-out.
var errSilent = errors.New("silent for too long")

// stream sends a request and delivers the events of the stream that answers it.
func (c *call) stream(method, path string, body any, requestID string) error {
	ctx, cancel := context.WithCancelCause(c.client.context)
	defer cancel(nil)
	silence := time.AfterFunc(c.client.timeout, func() { cancel(errSilent) })
	defer silence.Stop()

	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return withCause(ctx, err)
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return c.streamRefused(response)
	}
	reader := &eventReader{call: c, requestID: requestID, incarnation: incarnationOf(response)}
	if err := reader.read(response.Body, func() { silence.Reset(c.client.timeout) }); err != nil {
		err = withCause(ctx, err)
		cancel(nil) // so that closing the body does not wait for the rest of the stream
		return err
	}
	return nil
}

// withCause puts the reason of the client in place of the error of an ended context.
func withCause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return errors.Wrap(errSilent, "stream")
	}
	return err
}

// streamRefused delivers the refusal that came in place of a stream.
func (c *call) streamRefused(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read refusal")
	}
	var answer enginewire.ErrorBody
	if err := json.Unmarshal(text, &answer); err != nil || answer.Refused == nil {
		return errors.Newf("engine %s answered %s: %s", c.command.EngineName(), response.Status, text)
	}
	c.client.emit(c.refused(*answer.Refused))
	return nil
}

// eventReader reads server-sent events and delivers what they stand for.
type eventReader struct {
	call        *call
	requestID   string
	incarnation uint64
	// name of the event that is being read.
	name []byte
}

var (
	fieldEvent = []byte("event: ")
	fieldData  = []byte("data: ")
)

// read reads until the last event. It returns an error if the stream ends without one.
func (r *eventReader) read(body io.Reader, alive func()) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, streamBufferBytes), maxEventBytes)
	for lines.Scan() {
		alive()
		last, err := r.line(lines.Bytes())
		if last || err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrapf(err, "engine %s: read stream", r.call.command.EngineName())
	}
	return errors.Newf("engine %s: the stream ended early", r.call.command.EngineName())
}

func (r *eventReader) line(line []byte) (last bool, err error) {
	if name, ok := bytes.CutPrefix(line, fieldEvent); ok {
		r.name = append(r.name[:0], name...)
		return false, nil
	}
	data, ok := bytes.CutPrefix(line, fieldData)
	if !ok {
		return false, nil
	}
	last, err = r.event(string(r.name), data)
	r.name = r.name[:0]
	return last, errors.Wrapf(err, "engine %s: read event", r.call.command.EngineName())
}

// event delivers one event and tells whether it is the last of the stream.
func (r *eventReader) event(name string, data []byte) (last bool, err error) {
	switch name {
	case "":
		return r.chunk(data)
	case enginewire.EventRefused:
		return true, deliver(r.call, data, r.call.refused)
	case enginewire.EventCancelled:
		return true, deliver(r.call, data, r.call.cancelled)
	case enginewire.EventCache:
		return false, deliver(r.call, data, r.call.cacheEvent)
	case enginewire.EventSuperseded:
		return true, nil
	}
	return false, nil
}

func deliver[T any](c *call, data []byte, event func(T) engine.Event) error {
	var wire T
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	c.client.emit(event(wire))
	return nil
}

// chunk delivers the tokens of one chunk.
func (r *eventReader) chunk(data []byte) (last bool, err error) {
	var chunk enginewire.ProgressChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, err
	}
	if chunk.Progress == nil {
		return false, errors.New("a chunk without granitebay")
	}
	progress := chunk.Progress
	r.call.client.emit(engine.Tokens{
		Engine:      r.call.command.EngineName(),
		Incarnation: r.incarnation,
		RequestID:   r.requestID,
		Offset:      progress.Offset,
		Tokens:      progress.Tokens,
		Finished:    progress.Finished,
		Total:       progress.Total,
		Error:       progress.Error,
	})
	return progress.Finished || progress.Error != "", nil
}
