// Package member maintains the list of live gateways. Each registers itself in the store under a lease, and all watch
// the registrations.
package member

import (
	"encoding/json"
	"iter"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/store"
)

// KeyPrefix is the key prefix of registrations.
const KeyPrefix = "gateways/"

// Gateway is the registration of a gateway.
type Gateway struct {
	Name string `json:"name"`
	// Address is where callers connect, host:port.
	Address string `json:"address"`
	// PeerAddress receives datagrams of other gateways, host:port.
	PeerAddress string `json:"peerAddress"`
	// ControlAddress serves requests of other gateways, host:port; empty if it serves none.
	ControlAddress string `json:"controlAddress,omitempty"`
	Zone           string `json:"zone"`
	// AdminAddress serves requests of operators, host:port.
	AdminAddress string `json:"adminAddress,omitempty"`
	// Cores is the CPU capacity.
	Cores float64 `json:"cores"`
	// Leaving is set while the gateway finishes its requests and accepts no new callers.
	Leaving bool `json:"leaving,omitempty"`
}

// expiryGrace is how long a gateway whose registration expired during or soon after a store outage stays on the list. The
// outage may have expired the lease of a running gateway, which registers again within that time.
const expiryGrace = 3 * time.Second

// outageWindow is how long after an outage expired registrations are attributed to it.
const outageWindow = 6 * time.Second

// List derives the live gateways and the entries from registrations and heartbeats. It is a pure state machine and not
// safe for concurrent use.
type List struct {
	// own is this gateway, which is on the list until it leaves.
	own      Gateway
	gateways map[string]Gateway
	// graceUntil holds until when gateways whose registrations expired stay on the list, by key.
	graceUntil map[string]time.Time
	lastOutage time.Time
	// isRestored is set after a restore of the store from a backup, until the next Reset.
	isRestored bool
	// lastSeenAsEntry holds when each other gateway was last known to be an entry, from a heartbeat or from the report of
	// another gateway. lastHeartbeat holds when each last sent a heartbeat as an entry.
	lastSeenAsEntry, lastHeartbeat map[string]time.Time

	// ranking holds the serving gateways in the order in which they are selected as entries.
	ranking *ranking

	settings EntrySettings
	// neededCores is the minimum total number of cores of the entries.
	neededCores float64
	// needRevision is that of the key in the store, zero if it is absent, and needStored is set if its value is neededCores.
	needRevision store.Revision
	needStored   bool
	// entrySince holds since when each entry is one, and unresponsiveUntil until when to skip gateways that were
	// selected but sent no heartbeat.
	entrySince        map[string]time.Time
	unresponsiveUntil map[string]time.Time
	// liveUntil holds until when each gateway is considered live, from a heartbeat or from the report of a gateway that
	// received one.
	liveUntil map[string]time.Time
	// connectedAt is when the store, or another gateway, last responded to this process.
	connectedAt time.Time
}

// NewList returns a list that contains only this gateway.
func NewList(own Gateway) *List {
	return &List{
		own: own, gateways: map[string]Gateway{}, graceUntil: map[string]time.Time{}, lastSeenAsEntry: map[string]time.Time{}, lastHeartbeat: map[string]time.Time{},
		ranking: newRanking(servingOnly(own)), settings: DefaultEntrySettings(), entrySince: map[string]time.Time{}, unresponsiveUntil: map[string]time.Time{},
		liveUntil: map[string]time.Time{},
	}
}

// servingOnly returns the gateway unless it is leaving.
func servingOnly(gateway Gateway) []Gateway {
	if gateway.Leaving {
		return nil
	}
	return []Gateway{gateway}
}

// Reset replaces all registrations and the cores that the entries need by those among the items. Expired registrations may
// remain for a grace period.
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
	l.neededCores, l.needRevision, l.needStored = 0, 0, false
	for _, item := range items {
		if item.Key == EntryNeedKey {
			l.neededCores = previousCores
			errs = append(errs, l.putNeed(item))
		}
	}
	if l.isRestored && l.needRevision == 0 {
		// The controller will write the needed cores again. Keep the previous value until then.
		l.neededCores = previousCores
	}
	l.isRestored = false
	for key := range l.gateways {
		if !present[key] {
			l.expire(now, key)
		}
	}
	return errors.Join(errs...)
}

