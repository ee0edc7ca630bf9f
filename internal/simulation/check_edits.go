package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
)

// storedDocument is a configuration that the store held from a moment on.
type storedDocument struct {
	at       time.Duration
	document configuration.Document
}

// storedDocuments returns the configurations that the store held, in order.
func storedDocuments(history *History) []storedDocument {
	var stored []storedDocument
	for _, commit := range observations[StoreCommitted](history) {
		for _, entry := range commit.Changed {
			var document configuration.Document
			if entry.Key == configuration.StoreKey && json.Unmarshal(entry.Value, &document) == nil {
				stored = append(stored, storedDocument{at: commit.At, document: document})
			}
		}
	}
	return stored
}

// checkEdits finds revisions that do not grow, edits that operators were told are accepted but that the store does not
// have, or has twice, and engines that get new work although no accepted configuration since the bound lets them serve.
func checkEdits(history *History) []Violation {
	stored := storedDocuments(history)
	violations := checkRevisionsGrow(stored)
	for _, accepted := range observations[ConfigurationAccepted](history) {
		made := lo.Filter(stored, func(held storedDocument, _ int) bool { return held.document.ChangeID == accepted.ChangeID })
		if len(made) > 1 || len(made) == 0 && !holdsRevision(stored, accepted) {
			violations = append(violations, Violation{Promise: PromiseConfiguration, At: accepted.At,
				Subjects: []string{configurationSubject, configuration.StoreKey},
				Reason:   fmt.Sprintf("%s was accepted, but the store has it %d times", accepted.ChangeID, len(made))})
		}
	}
	return append(violations, checkClosedEngines(history, stored)...)
}

// holdsRevision tells whether the store held the accepted revision when the operator was told: an edit that changes
// nothing makes no revision of its own.
func holdsRevision(stored []storedDocument, accepted ConfigurationAccepted) bool {
	return lo.ContainsBy(stored, func(held storedDocument) bool {
		return held.document.Revision == accepted.Revision && held.at <= accepted.At
	})
}

// checkRevisionsGrow finds a configuration in the store that does not have the next revision.
func checkRevisionsGrow(stored []storedDocument) []Violation {
	var violations []Violation
	for index := 1; index < len(stored); index++ {
		before, after := stored[index-1].document.Revision, stored[index].document.Revision
		if after != before+1 {
			violations = append(violations, Violation{Promise: PromiseConfiguration, At: stored[index].at,
				Subjects: []string{configurationSubject, configuration.StoreKey},
				Reason:   fmt.Sprintf("the store went from revision %d to %d", before, after)})
		}
	}
	return violations
}

// checkClosedEngines finds new work at engines that every configuration since the last one due keeps out of service.
func checkClosedEngines(history *History, stored []storedDocument) []Violation {
	var violations []Violation
	var accepted []ConfigurationAccepted
	excused := history.absences(configurationBound)
	for _, observation := range history.Observations {
		switch seen := observation.(type) {
		case ConfigurationAccepted:
			accepted = append(accepted, seen)
		case SubmitReceived:
			due := dueRevision(accepted, seen.At)
			sender := processOf(seen.Sender)
			if seen.New && due > 0 && closedSince(stored, due, seen) && !excused.covers(sender, seen.At) {
				violations = append(violations, Violation{Promise: PromiseConfiguration, At: seen.At,
					Subjects: []string{seen.Engine, seen.RequestID, configurationSubject, configuration.StoreKey},
					Reason: fmt.Sprintf("%s got %s from %s, although it is out of service since before revision %d", seen.Engine,
						seen.RequestID, seen.Sender, due)})
			}
		}
	}
	return violations
}

// closedSince tells whether all configurations from a revision on that were stored before a submit keep its engine out.
func closedSince(stored []storedDocument, due uint64, seen SubmitReceived) bool {
	relevant := lo.Filter(stored, func(held storedDocument, _ int) bool {
		return held.document.Revision >= due && held.at <= seen.At
	})
	serves := func(held storedDocument) bool {
		return held.document.EngineLabels[seen.Engine][poolLabel] == poolServing
	}
	return len(relevant) > 0 && !slices.ContainsFunc(relevant, serves)
}
