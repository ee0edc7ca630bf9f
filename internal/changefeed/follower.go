package changefeed

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/store"
)

// Upstream is a gateway that serves changes.
type Upstream struct {
	Name string
	Zone string
	// Address is the address of the control interface, host:port.
	Address string
}

// Follower requests changes from upstreams. It alternates between those of its own zone, so that an upstream that lags
// behind delays it for one request only. It implements store.Feed.
type Follower struct {
	peerClient
	name, zone string
	// onEntries is called with the entries named in each response, and those that the upstream received heartbeats
	// from.
	onEntries func(entries, live []string)
	// onOutcome is called with the outcome of each request and its duration; may be nil.
	onOutcome func(outcome Outcome, took time.Duration)

	// mu protects the following fields.
	mu        sync.Mutex
	upstreams []Upstream
	// registered are the gateways that are entries as far as registrations tell, whether or not they are alive.
	registered []Upstream
	// failedUntil holds until when to skip upstreams that failed, by address.
	failedUntil map[string]time.Time
	// storeUnavailableUntil holds until when to prefer others to upstreams that cannot reach the store, by address.
	storeUnavailableUntil map[string]time.Time
	// rotation selects among equally suitable upstreams; it increases with each selection.
	rotation int
	// nextStoreAttempt is when this gateway may next call the store itself while no upstream can reach it.
	nextStoreAttempt time.Time
	// maxStoreSilence is how long the store may not have responded to an upstream before that is considered cut off from
	// the store; zero disables the check.
	maxStoreSilence time.Duration
}

// NewFollower returns a follower for the gateway with the given name and zone. It calls onEntries with the entries that
// each response names, and those that the upstream received heartbeats from.
func NewFollower(name, zone string, onEntries func(entries, live []string)) *Follower {
	settings := httpclient.DefaultSettings()
	settings.MaxIdlePerAddress = 1
	settings.IdleTimeout = idleTimeout
	return &Follower{
		peerClient: peerClient{httpclient.New(settings)}, name: name, zone: zone, onEntries: onEntries, failedUntil: map[string]time.Time{}, storeUnavailableUntil: map[string]time.Time{},
		rotation: initialRotation(name),
	}
}

// idleTimeout is how long idle connections to upstreams are kept. It spans several requests to each of two alternating
// upstreams.
const idleTimeout = 10 * time.Second

// initialRotation returns the initial rotation, which spreads followers over the upstreams.
func initialRotation(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() >> 1)
}

// SetUpstreams sets the gateways to request changes from. Those without an address and this gateway are ignored.
func (f *Follower) SetUpstreams(upstreams []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = nil
	for _, upstream := range upstreams {
		if upstream.Address != "" && upstream.Name != f.name {
			f.upstreams = append(f.upstreams, upstream)
		}
	}
}

// Outcome is the outcome of a request to an upstream.
type Outcome string

// The outcomes of requests.
const (
	OutcomeServed Outcome = "served"
	// OutcomeCutOff means that the upstream cannot reach the store.
	OutcomeCutOff Outcome = "cut off"
	// OutcomeNotServing means that the upstream is not an entry, or has not listed the store yet.
	OutcomeNotServing Outcome = "not serving"
	// OutcomeFailed means that the upstream did not respond in time, or not as expected.
	OutcomeFailed Outcome = "failed"
)

// OnOutcome sets a function that is called with the outcome of each request and its duration, including the time that the upstream waited
// for changes. It must be called before the first request.
func (f *Follower) OnOutcome(onOutcome func(outcome Outcome, took time.Duration)) {
	f.onOutcome = onOutcome
}

// reportOutcome passes on the outcome of a request.
func (f *Follower) reportOutcome(started time.Time, changes store.Changes, err error) {
	if f.onOutcome == nil {
		return
	}
	outcome := OutcomeServed
	switch {
	case errors.Is(err, errUnavailable):
		outcome = OutcomeNotServing
	case err != nil:
		outcome = OutcomeFailed
	case changes.StoreUnavailable || f.isStoreSilent(changes):
		outcome = OutcomeCutOff
	}
	f.onOutcome(outcome, time.Since(started))
}

// SetRegistered sets the gateways that are entries as far as registrations tell. One of them is asked when the upstreams are not entries,
// because this gateway is mistaken about who is alive.
func (f *Follower) SetRegistered(upstreams []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registered = upstreams
}

// storeSilenceFraction is the fraction of the propagation bound after which an upstream without response from the store
// is considered cut off. Upstreams renew their registration every second, so healthy ones are well below it. It leaves
// time to query another upstream within the bound.
const storeSilenceFraction = 0.75

// SetPropagationBound sets the time within which all gateways must know a change.
func (f *Follower) SetPropagationBound(bound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxStoreSilence = time.Duration(storeSilenceFraction * float64(bound))
}

// isStoreSilent reports whether the upstream has not had a response from the store for too long, though it may not have
// noticed yet.
func (f *Follower) isStoreSilent(changes store.Changes) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxStoreSilence > 0 && changes.StoreSilence != nil && time.Duration(*changes.StoreSilence)*time.Millisecond > f.maxStoreSilence
}

