package member

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/store"
)

// leaseStore is a store that records registrations and leases.
type leaseStore struct {
	store.Store
	mutex   sync.Mutex
	granted int64
	lastTTL time.Duration
	expired bool
	puts    []store.Put
}

// ttl returns the duration of the last granted lease.
func (l *leaseStore) ttl() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lastTTL
}

func (l *leaseStore) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.granted++
	l.lastTTL = ttl
	l.expired = false
	return store.Lease{ID: l.granted, TTL: time.Second}, nil
}

func (l *leaseStore) KeepAlive(context.Context, int64) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.expired {
		return store.ErrLeaseExpired
	}
	return nil
}

func (l *leaseStore) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.puts = append(l.puts, transaction.Puts...)
	return store.Revision(len(l.puts)), nil
}

// last returns the last registration, its lease and the number of writes.
func (l *leaseStore) last() (Gateway, int64, int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var gateway Gateway
	if len(l.puts) == 0 {
		return gateway, 0, 0
	}
	put := l.puts[len(l.puts)-1]
	_ = json.Unmarshal(put.Value, &gateway)
	return gateway, put.Lease, len(l.puts)
}

// TestRegistrationLifecycle guards against a gateway that stays unregistered after its lease expired, or that does not
// announce that it leaves.
func TestRegistrationLifecycle(t *testing.T) {
	settings := DefaultRegistrationSettings()
	settings.Interval = 5 * time.Millisecond
	leases := &leaseStore{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	leased := make(chan int64, 1000)
	registration := NewRegistration(settings, leases, Gateway{Name: "a"}, logger, func() {},
		func(_ time.Time, lease int64, _ time.Duration) { leased <- lease })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		registration.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	eventually := func(what string, condition func(gateway Gateway, lease int64, puts int) bool) {
		t.Helper()
		for range 300 {
			if condition(leases.last()) {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("timed out waiting for: %s", what)
	}
	eventually("registered", func(gateway Gateway, lease int64, puts int) bool {
		return gateway.Name == "a" && lease == 1 && puts == 1
	})
	if <-leased != 1 {
		t.Error("onLease was called with another lease than 1")
	}
	leases.mutex.Lock()
	leases.expired = true
	leases.mutex.Unlock()
	eventually("registered with a new lease", func(_ Gateway, lease int64, _ int) bool { return lease == 2 })
	registration.Rewrite()
	eventually("registered again", func(_ Gateway, _ int64, puts int) bool { return puts == 3 })
	registration.Leave()
	eventually("left", func(gateway Gateway, _ int64, _ int) bool { return gateway.Leaving })
}

// TestLeaseDurationDependsOnRole guards against entries with long leases, whose loss is detected late.
func TestLeaseDurationDependsOnRole(t *testing.T) {
	settings := DefaultRegistrationSettings()
	leases := &leaseStore{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ttls := make(chan time.Duration, 100)
	registration := NewRegistration(settings, leases, Gateway{Name: "a"}, logger, func() {},
		func(_ time.Time, _ int64, _ time.Duration) { ttls <- leases.ttl() })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		registration.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for i, want := range []time.Duration{settings.TTL * settings.StandbyFactor, settings.TTL, settings.TTL * settings.StandbyFactor} {
		registration.SetEntry(i%2 == 1)
		select {
		case got := <-ttls:
			if got != want {
				t.Fatalf("change %d: lease duration %s, want %s", i, got, want)
			}
		case <-time.After(3 * time.Second):
			t.Fatalf("change %d: no lease was granted", i)
		}
	}
	if _, lease, _ := leases.last(); lease == 0 {
		t.Error("the registration has no lease")
	}
}
