package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// StoreRestore makes the store unavailable for a time and then restores it from an older snapshot.
type StoreRestore struct {
	// SnapshotAge is the age of the snapshot at the start of the outage, and Outage its duration.
	SnapshotAge, Outage time.Duration
	// RewriteDelay is how long after the restore operators and workers write their lost items again.
	RewriteDelay time.Duration
}

func (StoreRestore) isFault() {}

func (f StoreRestore) String() string {
	return fmt.Sprintf("the store is away for %s and comes back from a copy %s old", f.Outage, f.SnapshotAge)
}

const (
	// restoredStream is the random stream of store restores.
	restoredStream = 1 << 35
	// snapshotInterval is the interval of the snapshots, and snapshotRetention how long they are kept.
	snapshotInterval  = 250 * time.Millisecond
	snapshotRetention = 12 * time.Second
)

// drawRestore returns the store restore of a round. Half of the rounds have one.
func drawRestore(seed uint64, number int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, restoredStream+uint64(number)))
	if seed < firstNoticeSeed || random.IntN(2) == 0 {
		return nil
	}
	return []ScheduledFault{{
		At: time.Duration(random.Int64N(int64(faultTime / 2))),
		Fault: StoreRestore{
			SnapshotAge: time.Duration(1000+random.IntN(9000)) * time.Millisecond, Outage: time.Duration(200+random.IntN(4800)) * time.Millisecond,
			RewriteDelay: time.Duration(random.IntN(1000)) * time.Millisecond,
		},
	}}
}

// timedSnapshot is a snapshot of the store and its time.
type timedSnapshot struct {
	at       time.Time
	snapshot fleet.Copy
}

// takeSnapshots takes snapshots of the store until the context ends.
func (s *system) takeSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			snapshot := s.fleet.Store.Copy()
			s.mu.Lock()
			s.snapshots = append(s.snapshots, timedSnapshot{now, snapshot})
			s.snapshots = slices.DeleteFunc(s.snapshots, func(each timedSnapshot) bool { return now.Sub(each.at) > snapshotRetention })
			s.mu.Unlock()
		}
	}
}

// snapshotOfAge returns the latest snapshot of at least an age, or the oldest one.
func (s *system) snapshotOfAge(age time.Duration) fleet.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.snapshots) == 0 {
		return s.fleet.Store.Copy()
	}
	found := s.snapshots[0]
	for _, each := range s.snapshots {
		if time.Since(each.at) >= age {
			found = each
		}
	}
	return found.snapshot
}

// restoreStore simulates an outage of the store and its restore from a snapshot.
func (s *system) restoreStore(f StoreRestore) {
	snapshot := s.snapshotOfAge(f.SnapshotAge)
	s.fleet.Store.SetFault(fleet.FaultRefuse, 0)
	s.background.Go(func() {
		time.Sleep(f.Outage)
		lost := s.fleet.Store.Restore(snapshot)
		s.fleet.Store.SetFault(fleet.FaultNone, 0)
		s.mu.Lock()
		s.snapshots = nil
		s.mu.Unlock()
		time.Sleep(f.RewriteDelay)
		s.fleet.Store.WriteAgain(lost...)
	})
}
