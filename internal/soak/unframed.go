package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// UnframedResponses makes all workers send responses with neither a length nor chunks, which end with their connection, until the end of the
// faults.
type UnframedResponses struct{}

// WorkerCrashes ends all workers of a service or of a rack without notice, and starts them again.
type WorkerCrashes struct {
	// Service is empty for the workers of a rack, which are those of a zone.
	Service string
	Rack    int
	// Interval is the time between two of the crashes; zero if they are at once.
	Interval time.Duration
	// Down is how long each worker is down.
	Down time.Duration
}

func (UnframedResponses) isFault() {}
func (WorkerCrashes) isFault()     {}

func (UnframedResponses) String() string { return "all workers answer without a length" }
func (f WorkerCrashes) String() string {
	group := f.Service
	if group == "" {
		group = fmt.Sprintf("rack %d", f.Rack)
	}
	if f.Interval == 0 {
		return fmt.Sprintf("all workers of %s are killed at once, for %s", group, f.Down)
	}
	return fmt.Sprintf("all workers of %s are killed %s apart, for %s", group, f.Interval, f.Down)
}

const (
	// unframedStream is the random stream of unframed responses and of crashes of all workers of a service or rack, and lookupStream that of the
	// number of lookups beside them.
	unframedStream = 1 << 44
	lookupStream   = unframedStream - 1
	// firstUnframedSeed is the first seed with them. Lower seeds reproduce their earlier schedules.
	firstUnframedSeed = 17_000
)

// Bounds of the crashes in a round.
const (
	firstCrashes               = time.Second
	minCrashGap, maxCrashGap   = 50 * time.Millisecond, 300 * time.Millisecond
	minCrashDown, maxCrashDown = time.Second, 2500 * time.Millisecond
)

// drawUnframed returns the crashes of all workers of a service or rack in a round, in most rounds beside unframed responses, and whether these are
// its only faults. Three rounds in four have some, and two of these have no other fault.
func drawUnframed(seed uint64, number, zones int) (faults []ScheduledFault, areOnly bool) {
	random := rand.New(rand.NewPCG(seed, unframedStream+uint64(number)))
	variant := random.IntN(4)
	if seed < firstUnframedSeed || variant == 0 {
		return nil, false
	}
	if random.IntN(4) > 0 {
		faults = append(faults, ScheduledFault{Fault: UnframedResponses{}})
	}
	between := func(low, high time.Duration) time.Duration {
		return (low + time.Duration(random.Int64N(int64(high-low)))).Truncate(time.Millisecond)
	}
	for range 1 + random.IntN(2) {
		crashes := WorkerCrashes{Service: []string{"", servicePlain, servicePlain, serviceEngine}[random.IntN(4)], Down: between(minCrashDown, maxCrashDown)}
		if crashes.Service == "" {
			crashes.Rack = random.IntN(zones)
		}
		if random.IntN(3) > 0 {
			crashes.Interval = between(minCrashGap, maxCrashGap)
		}
		faults = append(faults, ScheduledFault{At: between(firstCrashes, seriesTime), Fault: crashes})
	}
	return faults, variant != 3
}

// combineUnframed returns the faults of a round that has both these and others. A worker that restarts under its ID never refuses a connection, so
// that nothing tells a response without a length that its end cuts from a whole one; beside such restarts, responses are framed.
func combineUnframed(faults, others []ScheduledFault) []ScheduledFault {
	if slices.ContainsFunc(others, func(each ScheduledFault) bool { _, restarts := each.Fault.(WorkerRestart); return restarts }) {
		faults = slices.DeleteFunc(faults, func(each ScheduledFault) bool { return each.Fault == Fault(UnframedResponses{}) })
	}
	return append(others, faults...)
}

// injectUnframed makes responses unframed, or crashes workers. It returns false for other faults.
func (s *system) injectUnframed(fault Fault) bool {
	switch f := fault.(type) {
	case UnframedResponses:
		s.setUnframed(true)
	case WorkerCrashes:
		s.background.Go(func() { s.crashWorkers(f) })
	default:
		return false
	}
	return true
}

