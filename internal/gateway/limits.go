package gateway

import (
	"sync"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/callers"
)

// limitUse tells what the process uses of its limits: processor, link and descriptors. It is safe for concurrent use.
type limitUse struct {
	cores, linkMbps float64
	descriptors     int
	// traffic is that of the connections of callers.
	traffic callers.Traffic

	mu   sync.Mutex
	at   time.Time
	used totals
	// share is that of the last measurement.
	share float64
}

// totals are what was used since the start.
type totals struct {
	processor      time.Duration
	received, sent int64
}

// usageInterval is the least time over which use is measured.
const usageInterval = 500 * time.Millisecond

// Costs of a request that the connections of callers do not show: what it brings is passed on to a worker, and so is the answer to
// the caller, over the same link; and each connection of a caller needs one to a worker at most while it is served.
const (
	linkFactor       = 2
	descriptorFactor = 2
)

// newLimitUse returns the use of a process that has just started.
func newLimitUse(settings Settings) *limitUse {
	return &limitUse{cores: settings.Cores, linkMbps: settings.LinkMbps, descriptors: settings.Descriptors, at: time.Now()}
}

// busy returns the part in use of the limit that is used most.
func (u *limitUse) busy() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	took := now.Sub(u.at)
	if took < usageInterval {
		return u.share
	}
	used := totals{processor: processorTime(), received: u.traffic.Received.Load(), sent: u.traffic.Sent.Load()}
	u.share = u.shareOf(used, took)
	u.at, u.used = now, used
	return u.share
}

// shareOf returns the share of the limit that is used most, from what was used within a time.
func (u *limitUse) shareOf(used totals, took time.Duration) float64 {
	share := 0.0
	if u.cores > 0 {
		share = (used.processor - u.used.processor).Seconds() / took.Seconds() / u.cores
	}
	if u.linkMbps > 0 {
		bytes := max(used.received-u.used.received, used.sent-u.used.sent) * linkFactor
		share = max(share, float64(bytes)*8/took.Seconds()/(u.linkMbps*1e6))
	}
	if u.descriptors > 0 {
		share = max(share, float64(u.traffic.Open.Load()*descriptorFactor)/float64(u.descriptors))
	}
	return share
}

// processorTime returns the processor time of the process since its start.
func processorTime() time.Duration {
	var used syscall.Rusage
	// It fails only for an unknown subject; without an answer the processor does not count.
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
