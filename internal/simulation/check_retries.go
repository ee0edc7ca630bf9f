package simulation

import "fmt"

// maximumSubmits bounds the submits of one request that reach engines.
const maximumSubmits = 40

// checkRetries finds requests that are submitted to engines over and over.
func checkRetries(history *History) []Violation {
	var violations []Violation
	counts := map[string]int{}
	for _, seen := range observations[SubmitReceived](history) {
		counts[seen.RequestID]++
		if counts[seen.RequestID] == maximumSubmits+1 {
			violations = append(violations, Violation{Promise: PromiseRetriesBounded, At: seen.At,
				Subjects: []string{seen.RequestID},
				Reason:   fmt.Sprintf("%s was submitted to engines more than %d times", seen.RequestID, maximumSubmits)})
		}
	}
	return violations
}
