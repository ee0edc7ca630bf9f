package adminapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/decision"
)

// maxEventBytes limits the size of one event on a stream.
const maxEventBytes = 1 << 20

// StreamHandler receives the events of a stream. The stream ends if a handler returns an error.
type StreamHandler struct {
	Decision func(decision.Record) error
	// Heartbeat may be nil.
	Heartbeat func(Heartbeat) error
}

// FollowDecisions calls handle for each retained and each new decision of the first gateway that responds, until ctx ends, handle
// returns an error or the stream breaks.
func (c *Client) FollowDecisions(ctx context.Context, filter DecisionFilter, handle func(decision.Record) error) error {
	return c.Follow(ctx, StreamFilter{DecisionFilter: filter}, StreamHandler{Decision: handle})
}

// Follow passes the events of the first gateway that responds to a handler, until ctx ends, the handler returns an error
// or the stream breaks.
func (c *Client) Follow(ctx context.Context, filter StreamFilter, handler StreamHandler) error {
	var errs error
	for _, address := range c.addresses {
		response, err := c.send(ctx, address, apiCall{method: http.MethodGet, path: PathDecisionsStream, query: filter.Query()})
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			data, _ := io.ReadAll(response.Body)
			return statusError(address, response.StatusCode, data)
		}
		return errors.Wrapf(readEvents(response.Body, handler), "read the decision stream of gateway %s", address)
	}
	return errs
}

// readEvents reads server-sent events and passes them to the handler.
func readEvents(stream io.Reader, handler StreamHandler) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(nil, maxEventBytes)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if err := handler.handle(event, []byte(data)); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// handle decodes one event and passes it to the handler. Unknown events are ignored.
func (h StreamHandler) handle(event string, data []byte) error {
	switch {
	case event == eventDecision:
		var record decision.Record
		if err := json.Unmarshal(data, &record); err != nil {
			return errors.Wrap(err, "decode a decision")
		}
		return h.Decision(record)
	case event == eventHeartbeat && h.Heartbeat != nil:
		var heartbeat Heartbeat
		if err := json.Unmarshal(data, &heartbeat); err != nil {
			return errors.Wrap(err, "decode a heartbeat")
		}
		return h.Heartbeat(heartbeat)
	default:
		return nil
	}
}
