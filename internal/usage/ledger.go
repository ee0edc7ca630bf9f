package usage

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Key is the key of the ledger in the store.
const Key = "usage"

// Report is the final count of a window.
type Report struct {
	Window int64 `json:"window"`
	// Requests counts the requests that began in the window, by tenant.
	Requests map[string]int64 `json:"requests"`
}

// Ledger is the record in the store of which windows are finalized, with the reports that are not yet accepted.
//
// Invariant: each window is finalized once, as a ledger is only written if the version that it was derived from is
// still current.
type Ledger struct {
	// Next is the first window that is not finalized.
	Next int64 `json:"next"`
	// Reports are the reports of finalized windows that the platform may not have accepted yet.
	Reports []Report `json:"reports"`
}

// DecodeLedger decodes a ledger.
func DecodeLedger(value []byte) (Ledger, error) {
	var ledger Ledger
	err := json.Unmarshal(value, &ledger)
	return ledger, errors.Wrap(err, "decode usage ledger")
}

// maxPendingReports bounds the reports that wait to be accepted, enough for 20 minutes of windows of 5 s. Older ones are
// dropped without being reported.
const maxPendingReports = 240

// withReports returns the ledger with reports added, and without those that were accepted.
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

// WindowAt returns the number of the window that contains a time. Windows of the given length are counted from the
// Unix epoch.
func WindowAt(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// windowEnd returns the end of a window.
func windowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}
