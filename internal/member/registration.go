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

// RegistrationSettings of a registration.
type RegistrationSettings struct {
	// TTL of the lease of a gateway that takes requests.
	TTL time.Duration
	// Interval between two renewals.
	Interval time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	// Pause after a failed call.
	RetryPause time.Duration
	// CalmFactor is by how much all but the time of a call is longer for a gateway that stands by, whose loss nobody waits for.
	StandbyFactor time.Duration
}

// DefaultRegistrationSettings take a dead gateway off the list after three seconds.
func DefaultRegistrationSettings() RegistrationSettings {
	return RegistrationSettings{
		TTL:           3 * time.Second,
		Interval:      time.Second,
		CallTimeout:   1200 * time.Millisecond,
		RetryPause:    250 * time.Millisecond,
		StandbyFactor: 5,
	}
}

// Registration keeps the own gateway on the list of live gateways.
type Registration struct {
	settings RegistrationSettings
	store    store.Store
	own      Gateway
	logger   logrus.FieldLogger
	// onTrouble is called when the store can't be reached.
	onFailure func()
	// onLease is told of each lease that was granted or renewed, with the moment at which the call began by the clock that counts sleep.
	onLease func(started time.Time, lease int64, ttl time.Duration)
	rewrite chan struct{}
	leave   chan struct{}
	// brief is set for a gateway that takes requests.
	isEntry atomic.Bool
	// lease is that of the registration; 0 is none. It runs for ttl.
	lease int64
	ttl   time.Duration
}

// NewRegistration returns a registration that does nothing before Run.
func NewRegistration(
	settings RegistrationSettings, store store.Store, own Gateway, logger logrus.FieldLogger,
	onFailure func(), onLease func(started time.Time, lease int64, ttl time.Duration),
) *Registration {
	return &Registration{
		settings: settings, store: store, own: own, logger: logger, onFailure: onFailure, onLease: onLease,
		rewrite: make(chan struct{}, 1), leave: make(chan struct{}, 1),
	}
}

// Key under which the gateway registers.
func (r *Registration) Key() string { return KeyPrefix + r.own.Name }

// Again registers anew, for example because the registration was seen to be gone.
func (r *Registration) Again() { signal(r.rewrite) }

// SetBrief tells whether the others have to notice soon when this gateway is gone, because it takes requests. It begins as one
// that nobody waits for.
func (r *Registration) SetBrief(isEntry bool) {
	if r.isEntry.Swap(isEntry) != isEntry {
		r.Again()
	}
}

// stretch returns a time of the settings as the role of the gateway has it.
func (r *Registration) scaleForRole(duration time.Duration) time.Duration {
	if r.isEntry.Load() {
		return duration
	}
	return duration * r.settings.StandbyFactor
}

// Leave tells the other gateways that this one gets no new callers.
func (r *Registration) Leave() { signal(r.leave) }

// Run registers and renews until the context ends.
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

// logChange tells that the registration began to fail, or that it stands again.
func (r *Registration) logTransition(err error) {
	if err != nil {
		r.logger.WithError(err).Warn("The registration can't be renewed.")
		return
	}
	r.logger.Info("The registration stands again.")
}

// step renews the registration, or makes it when there is none.
func (r *Registration) step(ctx context.Context, registered bool) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	started := boottime.Now()
	if r.ttl != r.scaleForRole(r.settings.TTL) {
		// The old lease runs out with nothing that goes with it.
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

// put writes the registration. It is the only writer of its key, so that it needs no condition and may be repeated.
func (r *Registration) write(ctx context.Context) error {
	value, err := json.Marshal(r.own)
	if err != nil {
		return errors.Wrap(err, "step write the registration")
	}
	_, err = r.store.Commit(ctx, store.Transaction{Puts: []store.Put{{Key: r.Key(), Value: value, Lease: r.lease}}})
	if errors.Is(err, store.ErrLeaseExpired) {
		r.lease = 0
	}
	return err
}

// wait returns after a pause, or at once with true when the registration is to be written anew.
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

// notify fills a channel of one place.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
