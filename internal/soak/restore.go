package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// StoreRestored has the store be away for a time and come back from an older copy.
type StoreRestore struct {
	// Age of the copy as the store goes away, and Away how long it is.
	SnapshotAge, Outage time.Duration
	// WriteAfter is after how long operators and workers write again what is lost.
	RewriteDelay time.Duration
}

func (StoreRestore) isFault() {}

func (f StoreRestore) String() string {
	return fmt.Sprintf("the store is away for %s and comes back from a copy %s old", f.Outage, f.SnapshotAge)
}

const (
	// restoredStream is the stream of random numbers that decides about returns of the store.
	restoredStream = 1 << 35
	// copyEvery is how often the store is copied, and copiesKept how long copies are kept.
	snapshotInterval  = 250 * time.Millisecond
	snapshotRetention = 12 * time.Second
)

// returns draws the return of the store of a round: one round in two has one.
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

// datedCopy is a copy of the store with its moment.
type timedSnapshot struct {
	at       time.Time
	snapshot fleet.Copy
}

// keepCopies copies the store until the context ends.
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

// copyOf returns the latest copy that is so old, or the oldest there is.
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

// restore has the store go away and come back.
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
