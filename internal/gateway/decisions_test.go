package gateway

import (
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/forward"
)

// TestDescribeTryOfDeferredRequest checks that the description of a try says that it was deferred and why.
func TestDescribeDeferredAttempt(t *testing.T) {
	attempt := forward.Attempt{Worker: "w", Candidates: 3, Score: balance.Score{Queue: 0.2, TimeToFirstToken: 0.45}, Deferred: true}
	text := describeAttempt(attempt)
	for _, fragment := range []string{"answer expected after 450 ms", "too late for its objective"} {
		if !strings.Contains(text, fragment) {
			t.Errorf("%q does not contain %q", text, fragment)
		}
	}
	attempt.Deferred = false
	if text := describeAttempt(attempt); strings.Contains(text, "too late") {
		t.Errorf("description of a try that was not deferred: %q", text)
	}
}
