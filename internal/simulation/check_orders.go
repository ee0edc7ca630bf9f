package simulation

import (
	"fmt"
	"slices"

	"github.com/granitebay/granitebay/internal/engine"
)

// generationKey is one generation of one engine.
type generationKey struct {
	engine     string
	generation uint64
}

// checkConflictingOrders finds two orders of one generation with different contents, over all incarnations of an
// engine and also if the engine refused one of them.
func checkConflictingOrders(history *History) []Violation {
	var violations []Violation
	first := map[generationKey]OrderReceived{}
	for _, order := range observations[OrderReceived](history) {
		key := generationKey{engine: order.Engine, generation: order.Fence.Generation}
		known, ok := first[key]
		if !ok {
			first[key] = order
			continue
		}
		if !equalConfigurations(known.Configuration, order.Configuration) {
			violations = append(violations, Violation{Promise: PromiseNoConflictingOrders, At: order.At,
				Subjects: []string{order.Engine},
				Reason: fmt.Sprintf("%s got generation %d as %v from %s and as %v from %s", order.Engine,
					order.Fence.Generation, known.Configuration, known.Sender, order.Configuration, order.Sender)})
		}
	}
	return violations
}

// equalConfigurations compares what orders ask for.
func equalConfigurations(a, b engine.Configuration) bool {
	return a.Role == b.Role && a.Model == b.Model && a.ModelVersion == b.ModelVersion &&
		slices.Equal(slices.Sorted(slices.Values(a.Adapters)), slices.Sorted(slices.Values(b.Adapters)))
}

// checkCutByChange finds runs that an order ended, and orders that change an engine which has runs.
func checkCutByChange(history *History) []Violation {
	var violations []Violation
	for _, observation := range history.Observations {
		switch seen := observation.(type) {
		case RunEnded:
			if seen.Ending == RunChanged {
				violations = append(violations, Violation{Promise: PromiseNoCutByChange, At: seen.At,
					Subjects: []string{seen.Engine, seen.RequestID},
					Reason:   fmt.Sprintf("the run of %s at %s was cut by a change", seen.RequestID, seen.Engine)})
			}
		case OrderReceived:
			if seen.Accepted && seen.Changes && seen.Runs > 0 {
				violations = append(violations, Violation{Promise: PromiseNoCutByChange, At: seen.At,
					Subjects: []string{seen.Engine},
					Reason:   fmt.Sprintf("%s was changed by %s while it had %d runs", seen.Engine, seen.Sender, seen.Runs)})
			}
		}
	}
	return violations
}
