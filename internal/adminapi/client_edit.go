package adminapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
)

// Edit proposes an edit, or previews it in a dry run. It goes on to the next gateway as long as the outcome is open, which
// is safe because the change id makes a second proposal the same edit. If one gateway may have accepted the edit and no
// other settles it, the outcome is EditUnknown. The error is set when no gateway gave a result and none can have accepted.
func (c *Client) Edit(ctx context.Context, request configuration.EditRequest, dryRun bool) (EditResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return EditResult{}, errors.Wrap(err, "encode the edit")
	}
	query := url.Values{}
	if dryRun {
		query.Set("dryRun", "true")
	}
	outgoing := call{method: http.MethodPost, path: PathConfigEdits, query: query, body: body}
	attempts := editAttempts{dryRun: dryRun, changeID: request.ChangeID}
	for _, address := range c.addresses {
		_, data, err := c.once(ctx, address, outgoing)
		if attempts.note(data, err) {
			return attempts.result, nil
		}
	}
	return attempts.end()
}

// editAttempts collects what several gateways said of one edit.
type editAttempts struct {
	dryRun   bool
	changeID string
	// result is the latest one.
	result EditResult
	// inDoubt is set when a gateway may have accepted the edit.
	inDoubt  bool
	failures error
}

// note takes the response of one gateway and tells whether it settles the edit.
func (a *editAttempts) note(data []byte, err error) (settled bool) {
	var result EditResult
	if json.Unmarshal(data, &result) != nil || result.Outcome == "" {
		a.inDoubt = a.inDoubt || (!a.dryRun && !neverSent(err))
		a.failures = errors.Join(a.failures, err)
		return false
	}
	a.result = result
	switch result.Outcome {
	case EditUnknown:
		a.inDoubt = true
		return false
	case EditUnavailable:
		return false
	default:
		return true
	}
}

// end returns what is known when no gateway settled the edit.
func (a *editAttempts) end() (EditResult, error) {
	switch {
	case a.inDoubt && a.result.Outcome != EditUnknown:
		return EditResult{
			Outcome: EditUnknown, ChangeID: a.changeID,
			Error: errors.Wrap(a.failureOrResult(), "a gateway may have accepted the edit").Error(),
		}, nil
	case a.result.Outcome != "":
		return a.result, nil
	default:
		return EditResult{}, a.failureOrResult()
	}
}

// failureOrResult returns why the edit is not settled.
func (a *editAttempts) failureOrResult() error {
	switch {
	case a.failures != nil:
		return a.failures
	case a.result.Error != "":
		return errors.New(a.result.Error)
	default:
		return errNoAddress
	}
}

// neverSent tells whether a call failed before anything was sent.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
