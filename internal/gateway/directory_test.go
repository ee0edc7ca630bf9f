package gateway

import (
	"testing"
	"time"
)

// TestDirectoryAfterStart guards against gateways that start at once and direct callers to themselves or to the first
// entry for long, and against callers that wait for entries which are gone.
func TestDirectoryAfterStart(t *testing.T) {
	const young, old = 100 * time.Millisecond, directorySettleTime
	for _, test := range []struct {
		name           string
		uptime, waited time.Duration
		live, entries  int
		want           directoryStep
	}{
		{"others not known yet", young, 0, 0, 0, directoryWaits},
		{"no entry known to be alive", young, fewEntriesPatience, 0, 8, directoryWaits},
		{"one entry of eight", young, 0, 1, 8, directoryWaits},
		{"one entry of eight for a while", young, fewEntriesPatience, 1, 8, directoryAnswersBriefly},
		{"half of the entries", young, 0, 4, 8, directoryAnswersBriefly},
		{"most entries", young, 0, 6, 8, directoryAnswers},
		{"the only gateway", young, 0, 1, 1, directoryAnswers},
		{"store unavailable", young, noEntryPatience, 0, 0, directoryAnswersBriefly},
		{"all entries gone", young, noEntryPatience, 0, 8, directoryAnswersBriefly},
		{"not young any more", old, 0, 0, 8, directoryAnswers},
	} {
		if got := nextDirectoryStep(test.uptime, test.waited, test.live, test.entries); got != test.want {
			t.Errorf("%s: step %d, want %d", test.name, got, test.want)
		}
	}
	if noEntryPatience >= time.Second {
		t.Errorf("callers wait %v, and allow a second for a response", noEntryPatience)
	}
}
