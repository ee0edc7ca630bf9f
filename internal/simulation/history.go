package simulation

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// History is all that was seen from outside in one run, in order of time.
type History struct {
	Observations []Observation
	// FaultsEnd is the moment at which the last fault has healed, End the end of the run.
	FaultsEnd time.Duration
	End       time.Duration
	// Zones are the zones of the routers by name.
	Zones map[string]string
}

// add takes one observation.
func (h *History) add(observation Observation) { h.Observations = append(h.Observations, observation) }

// observations returns all observations of one type in order.
func observations[T Observation](history *History) []T {
	var found []T
	for _, observation := range history.Observations {
		if typed, ok := observation.(T); ok {
			found = append(found, typed)
		}
	}
	return found
}

// about returns what was seen of some subjects, with the faults and the changes of processes that hit them.
func (h *History) about(subjects []string) []Observation {
	return lo.Filter(h.Observations, func(observation Observation, _ int) bool {
		return lo.Some(observation.About(), subjects)
	})
}

// call is all that one caller saw.
type call struct {
	asked  CallAsked
	tokens []CallTokens
	ended  []CallEnded
}

// ending returns how the call ended; empty when it has not ended.
func (c *call) ending() Ending {
	if len(c.ended) == 0 {
		return ""
	}
	return c.ended[0].Ending
}

// endedAt returns when the call ended, or the end of the run.
func (c *call) endedAt(history *History) time.Duration {
	if len(c.ended) == 0 {
		return history.End
	}
	return c.ended[0].At
}

// hasty tells whether the caller hardly waits.
func (c *call) hasty() bool { return c.asked.Deadline-c.asked.At <= longestHaste }

// calls returns the calls in the order in which they were asked.
func (h *History) calls() []*call {
	var ordered []*call
	byNumber := map[uint64]*call{}
	for _, observation := range h.Observations {
		switch seen := observation.(type) {
		case CallAsked:
			asked := &call{asked: seen}
			byNumber[seen.Call] = asked
			ordered = append(ordered, asked)
		case CallTokens:
			if known := byNumber[seen.Call]; known != nil {
				known.tokens = append(known.tokens, seen)
			}
		case CallEnded:
			if known := byNumber[seen.Call]; known != nil {
				known.ended = append(known.ended, seen)
			}
		}
	}
	return ordered
}

// window is a span of time.
type window struct{ from, until time.Duration }

// overlaps tells whether two spans have a moment in common.
func (w window) overlaps(other window) bool { return w.from <= other.until && other.from <= w.until }

// unplannedFaults returns the spans of faults of which the system was not told beforehand. Each is grown by the time that
// the system has to get well after it.
func (h *History) unplannedFaults(recovery time.Duration) []window {
	var windows []window
	for _, began := range observations[FaultBegan](h) {
		if !began.Fault.planned() {
			windows = append(windows, window{from: began.Fault.From, until: began.Fault.Until + recovery})
		}
	}
	return windows
}

// undisturbed tells whether no unplanned fault falls into a span.
func undisturbed(span window, faults []window) bool {
	return !slices.ContainsFunc(faults, span.overlaps)
}