// Timing and limits of a follower.
const (
	// failurePause is how long an upstream that failed is skipped. It allows a killed process to restart.
	failurePause = 2 * time.Second
	// startupPause is how long an upstream is skipped that serves no changes yet, because it is still listing the store
	// or does not know that it is an entry.
	startupPause = 300 * time.Millisecond
	// storeUnavailablePause is how long others are preferred to an upstream that cannot reach the store. It is short,
	// because after an outage any upstream may be the first to reach the store again.
	storeUnavailablePause = 500 * time.Millisecond
	// maxRequests limits the upstreams queried before the store is called, and maxFailures those that failed without a
	// response, which takes longer.
	maxRequests = 4
	maxFailures = 2
	// maxNotServing is the number of responses of upstreams that are not entries after which a registered entry is queried.
	maxNotServing = 3
	// storeAttemptInterval is the interval between attempts to call the store while no upstream can reach it.
	storeAttemptInterval = 2500 * time.Millisecond
)

// Next implements store.Feed. It returns changes of an upstream that is cut off from the store only if no better one
// responds and the store itself is not due for an attempt. Upstreams that respond without changes do not count as failed:
// they are not entries, so this gateway is mistaken about its zone, and those of other zones tell it which gateways are.
func (f *Follower) Next(ctx context.Context, request store.ChangesRequest) (store.Changes, error) {
	var degraded *store.Changes
	failed, notServing := 0, 0
	for requests := 0; requests < maxRequests && failed < maxFailures; requests++ {
		upstream, found := f.pickUpstream(time.Now(), request.Upstream)
		if notServing >= maxNotServing {
			upstream, found = f.pickRegistered(time.Now())
		}
		if !found {
			break
		}
		started := time.Now()
		changes, err := f.requestChanges(ctx, upstream.Address, request)
		if err != nil && ctx.Err() != nil {
			return store.Changes{}, errors.Wrap(ctx.Err(), "request changes from other gateways")
		}
		f.reportOutcome(started, changes, err)
		if err != nil {
			// Query the next upstream. This one is only skipped here; the entries replace it once its heartbeats stop.
			f.markFailed(upstream, err)
			if errors.Is(err, errUnavailable) {
				notServing++
			} else {
				failed++
			}
			continue
		}
		f.onEntries(changes.Entries, changes.Live)
		if !changes.StoreUnavailable && !f.isStoreSilent(changes) {
			return changes, nil
		}
		// Query the next upstream without a wait. Those of the same zone may be cut off as well, but those of other zones
		// may still reach the store.
		f.markStoreUnavailable(upstream)
		degraded, request.Wait = &changes, 0
	}
	if degraded != nil && !f.claimStoreAttempt(time.Now()) {
		return *degraded, nil
	}
	return store.Changes{}, store.ErrNoUpstream
}

// pickUpstream returns the upstream with a name, or for an empty name the next in rotation: from the own zone if possible,
// otherwise from any. It skips upstreams that failed recently, and returns one that cannot reach the store only if
// there is no other.
func (f *Follower) pickUpstream(now time.Time, name string) (Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotation++
	var sameZone, otherZones, storeUnavailable []Upstream
	for _, upstream := range f.upstreams {
		switch {
		case now.Before(f.failedUntil[upstream.Address]):
		case name != "" && upstream.Name != name:
		case now.Before(f.storeUnavailableUntil[upstream.Address]):
			storeUnavailable = append(storeUnavailable, upstream)
		case upstream.Zone == f.zone:
			sameZone = append(sameZone, upstream)
		default:
			otherZones = append(otherZones, upstream)
		}
	}
	for _, candidates := range [][]Upstream{sameZone, otherZones, storeUnavailable} {
		if len(candidates) > 0 {
			return candidates[f.rotation%len(candidates)], true
		}
	}
	return Upstream{}, false
}

// pickRegistered returns a registered entry that is not among the upstreams, from the own zone if possible. It skips those that failed
// recently.
func (f *Follower) pickRegistered(now time.Time) (Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []Upstream
	for _, upstream := range f.registered {
		if upstream.Address == "" || upstream.Name == f.name || now.Before(f.failedUntil[upstream.Address]) || slices.Contains(f.upstreams, upstream) {
			continue
		}
		if upstream.Zone == f.zone {
			return upstream, true
		}
		candidates = append(candidates, upstream)
	}
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	return candidates[f.rotation%len(candidates)], true
}

// markStoreUnavailable makes the follower prefer other upstreams for a while.
func (f *Follower) markStoreUnavailable(upstream Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeUnavailableUntil[upstream.Address] = time.Now().Add(storeUnavailablePause)
}

// markFailed makes the follower skip an upstream for a while after an error.
func (f *Follower) markFailed(upstream Upstream, err error) {
	now, pause := time.Now(), failurePause
	if errors.Is(err, errUnavailable) {
		pause = startupPause
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, until := range f.failedUntil {
		if now.After(until) {
			delete(f.failedUntil, address)
		}
	}
	f.failedUntil[upstream.Address] = now.Add(pause)
}

// claimStoreAttempt reports whether this gateway should call the store itself although its upstreams cannot reach it,
// since the store may serve this gateway. If so, it schedules the next attempt.
func (f *Follower) claimStoreAttempt(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.nextStoreAttempt) {
		return false
	}
	f.nextStoreAttempt = now.Add(storeAttemptInterval)
	return true
}
