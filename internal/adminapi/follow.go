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
const maximumEventBytes = 1 << 20

// FollowDecisions hands decisions to a function as they fall, until the context ends, the function returns an error or
// the stream breaks. It follows the first router that answers.
func (c *Client) FollowDecisions(ctx context.Context, filter DecisionFilter, handle func(decision.Record) error) error {
	var failures error
	for _, address := range c.addresses {
		response, err := c.send(ctx, address, call{method: http.MethodGet, path: PathDecisionsStream, query: filter.Query()})
		if err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			data, _ := io.ReadAll(response.Body)
			return statusError(address, response.StatusCode, data)
		}
		return errors.Wrapf(readEvents(response.Body, handle), "follow the decisions of router %s", address)
	}
	return failures
}

// readEvents reads server-sent events.
func readEvents(stream io.Reader, handle func(decision.Record) error) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(nil, maximumEventBytes)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, isName := strings.CutPrefix(line, "event: "); isName {
			event = name
		}
		data, isData := strings.CutPrefix(line, "data: ")
		if !isData || event != eventDecision {
			continue
		}
		var record decision.Record
		if err := json.Unmarshal([]byte(data), &record); err != nil {
			return errors.Wrap(err, "decode a decision")
		}
		if err := handle(record); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
