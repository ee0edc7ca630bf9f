// Package cluster maintains a gateway's view of the system from the items of the store: the configuration, the workers
// and the other gateways.
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

// Decoder decodes the items that operators and workers write.
type Decoder interface {
	// IsConfiguration reports whether a key holds the configuration.
	IsConfiguration(key string) bool
	// Configuration decodes the configuration.
	Configuration(value []byte) (*routing.Configuration, error)
	// WorkerID returns the ID of the worker whose record has the key, or false for other keys.
	WorkerID(key string) (string, bool)
	// Worker decodes a worker record.
	Worker(id string, value []byte) (*backend.Worker, error)
}

// Listener is notified of changes, one at a time. Its methods must not call WorkerLeaving.
type Listener interface {
	// ConfigurationChanged passes a validated configuration.
	ConfigurationChanged(configuration *routing.Configuration)
	// WorkersChanged passes the workers that were added, updated or removed.
	WorkersChanged(changes backend.Changes)
	// GatewaysChanged reports that the list of gateways changed.
	GatewaysChanged()
	// ControllerChanged passes the controller key; nil if it is absent.
	ControllerChanged(key *store.Item)
	// UsageLedgerChanged passes the usage ledger.
	UsageLedgerChanged(value []byte)
	// BarsListed passes all stored bars of package poison, and BarChanged a change of one.
	BarsListed(items []store.Item)
	BarChanged(event store.Event)
	// Unregistered reports that the store does not hold the registration of this gateway, which it held before. It may be
	// called repeatedly.
	Unregistered()
	// StoreRestored reports that the store was restored from a backup, with its new era. Its items are passed next.
	StoreRestored(era int64)
	// Registered reports that the registration of this gateway was seen for the first time or with a new revision.
	Registered()
	// RegistrationConfirmed reports that the store held the registration of this gateway at the given time of boottime, and
	// that all changes of the gateways up to that time were passed. The fleet is new if there had never been a controller
	// when the store was first listed.
	RegistrationConfirmed(at time.Time, fleetIsNew bool)
}

// View is a store.Consumer that derives the configuration, the workers and the gateways from the items. The methods of store.Consumer must be called from a single
// goroutine; the others are safe for concurrent use.
type View struct {
	decoder  Decoder
	listener Listener
	ownKey   string
	logger   logrus.FieldLogger
	// invalidLogLimiter limits the log lines about invalid items, and invalidItems counts these.
	invalidLogLimiter *rate.Limiter
	invalidItems      atomic.Int64
	// now returns the time, including periods in which the machine was suspended.
	now func() time.Time

	// baseConfiguration holds the routes and services, and labelConfiguration the groups and label rules; nil until
	// received.
	baseConfiguration  *routing.Configuration
	labelConfiguration *routing.Configuration
	// wasRegistered is set once the registration of this gateway was seen. Until then it may still be pending and must not
	// be reported as missing.
	wasRegistered bool
	// registrationSeenAt is when the registration of this gateway was first seen at registrationRevision; zero while it is
	// absent. The store may have held another registration, or none, before that time.
	registrationSeenAt   time.Time
	registrationRevision store.Revision
	// outageStartedAt is when the store became unavailable; zero while it is available.
	outageStartedAt time.Time

	// rosterMutex protects roster, the notifications of its changes and nextWorkerUpdate, when a worker without a
	// record expires next.
	rosterMutex      sync.Mutex
	roster           *backend.Roster
	nextWorkerUpdate time.Time

	mutex    sync.Mutex
	gateways *member.List
	// listedAt is when the store was first listed, and fleetIsNew is set if there had never been a controller by then.
	listedAt   time.Time
	fleetIsNew bool
	// lastFailureAt is when a call to the store last failed or the store was last restored, initially the time of the start.
	lastFailureAt time.Time
	// asOf is the latest time passed to UpToDate: all changes up to then are known. It is zero while unknown.
	asOf time.Time
	// unreadable holds the revisions of configurations that can't be read, by key, until a later one can.
	unreadable map[string]store.Revision
	document   configuration.Document
}

// NewView returns an empty view.
func NewView(
	decoder Decoder, listener Listener, gateways *member.List, roster *backend.Roster, ownKey string, logger logrus.FieldLogger,
) *View {
	return &View{
		decoder: decoder, listener: listener, ownKey: ownKey, logger: logger, now: boottime.Now, roster: roster, gateways: gateways,
		lastFailureAt: boottime.Now(), invalidLogLimiter: rate.NewLimiter(invalidLogsPerSecond, invalidLogBurst),
		unreadable: map[string]store.Revision{},
	}
}

// Reset implements store.Consumer.
func (v *View) Reset(items []store.Item) {
	registered, revision := false, store.Revision(0)
	var workers []*backend.Worker
	var bars []store.Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, poison.BarPrefix) {
			bars = append(bars, item)
		}
		if item.Key == v.ownKey {
			registered, revision = true, item.Revision
		}
		if worker := v.decodeWorker(item); worker != nil {
			workers = append(workers, worker)
		}
		if item.Key == usage.Key {
			v.listener.UsageLedgerChanged(item.Value)
		}
	}
	v.listener.BarsListed(bars)
	v.mutex.Lock()
	if v.listedAt.IsZero() {
		v.listedAt = v.now()
		v.fleetIsNew = !slices.ContainsFunc(items, func(item store.Item) bool { return item.Key == roles.ControllerHistoryKey })
	}
	v.reportInvalid(v.gateways.Reset(v.now(), items))
	v.mutex.Unlock()
	v.rosterMutex.Lock()
	v.roster.Reset(v.now(), workers)
	v.rosterMutex.Unlock()
	// The first configuration makes the process ready, so the workers must be known before.
	v.publishWorkers()
	v.dropUnreadable(items)
	for _, item := range items {
		v.applyConfiguration(item)
	}
	v.listener.GatewaysChanged()
	v.publishController(items)
	v.updateRegistration(registered, revision)
}

