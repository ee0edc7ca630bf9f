package gateway

import (
	"sync"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/callers"
)

// utilization measures the process's use of its CPU, network and descriptor limits. It is safe for concurrent use.
type utilization struct {
	cores, linkMbps float64
	descriptors     int
	// traffic counts the traffic on connections of callers.
	traffic callers.Traffic

	mu         sync.Mutex
	measuredAt time.Time
	lastTotals resourceTotals
	// lastPeak is the result of the last measurement.
	lastPeak float64
}

// resourceTotals holds the resources used since the start of the process.
type resourceTotals struct {
	cpu            time.Duration
	received, sent int64
}

// measureInterval is the minimum time between two measurements.
const measureInterval = 500 * time.Millisecond

// Traffic and descriptors are counted on caller connections and doubled: data is also forwarded to or from a worker over
// the same link, and each caller connection needs at most one worker connection.
const (
	linkFactor       = 2
	descriptorFactor = 2
)

// newUtilization returns a utilization without measurements.
func newUtilization(settings Settings) *utilization {
	return &utilization{cores: settings.Cores, linkMbps: settings.LinkMbps, descriptors: settings.Descriptors, measuredAt: time.Now()}
}

// peak returns the utilization of the most used limit, as a fraction.
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

// peakSince returns the utilization of the most used limit, given the totals after the time elapsed since the last
// measurement.
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

// cpuTime returns the CPU time of the process since its start.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage fails only for invalid arguments. Without a result, CPU use is ignored.
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
