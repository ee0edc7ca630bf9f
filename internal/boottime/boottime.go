// Package boottime is the clock by which a process reckons what others may have done without it: leases, what is heard of others, and
// how old is what it knows. The steady clock of the language stands still while a machine is suspended, and the time of day jumps; this
// one goes on with the machine asleep and never jumps. What measures the work of this process goes by the steady clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// reading is what both clocks show at one moment.
type reading struct {
	boot      time.Duration
	monotonic time.Time
}

// origin is what the clocks showed when the process started.
var (
	origin    = read()
	available = origin.boot > 0
)

// read reads both clocks. Where the machine has no clock that counts sleep, boot is zero.
func read() reading {
	now := time.Now()
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// Linux has it since 2.6.39; CountsSleep tells of an older one.
		return reading{monotonic: now}
	}
	return reading{boot: time.Duration(boot.Nano()), monotonic: now}
}

// CountsSleep tells whether the machine has a clock that goes on while it is suspended. Without one Now is steady.
func CountsSuspendedTime() bool { return available }

// Now returns the moment: the time of day at which the process started, and what has passed since, with the time in which the machine
// was suspended. Its values are compared with each other only, not with those of time.Now.
func Now() time.Time { return origin.timeAt(read()) }

// to returns the moment of a later reading.
func (r reading) timeAt(later reading) time.Time {
	elapsed := later.monotonic.Sub(r.monotonic)
	if r.boot > 0 && later.boot > 0 {
		elapsed = later.boot - r.boot
	}
	return r.monotonic.Round(0).Add(elapsed)
}

// Watch notices that the machine was suspended. It is not safe for concurrent use.
type Watch struct {
	read func() reading
	last reading
}

// NewWatch returns a watch that begins now.
func NewWatch() *Watch { return &Watch{read: read, last: read()} }

// Slept returns for how long the machine was suspended since the last call: by how much this clock has gone on more than the steady one.
func (w *Watch) Slept() time.Duration {
	now := w.read()
	defer func() { w.last = now }()
	return max(w.last.timeAt(now).Sub(w.last.monotonic.Round(0))-now.monotonic.Sub(w.last.monotonic), 0)
}