// setUnframed sets whether the responses of all workers are unframed.
func (s *system) setUnframed(unframed bool) {
	for _, slot := range s.workers {
		slot.currentWorker().SetUnframed(unframed)
	}
}

// crashWorkers crashes workers one after the other, or at once, and returns when all are up again.
func (s *system) crashWorkers(f WorkerCrashes) {
	var down sync.WaitGroup
	for _, slot := range s.workers {
		inRack := f.Service == "" && slot.options.Zone == s.shape.zones[f.Rack]
		if !inRack && slot.options.Service != f.Service {
			continue
		}
		down.Go(func() { s.crashWorker(slot, f.Down) })
		time.Sleep(f.Interval)
	}
	down.Wait()
	s.endFault(f)
}

// crashWorker crashes a worker and starts it again.
func (s *system) crashWorker(slot *workerSlot, down time.Duration) {
	worker := slot.currentWorker()
	if !worker.Kill() {
		return
	}
	time.Sleep(down)
	worker.Restart()
}

// The requests beside crashes of workers.
const (
	// lookupInterval is the interval in which each lookup is sent to the next gateway, so that copies of it run at all workers.
	lookupInterval = 150 * time.Millisecond
	lookupPath     = "/lookup/x"
	// steadyInterval is the interval of streams that can't be resumed.
	steadyInterval = 200 * time.Millisecond
	steadyPath     = "/steady/x"
)

// addSteadyRoutes adds the routes of the requests beside crashes of workers.
func addSteadyRoutes(config *fleet.Configuration) {
	config.Routes = append(config.Routes,
		fleet.Route{Name: "lookup", Prefix: "/lookup/", Kind: fleet.RouteRepeatable, Service: servicePlain},
		fleet.Route{Name: "steady", Prefix: "/steady/", Kind: fleet.RouteStreams, Service: serviceEngine},
	)
}

// lookupsOf returns the number of lookups of a seed. Two that run at all workers explain the same crashes, so that neither is suspected alone; most
// seeds have one.
func lookupsOf(seed uint64) int {
	if rand.New(rand.NewPCG(seed, lookupStream)).IntN(3) == 0 {
		return 2
	}
	return 1
}

// runSteadyCallers sends the lookups of a seed and streams that can't be resumed through all gateways until the context ends.
func (s *system) runSteadyCallers(ctx context.Context, seed uint64) {
	for lookup := range lookupsOf(seed) {
		s.pendingCalls.Go(func() {
			s.callSteadily(ctx, lookupInterval, func(number int) RequestRecord { return lookupRequest(lookup, number) })
		})
	}
	s.pendingCalls.Go(func() { s.callSteadily(ctx, steadyInterval, steadyStream) })
}

// callSteadily sends a request in each interval, to one gateway after the other.
func (s *system) callSteadily(ctx context.Context, interval time.Duration, next func(number int) RequestRecord) {
	caller := fleet.NewCaller(false)
	directory := &cachedDirectory{system: s, caller: fleet.NewCaller(true)}
	for number := 0; ctx.Err() == nil; number++ {
		if gateways := directory.get(ctx); len(gateways) > 0 {
			request := next(number)
			request.Gateway = gateways[number%len(gateways)]
			s.pendingCalls.Go(func() { s.call(request, 0, caller.Do) })
		}
		sleep(ctx, interval)
	}
}

// lookupRequest returns a repeat of a lookup, which differs from the others in its ID alone.
func lookupRequest(lookup, number int) RequestRecord {
	id := fmt.Sprintf("lookup%d-%d", lookup, number)
	call := fleet.Request{ID: id, Path: lookupPath, Body: fmt.Sprintf("lookup %d %s", lookup, fleet.LongBody), Deadline: maxDeadline}
	return RequestRecord{Request: call, Kind: KindIdempotent, LongRunning: true, WantBody: fleet.PlainAnswer(id, []byte(call.Body))}
}

