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

// maximumEventBytes bounds one event on a stream.
const maxEventBytes = 1 << 20

// StreamHandler takes the events of a stream. An error of it ends the stream.
type StreamHandler struct {
	Decision func(decision.Record) error
	// Heartbeat may be nil.
	Heartbeat func(Heartbeat) error
}

// FollowDecisions hands decisions of the first gateway that answers to a function as they fall, until the context ends,
// the function returns an error or the stream breaks.
func (c *Client) FollowDecisions(ctx context.Context, filter DecisionFilter, handle func(decision.Record) error) error {
	return c.Follow(ctx, StreamFilter{DecisionFilter: filter}, StreamHandler{Decision: handle})
}

// Follow hands the events of the stream of the first gateway that answers to a handler, until the context ends, the
// handler returns an error or the stream breaks.
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
		return errors.Wrapf(readEvents(response.Body, handler), "follow the decisions of gateway %s", address)
	}
	return errs
}

// readEvents reads server-sent events.
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

// handle decodes one event and hands it on. Events of unknown names are left out.
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
