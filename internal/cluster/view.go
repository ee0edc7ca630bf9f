// Package cluster puts together what a gateway knows of the whole system from the items of the store: the configuration, the
// workers and the other gateways.
package cluster

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/store"
	"github.com/granitebay/granitebay/internal/usage"
)

// Decoder says what the items that operators and workers write mean.
type Decoder interface {
	// IsConfiguration tells whether a key holds the configuration.
	IsConfiguration(key string) bool
	// Configuration decodes it.
	Configuration(value []byte) (*routing.Configuration, error)
	// WorkerID returns the id of the worker whose record a key holds.
	WorkerID(key string) (string, bool)
	// Worker decodes the record of a worker.
	Worker(id string, value []byte) (*backend.Worker, error)
}

// Listener is told of changes, one at a time. It must not call back into the roster.
type Listener interface {
	// ConfigurationChanged gives a configuration that was validated.
	ConfigurationChanged(configuration *routing.Configuration)
	// WorkersChanged tells which workers are new, described anew or gone.
	WorkersChanged(changes backend.Changes)
	// GatewaysChanged tells that the list of gateways has changed.
	GatewaysChanged()
	// ControllerChanged tells who holds the key of the controller; a value of nil is nobody.
	ControllerChanged(value []byte, revision store.Revision)
	// UsageAgreed tells the ledger of the usage.
	UsageAgreed(value []byte)
	// BarsListed gives all bars of requests, and BarChanged one that has changed.
	BarsListed(items []store.Item)
	BarChanged(event store.Event)
	// Unregistered tells that the registration of this gateway is gone.
	Unregistered()
	// StoreRestored tells that the store has come back from an older copy, in an era. What it holds is told next.
	StoreRestored(era int64)
	// Registered tells that the registration of this gateway was seen, or that it was written anew.
	Registered()
	// Confirmed tells that the store held the registration of this gateway at a moment of boottime, and that all changes of the
	// list of gateways up to that moment were told. The fleet is new if nobody had ever given orders when the store was listed first.
	Confirmed(at time.Time, fleetIsNew bool)
}

// View is a store.Consumer. Serving and Staleness may be called by any goroutine.
type View struct {
	decoder  Decoder
	listener Listener
	ownKey   string
	logger   logrus.FieldLogger
	// complaints bounds the lines about items that can't be read, and unreadable counts those.
	unreadableLogLimiter *rate.Limiter
	unreadable           atomic.Int64
	// now counts the time in which the machine is suspended: all that the view holds may have changed meanwhile.
	now func() time.Time

	// base is the configuration of routes and services in force, and byLabels that of groups and rules by labels; nil before
	// the first.
	baseConfiguration  *routing.Configuration
	labelConfiguration *routing.Configuration
	// registered is set once the own registration was seen. Before that it is on its way, and need not be made again.
	wasRegistered bool
	// ownSeen is when the registration that is there was first seen, in the state of ownRevision; zero while there is none. Before it the
	// store need not have held it.
	registrationSeenAt   time.Time
	registrationRevision store.Revision
	// lostSince is when the store was lost; zero while it answers.
	storeLostSince time.Time

	// rosterMutex guards the roster and the telling of it, and fadesAt, when it is told next for a worker that fades out.
	rosterMutex      sync.Mutex
	roster           *backend.Roster
	nextWorkerUpdate time.Time

	mutex     sync.Mutex
	gateways  *member.List
	currentAt time.Time
	// listedAt is when the store was listed first, and fleetIsNew is set when nobody had given orders by then.
	listedAt   time.Time
	fleetIsNew bool
	// lostAt is when the store was lost last, or the start.
	storeLostAt time.Time
	// answeredAt is when the store answered anything, to this process or to another that tells this one.
	configurationCheckedAt time.Time
	document               configuration.Document
}

