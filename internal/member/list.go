// Package member keeps the list of live gateways: each registers itself in the store under a lease, and all watch the list.
package member

import (
	"encoding/json"
	"iter"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/store"
)

// KeyPrefix is where gateways register.
const KeyPrefix = "gateways/"

// Gateway is one process that serves callers.
type Gateway struct {
	Name string `json:"name"`
	// Address at which callers connect, host:port.
	Address string `json:"address"`
	// PeerAddress takes datagrams of other gateways, host:port.
	PeerAddress string `json:"peerAddress"`
	// ControlAddress answers other gateways, host:port; empty answers nobody.
	ControlAddress string `json:"controlAddress,omitempty"`
	Zone           string `json:"zone"`
	// AdminAddress serves operators, host:port.
	AdminAddress string `json:"adminAddress,omitempty"`
	// Cores is the processor capacity, in cores.
	Cores float64 `json:"cores"`
	// Leaving gateways finish what they have and get no new callers.
	Leaving bool `json:"leaving,omitempty"`
}

// fadeTime is how long a gateway whose registration lapsed around an outage of the store stays on the list: the outage may
// have ended the lease of a gateway that lives, which registers again within that time.
const lapseGrace = 3 * time.Second

// outageMemory is how long after an outage lapses are put down to it.
const outageWindow = 6 * time.Second

// List is the list of live gateways as the store told it. It is a pure state machine and not safe for concurrent use.
type List struct {
	// own is always on the list while it serves.
	own      Gateway
	gateways map[string]Gateway
	// fading holds until when a gateway without a registration stays on the list.
	lapsedUntil map[string]time.Time
	lastOutage  time.Time
	// isRestored is set until the first list of a store that came back from an older copy.
	isRestored bool
	// heard holds when each other gateway was heard last, by its own word or by that of another, and claims when each told last by
	// its own that it takes requests.
	lastHeard, lastClaimed map[string]time.Time

	// preferred holds those that serve in the order in which they are picked as entries.
	ranking *ranking

	settings EntrySettings
	// neededCores are those that the entries have together at least.
	neededCores  float64
	needRevision store.Revision
	// picked holds since when each entry is one, and unresponsive until when a gateway is passed over that was one and told
	// nothing.
	entrySince        map[string]time.Time
	unresponsiveUntil map[string]time.Time
	// sound holds until when a gateway is known to live, by its own word or by that of a gateway that heard it.
	liveUntil map[string]time.Time
	// connected is when this process was last answered, by the store or by another gateway that follows it.
	connectedAt time.Time
}

// NewList returns a list with only the own gateway.
func NewList(own Gateway) *List {
	return &List{
		own: own, gateways: map[string]Gateway{}, lapsedUntil: map[string]time.Time{}, lastHeard: map[string]time.Time{}, lastClaimed: map[string]time.Time{},
		ranking: newRanking(servingOnly(own)), settings: DefaultEntrySettings(), entrySince: map[string]time.Time{}, unresponsiveUntil: map[string]time.Time{},
		liveUntil: map[string]time.Time{},
	}
}

// servingOnly returns a gateway if it serves.
func servingOnly(gateway Gateway) []Gateway {
	if gateway.Leaving {
		return nil
	}
	return []Gateway{gateway}
}

// Reset replaces the registrations by those among the items.
func (l *List) Reset(now time.Time, items []store.Item) error {
	present := map[string]bool{}
	var errs []error
	for _, item := range items {
		if IsRegistration(item.Key) {
			present[item.Key] = true
			errs = append(errs, l.putRegistration(item))
		}
	}
	previousCores := l.neededCores
	l.neededCores, l.needRevision = 0, 0
	for _, item := range items {
		if item.Key == NeedKey {
			errs = append(errs, l.putNeed(item))
		}
	}
	if l.isRestored && l.needRevision == 0 {
		// Whoever gives the orders writes it again. Without it fewer gateways would take requests until then.
		l.neededCores = previousCores
	}
	l.isRestored = false
	for key := range l.gateways {
		if !present[key] {
			l.lapse(now, key)
		}
	}
	return errors.Join(errs...)
}

// Apply takes one change of an item.
func (l *List) Apply(now time.Time, event store.Event) error {
	switch {
	case event.Key == NeedKey && event.Deleted:
		l.neededCores, l.needRevision = 0, event.Revision
		return nil
	case event.Key == NeedKey:
		return l.putNeed(event.Item)
	case !IsRegistration(event.Key):
		return nil
	case event.Deleted:
		l.lapse(now, event.Key)
		return nil
	default:
		return l.putRegistration(event.Item)
	}
}

// putNeed takes the cores that the entries are to have together.
func (l *List) putNeed(item store.Item) error {
	var need Need
	if err := json.Unmarshal(item.Value, &need); err != nil {
		return errors.Wrapf(err, "step read the need %s", item.Key)
	}
	l.neededCores, l.needRevision = need.Cores, item.Revision
	return nil
}

// Need returns the cores that the entries are to have together, and the revision of the store at which that was said.
func (l *List) Need() (cores float64, revision store.Revision) { return l.neededCores, l.needRevision }

// Outage tells that the store failed.
func (l *List) Outage(now time.Time) { l.lastOutage = now }

// Restored tells that the store has come back from an older copy, before its registrations are told: those that are missing may only be
// lost, and are written again.
func (l *List) Restored(now time.Time) {
	l.Outage(now)
	l.isRestored = true
}

// Heard tells that another gateway said that it takes requests.
func (l *List) Heard(now time.Time, name string) {
	l.lastClaimed[name] = now
	l.recordLife(now, name)
}

// hear notes that a gateway was heard, by its own word or by that of another.
func (l *List) recordLife(now time.Time, name string) {
	l.lastHeard[name] = now
	l.liveUntil[name] = now.Add(heartbeatTimeout)
	delete(l.unresponsiveUntil, name)
}

