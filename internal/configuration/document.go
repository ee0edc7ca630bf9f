package configuration

// Document is one revision of the configuration by labels. Operators write the Spec; the system writes the Status.
type Document struct {
	Spec   `json:"spec"`
	Status `json:"status"`
}

// Spec is what operators write. Objects of one kind are told apart by their names; their order means nothing.
type Spec struct {
	// Groups of workers. No worker may be selected by two of them. Default: none.
	Groups []Group `json:"groups"`
	// Rules for requests. A request that no rule selects is refused. Default: none.
	Rules []Rule `json:"rules"`
	// WorkerLabels are the labels that operators put on workers, by address of the worker and key of the label. They come
	// on top of the labels that the workers tell of themselves. Default: none.
	WorkerLabels map[string]map[string]string `json:"workerLabels"`
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
	// UnixMillis is the time of the edit in milliseconds since 1970, by the clock of the gateway that accepted it.
	UnixMillis int64 `json:"unixMillis"`
	// Fields that the edit changed, in order.
	Fields []FieldChange `json:"fields"`
}
