package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// GatewayQuota limits the processor time of a gateway process for a duration: in each quotaPeriod it runs at full speed until it has used Share, and
// then not at all.
type GatewayQuota struct {
	Gateway         int
	Share, Duration time.Duration
}

func (GatewayQuota) isFault() {}

func (f GatewayQuota) String() string {
	return fmt.Sprintf("gateway %d gets %s of a processor in each %s, for %s", f.Gateway, f.Share, quotaPeriod, f.Duration)
}

// quotaPeriod is the period of a quota of processor time, and quotaPoll how often the use of it is looked at.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaPoll   = time.Millisecond
)

const (
	// stopStream is the random stream of planned stops beside quotas, and stopTrafficStream that of the requests beside them.
	stopStream        = 1 << 43
	stopTrafficStream = stopStream - 1
	// firstStopSeed is the first seed with planned stops beside quotas. Lower seeds reproduce their earlier schedules.
	firstStopSeed = 16_000
)

// Times of the requests and gateways of such seeds.
const (
	// stopGrace is the grace period, of which long responses use up more than is left.
	stopGrace = 4 * time.Second
	// stopTimeoutMs is the timeout of all routes, longer than any response.
	stopTimeoutMs = 6000
	// lastingOneIn is the reciprocal of the share of streams that last long.
	lastingOneIn = 3
)

// graceOf returns the grace period of gateways for a seed; zero for the default.
func graceOf(seed uint64) time.Duration {
	if seed < firstStopSeed {
		return 0
	}
	return stopGrace
}

// drawStops returns the planned stops of a round with the quotas, reloads and standstills beside them, which are its only faults. Three rounds in four
// have some.
func drawStops(seed uint64, number, gateways int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, stopStream+uint64(number)))
	if seed < firstStopSeed || random.IntN(4) == 0 {
		return nil
	}
	stopped := random.Perm(gateways)[:1+random.IntN(gateways-1)]
	var faults []ScheduledFault
	add := func(before time.Duration, fault Fault) {
		faults = append(faults, ScheduledFault{At: time.Duration(random.Int64N(int64(before))), Fault: fault})
	}
	for _, gateway := range stopped {
		if random.IntN(3) > 0 {
			share := time.Duration(1+random.IntN(10)) * time.Millisecond
			add(faultTime/5, GatewayQuota{Gateway: gateway, Share: share, Duration: faultTime})
		}
		if random.IntN(3) == 0 {
			add(faultTime/4, GatewayReload{gateway})
		}
		add(faultTime/4, GatewayStop{gateway})
	}
	if random.IntN(3) == 0 {
		add(faultTime/2, GatewayFreeze{stopped[0], time.Duration(200+random.IntN(1500)) * time.Millisecond})
	}
	return faults
}

// injectQuota limits the processor time of a gateway. It returns false for other faults.
func (s *system) injectQuota(fault Fault) bool {
	quota, ok := fault.(GatewayQuota)
	if !ok {
		return false
	}
	healing, g := s.healing(), s.gateways[quota.Gateway]
	s.background.Go(func() {
		defer g.signal(syscall.SIGCONT)
		for end := time.Now().Add(quota.Duration); time.Now().Before(end); {
			g.runPeriod(quota.Share)
			select {
			case <-healing:
				return
			default:
			}
		}
	})
	return true
}

// runPeriod lets the process run for a period of its quota, of which it may use a share of processor time.
func (g *gatewayProcess) runPeriod(share time.Duration) {
	end := time.Now().Add(quotaPeriod)
	g.signal(syscall.SIGCONT)
	for used := g.processorTime(); time.Now().Before(end) && g.processorTime()-used < share; {
		time.Sleep(quotaPoll)
	}
	if rest := time.Until(end); rest > 0 {
		g.signal(syscall.SIGSTOP)
		time.Sleep(rest)
	}
}

// processorTime returns the processor time that the process has used, zero if it does not run.
func (g *gatewayProcess) processorTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command == nil {
		return 0
	}
	// See clock_getcpuclockid(3).
	const processClock = 2
	var used unix.Timespec
	if unix.ClockGettime(^int32(g.command.Process.Pid)<<3|processClock, &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}

