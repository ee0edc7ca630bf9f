package changefeed

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/store"
)

// Teller is a gateway that can be asked for changes.
type Teller struct {
	Name string
	Zone string
	// Address of its control interface, host:port.
	Address string
}

// Follower asks gateways that follow the store what has changed, those of its own zone by turns, so that one that has fallen
// behind does not keep it back. It implements store.Feed.
type Follower struct {
	peerClient
	name, zone string
	// told is called with the names of the entries in each answer, and of those that the teller has heard.
	onEntries func(entries, live []string)

	// mu guards what follows.
	mu        sync.Mutex
	upstreams []Teller
	// avoided holds until when a teller that failed is asked only if there is no other one.
	failedUntil map[string]time.Time
	// doubted holds until when a teller that has lost the store, or seems to, is asked only if there is no better one.
	storeLostUntil map[string]time.Time
	turn           int
	// storeAfter is when the store itself may be tried, while all tellers have lost it.
	nextStoreAttempt time.Time
	// answeredWithin is how lately the store has to have answered a teller; zero bounds nothing.
	maxStoreSilence time.Duration
}

// NewFollower returns the follower of a gateway. Told is given the entries that each answer names.
func NewFollower(name, zone string, onEntries func(entries, live []string)) *Follower {
	settings := httpclient.DefaultSettings()
	settings.MaxIdlePerAddress = 1
	settings.IdleTimeout = idleTimeout
	return &Follower{
		peerClient: peerClient{httpclient.New(settings)}, name: name, zone: zone, onEntries: onEntries, failedUntil: map[string]time.Time{}, storeLostUntil: map[string]time.Time{},
		turn: initialTurn(name),
	}
}

// idleTime is how long a connection to a teller rests: several questions of two tellers by turns.
const idleTimeout = 10 * time.Second

// spread returns a number by which followers begin with different tellers.
func initialTurn(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() >> 1)
}

// SetTellers replaces the gateways that may be asked.
func (f *Follower) SetTellers(upstreams []Teller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = nil
	for _, upstream := range upstreams {
		if upstream.Address != "" && upstream.Name != f.name {
			f.upstreams = append(f.upstreams, upstream)
		}
	}
}

// answeredShare is the part of the time within which changes have to be known after which a teller that the store does not answer counts as
// cut off from it. A teller renews its registration each second, so that a sound one is younger; and what is left of the time is enough to
// ask another one.
const storeSilenceFraction = 0.75

// SetBound tells within which time changes have to be known.
func (f *Follower) SetBound(bound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxStoreSilence = time.Duration(storeSilenceFraction * float64(bound))
}

// isCutOff tells whether the store has not answered a teller for long, although that does not know yet that it has lost it.
func (f *Follower) isCutOff(changes store.Changes) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxStoreSilence > 0 && changes.StoreSilence != nil && time.Duration(*changes.StoreSilence)*time.Millisecond > f.maxStoreSilence
}

// Times of a follower.
const (
	// avoidTime is how long a teller that failed is passed over; as long as a killed process takes to start again.
	failurePause = 2 * time.Second
	// startTime is how long one is passed over that tells nothing yet: it lists the store, or finds out that it is asked.
	startupPause = 300 * time.Millisecond
	// doubtTime is how long one that has lost the store is put behind others: an outage of some machines lasts longer, and so does what
	// it takes to notice it, but when all have lost the store each may be the first to have it back.
	storeLostPause = 500 * time.Millisecond
	// mostAsked bounds the tellers that are asked before the store is, and mostFailed those of them that do not answer: each takes longer than
	// a question.
	maxRequests = 4
	maxFailures = 2
	// storePause is how often the store itself is tried while all tellers have lost it.
	storeAttemptInterval = 2500 * time.Millisecond
)

// Next is part of store.Feed. A teller that has lost the store, or seems to be cut off from it, is good enough only while no other one is
// better off and the store itself is not to be tried.
func (f *Follower) Next(ctx context.Context, request store.ChangesRequest) (store.Changes, error) {
	var degraded *store.Changes
	failed := 0
	for requests := 0; requests < maxRequests && failed < maxFailures; requests++ {
		upstream, found := f.pickUpstream(time.Now(), request.Upstream)
		if !found {
			break
		}
		changes, err := f.requestChanges(ctx, upstream.Address, request)
		if err != nil {
			// The next one is asked; that this one does not tell shows in the entries of its peers.
			f.markFailed(upstream, err)
			failed++
			continue
		}
		f.onEntries(changes.Entries, changes.Live)
		if !changes.StoreUnavailable && !f.isCutOff(changes) {
			return changes, nil
		}
		// Others of its zone may have lost the store with it: those of other zones come next, and need not be waited for.
		f.markStoreLost(upstream)
		degraded, request.Wait = &changes, 0
	}
	if degraded != nil && !f.claimStoreAttempt(time.Now()) {
		return *degraded, nil
	}
	return store.Changes{}, store.ErrNoUpstream
}

// next returns the teller of a name, or without one that whose turn it is: one of the own zone, or else of any, that has not failed of late,
// and that has not lost the store if there is one.
func (f *Follower) pickUpstream(now time.Time, name string) (Teller, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	var sameZone, otherZones, storeLost []Teller
	for _, upstream := range f.upstreams {
		switch {
		case now.Before(f.failedUntil[upstream.Address]):
		case name != "" && upstream.Name != name:
		case now.Before(f.storeLostUntil[upstream.Address]):
			storeLost = append(storeLost, upstream)
		case upstream.Zone == f.zone:
			sameZone = append(sameZone, upstream)
		default:
			otherZones = append(otherZones, upstream)
		}
	}
	for _, candidates := range [][]Teller{sameZone, otherZones, storeLost} {
		if len(candidates) > 0 {
			return candidates[f.turn%len(candidates)], true
		}
	}
	return Teller{}, false
}

// doubt puts a teller behind the others for a while.
func (f *Follower) markStoreLost(upstream Teller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeLostUntil[upstream.Address] = time.Now().Add(storeLostPause)
}

// avoid passes a teller over for a while, given the error of its answer or nil.
func (f *Follower) markFailed(upstream Teller, err error) {
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

// mayTryStore tells whether it is time to try the store itself although a teller has lost it: the store may turn away the tellers
// and serve this gateway.
func (f *Follower) claimStoreAttempt(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.nextStoreAttempt) {
		return false
	}
	f.nextStoreAttempt = now.Add(storeAttemptInterval)
	return true
}
