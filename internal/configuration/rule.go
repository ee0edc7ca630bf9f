package configuration

// Labels that gateways set on requests and that workers report.
const (
	// LabelTenant of a request is the name of the caller's tenant; absent if there is none.
	LabelTenant = "tenant"
	// LabelRepeatable of a request is "true" if it may run more than once and "false" otherwise.
	LabelRepeatable = "repeatable"
	// LabelZone of a worker is its zone.
	LabelZone = "zone"
	// LabelRole of a worker is its role; set only for inference engines.
	LabelRole = "role"
)

// Rule defines how the requests that it selects are served.
type Rule struct {
	// Name of the rule. Required.
	Name string `json:"name"`
	// Precedence orders the rules that select a request: the highest wins, then the first by name. Default: 0.
	Precedence int `json:"precedence"`
	// RequestSelector is a Kubernetes label selector for requests, for example "class=quick,repeatable=true". An empty
	// selector selects every request. Default: empty.
	RequestSelector string `json:"requestSelector"`
	// Groups that serve the requests, with their weights. At least one is required.
	Groups []GroupShare `json:"groups"`
	// Priority of the requests at workers, from 0 (most urgent) to 9. Default: 5.
	Priority int `json:"priority"`
	// Timeout limits the duration of a request, whatever timeout its caller asks for. Default: 30s.
	Timeout Duration `json:"timeout"`
	// Objective is the target for the time to first token. Default: 1s.
	Objective Duration `json:"objective"`
	// MaximumAttempts is the maximum number of workers on which a repeatable request may run. Default: 2.
	MaximumAttempts int `json:"maximumAttempts"`
	// TenantInFlight limits the concurrent requests of one tenant across all gateways; zero means no limit. Default: 0.
	TenantInFlight int `json:"tenantInFlight"`
}

// GroupShare assigns a weighted share of a rule's requests to a group.
type GroupShare struct {
	// Group that serves the share. Required.
	Group string `json:"group"`
	// Weight relative to the other shares of the rule. Default: 1.
	Weight int `json:"weight"`
}
