package cluster

import (
	"time"

	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/store"
)

// Connected tells that the store has answered this process. It makes what is known of the configuration fresh only where this process follows
// the store itself: one that learns from others may be answered by the store, and be told nothing.
func (v *View) Connected(followsStore bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	if followsStore {
		v.configurationCheckedAt = now
	}
	v.gateways.Connected(now)
}

// Told takes the names of the entries of another gateway, and of those among them that it has heard.
func (v *View) Told(entries, live []string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.Told(v.now(), entries, live)
}

// IsFresh tells whether the store, or another gateway that has not lost it, has answered within a time. Without an answer the
// configuration may be out of date.
func (v *View) IsFresh(within time.Duration) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return !v.configurationCheckedAt.IsZero() && v.now().Sub(v.configurationCheckedAt) < within
}

// IsNew tells whether the whole fleet started within a time: nobody had ever given orders when this process first listed the store.
func (v *View) IsNew(within time.Duration) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.fleetIsNew && v.now().Sub(v.listedAt) < within
}

// Steady tells for how long the store has not been lost, by this process or those that tell it: records that went meanwhile are
// written anew within some seconds.
func (v *View) Steady() time.Duration {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.now().Sub(v.storeLostAt)
}

// Named returns the gateways that callers are told.
func (v *View) Named() []member.Gateway {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Named(v.now())
}

// Resumed tells that this process has stood still.
func (v *View) Resumed() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.Resumed(v.now())
}

// Entries returns the gateways to which callers are sent, and those that serve and have fallen silent.
func (v *View) Entries() (entries, suspects []member.Gateway) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Entries(v.now())
}

// Registered returns the gateways to which callers are sent by the store alone.
func (v *View) Registered() []member.Gateway {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Registered(v.now())
}

// Claimants returns the gateways that say that they take requests and are no entries in the eyes of this one.
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

// Find returns a gateway that serves callers by its name, or false.
func (v *View) Find(name string) (member.Gateway, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Find(v.now(), name)
}

// EntryNeed returns the cores that the entries are to have together, and the revision of the store at which that was said.
func (v *View) EntryNeed() (cores float64, revision store.Revision) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Need()
}

// ServingCount returns how many gateways serve callers.
func (v *View) ServingCount() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.ServingCount(v.now())
}

// Reachable returns the gateways that serve callers and have not fallen silent.
func (v *View) Reachable() []member.Gateway {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.gateways.Reachable(v.now())
}

// Heard tells that another gateway was heard.
func (v *View) Heard(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.Heard(v.now(), name)
}

// Unheard tells that another gateway stands by and will not be heard any more.
func (v *View) Unheard(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.Unheard(name)
}

// Leave takes the own gateway off the list.
func (v *View) Leave() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.gateways.Leave()
}

// Staleness returns how long ago the view was known to be current.
func (v *View) Staleness() time.Duration {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.now().Sub(v.currentAt)
}
