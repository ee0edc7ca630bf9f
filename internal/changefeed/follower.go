package changefeed

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

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
	asker
	name, zone string
	// told is called with the names of the entries in each answer, and of those that the teller has heard.
	told func(entries, sound []string)

	// mu guards what follows.
	mu      sync.Mutex
	tellers []Teller
	// avoided holds until when a teller that failed is asked only if there is no other one.
	avoided map[string]time.Time
	turn    int
	// storeAfter is when the store itself may be tried, while all tellers have lost it.
	storeAfter time.Time
}

// NewFollower returns the follower of a gateway. Told is given the entries that each answer names.
func NewFollower(name, zone string, told func(entries, sound []string)) *Follower {
	settings := httpclient.DefaultSettings()
	settings.MaxIdlePerAddress = 1
	settings.IdleTimeout = idleTime
	return &Follower{
		asker: asker{httpclient.New(settings)}, name: name, zone: zone, told: told, avoided: map[string]time.Time{},
		turn: spread(name),
	}
}

// idleTime is how long a connection to a teller rests: several questions of two tellers by turns.
const idleTime = 10 * time.Second

// spread returns a number by which followers begin with different tellers.
func spread(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() >> 1)
}

// SetTellers replaces the gateways that may be asked.
func (f *Follower) SetTellers(tellers []Teller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tellers = nil
	for _, teller := range tellers {
		if teller.Address != "" && teller.Name != f.name {
			f.tellers = append(f.tellers, teller)
		}
	}
}

// Times of a follower.
const (
	// avoidTime is how long a teller that failed is passed over; as long as a killed process takes to start again.
	avoidTime = 2 * time.Second
	// mostAsked bounds the tellers that are asked in vain before the store is.
	mostAsked = 2
	// storePause is how often the store itself is tried while all tellers have lost it.
	storePause = 2500 * time.Millisecond
)

// Next is part of store.Feed.
func (f *Follower) Next(ctx context.Context, after int64, wait time.Duration) (store.Changes, error) {
	for range mostAsked {
		teller, found := f.next(time.Now())
		if !found {
			return store.Changes{}, store.ErrNobody
		}
		changes, err := f.changes(ctx, teller.Address, after, wait)
		if err != nil {
			// The next one is asked; that this one does not tell shows in the entries of its peers.
			f.avoid(teller, time.Now())
			continue
		}
		f.told(changes.Entries, changes.Sound)
		if changes.StoreLost && f.mayTryStore(time.Now()) {
			f.avoid(teller, time.Now())
			return store.Changes{}, store.ErrNobody
		}
		return changes, nil
	}
	return store.Changes{}, store.ErrNobody
}

// next returns the teller whose turn it is: one of the own zone, or else of any, that has not failed of late.
func (f *Follower) next(now time.Time) (Teller, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	var near, far []Teller
	for _, teller := range f.tellers {
		switch {
		case now.Before(f.avoided[teller.Address]):
		case teller.Zone == f.zone:
			near = append(near, teller)
		default:
			far = append(far, teller)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return Teller{}, false
	}
	return near[f.turn%len(near)], true
}

// avoid passes a teller over for a while.
func (f *Follower) avoid(teller Teller, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, until := range f.avoided {
		if now.After(until) {
			delete(f.avoided, address)
		}
	}
	f.avoided[teller.Address] = now.Add(avoidTime)
}

// mayTryStore tells whether it is time to try the store itself although a teller has lost it: the store may turn away the tellers
// and serve this gateway.
func (f *Follower) mayTryStore(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.storeAfter) {
		return false
	}
	f.storeAfter = now.Add(storePause)
	return true
}