// Apply applies a change of an item.
func (l *List) Apply(now time.Time, event store.Event) error {
	switch {
	case event.Key == EntryNeedKey && event.Deleted:
		l.neededCores, l.needRevision, l.needStored = 0, 0, false
		return nil
	case event.Key == EntryNeedKey:
		return l.putNeed(event.Item)
	case !IsRegistration(event.Key):
		return nil
	case event.Deleted:
		l.expire(now, event.Key)
		return nil
	default:
		return l.putRegistration(event.Item)
	}
}

// putNeed sets the number of cores that the entries need. One that can't be read, which another writer has left, leaves the previous in force.
func (l *List) putNeed(item store.Item) error {
	l.needRevision, l.needStored = item.Revision, false
	var need EntryNeed
	if err := json.Unmarshal(item.Value, &need); err != nil {
		return errors.Wrapf(err, "decode the cores that the entries need, key %s", item.Key)
	}
	if err := validateCores(need.Cores); err != nil {
		return errors.Wrapf(err, "the cores that the entries need, key %s", item.Key)
	}
	l.neededCores, l.needStored = need.Cores, true
	return nil
}

// Need returns the total number of cores that the entries need, the revision of its key, zero if that is absent, and whether the store holds the
// number.
func (l *List) Need() (cores float64, revision store.Revision, isStored bool) {
	return l.neededCores, l.needRevision, l.needStored
}

// Outage records that the store is unavailable.
func (l *List) Outage(now time.Time) { l.lastOutage = now }

// Restored records that the store was restored from a backup. It must be called before the restored registrations are
// passed. Registrations that the backup lacks will be written again.
func (l *List) Restored(now time.Time) {
	l.Outage(now)
	l.isRestored = true
}

// HeartbeatReceived records a heartbeat of another gateway, which considers itself an entry.
func (l *List) HeartbeatReceived(now time.Time, name string) {
	l.lastHeartbeat[name] = now
	l.recordAlive(now, name)
}

// recordAlive records that a gateway is an entry, from a heartbeat or from the report of another gateway.
func (l *List) recordAlive(now time.Time, name string) {
	l.lastSeenAsEntry[name] = now
	l.liveUntil[name] = now.Add(heartbeatTimeout)
	delete(l.unresponsiveUntil, name)
}

// heartbeatTimeout is how long a gateway may be silent before it is suspected. It spans several heartbeat intervals.
const heartbeatTimeout = 900 * time.Millisecond

// Reachable returns the serving gateways by name, except those suspected to be down. If most known entries are silent
// and neither the store nor a peer responds, this process is probably disconnected, and none is suspected.
func (l *List) Reachable(now time.Time) []Gateway {
	reachable, _ := l.findReachable(now)
	return byName(slices.Collect(reachable))
}

