package configuration

// Document is one revision of the configuration. Operators write the Spec; the gateway that accepts an edit writes the
// Status.
type Document struct {
	Spec   `json:"spec"`
	Status `json:"status"`
}

// Spec is the part of a document that operators write. Objects of one kind are identified by name; their order is
// irrelevant.
type Spec struct {
	// Groups of workers. Two groups must not select the same worker. Default: none.
	Groups []Group `json:"groups"`
	// Rules for requests. A request that no rule selects is rejected. Default: none.
	Rules []Rule `json:"rules"`
	// WorkerLabels are the labels that operators set on workers, by worker address and label key. They override the labels
	// that the workers report. Default: none.
	WorkerLabels map[string]map[string]string `json:"workerLabels"`
}

// Status describes the revision and its history.
type Status struct {
	// Revision of the document, incremented by each accepted edit. Zero means that no document has been accepted yet.
	Revision uint64 `json:"revision"`
	// ChangeID of the edit that created this revision.
	ChangeID string `json:"changeID,omitempty"`
	// History lists the most recent edits, newest first, with the values that they replaced.
	History []Change `json:"history,omitempty"`
}

// Change is one accepted edit.
type Change struct {
	// Revision that the edit created.
	Revision uint64 `json:"revision"`
	// ChangeID that the client assigned to the edit.
	ChangeID string `json:"changeID"`
	// Author of the edit as reported by the client.
	Author string `json:"author,omitempty"`
	// UnixMillis is the Unix time of the edit in milliseconds, by the clock of the gateway that accepted it.
	UnixMillis int64 `json:"unixMillis"`
	// Fields that the edit changed, sorted by kind, name and label.
	Fields []FieldChange `json:"fields"`
}
