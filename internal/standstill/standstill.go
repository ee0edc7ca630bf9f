// Package standstill tells from a late timer that this process stood still: it was suspended, or got no processor time. What it had waited for
// may have come meanwhile.
package standstill

import "time"

// MaxTimerDelay is how late a timer may run in a process that does not stand still.
const MaxTimerDelay = 100 * time.Millisecond

// IsLate reports whether a timer that was due at a time runs so late that this process has stood still.
func IsLate(now, due time.Time) bool { return now.Sub(due) > MaxTimerDelay }
