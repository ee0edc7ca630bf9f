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
	asker
	name, zone string
	// told is called with the names of the entries in each answer, and of those that the teller has heard.
	told func(entries, sound []string)

	// mu guards what follows.
	mu      sync.Mutex
	tellers []Teller
	// avoided holds until when a teller that failed is asked only if there is no other one.
	avoided map[string]time.Time
	// doubted holds until when a teller that has lost the store, or seems to, is asked only if there is no better one.
	doubted map[string]time.Time
	turn    int
	// storeAfter is when the store itself may be tried, while all tellers have lost it.
	storeAfter time.Time
	// answeredWithin is how lately the store has to have answered a teller; zero bounds nothing.
	answeredWithin time.Duration
}

// NewFollower returns the follower of a gateway. Told is given the entries that each answer names.
func NewFollower(name, zone string, told func(entries, sound []string)) *Follower {
	settings := httpclient.DefaultSettings()
	settings.MaxIdlePerAddress = 1
	settings.IdleTimeout = idleTime
	return &Follower{
		asker: asker{httpclient.New(settings)}, name: name, zone: zone, told: told, avoided: map[string]time.Time{}, doubted: map[string]time.Time{},
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

// answeredShare is the part of the time within which changes have to be known after which a teller that the store does not answer counts as
// cut off from it. A teller renews its registration each second, so that a sound one is younger; and what is left of the time is enough to
// ask another one.
const answeredShare = 0.75

// SetBound tells within which time changes have to be known.
func (f *Follower) SetBound(bound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredWithin = time.Duration(answeredShare * float64(bound))
}

// isCutOff tells whether the store has not answered a teller for long, although that does not know yet that it has lost it.
func (f *Follower) isCutOff(changes store.Changes) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredWithin > 0 && changes.StoreSilence != nil && time.Duration(*changes.StoreSilence)*time.Millisecond > f.answeredWithin
}

// Times of a follower.
const (
	// avoidTime is how long a teller that failed is passed over; as long as a killed process takes to start again.
	avoidTime = 2 * time.Second
	// startTime is how long one is passed over that tells nothing yet: it lists the store, or finds out that it is asked.
	startTime = 300 * time.Millisecond
	// doubtTime is how long one that has lost the store is put behind others: an outage of some machines lasts longer, and so does what
	// it takes to notice it, but when all have lost the store each may be the first to have it back.
	doubtTime = 500 * time.Millisecond
	// mostAsked bounds the tellers that are asked before the store is, and mostFailed those of them that do not answer: each takes longer than
	// a question.
	mostAsked  = 4
	mostFailed = 2
	// storePause is how often the store itself is tried while all tellers have lost it.
	storePause = 2500 * time.Millisecond
)

// Next is part of store.Feed. A teller that has lost the store, or seems to be cut off from it, is good enough only while no other one is
// better off and the store itself is not to be tried.
func (f *Follower) Next(ctx context.Context, question store.ChangesRequest) (store.Changes, error) {
	var doubtful *store.Changes
	failed := 0
	for asked := 0; asked < mostAsked && failed < mostFailed; asked++ {
		teller, found := f.next(time.Now(), question.Upstream)
		if !found {
			break
		}
		changes, err := f.changes(ctx, teller.Address, question)
		if err != nil {
			// The next one is asked; that this one does not tell shows in the entries of its peers.
			f.avoid(teller, err)
			failed++
			continue
		}
		f.told(changes.Entries, changes.Live)
		if !changes.StoreUnavailable && !f.isCutOff(changes) {
			return changes, nil
		}
		// Others of its zone may have lost the store with it: those of other zones come next, and need not be waited for.
		f.doubt(teller)
		doubtful, question.Wait = &changes, 0
	}
	if doubtful != nil && !f.mayTryStore(time.Now()) {
		return *doubtful, nil
	}
	return store.Changes{}, store.ErrNoUpstream
}

// next returns the teller of a name, or without one that whose turn it is: one of the own zone, or else of any, that has not failed of late,
// and that has not lost the store if there is one.
func (f *Follower) next(now time.Time, name string) (Teller, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	var near, far, doubted []Teller
	for _, teller := range f.tellers {
		switch {
		case now.Before(f.avoided[teller.Address]):
		case name != "" && teller.Name != name:
		case now.Before(f.doubted[teller.Address]):
			doubted = append(doubted, teller)
		case teller.Zone == f.zone:
			near = append(near, teller)
		default:
			far = append(far, teller)
		}
	}
	for _, tellers := range [][]Teller{near, far, doubted} {
		if len(tellers) > 0 {
			return tellers[f.turn%len(tellers)], true
		}
	}
	return Teller{}, false
}

// doubt puts a teller behind the others for a while.
func (f *Follower) doubt(teller Teller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubted[teller.Address] = time.Now().Add(doubtTime)
}

// avoid passes a teller over for a while, given the error of its answer or nil.
func (f *Follower) avoid(teller Teller, err error) {
	now, pause := time.Now(), avoidTime
	if errors.Is(err, errNotTold) {
		pause = startTime
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, until := range f.avoided {
		if now.After(until) {
			delete(f.avoided, address)
		}
	}
	f.avoided[teller.Address] = now.Add(pause)
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