// steadyStream returns a stream that can't be resumed.
func steadyStream(number int) RequestRecord {
	id := fmt.Sprintf("steady-%d", number)
	call := fleet.Request{
		ID: id, Path: steadyPath, Body: "body of " + id + " " + fleet.LongBody, Deadline: maxDeadline,
		SharedPrefix: "a0", SharedTokens: shortShared, PromptTokens: shortTokens,
	}
	return RequestRecord{Request: call, Kind: KindStream, LongRunning: true, WantBody: fleet.StreamAnswer(id, streamEvents)}
}

// isLookup reports whether a request is a lookup.
func (r *RequestRecord) isLookup() bool { return r.Request.Path == lookupPath }

// describeUnframed formats what was under way as the workers of a service or rack crashed.
func (h *History) describeUnframed() string {
	looksWhole, seenWhole := 0, 0
	lookupIDs := map[string]bool{}
	sent, served, denied, deniedLate := 0, 0, 0, 0
	for i := range h.Requests {
		r := &h.Requests[i]
		if h.Cuts[r.Request.ID] > 0 {
			looksWhole++
			seenWhole += count(r.Response.Err == nil && r.Response.Status == http.StatusOK && r.Response.Body != r.WantBody)
		}
		if !r.isLookup() {
			continue
		}
		lookupIDs[r.Request.ID] = true
		sent++
		served += count(r.Response.Err == nil && r.Response.Status == http.StatusOK)
		if r.Response.Status == http.StatusUnprocessableEntity {
			denied++
			deniedLate += count(!h.hasFault(isWorkerCrashes, r.Sent, r.Sent))
		}
	}
	crashes, withLookups := h.crashesUnder(lookupIDs)
	return fmt.Sprintf("crashes of workers cut responses of %d requests that look whole, of which %d were taken for whole; lookups ran at %d of %d workers that crashed; ",
		looksWhole, seenWhole, withLookups, crashes) +
		fmt.Sprintf("of %d lookups %d were served and %d got 422, of which %d later than %s after all workers were back; the last 503 of a lookup came %v after that",
			sent, served, denied, deniedLate, recoveryMargin, h.lookupDelays())
}

// lookupDelays returns how long after each end of crashes lookups were refused with 503, until the next fault begins.
func (h *History) lookupDelays() []time.Duration {
	var delays []time.Duration
	var from time.Time
	add := func(until time.Time) {
		if from.IsZero() {
			return
		}
		delay := time.Duration(0)
		for _, r := range h.Requests {
			if r.isLookup() && r.Response.Status == http.StatusServiceUnavailable && r.Sent.After(from) && r.Sent.Before(until) {
				delay = max(delay, r.Sent.Sub(from).Round(time.Millisecond))
			}
		}
		delays = append(delays, delay)
	}
	for _, span := range h.Spans {
		if span.Begun.After(from) {
			add(span.Begun)
			from = time.Time{}
		}
		if isWorkerCrashes(span.Fault) {
			from = span.Ended
		}
	}
	add(h.CollectedAt)
	return delays
}

// isWorkerCrashes reports whether a fault ends the workers of a service or rack.
func isWorkerCrashes(f Fault) bool {
	_, crashes := f.(WorkerCrashes)
	return crashes
}

// crashesUnder returns how many workers crashed without a request of theirs as the cause, and how many of these ran one of some requests.
func (h *History) crashesUnder(ids map[string]bool) (crashes, under int) {
	for _, crash := range h.Crashes {
		if crash.ID != "" {
			continue
		}
		crashes++
		under += count(slices.ContainsFunc(h.Work, func(work fleet.Work) bool {
			return ids[work.ID] && work.Worker == crash.Worker && work.Begun.Before(crash.At) && (work.Ended.IsZero() || work.Ended.After(crash.At))
		}))
	}
	return crashes, under
}