// suspectAfter is how long a gateway may be silent that was heard before. It tells of itself four times in that time.
const heartbeatTimeout = 900 * time.Millisecond

// Reachable returns the gateways that serve, by name, without those that have fallen silent. When most of those that were heard
// have, the fault is on the own side and nobody is suspected, unless this process is answered by others.
func (l *List) Reachable(now time.Time) []Gateway {
	reachable, _ := l.findReachable(now)
	return byName(slices.Collect(reachable))
}

// reach returns the gateways that serve and are reachable, in the order of preference, and those that have fallen silent, by name. It looks
// only at those of which something was heard: they are the few that take requests.
func (l *List) findReachable(now time.Time) (reachable iter.Seq[Gateway], suspects []Gateway) {
	l.removeLapsed(now)
	heardCount, silentCount := 0, 0
	suspected := map[string]bool{}
	for name := range l.lastHeard {
		if _, serves := l.Find(now, name); !serves {
			continue
		}
		heardCount++
		switch {
		case name == l.own.Name:
		case l.isSilentStandby(now, name):
			delete(l.lastHeard, name)
		case l.isSilent(now, name):
			silentCount++
			suspected[name] = true
		}
	}
	if 2*silentCount > heardCount && !l.isConnected(now) {
		return l.ranking.all(), nil
	}
	for name, until := range l.unresponsiveUntil {
		if now.Before(until) {
			suspected[name] = true
		}
	}
	for name := range suspected {
		if gateway, serves := l.Find(now, name); serves {
			suspects = append(suspects, gateway)
		}
	}
	return l.ranking.without(suspected), byName(suspects)
}

// Unheard tells that a gateway stands by and will not be heard any more.
func (l *List) Unheard(name string) {
	delete(l.lastHeard, name)
	delete(l.lastClaimed, name)
	delete(l.liveUntil, name)
}

// standsBySilently tells whether a gateway has been silent for so long that its registration would have lapsed if it were gone: it
// stands by, and its word of that was lost.
func (l *List) isSilentStandby(now time.Time, name string) bool {
	heardAt, found := l.lastHeard[name]
	return found && now.Sub(heardAt) > unresponsivePause
}

// silent tells whether a gateway that was heard before has not been for too long.
func (l *List) isSilent(now time.Time, name string) bool {
	heardAt, found := l.lastHeard[name]
	return found && now.Sub(heardAt) > heartbeatTimeout
}

// Serving returns the gateways that serve callers, by name.
func (l *List) Serving(now time.Time) []Gateway {
	l.removeLapsed(now)
	return byName(slices.Collect(l.ranking.all()))
}

// Find returns a gateway that serves callers by its name, or false.
func (l *List) Find(now time.Time, name string) (Gateway, bool) {
	l.removeLapsed(now)
	if name == l.own.Name {
		return l.own, !l.own.Leaving
	}
	gateway, known := l.gateways[KeyPrefix+name]
	return gateway, known && !gateway.Leaving
}

// ServingCount returns how many these are.
func (l *List) ServingCount(now time.Time) int {
	l.removeLapsed(now)
	return l.ranking.count
}

// fade takes gateways off the list whose registrations have been gone for long enough.
func (l *List) removeLapsed(now time.Time) {
	for key, until := range l.lapsedUntil {
		if now.After(until) {
			delete(l.lapsedUntil, key)
			l.remove(key)
		}
	}
}

// drop takes a registration off the list.
func (l *List) remove(key string) {
	if gateway, known := l.gateways[key]; known && gateway.Name != l.own.Name {
		l.ranking.remove(gateway)
	}
	delete(l.gateways, key)
}

// Leave takes the own gateway off the list.
func (l *List) Leave() {
	l.ranking.remove(l.own)
	l.own.Leaving = true
}

// IsListed tells whether the own gateway serves and its registration was there when the store told last.
func (l *List) IsListed() bool {
	key := KeyPrefix + l.own.Name
	_, isListed := l.gateways[key]
	_, isLapsed := l.lapsedUntil[key]
	return isListed && !isLapsed && !l.own.Leaving
}

// put takes a registration.
func (l *List) putRegistration(item store.Item) error {
	var gateway Gateway
	if err := json.Unmarshal(item.Value, &gateway); err != nil {
		return errors.Wrapf(err, "step read the registration %s", item.Key)
	}
	l.register(item.Key, gateway)
	delete(l.lapsedUntil, item.Key)
	delete(l.unresponsiveUntil, gateway.Name)
	return nil
}

// register puts a gateway on the list in place of what was registered under its key.
func (l *List) register(key string, gateway Gateway) {
	l.remove(key)
	l.gateways[key] = gateway
	if !gateway.Leaving && gateway.Name != l.own.Name {
		l.ranking.add(gateway)
	}
}

// lapse takes a registration that is gone off the list, at once or after a while.
func (l *List) lapse(now time.Time, key string) {
	gateway, known := l.gateways[key]
	if !known {
		return
	}
	if !gateway.Leaving && !l.lastOutage.IsZero() && now.Sub(l.lastOutage) < outageWindow {
		if _, isLapsed := l.lapsedUntil[key]; !isLapsed {
			l.lapsedUntil[key] = now.Add(lapseGrace)
		}
		return
	}
	l.remove(key)
	delete(l.lapsedUntil, key)
}

// Concerns tells whether a change of a key is one of the list.
func IsListKey(key string) bool { return key == NeedKey || IsRegistration(key) }

// IsRegistration tells whether a key is that of a gateway.
func IsRegistration(key string) bool {
	return len(key) > len(KeyPrefix) && key[:len(KeyPrefix)] == KeyPrefix
}