// Restored implements store.Consumer. Workers and gateways that registered after the backup was made may be missing
// from the store although they are running, and will write their records again.
func (v *View) Restored(era int64) {
	now := v.now()
	v.rosterMutex.Lock()
	v.roster.Restored(now)
	v.rosterMutex.Unlock()
	v.mutex.Lock()
	v.lastFailureAt = now
	v.gateways.Restored(now)
	v.mutex.Unlock()
	v.listener.StoreRestored(era)
}

// updateRegistration records whether the registration of this gateway is present and its revision, and notifies the
// listener.
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

// publishController passes the controller key to the listener.
func (v *View) publishController(items []store.Item) {
	for _, item := range items {
		if item.Key == roles.ControllerKey {
			v.listener.ControllerChanged(&item)
			return
		}
	}
	v.listener.ControllerChanged(nil)
}

// Apply implements store.Consumer.
func (v *View) Apply(events []store.Event) {
	workersChanged, gatewaysChanged := false, false
	for _, event := range events {
		workersChanged = v.applyWorker(event) || workersChanged
		if event.Deleted {
			v.setReadable(event.Item, true)
		} else {
			v.applyConfiguration(event.Item)
		}
		if strings.HasPrefix(event.Key, poison.BarPrefix) {
			v.listener.BarChanged(event)
		}
		if event.Key == roles.ControllerKey {
			v.listener.ControllerChanged(presentItem(event))
		}
		if event.Key == usage.Key && !event.Deleted {
			v.listener.UsageLedgerChanged(event.Value)
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

// presentItem returns the item of an event, or nil if it was deleted.
func presentItem(event store.Event) *store.Item {
	if event.Deleted {
		return nil
	}
	return &event.Item
}

// applyGateway applies an event to the list of gateways and reports whether the event concerns that list.
func (v *View) applyGateway(event store.Event) bool {
	if !member.IsListKey(event.Key) {
		return false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.reportInvalid(v.gateways.Apply(v.now(), event))
	return true
}

// StoreUnavailable implements store.Consumer.
func (v *View) StoreUnavailable(err error) {
	if v.outageStartedAt.IsZero() {
		v.outageStartedAt = v.now()
		v.logger.WithError(err).Warn("The store is unavailable; continuing with the known state.")
	}
	v.rosterMutex.Lock()
	v.roster.Outage(v.now())
	v.rosterMutex.Unlock()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.lastFailureAt = v.now()
	v.gateways.Outage(v.lastFailureAt)
}

// UpToDate implements store.Consumer.
func (v *View) UpToDate(asOf time.Time) {
	if !v.outageStartedAt.IsZero() {
		v.logger.WithField("after_ms", v.now().Sub(v.outageStartedAt).Milliseconds()).Info("The store is available again.")
		v.outageStartedAt = time.Time{}
	}
	v.mutex.Lock()
	if asOf.After(v.asOf) {
		v.asOf = asOf
	}
	v.gateways.StoreAnswered(v.now())
	isListed, fleetIsNew := v.gateways.IsListed(), v.fleetIsNew
	v.mutex.Unlock()
	if isListed && !v.registrationSeenAt.IsZero() && !asOf.Before(v.registrationSeenAt) {
		v.listener.RegistrationConfirmed(asOf, fleetIsNew)
	}
}

// applyWorker applies an event to the roster of workers and reports whether the event is of a worker record.
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
		v.roster.Invalidate(id)
	}
	return true
}

// WorkerLeaving records that a worker incarnation announced its shutdown before its record shows it, and reports whether
// that is new.
func (v *View) WorkerLeaving(id string) bool {
	v.rosterMutex.Lock()
	changed := v.roster.AnnounceLeaving(v.now(), id)
	v.rosterMutex.Unlock()
	if changed {
		v.publishWorkers()
	}
	return changed
}

// decodeWorker decodes a worker record. It returns nil for other items and for invalid records.
func (v *View) decodeWorker(item store.Item) *backend.Worker {
	id, isWorker := v.decoder.WorkerID(item.Key)
	if !isWorker || len(item.Value) == 0 {
		return nil
	}
	worker, err := v.decoder.Worker(id, item.Value)
	v.reportInvalid(err)
	return worker
}

// publishWorkers passes changes of the usable workers to the listener, now and when a worker without a record expires.
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

// Limits on log lines about invalid items. Many processes write records, and each list reads them all again.
const (
	invalidLogsPerSecond = 1
	invalidLogBurst      = 20
)

// reportInvalid counts an invalid item and logs it, rate-limited. An invalid configuration leaves the previous one
// in place; an invalid record yields no worker.
func (v *View) reportInvalid(err error) {
	if err == nil {
		return
	}
	v.invalidItems.Add(1)
	if v.invalidLogLimiter.Allow() {
		v.logger.WithError(err).Error("An item in the store is invalid.")
	}
}

// Unreadable returns how often an invalid item was received.
func (v *View) Unreadable() int64 { return v.invalidItems.Load() }
