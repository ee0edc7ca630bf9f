package httpclient

import "time"

// MaxTimerDelay is how late a timer may run. Beyond it this process has stood still, as when it is suspended or gets no processor time.
const MaxTimerDelay = 100 * time.Millisecond

// StoodStill reports whether this process has stood still, because a timer that was due at a time runs only now.
func StoodStill(now, due time.Time) bool { return now.Sub(due) > MaxTimerDelay }
