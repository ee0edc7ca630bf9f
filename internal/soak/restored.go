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
type StoreRestored struct {
	// Age of the copy as the store goes away, and Away how long it is.
	Age, Away time.Duration
	// WriteAfter is after how long operators and workers write again what is lost.
	WriteAfter time.Duration
}

func (StoreRestored) isFault() {}

func (f StoreRestored) String() string {
	return fmt.Sprintf("the store is away for %s and comes back from a copy %s old", f.Away, f.Age)
}

const (
	// restoredStream is the stream of random numbers that decides about returns of the store.
	restoredStream = 1 << 35
	// copyEvery is how often the store is copied, and copiesKept how long copies are kept.
	copyEvery  = 250 * time.Millisecond
	copiesKept = 12 * time.Second
)

// returns draws the return of the store of a round: one round in two has one.
func returns(seed uint64, number int) []Timed {
	random := rand.New(rand.NewPCG(seed, restoredStream+uint64(number)))
	if seed < noticeSeeds || random.IntN(2) == 0 {
		return nil
	}
	return []Timed{{
		At: time.Duration(random.Int64N(int64(faultTime / 2))),
		Fault: StoreRestored{
			Age: time.Duration(1000+random.IntN(9000)) * time.Millisecond, Away: time.Duration(200+random.IntN(4800)) * time.Millisecond,
			WriteAfter: time.Duration(random.IntN(1000)) * time.Millisecond,
		},
	}}
}

// datedCopy is a copy of the store with its moment.
type datedCopy struct {
	at     time.Time
	copied fleet.Copy
}

// keepCopies copies the store until the context ends.
func (s *system) keepCopies(ctx context.Context) {
	ticker := time.NewTicker(copyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			copied := s.fleet.Store.Copy()
			s.mu.Lock()
			s.copies = append(s.copies, datedCopy{now, copied})
			s.copies = slices.DeleteFunc(s.copies, func(each datedCopy) bool { return now.Sub(each.at) > copiesKept })
			s.mu.Unlock()
		}
	}
}

// copyOf returns the latest copy that is so old, or the oldest there is.
func (s *system) copyOf(age time.Duration) fleet.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.copies) == 0 {
		return s.fleet.Store.Copy()
	}
	found := s.copies[0]
	for _, each := range s.copies {
		if time.Since(each.at) >= age {
			found = each
		}
	}
	return found.copied
}

// restore has the store go away and come back.
func (s *system) restore(f StoreRestored) {
	copied := s.copyOf(f.Age)
	s.fleet.Store.SetFault(fleet.FaultRefuse, 0)
	s.background.Go(func() {
		time.Sleep(f.Away)
		lost := s.fleet.Store.Restore(copied)
		s.fleet.Store.SetFault(fleet.FaultNone, 0)
		s.mu.Lock()
		s.copies = nil
		s.mu.Unlock()
		time.Sleep(f.WriteAfter)
		s.fleet.Store.WriteAgain(lost...)
	})
}