// findReachable returns the serving gateways that are not suspected to be down, in ranking order, and the suspected
// ones by name. It only examines the gateways in lastSeenAsEntry, which are the few entries.
func (l *List) findReachable(now time.Time) (reachable iter.Seq[Gateway], suspects []Gateway) {
	l.removeExpired(now)
	knownCount, silentCount := 0, 0
	suspected := map[string]bool{}
	for name := range l.lastSeenAsEntry {
		if _, serves := l.Find(now, name); !serves {
			continue
		}
		knownCount++
		switch {
		case name == l.own.Name:
		case l.isSilentStandby(now, name):
			delete(l.lastSeenAsEntry, name)
		case l.isSilent(now, name):
			silentCount++
			suspected[name] = true
		}
	}
	if 2*silentCount > knownCount && !l.isConnected(now) {
		return l.ranking.ordered(), nil
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
	return l.ranking.orderedExcept(suspected), byName(suspects)
}

// BecameStandby records that a gateway is now standby and stops sending heartbeats.
func (l *List) BecameStandby(name string) {
	delete(l.lastSeenAsEntry, name)
	delete(l.lastHeartbeat, name)
	delete(l.liveUntil, name)
}

// isSilentStandby reports whether a gateway has been silent for so long that its registration would have expired if it
// were down. Since it is still registered, it is standby and its notification of that was lost.
func (l *List) isSilentStandby(now time.Time, name string) bool {
	seenAt, found := l.lastSeenAsEntry[name]
	return found && now.Sub(seenAt) > unresponsivePause
}

// isSilent reports whether the heartbeats of a gateway have stopped.
func (l *List) isSilent(now time.Time, name string) bool {
	seenAt, found := l.lastSeenAsEntry[name]
	return found && now.Sub(seenAt) > heartbeatTimeout
}

// Serving returns the serving gateways by name.
func (l *List) Serving(now time.Time) []Gateway {
	l.removeExpired(now)
	return byName(slices.Collect(l.ranking.ordered()))
}

// Find returns the serving gateway with a name, or false.
func (l *List) Find(now time.Time, name string) (Gateway, bool) {
	l.removeExpired(now)
	if name == l.own.Name {
		return l.own, !l.own.Leaving
	}
	gateway, known := l.gateways[KeyPrefix+name]
	return gateway, known && !gateway.Leaving
}

// ServingCount returns the number of serving gateways.
func (l *List) ServingCount(now time.Time) int {
	l.removeExpired(now)
	return l.ranking.count
}

// removeExpired removes gateways whose grace period is over.
func (l *List) removeExpired(now time.Time) {
	for key, until := range l.graceUntil {
		if now.After(until) {
			delete(l.graceUntil, key)
			l.remove(key)
		}
	}
}

// remove removes a registration from the list.
func (l *List) remove(key string) {
	if gateway, known := l.gateways[key]; known && gateway.Name != l.own.Name {
		l.ranking.remove(gateway)
	}
	delete(l.gateways, key)
}

// Leave removes this gateway from the list.
func (l *List) Leave() {
	l.ranking.remove(l.own)
	l.own.Leaving = true
}

// IsListed reports whether this gateway serves and was registered according to the last state of the store.
func (l *List) IsListed() bool {
	key := KeyPrefix + l.own.Name
	_, isListed := l.gateways[key]
	_, isExpired := l.graceUntil[key]
	return isListed && !isExpired && !l.own.Leaving
}

// putRegistration adds or updates a registration.
func (l *List) putRegistration(item store.Item) error {
	var gateway Gateway
	if err := json.Unmarshal(item.Value, &gateway); err != nil {
		return errors.Wrapf(err, "decode registration %s", item.Key)
	}
	if err := gateway.validate(item.Key); err != nil {
		return errors.Wrapf(err, "registration %s", item.Key)
	}
	l.register(item.Key, gateway)
	delete(l.graceUntil, item.Key)
	delete(l.unresponsiveUntil, gateway.Name)
	return nil
}

// register sets the gateway registered under a key.
func (l *List) register(key string, gateway Gateway) {
	l.remove(key)
	l.gateways[key] = gateway
	if !gateway.Leaving && gateway.Name != l.own.Name {
		l.ranking.add(gateway)
	}
}

// expire removes an expired registration, after a grace period if the store was unavailable recently.
func (l *List) expire(now time.Time, key string) {
	gateway, known := l.gateways[key]
	if !known {
		return
	}
	if !gateway.Leaving && !l.lastOutage.IsZero() && now.Sub(l.lastOutage) < outageWindow {
		if _, isExpired := l.graceUntil[key]; !isExpired {
			l.graceUntil[key] = now.Add(expiryGrace)
		}
		return
	}
	l.remove(key)
	delete(l.graceUntil, key)
}

// IsListKey reports whether the list depends on a key.
func IsListKey(key string) bool { return key == EntryNeedKey || IsRegistration(key) }

// IsRegistration reports whether a key is that of a registration.
func IsRegistration(key string) bool {
	return len(key) > len(KeyPrefix) && key[:len(KeyPrefix)] == KeyPrefix
}
