package simulation

import (
	"fmt"
	"slices"
)

// checkWholeAnswer finds callers that got something else than the answer to their own request, not in order, not
// whole although they were told that it is, or anything after the end.
func checkWholeAnswer(history *History) []Violation {
	var violations []Violation
	for _, checked := range history.calls() {
		if reason := wrongAnswer(checked); reason != "" {
			violations = append(violations, Violation{Promise: PromiseWholeAnswer, At: checked.endedAt(history),
				Subjects: []string{checked.asked.RequestID},
				Reason:   fmt.Sprintf("caller %d of %s %s", checked.asked.Call, checked.asked.RequestID, reason)})
		}
	}
	return violations
}

// wrongAnswer tells what is wrong with the answer of a call; empty if nothing is.
func wrongAnswer(checked *call) string {
	expected := checked.asked.Expected
	got := 0
	for _, part := range checked.tokens {
		switch {
		case int(part.Offset) != got:
			return fmt.Sprintf("got offset %d after %d tokens", part.Offset, got)
		case got+len(part.Tokens) > len(expected):
			return fmt.Sprintf("got %d tokens instead of %d", got+len(part.Tokens), len(expected))
		case !slices.Equal(part.Tokens, expected[got:got+len(part.Tokens)]):
			return fmt.Sprintf("got tokens of another answer at offset %d", got)
		case len(checked.ended) > 0 && part.At > checked.ended[0].At:
			return "got tokens after the end"
		}
		got += len(part.Tokens)
	}
	if len(checked.ended) > 1 {
		return fmt.Sprintf("was told %d endings", len(checked.ended))
	}
	if checked.ending() == EndAnswered && got != len(expected) {
		return fmt.Sprintf("was told that the answer is whole after %d of %d tokens", got, len(expected))
	}
	return ""
}

// checkNotRun finds requests that an engine began to run although a caller was told that they were not run. A run that
// another call of the same request accounts for is no violation: one that was asked before the run began, and that was
// not itself told before it that the request was not run.
func checkNotRun(history *History) []Violation {
	var violations []Violation
	calls := map[string][]*call{}
	for _, checked := range history.calls() {
		calls[checked.asked.RequestID] = append(calls[checked.asked.RequestID], checked)
	}
	for _, run := range observations[RunStarted](history) {
		same := calls[run.RequestID]
		accounted := slices.ContainsFunc(same, func(other *call) bool { return accountsFor(other, run) })
		if accounted || len(same) == 0 {
			continue
		}
		violations = append(violations, Violation{Promise: PromiseNotRunIsTrue, At: run.At,
			Subjects: []string{run.RequestID},
			Reason:   fmt.Sprintf("%s ran at %s, but its caller was told that it was not run", run.RequestID, run.Engine)})
	}
	return violations
}

// accountsFor tells whether a run may have been for a call.
func accountsFor(asked *call, run RunStarted) bool {
	return asked.asked.At <= run.At && asked.ending() != EndNotRun
}

// checkAtMostOnce finds requests that may not be repeated and that engines began to run more than once.
func checkAtMostOnce(history *History) []Violation {
	var violations []Violation
	once := map[string]bool{}
	for _, asked := range observations[CallAsked](history) {
		if !asked.Repeatable {
			once[asked.RequestID] = true
		}
	}
	first := map[string]RunStarted{}
	for _, run := range observations[RunStarted](history) {
		if !once[run.RequestID] {
			continue
		}
		if known, ok := first[run.RequestID]; ok {
			violations = append(violations, Violation{Promise: PromiseAtMostOnce, At: run.At,
				Subjects: []string{run.RequestID},
				Reason: fmt.Sprintf("%s ran at %s/%d from %v and again at %s/%d", run.RequestID,
					known.Engine, known.Incarnation, known.At, run.Engine, run.Incarnation)})
			continue
		}
		first[run.RequestID] = run
	}
	return violations
}
