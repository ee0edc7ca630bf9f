package relay

// Outcome is the outcome of an attempt to relay a connection.
type Outcome string

// The outcomes.
const (
	OutcomeConnected   Outcome = "connected"
	OutcomeRefused     Outcome = "refused"
	OutcomeSilent      Outcome = "silent"
	OutcomeUnreachable Outcome = "unreachable"
	OutcomeNoRoom      Outcome = "no room"
	OutcomeUnknown     Outcome = "unknown worker"
	// OutcomeUnavailable means that the other gateway did not answer, or does not relay.
	OutcomeUnavailable Outcome = "unavailable"
)

// Event reports an attempt to relay a connection, for another gateway if Served is set, or a changed path.
type Event struct {
	Served  bool
	Outcome Outcome
	// Path is set if the direct path to the worker at Address was lost or restored; Outcome is then empty. LostPaths is the number of lost
	// paths after that, and Peer the gateway that reaches the worker.
	Path      PathChange
	Address   string
	Peer      string
	LostPaths int
}

// PathChange is a change of a path.
type PathChange string

// The changes.
const (
	PathLost     PathChange = "lost"
	PathRestored PathChange = "restored"
)
