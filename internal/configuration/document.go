package configuration

// Document is one revision of the whole dynamic configuration. Operators write the Spec; the system writes the Status.
type Document struct {
	Spec   `json:"spec"`
	Status `json:"status"`
}

// Spec is what operators write. Objects of one kind are told apart by their names; their order means nothing.
type Spec struct {
	// Models that engines may load. Default: none.
	Models []Model `json:"models"`
	// Groups of engines. No engine may be selected by two of them. Default: none.
	Groups []Group `json:"groups"`
	// Rules for requests. A request that no rule selects is refused. Default: none.
	Rules []Rule `json:"rules"`
	// Tenants with a weight or limits of their own. All other tenants have the defaults. Default: none.
	Tenants []Tenant `json:"tenants"`
	// EngineLabels are the labels that operators put on engines, by name of engine and key of label. They come on top
	// of the labels of the platform. Default: none.
	EngineLabels map[string]map[string]string `json:"engineLabels"`
}

// Status is what the system adds to a Spec when it accepts it.
type Status struct {
	// Revision of the document; each accepted edit adds one. Zero means that no document was ever accepted.
	Revision uint64 `json:"revision"`
	// ChangeID of the edit that made this revision.
	ChangeID string `json:"changeID,omitempty"`
	// History lists the latest edits, newest first, with the values that they replaced.
	History []Change `json:"history,omitempty"`
}

// Change is one accepted edit.
type Change struct {
	// Revision that the edit made.
	Revision uint64 `json:"revision"`
	// ChangeID that the operator's program gave to the edit.
	ChangeID string `json:"changeID"`
	// Author of the edit, as the operator's program gave it.
	Author string `json:"author,omitempty"`
	// UnixMillis is the time of the edit in milliseconds since 1970, by the clock of the router that accepted it.
	UnixMillis int64 `json:"unixMillis"`
	// Fields that the edit changed, in order.
	Fields []FieldChange `json:"fields"`
}

// Model is a model that engines may load.
type Model struct {
	// Name of the model. Required.
	Name string `json:"name"`
	// Versions that may be loaded. Required, at least one.
	Versions []string `json:"versions"`
	// Adapters that may be loaded on top of the model. Default: none.
	Adapters []string `json:"adapters"`
	// MaximumContextTokens is the most tokens of prompt and answer together; zero means no limit. Default: 0.
	MaximumContextTokens int `json:"maximumContextTokens"`
}

// Tenant gives one tenant a weight and limits of its own.
type Tenant struct {
	// Name of the tenant. Required.
	Name string `json:"name"`
	// Weight multiplies the weight of each rule for this tenant in fair queueing. Default: 1.
	Weight float64 `json:"weight"`
	// Limits replace the limits per tenant of every rule when they are given. Default: those of the rule.
	Limits *TenantLimits `json:"limits,omitempty"`
}
