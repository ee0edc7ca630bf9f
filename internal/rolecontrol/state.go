package rolecontrol

import "github.com/granitebay/granitebay/internal/engine"

// EngineState is what this router knows of an engine, for people.
type EngineState struct {
	Engine      string `json:"engine"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	Phase       Phase  `json:"phase"`
	// Message is one short sentence.
	Message string `json:"message"`
	// Epoch under which this router has authority; zero when it has none.
	Epoch uint64 `json:"epoch,omitempty"`
	// Generation of the record.
	Generation uint64 `json:"generation"`
	// Configuration of the record, and Wanted that of the target when it differs.
	Configuration engine.Configuration  `json:"configuration"`
	Wanted        *engine.Configuration `json:"wanted,omitempty"`
	// Failures counts crashes and orders that did not make the engine ready.
	Failures int `json:"failures,omitempty"`
}

// EngineState returns the state of an engine. The phase is unknown for engines that are not known.
func (c *Core) EngineState(name string) EngineState {
	record, _ := c.records.get(name)
	state := EngineState{
		Engine:        name,
		Phase:         PhaseUnknown,
		Message:       "the engine is not known",
		Generation:    record.Generation,
		Configuration: record.Configuration,
	}
	control := c.engines[name]
	if control == nil {
		return state
	}
	state.Zone = control.zone
	state.Incarnation = control.incarnation
	state.Phase = control.phase
	state.Message = control.message
	state.Epoch = control.epoch
	state.Failures = control.failures
	if control.target != nil && !sameConfiguration(control.target.Configuration, record.Configuration) {
		wanted := control.target.Configuration
		state.Wanted = &wanted
	}
	return state
}

// EngineStates returns the states of all known engines, sorted by name.
func (c *Core) EngineStates() []EngineState {
	states := make([]EngineState, 0, len(c.names))
	for _, name := range c.names {
		states = append(states, c.EngineState(name))
	}
	return states
}
