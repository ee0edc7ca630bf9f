package configuration

// Labels of requests and workers that the system itself sets.
const (
	// LabelTenant is the tenant of the caller; absent when there is none.
	LabelTenant = "tenant"
	// LabelRepeatable is "true" when the work may run more than once and "false" otherwise.
	LabelRepeatable = "repeatable"
	// LabelZone is the zone of a worker.
	LabelZone = "zone"
	// LabelRole is the role of a worker that is an engine.
	LabelRole = "role"
)

// Rule says how the requests that it selects are served.
type Rule struct {
	// Name of the rule. Required.
	Name string `json:"name"`
	// Precedence decides when several rules select a request: the highest wins, then the first by name. Default: 0.
	Precedence int `json:"precedence"`
	// RequestSelector selects requests by label, in the selector syntax of Kubernetes, for example
	// "class=quick,repeatable=true". An empty selector selects every request. Default: empty.
	RequestSelector string `json:"requestSelector"`
	// Groups that serve the requests, each with its weight. Required, at least one.
	Groups []GroupShare `json:"groups"`
	// Priority of the requests at workers, from 0, the most urgent, to 9. Default: 5.
	Priority int `json:"priority"`
	// Timeout is the most time that a request has, whatever its caller asks for. Default: 30s.
	Timeout Duration `json:"timeout"`
	// Objective is the time within which the first token is wanted. Default: 1s.
	Objective Duration `json:"objective"`
	// MaximumAttempts is the largest number of workers on which one repeatable request may run. Default: 2.
	MaximumAttempts int `json:"maximumAttempts"`
	// TenantInFlight is the most requests of one tenant that are in hand at once, at all gateways together; zero is no
	// limit. Default: 0.
	TenantInFlight int `json:"tenantInFlight"`
}

// GroupShare is the part of the requests of a rule that one group serves.
type GroupShare struct {
	// Group that serves the part. Required.
	Group string `json:"group"`
	// Weight of the part among all parts. Default: 1.
	Weight int `json:"weight"`
}
