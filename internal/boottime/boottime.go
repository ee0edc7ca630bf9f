// Package boottime provides a clock for durations that other processes also measure: leases, the age of messages from peers and
// the age of cached data. Unlike Go's monotonic clock it includes the time in which the machine was
// suspended, and unlike the wall clock it never jumps. Use the monotonic clock to measure work of this process.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// reading holds both clocks at one moment.
type reading struct {
	boot      time.Duration
	monotonic time.Time
}

// origin is the reading at process start; available is whether CLOCK_BOOTTIME works.
var (
	origin    = read()
	available = origin.boot > 0
)

// read reads both clocks. boot is zero if the machine has no CLOCK_BOOTTIME.
func read() reading {
	now := time.Now()
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39. CountsSuspendedTime reports that it is missing.
		return reading{monotonic: now}
	}
	return reading{boot: time.Duration(boot.Nano()), monotonic: now}
}

// CountsSuspendedTime reports whether CLOCK_BOOTTIME is available. Without it, Now uses the monotonic clock.
func CountsSuspendedTime() bool { return available }

// Now returns the wall time of process start plus the time since then, including time in which the machine was
// suspended. Compare its values only with each other, not with those of time.Now.
func Now() time.Time { return origin.timeAt(read()) }

// timeAt returns the time of a later reading.
func (r reading) timeAt(later reading) time.Time {
	elapsed := later.monotonic.Sub(r.monotonic)
	if r.boot > 0 && later.boot > 0 {
		elapsed = later.boot - r.boot
	}
	return r.monotonic.Round(0).Add(elapsed)
}

// SuspendDetector detects that the machine was suspended. It is not safe for concurrent use.
type SuspendDetector struct {
	read func() reading
	last reading
}

// NewSuspendDetector returns a SuspendDetector that starts now.
func NewSuspendDetector() *SuspendDetector { return &SuspendDetector{read: read, last: read()} }

// Suspended returns how long the machine was suspended since the last call: the difference between CLOCK_BOOTTIME and the
// monotonic clock.
func (d *SuspendDetector) Suspended() time.Duration {
	now := d.read()
	defer func() { d.last = now }()
	return max(d.last.timeAt(now).Sub(d.last.monotonic.Round(0))-now.monotonic.Sub(d.last.monotonic), 0)
}
