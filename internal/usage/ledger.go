package usage

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Key of the ledger in the store.
const Key = "usage"

// Report is the count of a window on which all agree.
type Report struct {
	Window int64 `json:"window"`
	// Requests that began in the window, by tenant.
	Requests map[string]int64 `json:"requests"`
}

// Ledger is what the store holds of the windows.
//
// Invariant: as each ledger is written under the condition that the one it was made of still stands, each window is agreed on once.
type Ledger struct {
	// Next is the first window that is not agreed on.
	Next int64 `json:"next"`
	// Reports are agreed on, and not known to be taken.
	Reports []Report `json:"reports"`
}

// DecodeLedger reads a ledger.
func DecodeLedger(value []byte) (Ledger, error) {
	var ledger Ledger
	err := json.Unmarshal(value, &ledger)
	return ledger, errors.Wrap(err, "step decode the ledger of the usage")
}

// maxReports bounds the reports that wait to be taken: twenty minutes of windows of five seconds.
const maxPendingReports = 240

// with returns the ledger with one more report, and without those that were taken.
func (l Ledger) withReports(added []Report, accepted func(window int64) bool) Ledger {
	updated := Ledger{Next: l.Next}
	updated.Reports = slices.DeleteFunc(slices.Clone(l.Reports), func(r Report) bool { return accepted(r.Window) })
	for _, report := range added {
		updated.Reports = append(updated.Reports, report)
		updated.Next = report.Window + 1
	}
	if excess := len(updated.Reports) - maxPendingReports; excess > 0 {
		updated.Reports = updated.Reports[excess:]
	}
	return updated
}

// WindowAt returns the number of the window of a length in which a moment lies. Windows are counted from the start of 1970.
func WindowAt(moment time.Time, length time.Duration) int64 { return moment.UnixNano() / int64(length) }

// endOf returns when a window is over.
func windowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}
