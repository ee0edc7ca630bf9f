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

// Edit proposes an edit, or previews it in a dry run. It tries the next gateway while the outcome is open; this is safe
// because the change id makes repeated proposals idempotent. If one gateway may have accepted the edit and no other
// gateway settles it, the outcome is EditUnknown. The error is set if no gateway returned a result and none can have
// accepted the edit.
func (c *Client) Edit(ctx context.Context, request configuration.EditRequest, dryRun bool) (EditResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return EditResult{}, errors.Wrap(err, "encode the edit")
	}
	query := url.Values{}
	if dryRun {
		query.Set("dryRun", "true")
	}
	apiRequest := apiCall{method: http.MethodPost, path: PathConfigEdits, query: query, body: body}
	attempts := editAttempts{dryRun: dryRun, changeID: request.ChangeID}
	for _, address := range c.addresses {
		_, data, err := c.tryOne(ctx, address, apiRequest)
		if attempts.record(data, err) {
			return attempts.result, nil
		}
	}
	return attempts.finalResult()
}

// editAttempts collects the responses of several gateways to one edit.
type editAttempts struct {
	dryRun   bool
	changeID string
	// result is the latest result.
	result EditResult
	// maybeAccepted is set if a gateway may have accepted the edit.
	maybeAccepted bool
	errs          error
}

// record adds the response of one gateway and reports whether it settles the edit.
func (a *editAttempts) record(data []byte, err error) (settled bool) {
	var result EditResult
	if json.Unmarshal(data, &result) != nil || result.Outcome == "" {
		a.maybeAccepted = a.maybeAccepted || (!a.dryRun && !neverSent(err))
		a.errs = errors.Join(a.errs, err)
		return false
	}
	a.result = result
	switch result.Outcome {
	case EditUnknown:
		a.maybeAccepted = true
		return false
	case EditUnavailable:
		return false
	default:
		return true
	}
}

// finalResult returns the result if no gateway settled the edit.
func (a *editAttempts) finalResult() (EditResult, error) {
	switch {
	case a.maybeAccepted && a.result.Outcome != EditUnknown:
		return EditResult{
			Outcome: EditUnknown, ChangeID: a.changeID,
			Error: errors.Wrap(a.failure(), "a gateway may have accepted the edit").Error(),
		}, nil
	case a.result.Outcome != "":
		return a.result, nil
	default:
		return EditResult{}, a.failure()
	}
}

// failure returns why the edit is not settled.
func (a *editAttempts) failure() error {
	switch {
	case a.errs != nil:
		return a.errs
	case a.result.Error != "":
		return errors.New(a.result.Error)
	default:
		return errNoAddress
	}
}

// neverSent reports whether a call failed before anything was sent.
func neverSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
