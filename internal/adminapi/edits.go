package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/configuration"
)

// edit runs or previews an edit and returns the HTTP status with the result.
func edit(ctx context.Context, backend Backend, input *editInput) (int, EditResult) {
	request, err := configuration.ParseEditRequest(input.RawBody)
	if err == nil && request.ChangeID == "" {
		err = configuration.ErrNoChangeID
	}
	if err != nil {
		return failedEdit(EditResult{ChangeID: request.ChangeID}, err)
	}
	if input.DryRun {
		return previewEdit(ctx, backend, request)
	}
	return proposeEdit(ctx, backend, request)
}

// proposeEdit brings an edit into the store.
func proposeEdit(ctx context.Context, backend Backend, request configuration.EditRequest) (int, EditResult) {
	result := EditResult{ChangeID: request.ChangeID}
	proposed, err := backend.Propose(ctx, request)
	if err != nil {
		// The wait ended before the result came, so the edit may still be accepted.
		result.Outcome, result.Error = EditUnknown, err.Error()
		return http.StatusGatewayTimeout, result
	}
	result.Revision = proposed.Revision
	switch {
	case proposed.Accepted:
		result.Outcome = EditAccepted
		if proposed.Unchanged {
			result.Outcome = EditUnchanged
		}
		return http.StatusOK, result
	case len(proposed.Conflicts) > 0:
		return conflictingEdit(result, proposed.Conflicts)
	default:
		return failedEdit(result, proposed.Err)
	}
}

// previewEdit tells what an edit would do.
func previewEdit(ctx context.Context, backend Backend, request configuration.EditRequest) (int, EditResult) {
	result := EditResult{ChangeID: request.ChangeID}
	current, err := backend.Configuration(ctx)
	if err != nil {
		return failedEdit(result, err)
	}
	next, conflicts, err := configuration.Preview(current, request, time.Now())
	if len(conflicts) > 0 {
		return conflictingEdit(result, conflicts)
	}
	if err != nil {
		return failedEdit(result, err)
	}
	consequences, err := consequencesOf(ctx, backend, current, next)
	if err != nil {
		return failedEdit(result, err)
	}
	result.Outcome, result.Revision, result.Consequences = EditPreview, next.Revision, &consequences
	return http.StatusOK, result
}

func consequencesOf(ctx context.Context, backend Backend, current, next configuration.Document) (configuration.Consequences, error) {
	engines, err := backend.KnownEngines(ctx)
	if err != nil {
		return configuration.Consequences{}, err
	}
	requests, err := backend.KnownRequests(ctx)
	if err != nil {
		return configuration.Consequences{}, err
	}
	return configuration.WhatIf(current, next, engines, requests)
}

func conflictingEdit(result EditResult, conflicts []configuration.Conflict) (int, EditResult) {
	result.Outcome, result.Conflicts = EditConflict, conflicts
	result.Error = "another edit changed the same fields"
	return http.StatusConflict, result
}

// failedEdit sorts an error into an outcome.
func failedEdit(result EditResult, err error) (int, EditResult) {
	result.Error = err.Error()
	var faults configuration.FieldErrors
	switch {
	case errors.As(err, &faults):
		result.Outcome, result.Faults = EditInvalid, faults
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
