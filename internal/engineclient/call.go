package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
)

// maxAnswerBytes bounds the body of an answer that is not a stream.
const maxAnswerBytes = 4 << 20

// call is one command on its way.
type call struct {
	client  *Client
	command engine.Command
	address string
	begin   time.Time
}

func (c *call) do() error {
	switch command := c.command.(type) {
	case engine.Submit:
		return c.stream(http.MethodPost, enginewire.PathCompletions, completionOf(command), command.RequestID)
	case engine.Attach:
		path := enginewire.StreamPath(command.RequestID, command.StreamOffset, command.ExpectedIncarnation)
		return c.stream(http.MethodGet, path, nil, command.RequestID)
	case engine.Cancel:
		return ask(c, http.MethodDelete, enginewire.RequestPath(command.RequestID), nil, c.cancelled)
	case engine.Order:
		return ask(c, http.MethodPost, enginewire.PathOrders, orderOf(command), c.orderResult)
	case engine.Probe:
		return ask(c, http.MethodGet, enginewire.PathLoad, nil, c.status)
	case engine.WatchCache:
		return c.stream(http.MethodGet, enginewire.PathCacheEvents, nil, "")
	case engine.ExportKV:
		return ask(c, http.MethodPost, enginewire.PathKVExport, enginewire.KVExport{Blocks: enginewire.Hashes(command.Blocks)}, c.exported)
	case engine.ImportKV:
		return ask(c, http.MethodPost, enginewire.PathKVImport, importOf(command), c.imported)
	}
	return errors.Newf("unknown command %T", c.command)
}

// fail delivers that the command got no answer, or that its stream broke.
func (c *call) fail(err error) {
	unreachable := engine.Unreachable{
		Engine:    c.command.EngineName(),
		RequestID: requestIDOf(c.command),
		NotSent:   notSent(err),
		Reason:    err.Error(),
		After:     time.Since(c.begin),
	}
	c.client.logger.WithField("engine", unreachable.Engine).WithError(err).Debug("No answer.")
	c.client.emit(unreachable)
}

func requestIDOf(command engine.Command) string {
	switch v := command.(type) {
	case engine.Submit:
		return v.RequestID
	case engine.Attach:
		return v.RequestID
	case engine.Cancel:
		return v.RequestID
	}
	return ""
}

// notSent tells whether an error proves that the engine did not get the command.
func notSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, errNoAddress)
}

// send sends a request and returns the answer when its header has come.
func (c *call) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.client.http.Do(request)
	return response, errors.Wrapf(err, "engine %s", c.command.EngineName())
}

// ask sends a request and delivers the event that its answer stands for.
func ask[T any](c *call, method, path string, body any, event func(T) engine.Event) error {
	ctx, cancel := context.WithTimeout(c.client.context, c.client.timeout)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return c.unexpected(response)
	}
	var answer T
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return errors.Wrapf(err, "engine %s: read answer", c.command.EngineName())
	}
	c.client.emit(event(answer))
	return nil
}

// closeBody reads what is left of a body, so that the connection can be used again.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxAnswerBytes)
	_ = response.Body.Close()
}

// unexpected makes an error of an answer that does not fit the command.
func (c *call) unexpected(response *http.Response) error {
	const shown = 512
	text, _ := io.ReadAll(io.LimitReader(response.Body, shown))
	return errors.Newf("engine %s answered %s: %s", c.command.EngineName(), response.Status, text)
}

func incarnationOf(response *http.Response) uint64 {
	incarnation, _ := strconv.ParseUint(response.Header.Get(enginewire.HeaderIncarnation), 10, 64)
	return incarnation
}
