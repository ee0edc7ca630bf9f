package member

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/store"
)

// RegistrationSettings configures a Registration. The times are those of an entry; see StandbyFactor.
type RegistrationSettings struct {
	// TTL is the duration of the lease.
	TTL time.Duration
	// Interval is the time between renewals.
	Interval time.Duration
	// CallTimeout bounds a call to the store.
	CallTimeout time.Duration
	// RetryPause is the pause after a failed call.
	RetryPause time.Duration
	// StandbyFactor extends all times but CallTimeout for standby gateways, whose loss need not be noticed soon. It is a plain factor, not a
	// time; its type is time.Duration only because the times are multiplied by it.
	StandbyFactor time.Duration
}

// DefaultRegistrationSettings returns settings that remove a dead entry from the list after three seconds.
func DefaultRegistrationSettings() RegistrationSettings {
	return RegistrationSettings{
		TTL:           3 * time.Second,
		Interval:      time.Second,
		CallTimeout:   1200 * time.Millisecond,
		RetryPause:    250 * time.Millisecond,
		StandbyFactor: 5,
	}
}

// Registration keeps this gateway registered in the store.
type Registration struct {
	settings RegistrationSettings
	store    store.Store
	own      Gateway
	logger   logrus.FieldLogger
	// onFailure is called after each attempt that failed.
	onFailure func()
	// onLease is called with each lease that was granted or renewed, and the time by boottime at which the call began.
	onLease func(started time.Time, lease int64, ttl time.Duration)
	// rewrite and leave signal Run to write the registration again, or to write it as leaving.
	rewrite chan struct{}
	leave   chan struct{}
	// isEntry is set while the gateway is an entry.
	isEntry atomic.Bool
	// lease is the ID of the lease of the registration; 0 if none. Its duration is ttl.
	lease int64
	ttl   time.Duration
}

// NewRegistration returns a registration that is idle until Run is called.
func NewRegistration(
	settings RegistrationSettings, store store.Store, own Gateway, logger logrus.FieldLogger,
	onFailure func(), onLease func(started time.Time, lease int64, ttl time.Duration),
) *Registration {
	return &Registration{
		settings: settings, store: store, own: own, logger: logger, onFailure: onFailure, onLease: onLease,
		rewrite: make(chan struct{}, 1), leave: make(chan struct{}, 1),
	}
}

// Key returns the key of the registration.
func (r *Registration) Key() string { return KeyPrefix + r.own.Name }

// Rewrite makes Run write the registration again, for example because it is missing in the store.
func (r *Registration) Rewrite() { signal(r.rewrite) }

// SetEntry sets whether the gateway is an entry, whose loss the others must detect soon. Initially it is not.
func (r *Registration) SetEntry(isEntry bool) {
	if r.isEntry.Swap(isEntry) != isEntry {
		r.Rewrite()
	}
}

// scaleForRole returns the duration adjusted to the role of the gateway.
func (r *Registration) scaleForRole(duration time.Duration) time.Duration {
	if r.isEntry.Load() {
		return duration
	}
	return duration * r.settings.StandbyFactor
}

// Leave marks the registration as leaving, so that the gateway gets no new callers.
func (r *Registration) Leave() { signal(r.leave) }

// Run registers the gateway and renews its lease until the context ends.
func (r *Registration) Run(ctx context.Context) {
	registered, failing := false, false
	for ctx.Err() == nil {
		err := r.step(ctx, registered)
		registered = err == nil
		pause := r.scaleForRole(r.settings.Interval)
		if err != nil {
			pause = r.scaleForRole(r.settings.RetryPause)
			r.onFailure()
		}
		if failed := err != nil; failed != failing {
			failing = failed
			r.logTransition(err)
		}
		if r.wait(ctx, pause) {
			registered = false
		}
	}
}

// logTransition logs that renewals began to fail, or succeed again.
func (r *Registration) logTransition(err error) {
	if err != nil {
		r.logger.WithError(err).WithField("key", r.Key()).Warn("Failed to renew the registration.")
		return
	}
	r.logger.WithField("key", r.Key()).Info("The registration is renewed again.")
}

// step renews the lease, and writes the registration if needed.
func (r *Registration) step(ctx context.Context, registered bool) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	started := boottime.Now()
	if r.ttl != r.scaleForRole(r.settings.TTL) {
		// Writing the registration with a new lease detaches it from the old one, which then expires without items.
		r.lease, registered = 0, false
	}
	if r.lease != 0 {
		err := r.store.KeepAlive(ctx, r.lease)
		if errors.Is(err, store.ErrLeaseExpired) {
			r.lease = 0
			registered = false
		} else if err != nil {
			return err
		} else {
			r.onLease(started, r.lease, r.ttl)
		}
	}
	if r.lease == 0 {
		ttl := r.scaleForRole(r.settings.TTL)
		lease, err := r.store.Grant(ctx, ttl)
		if err != nil {
			return err
		}
		r.lease, r.ttl = lease.ID, ttl
		r.onLease(started, lease.ID, lease.TTL)
	}
	if registered {
		return nil
	}
	return r.write(ctx)
}

// write writes the registration. This process is the only writer of the key, so the write needs no condition and may be
// repeated.
func (r *Registration) write(ctx context.Context) error {
	value, err := json.Marshal(r.own)
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	_, err = r.store.Commit(ctx, store.Transaction{Puts: []store.Put{{Key: r.Key(), Value: value, Lease: r.lease}}})
	if errors.Is(err, store.ErrLeaseExpired) {
		r.lease = 0
	}
	return err
}

// wait waits for a pause, or returns true early if the registration must be written again.
func (r *Registration) wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.leave:
		r.own.Leaving = true
		return true
	case <-r.rewrite:
		return true
	case <-timer.C:
		return false
	}
}

// signal sends to a channel with a buffer of one unless it is full.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