// makeLasting makes some streams last long. Their clients wait for them, and hold on to the addresses that they have had from the directory once.
func (s *system) makeLasting(random *rand.Rand, request *RequestRecord, behavior *callBehavior) {
	lasts, gateway := random.IntN(lastingOneIn) == 0, s.gateways[random.IntN(len(s.gateways))]
	if !lasts || request.Kind != KindStream || request.crashesWorkers() || request.LongRunning {
		return
	}
	request.Gateway, behavior.sticky = gateway.callers, false
	request.LastsLong = true
	request.Request.Body += " " + fleet.LongerBody
	request.Request.Deadline = stopTimeoutMs * time.Millisecond
	behavior.abandonAfter = 0
}

// stopSlack is how long after the signal a request may have been sent that the end of the grace period cuts.
const stopSlack = 3 * time.Second

// endedByStop reports whether a response may have ended with the grace period of its gateway: its worker was still at work in the last sixth of it,
// on a request that was sent soon enough after the signal.
func (h *History) endedByStop(r *RequestRecord) bool {
	for _, stop := range h.Stops {
		lastSixth := stop.At.Add(stop.Grace * 5 / 6)
		if stop.Gateway != r.Gateway || r.Sent.After(stop.At.Add(stopSlack)) || r.Ended.Before(lastSixth) || r.Ended.After(stop.At.Add(stop.Grace+time.Second)) {
			continue
		}
		if slices.ContainsFunc(h.Work, func(work fleet.Work) bool {
			return work.ID == r.Request.ID && (work.Ended.IsZero() || !work.Ended.Before(lastSixth))
		}) {
			return true
		}
	}
	return false
}

// checkLastingStreams: a stream that lasts long is cut only with the grace period of its gateway, or by its worker.
func checkLastingStreams(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		isCut := r.LastsLong && r.Response.Status == http.StatusOK && r.Response.Err != nil && r.leftAt().IsZero() && !closedByCaller(r.Response.Err)
		if !isCut || r.Ended.Sub(r.Sent) >= r.Request.Deadline || h.endedByStop(&r) || h.workerLeft(&r) || h.timeoutChanged(r.Ended) ||
			h.hasUnplannedFault(r.Sent.Add(-recoveryMargin), r.Ended) {
			continue
		}
		found = append(found, Violation{"LOST", r.Request.ID, fmt.Sprintf("%s cut a stream of %s after %s: %v", r.Gateway, fleet.LongerWork, r.Ended.Sub(r.Sent), r.Response.Err)})
	}
	return found
}

// workerLeft reports whether a worker that ran a request had begun to drain before the request ended.
func (h *History) workerLeft(r *RequestRecord) bool {
	for _, run := range h.Runs[r.Request.ID] {
		if slices.ContainsFunc(h.Departures, func(d Departure) bool { return d.Worker == run.Worker && d.At.Before(r.Ended) }) {
			return true
		}
	}
	return false
}

// timeoutChanged reports whether the timeout of routes was changed before a time.
func (h *History) timeoutChanged(before time.Time) bool {
	return slices.ContainsFunc(h.Spans, func(span Span) bool {
		_, isChange := span.Fault.(TimeoutChange)
		return isChange && span.Begun.Before(before)
	})
}

// describeStops formats what became of the streams that last long and were sent to gateways that were stopping.
func (h *History) describeStops() string {
	sent, served, refused, cut := 0, 0, 0, 0
	for _, r := range h.Requests {
		isStopping := slices.ContainsFunc(h.Stops, func(stop ProcessStop) bool {
			return stop.Gateway == r.Gateway && r.Sent.After(stop.At) && r.Sent.Before(stop.At.Add(stop.Grace))
		})
		if !r.LastsLong || !isStopping {
			continue
		}
		sent++
		switch {
		case r.Response.Status == http.StatusOK && r.Response.Err == nil:
			served++
		case r.Response.Status == http.StatusServiceUnavailable:
			refused++
		case r.Response.Status == http.StatusOK:
			cut++
		}
	}
	return fmt.Sprintf("%d planned stops; of %d long streams sent to stopping gateways %d were served, %d refused and %d cut", len(h.Stops), sent, served, refused, cut)
}
