package configuration

// Labels of requests that the system itself sets. Agents may add others.
const (
	// LabelTenant is the tenant of the caller.
	LabelTenant = "tenant"
	// LabelClass is the class of the request, as the caller gave it.
	LabelClass = "class"
	// LabelModel is the name of the model.
	LabelModel = "model"
	// LabelAdapter is the name of the adapter; absent when there is none.
	LabelAdapter = "adapter"
	// LabelRepeatable is "true" when the work may run more than once and "false" otherwise.
	LabelRepeatable = "repeatable"
	// LabelZone is the zone of the caller for requests, and the zone of the machine for engines.
	LabelZone = "zone"
	// LabelEngine is the name of the engine; for engines only.
	LabelEngine = "engine"
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
	// Groups that may serve the requests, most preferred first. Required, at least one.
	Groups []string `json:"groups"`
	// Priority of the requests at engines and in queues, from 0 to 9: higher runs earlier and is shed later.
	// Default: 5.
	Priority int32 `json:"priority"`
	// DefaultDeadline is the time that a request has when its caller gave none. Default: 30s.
	DefaultDeadline Duration `json:"defaultDeadline"`
	// MaximumDeadline is the most time that a caller can ask for. Default: 10m.
	MaximumDeadline Duration `json:"maximumDeadline"`
	// Weight is the share of the rule in fair queueing, relative to other rules of the same priority. Default: 1.
	Weight float64 `json:"weight"`
	// PerTenant limits what each tenant may have under this rule.
	PerTenant TenantLimits `json:"perTenant"`
	// MaximumQueue is the most requests of the rule that wait at one owner. Default: 256.
	MaximumQueue int `json:"maximumQueue"`
}

// TenantLimits limits one tenant.
type TenantLimits struct {
	// MaximumInFlight is the most requests that run or wait at once, at one owner; zero means no limit. Default: 0.
	MaximumInFlight int `json:"maximumInFlight"`
	// TokensPerSecond is the most tokens of prompt and answer per second, at one owner, over a few seconds; zero means
	// no limit. Default: 0.
	TokensPerSecond float64 `json:"tokensPerSecond"`
}