// NewView returns a view of nothing.
func NewView(
	decoder Decoder, listener Listener, gateways *member.List, roster *backend.Roster, ownKey string, logger logrus.FieldLogger,
) *View {
	return &View{
		decoder: decoder, listener: listener, ownKey: ownKey, logger: logger, now: boottime.Now, roster: roster, gateways: gateways,
		storeLostAt: boottime.Now(), unreadableLogLimiter: rate.NewLimiter(unreadableLogsPerSecond, unreadableLogBurst),
	}
}

// Reset is part of store.Consumer.
func (v *View) Reset(items []store.Item) {
	registered, revision := false, store.Revision(0)
	var workers []*backend.Worker
	var bars []store.Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, poison.Prefix) {
			bars = append(bars, item)
		}
		if item.Key == v.ownKey {
			registered, revision = true, item.Revision
		}
		if worker := v.decodeWorker(item); worker != nil {
			workers = append(workers, worker)
		}
		if item.Key == usage.Key {
			v.listener.UsageAgreed(item.Value)
		}
	}
	v.listener.BarsListed(bars)
	v.mutex.Lock()
	if v.listedAt.IsZero() {
		v.listedAt = v.now()
		v.fleetIsNew = !slices.ContainsFunc(items, func(item store.Item) bool { return item.Key == roles.HistoryKey })
	}
	v.reportUnreadable(v.gateways.Reset(v.now(), items))
	v.mutex.Unlock()
	v.rosterMutex.Lock()
	v.roster.Reset(v.now(), workers)
	v.rosterMutex.Unlock()
	// A configuration makes the process ready: whoever asks from then on is to find workers.
	v.publishWorkers()
	for _, item := range items {
		v.applyConfiguration(item)
	}
	v.listener.GatewaysChanged()
	v.publishController(items)
	v.updateRegistration(registered, revision)
}

// Restored is part of store.Consumer. What is missing in the store from now on may only be lost with what it held: workers and gateways that
// came after the copy was made have not left, and write that they are there again.
func (v *View) Restored(era int64) {
	now := v.now()
	v.rosterMutex.Lock()
	v.roster.Restored(now)
	v.rosterMutex.Unlock()
	v.mutex.Lock()
	v.storeLostAt = now
	v.gateways.Restored(now)
	v.mutex.Unlock()
	v.listener.StoreRestored(era)
}

// noteRegistration takes whether the own registration is there and when it was written, and tells when it is gone.
func (v *View) updateRegistration(present bool, revision store.Revision) {
	switch {
	case !present:
		v.registrationSeenAt = time.Time{}
	case v.registrationSeenAt.IsZero() || revision != v.registrationRevision:
		v.registrationSeenAt, v.registrationRevision = v.now(), revision
		v.listener.Registered()
	}
	if !present && v.wasRegistered {
		v.listener.Unregistered()
	}
	v.wasRegistered = v.wasRegistered || present
}

// resetController tells who holds the key of the controller.
func (v *View) publishController(items []store.Item) {
	for _, item := range items {
		if item.Key == roles.Key {
			v.listener.ControllerChanged(item.Value, item.Revision)
			return
		}
	}
	v.listener.ControllerChanged(nil, 0)
}

// Apply is part of store.Consumer.
func (v *View) Apply(events []store.Event) {
	workersChanged, gatewaysChanged := false, false
	for _, event := range events {
		workersChanged = v.applyWorker(event) || workersChanged
		if !event.Deleted {
			v.applyConfiguration(event.Item)
		}
		if strings.HasPrefix(event.Key, poison.Prefix) {
			v.listener.BarChanged(event)
		}
		if event.Key == roles.Key {
			v.listener.ControllerChanged(event.Value, event.Revision)
		}
		if event.Key == usage.Key && !event.Deleted {
			v.listener.UsageAgreed(event.Value)
		}
		if event.Key == v.ownKey {
			v.updateRegistration(!event.Deleted, event.Revision)
		}
		gatewaysChanged = v.applyGateway(event) || gatewaysChanged
	}
	if workersChanged {
		v.publishWorkers()
	}
	if gatewaysChanged {
		v.listener.GatewaysChanged()
	}
}

