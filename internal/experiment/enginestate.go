package experiment

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// phase is where an engine is in a change of role.
type phase int

const (
	phaseServing  phase = iota
	phaseDraining       // no new work; waits until a load report shows that it is empty
	phaseChanging       // the order was sent; waits for a load report that shows it ready
)

// engineState is what the front knows of an engine.
type engineState struct {
	name          string
	configuration engine.Configuration
	generation    uint64
	phase         phase
	target        engine.Role
	changedAt     time.Time

	running             int
	pendingPromptTokens int
	pendingOutputTokens int
	memoryUsed          int
	memoryTotal         int
	reading             placement.ReadingMeter
	done                workDone
	// report is the last load report, which lags.
	report engine.Status
}

func newEngineState(name string, configuration engine.Configuration) *engineState {
	return &engineState{
		name:          name,
		configuration: configuration,
		memoryTotal:   engineSettings(name).MemoryTokens,
	}
}

// placement returns the engine as placement sees it.
func (s *engineState) placement(now time.Time) placement.Engine {
	return placement.Engine{
		Name:                s.name,
		Configuration:       s.configuration,
		Draining:            s.phase == phaseDraining,
		Changing:            s.phase == phaseChanging,
		Running:             s.running,
		PendingPromptTokens: s.pendingPromptTokens,
		PendingOutputTokens: s.pendingOutputTokens,
		MemoryUsed:          s.memoryUsed,
		MemoryTotal:         s.memoryTotal,
		ReadingShare:        s.reading.Share(now),
	}
}

// nextRole is the role that the engine has, or is changing to.
func (s *engineState) nextRole() engine.Role {
	if s.phase == phaseServing {
		return s.configuration.Role
	}
	return s.target
}

func (s *engineState) reserve(next *call) {
	s.running++
	s.pendingPromptTokens += next.uncached
	s.pendingOutputTokens += next.request.OutputTokens
	s.memoryUsed += next.request.PromptTokens + next.request.OutputTokens
}

// started counts the prompt of a run as read.
func (s *engineState) started(running *call) {
	s.pendingPromptTokens -= running.uncached
	s.done.promptTokens += running.uncached
}

func (s *engineState) progress(tokens int) {
	s.pendingOutputTokens -= tokens
	s.done.outputTokens += tokens
}

// release takes a run that ended out of the counts.
func (s *engineState) release(running *call) {
	s.running--
	if running.firstToken.IsZero() {
		s.pendingPromptTokens -= running.uncached
	}
	s.pendingOutputTokens -= running.request.OutputTokens - running.received
	s.memoryUsed -= running.request.PromptTokens + running.request.OutputTokens
}

// workDone counts what an engine did since the last look at it.
type workDone struct {
	promptTokens int
	outputTokens int
	// running is the number of runs at the last look.
	running int
}

// observe returns what the engine did since the last look, if it had work at both looks.
func (s *engineState) observe(elapsed time.Duration) (roleplan.Observation, bool) {
	done := s.done
	s.done = workDone{running: s.running}
	if s.phase != phaseServing || done.running == 0 || s.running == 0 {
		return roleplan.Observation{}, false
	}
	return roleplan.Observation{
		Role:         s.configuration.Role,
		BusyTime:     elapsed,
		PromptTokens: done.promptTokens,
		OutputTokens: done.outputTokens,
		MeanRuns:     float64(done.running+s.running) / 2,
	}, true
}
