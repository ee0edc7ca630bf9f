package gateway

import (
	"sync"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/callers"
)

// limitUse tells what the process uses of its limits: processor, link and descriptors. It is safe for concurrent use.
type utilization struct {
	cores, linkMbps float64
	descriptors     int
	// traffic is that of the connections of callers.
	traffic callers.Traffic

	mu         sync.Mutex
	measuredAt time.Time
	lastTotals resourceTotals
	// share is that of the last measurement.
	lastPeak float64
}

// totals are what was used since the start.
type resourceTotals struct {
	cpu            time.Duration
	received, sent int64
}

// usageInterval is the least time over which use is measured.
const measureInterval = 500 * time.Millisecond

// Costs of a request that the connections of callers do not show: what it brings is passed on to a worker, and so is the answer to
// the caller, over the same link; and each connection of a caller needs one to a worker at most while it is served.
const (
	linkFactor       = 2
	descriptorFactor = 2
)

// newLimitUse returns the use of a process that has just started.
func newUtilization(settings Settings) *utilization {
	return &utilization{cores: settings.Cores, linkMbps: settings.LinkMbps, descriptors: settings.Descriptors, measuredAt: time.Now()}
}

// busy returns the part in use of the limit that is used most.
func (u *utilization) peak() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(u.measuredAt)
	if elapsed < measureInterval {
		return u.lastPeak
	}
	totals := resourceTotals{cpu: cpuTime(), received: u.traffic.Received.Load(), sent: u.traffic.Sent.Load()}
	u.lastPeak = u.peakSince(totals, elapsed)
	u.measuredAt, u.lastTotals = now, totals
	return u.lastPeak
}

// shareOf returns the share of the limit that is used most, from what was used within a time.
func (u *utilization) peakSince(totals resourceTotals, elapsed time.Duration) float64 {
	peak := 0.0
	if u.cores > 0 {
		peak = (totals.cpu - u.lastTotals.cpu).Seconds() / elapsed.Seconds() / u.cores
	}
	if u.linkMbps > 0 {
		bytes := max(totals.received-u.lastTotals.received, totals.sent-u.lastTotals.sent) * linkFactor
		peak = max(peak, float64(bytes)*8/elapsed.Seconds()/(u.linkMbps*1e6))
	}
	if u.descriptors > 0 {
		peak = max(peak, float64(u.traffic.Open.Load()*descriptorFactor)/float64(u.descriptors))
	}
	return peak
}

// processorTime returns the processor time of the process since its start.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// It fails only for an unknown subject; without an answer the processor does not count.
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
