package adminapi

import (
	"net/url"
	"strconv"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/decision"
)

// Keys of decision.Record.Inputs that DecisionFilter matches.
const (
	InputRequest = "request"
	InputWorker  = "worker"
	InputGroup   = "group"
)

// DecisionFilter selects decisions. An empty field matches all.
type DecisionFilter struct {
	Kind string `query:"kind" doc:"Kind of decisions, for example request."`
	// Subject is the exact subject.
	Subject string `query:"subject" doc:"Exact subject of the decisions."`
	// Worker, Group and Request select decisions that have them as subject, outcome or input.
	Worker  string `query:"worker" doc:"Decisions about this worker."`
	Group   string `query:"group" doc:"Decisions about this group."`
	Request string `query:"request" doc:"Decisions about this request id."`
	// Since selects decisions with a higher sequence.
	Since uint64 `query:"since" doc:"Only decisions with a higher sequence."`
}

// StreamFilter selects the decisions of a stream.
type StreamFilter struct {
	DecisionFilter
	// Latest limits the retained decisions of each kind that are sent at the start, so that frequent kinds do not
	// displace rare ones; zero means no limit.
	Latest int `query:"latest" minimum:"0" doc:"At the start, only so many of the latest kept decisions of each kind."`
}

// Initial returns the retained decisions that are sent at the start of a stream.
func (f StreamFilter) Initial(records []decision.Record) []decision.Record {
	selected := f.Select(records)
	if f.Latest == 0 {
		return selected
	}
	remaining := lo.CountValuesBy(selected, func(record decision.Record) decision.Kind { return record.Kind })
	return lo.Filter(selected, func(record decision.Record, _ int) bool {
		remaining[record.Kind]--
		return remaining[record.Kind] < f.Latest
	})
}

// Query returns the filter as URL query parameters.
func (f StreamFilter) Query() url.Values {
	query := f.DecisionFilter.Query()
	if f.Latest > 0 {
		query.Set("latest", strconv.Itoa(f.Latest))
	}
	return query
}

// Matches reports whether the filter selects a decision.
func (f DecisionFilter) Matches(record decision.Record) bool {
	return record.Sequence > f.Since &&
		(f.Kind == "" || f.Kind == string(record.Kind)) &&
		(f.Subject == "" || f.Subject == record.Subject) &&
		mentions(record, InputWorker, f.Worker) &&
		mentions(record, InputGroup, f.Group) &&
		mentions(record, InputRequest, f.Request)
}

// mentions reports whether a decision has a value as subject, outcome or the given input. An empty value matches.
func mentions(record decision.Record, input, value string) bool {
	return value == "" || record.Subject == value || record.Outcome == value || record.Inputs[input] == value
}

// Query returns the filter as URL query parameters.
func (f DecisionFilter) Query() url.Values {
	query := url.Values{}
	fields := map[string]string{
		"kind": f.Kind, "subject": f.Subject, InputWorker: f.Worker, InputGroup: f.Group, InputRequest: f.Request,
		"since": lo.Ternary(f.Since == 0, "", strconv.FormatUint(f.Since, 10)),
	}
	for name, value := range fields {
		if value != "" {
			query.Set(name, value)
		}
	}
	return query
}

// Select returns the decisions that the filter selects.
func (f DecisionFilter) Select(records []decision.Record) []decision.Record {
	return lo.Filter(records, func(record decision.Record, _ int) bool { return f.Matches(record) })
}
