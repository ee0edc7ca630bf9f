package cluster

import (
	"time"

	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/store"
)

// StoreAnswered records that the store responded to this process. That says nothing about the configuration: the store
// also responds to lease renewals while a watch is silent.
func (v *View) StoreAnswered() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.StoreAnswered(v.now())
}

// EntriesReported records the entries reported by another gateway, and those of them that it received heartbeats from.
func (v *View) EntriesReported(entries, live []string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.EntriesReported(v.now(), entries, live)
}

// IsFresh reports whether the configuration is known to have been current at some moment within the given time. Otherwise
// it may be outdated. It is outdated while the store holds a newer one that can't be read.
func (v *View) IsFresh(within time.Duration) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return len(v.unreadable) == 0 && !v.asOf.IsZero() && v.now().Sub(v.asOf) < within
}

// IsNewFleet reports whether the whole fleet was started within the given time: there had never been a controller when this
// process first listed the store.
func (v *View) IsNewFleet(within time.Duration) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.fleetIsNew && v.now().Sub(v.listedAt) < within
}

// TimeSinceStoreLoss returns the time since a call of this process or its upstreams to the store last failed, or since the
// start. Records that expired during an outage are written again within a few seconds.
func (v *View) TimeSinceStoreLoss() time.Duration {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.now().Sub(v.lastFailureAt)
}

// AdvertisedGateways returns the gateways that callers are directed to.
func (v *View) AdvertisedGateways() []member.Gateway {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.AdvertisedGateways(v.now())
}

// Resumed records that this process was suspended.
func (v *View) Resumed() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.Resumed(v.now())
}

// Entries returns the entries, and the gateways that serve but are suspected to be down.
func (v *View) Entries() (entries, suspects []member.Gateway) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Entries(v.now())
}

// RegisteredEntries returns the entries as determined by the store alone, regardless of heartbeats.
func (v *View) RegisteredEntries() []member.Gateway {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.RegisteredEntries(v.now())
}

// Claimants returns the gateways that act as entries although this one does not consider them entries.
func (v *View) Claimants() []member.Gateway {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Claimants(v.now())
}

// Serving returns the gateways that serve callers.
func (v *View) Serving() []member.Gateway {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Serving(v.now())
}

// Find returns the serving gateway with a name, or false.
func (v *View) Find(name string) (member.Gateway, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Find(v.now(), name)
}

// EntryNeed returns the number of cores that the entries need in total, the revision of its key, and whether the store holds the number.
func (v *View) EntryNeed() (cores float64, revision store.Revision, isStored bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Need()
}

// ServingCount returns the number of gateways that serve callers.
func (v *View) ServingCount() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.ServingCount(v.now())
}

// Reachable returns the gateways that serve callers and are not suspected to be down.
func (v *View) Reachable() []member.Gateway {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Reachable(v.now())
}

// HeartbeatReceived records a heartbeat of another gateway.
func (v *View) HeartbeatReceived(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.HeartbeatReceived(v.now(), name)
}

// BecameStandby records that another gateway is now standby and stops sending heartbeats.
func (v *View) BecameStandby(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.BecameStandby(name)
}

// Leave removes this gateway from the list.
func (v *View) Leave() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.Leave()
}

// Staleness returns the age of the items: the time since the moment as of which all changes are known. It is longer than any
// bound while there is none.
func (v *View) Staleness() time.Duration {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.now().Sub(v.asOf)
}
