package agent

import (
	"fmt"
	"maps"
	"slices"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/util/validation"
	"k8s.io/apimachinery/pkg/util/validation/field"
)

const (
	maxNameLength = 253
	maxLabels     = 32
)

// CallerRequest is what a caller asks of its agent.
type CallerRequest struct {
	// Tenant that the request is counted for. A label value as in Kubernetes, not empty.
	Tenant string
	// IdempotencyKey names the request, so that asking twice runs it once. Optional.
	IdempotencyKey string
	// Labels that rules select on.
	Labels  map[string]string
	Model   string
	Adapter string
	// Prompt is the text. Simulations leave it empty and set the three fields after it.
	Prompt       string
	PromptDigest uint64
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens uint32
	// PrefixBlocks are the chained hashes of the blocks of the prompt.
	PrefixBlocks []uint64
	// MaxTokens is the number of tokens to generate.
	MaxTokens uint32
	// Repeatable tells whether the work may run more than once.
	Repeatable bool
	// Deadline by the clock of the agent; the zero time asks for the default.
	Deadline time.Time
}

// InvalidRequestError lists everything that is wrong with a CallerRequest.
type InvalidRequestError struct {
	Fields field.ErrorList
}

// Error lists the fields.
func (e *InvalidRequestError) Error() string {
	return "invalid request: " + e.Fields.ToAggregate().Error()
}

// ConflictError tells that an idempotency key is already used for another request.
type ConflictError struct {
	IdempotencyKey string
}

// Error names the key.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("idempotency_key: Invalid value: %q: already names a request with another content; use a new key", e.IdempotencyKey)
}

// validate checks every field but the idempotency key.
func (r CallerRequest) validate(now time.Time, settings Settings) field.ErrorList {
	var errs field.ErrorList
	errs = append(errs, validateTenant(r.Tenant)...)
	errs = append(errs, validateLabels(r.Labels)...)
	if r.Model == "" {
		errs = append(errs, field.Required(field.NewPath(fieldModel), "must name a model"))
	}
	errs = append(errs, validateLength(fieldModel, r.Model)...)
	errs = append(errs, validateLength(fieldAdapter, r.Adapter)...)
	errs = append(errs, validateCount(fieldPrompt, r.PromptTokens, settings.MaxPromptTokens)...)
	errs = append(errs, validateCount(fieldMaxTokens, r.MaxTokens, settings.MaxTokens)...)
	if !r.Deadline.IsZero() && (!r.Deadline.After(now) || r.Deadline.After(now.Add(settings.MaxDeadline))) {
		detail := "must be a time above 0s, up to " + settings.MaxDeadline.String()
		errs = append(errs, field.Invalid(field.NewPath(fieldDeadline), r.Deadline.Sub(now).String(), detail))
	}
	return errs
}

func validateTenant(tenant string) field.ErrorList {
	path := field.NewPath(fieldTenant)
	if tenant == "" {
		return field.ErrorList{field.Required(path, "must name a tenant")}
	}
	return lo.Map(validation.IsValidLabelValue(tenant), func(detail string, _ int) *field.Error {
		return field.Invalid(path, tenant, detail)
	})
}

func validateLabels(labels map[string]string) field.ErrorList {
	path := field.NewPath(fieldLabels)
	if len(labels) > maxLabels {
		return field.ErrorList{field.TooMany(path, len(labels), maxLabels)}
	}
	var errs field.ErrorList
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		for _, detail := range validation.IsQualifiedName(name) {
			errs = append(errs, field.Invalid(path, name, detail))
		}
		for _, detail := range validation.IsValidLabelValue(labels[name]) {
			errs = append(errs, field.Invalid(path.Key(name), labels[name], detail))
		}
	}
	return errs
}

func validateLength(name, value string) field.ErrorList {
	if len(value) <= maxNameLength {
		return nil
	}
	return field.ErrorList{field.TooLong(field.NewPath(name), value, maxNameLength)}
}

func validateCount(name string, count, limit uint32) field.ErrorList {
	if count >= 1 && count <= limit {
		return nil
	}
	return field.ErrorList{field.Invalid(field.NewPath(name), count, fmt.Sprintf("must be 1 to %d tokens", limit))}
}

// work turns the request into what is sent to routers.
func (r CallerRequest) work(id string) *granitebayv1.Work {
	return &granitebayv1.Work{
		RequestId:    id,
		Tenant:       r.Tenant,
		Labels:       r.Labels,
		Model:        r.Model,
		Adapter:      r.Adapter,
		Prompt:       r.Prompt,
		PromptDigest: r.PromptDigest,
		PromptTokens: r.PromptTokens,
		PrefixBlocks: r.PrefixBlocks,
		MaxTokens:    r.MaxTokens,
		Repeatable:   r.Repeatable,
	}
}

// sameWork tells whether two pieces of work ask for the same, so that calls with one key may share a request.
func sameWork(a, b *granitebayv1.Work) bool {
	return a.GetTenant() == b.GetTenant() &&
		a.GetModel() == b.GetModel() &&
		a.GetAdapter() == b.GetAdapter() &&
		a.GetPrompt() == b.GetPrompt() &&
		a.GetPromptDigest() == b.GetPromptDigest() &&
		a.GetMaxTokens() == b.GetMaxTokens() &&
		a.GetRepeatable() == b.GetRepeatable()
}