// applyGateway gives a change to the list of gateways, and tells whether it was one of it.
func (v *View) applyGateway(event store.Event) bool {
	if !member.Concerns(event.Key) {
		return false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.reportUnreadable(v.gateways.Apply(v.now(), event))
	return true
}

// Lost is part of store.Consumer.
func (v *View) Lost(err error) {
	if v.storeLostSince.IsZero() {
		v.storeLostSince = v.now()
		v.logger.WithError(err).Warn("The store was lost; serving goes on with what is known.")
	}
	v.rosterMutex.Lock()
	v.roster.Outage(v.now())
	v.rosterMutex.Unlock()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.storeLostAt = v.now()
	v.gateways.Outage(v.storeLostAt)
}

// Current is part of store.Consumer.
func (v *View) Current(asOf time.Time) {
	if !v.storeLostSince.IsZero() {
		v.logger.WithField("after_ms", v.now().Sub(v.storeLostSince).Milliseconds()).Info("The store is back.")
		v.storeLostSince = time.Time{}
	}
	v.mutex.Lock()
	v.currentAt = v.now()
	v.configurationCheckedAt = v.currentAt
	v.gateways.Connected(v.currentAt)
	isListed, fleetIsNew := v.gateways.IsListed(), v.fleetIsNew
	v.mutex.Unlock()
	if isListed && !v.registrationSeenAt.IsZero() && !asOf.Before(v.registrationSeenAt) {
		v.listener.Confirmed(asOf, fleetIsNew)
	}
}

// applyWorker takes a change of the record of a worker, and tells whether it was one.
func (v *View) applyWorker(event store.Event) bool {
	id, isWorker := v.decoder.WorkerID(event.Key)
	if !isWorker {
		return false
	}
	worker := v.decodeWorker(event.Item)
	v.rosterMutex.Lock()
	defer v.rosterMutex.Unlock()
	switch {
	case event.Deleted:
		v.roster.Remove(v.now(), id)
	case worker != nil:
		v.roster.Put(v.now(), worker)
	default:
		v.roster.Drop(id)
	}
	return true
}

// WorkerLeaves takes the word of an incarnation of a worker that it leaves, ahead of its record, and tells whether that is news.
func (v *View) WorkerLeaves(id string) bool {
	v.rosterMutex.Lock()
	changed := v.roster.Leaves(v.now(), id)
	v.rosterMutex.Unlock()
	if changed {
		v.publishWorkers()
	}
	return changed
}

// workerOf decodes the record of a worker. It returns nil for other items and for records that can't be read.
func (v *View) decodeWorker(item store.Item) *backend.Worker {
	id, isWorker := v.decoder.WorkerID(item.Key)
	if !isWorker || len(item.Value) == 0 {
		return nil
	}
	worker, err := v.decoder.Worker(id, item.Value)
	v.reportUnreadable(err)
	return worker
}

// tellWorkers tells what has changed of the workers in use, now and whenever one fades out.
func (v *View) publishWorkers() {
	v.rosterMutex.Lock()
	defer v.rosterMutex.Unlock()
	now := v.now()
	changes, next := v.roster.Changes(now)
	if !next.IsZero() && !next.Equal(v.nextWorkerUpdate) {
		v.nextWorkerUpdate = next
		time.AfterFunc(next.Sub(now)+time.Millisecond, v.publishWorkers)
	}
	if !changes.Empty() {
		v.listener.WorkersChanged(changes)
	}
}

// Bounds of the lines about items that can't be read: anybody may write records, and each is read again with each list.
const (
	unreadableLogsPerSecond = 1
	unreadableLogBurst      = 20
)

// complain counts an item that can't be read, and logs it within bounds. The configuration stays as it was known; a record names no worker.
func (v *View) reportUnreadable(err error) {
	if err == nil {
		return
	}
	v.unreadable.Add(1)
	if v.unreadableLogLimiter.Allow() {
		v.logger.WithError(err).Error("An item of the store can't be read.")
	}
}

// Unreadable returns how many items could not be read so far, each time that they were told.
func (v *View) Unreadable() int64 { return v.unreadable.Load() }
