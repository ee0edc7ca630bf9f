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

// Edit proposes an edit, or previews it in a dry run. It tries the next gateway until one reports a final outcome; this is safe
// because proposals with the same change id are applied at most once. If a gateway may have accepted the edit and no other one
// reports a final outcome, the outcome is EditUnknown. The error is set if no gateway returned a result and none can have
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

// record adds the response of one gateway and reports whether its outcome is final.
func (a *editAttempts) record(data []byte, err error) (final bool) {
	var result EditResult
	if json.Unmarshal(data, &result) != nil || result.Outcome == "" {
		a.maybeAccepted = a.maybeAccepted || (!a.dryRun && !notSent(err))
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

// finalResult returns the result if no gateway reported a final outcome.
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

// failure returns why there is no final outcome.
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

// notSent reports whether a call failed before anything was sent.
func notSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
