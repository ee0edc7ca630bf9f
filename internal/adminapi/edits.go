package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
)

// handleEdit executes or previews an edit and returns the HTTP status and the result.
func handleEdit(ctx context.Context, backend Backend, input *editInput) (int, EditResult) {
	request, err := configuration.ParseEditRequest(input.RawBody)
	if err == nil && request.ChangeID == "" {
		err = configuration.ErrNoChangeID
	}
	if err != nil {
		return errorResult(EditResult{ChangeID: request.ChangeID}, err)
	}
	if input.DryRun {
		return previewEdit(backend, request)
	}
	return proposeEdit(ctx, backend, request)
}

// proposeEdit writes an edit to the store.
func proposeEdit(ctx context.Context, backend Backend, request configuration.EditRequest) (int, EditResult) {
	result := EditResult{ChangeID: request.ChangeID}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	proposed := backend.Propose(ctx, request)
	result.Revision = proposed.Revision
	switch {
	case proposed.Accepted:
		result.Outcome = EditAccepted
		if proposed.Unchanged {
			result.Outcome = EditUnchanged
		}
		return http.StatusOK, result
	case len(proposed.Conflicts) > 0:
		return conflictResult(result, proposed.Conflicts)
	default:
		return errorResult(result, proposed.Err)
	}
}

// proposeTimeout limits the time to propose an edit.
const proposeTimeout = 20 * time.Second

// previewEdit returns the effects that an edit would have.
func previewEdit(backend Backend, request configuration.EditRequest) (int, EditResult) {
	result := EditResult{ChangeID: request.ChangeID}
	current := backend.Document()
	next, conflicts, err := configuration.Preview(current, request, time.Now())
	if len(conflicts) > 0 {
		return conflictResult(result, conflicts)
	}
	if err != nil {
		return errorResult(result, err)
	}
	consequences, err := configuration.PreviewEffects(current, next, backend.KnownWorkers(), backend.KnownRequests())
	if err != nil {
		return errorResult(result, err)
	}
	result.Outcome, result.Revision, result.Consequences = EditPreview, next.Revision, &consequences
	return http.StatusOK, result
}

func conflictResult(result EditResult, conflicts []configuration.Conflict) (int, EditResult) {
	result.Outcome, result.Conflicts = EditConflict, conflicts
	result.Error = "another edit changed the same fields"
	return http.StatusConflict, result
}

// errorResult maps an error to an outcome and an HTTP status. Errors that it does not know mean that the edit was not accepted
// and may be retried.
func errorResult(result EditResult, err error) (int, EditResult) {
	result.Error = err.Error()
	var fieldErrors configuration.FieldErrors
	switch {
	case errors.As(err, &fieldErrors):
		result.Outcome, result.Faults = EditInvalid, fieldErrors
		return http.StatusUnprocessableEntity, result
	case errors.IsAny(err, configuration.ErrNoChangeID, configuration.ErrTooLarge):
		result.Outcome = EditInvalid
		return http.StatusUnprocessableEntity, result
	case errors.Is(err, configuration.ErrUnknownBase):
		result.Outcome = EditConflict
		return http.StatusConflict, result
	case errors.Is(err, configuration.ErrOutcomeUnknown):
		result.Outcome = EditUnknown
		return http.StatusGatewayTimeout, result
	default:
		result.Outcome = EditUnavailable
		return http.StatusServiceUnavailable, result
	}
}
