package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// TestOlderSeedsAreUnchanged guards against other schedules of the seeds that failed before.
func TestOlderSeedsAreUnchanged(t *testing.T) {
	for _, test := range []struct {
		gateways, workers, zones int
		want                     uint64
	}{
		{4, 10, 4, 0xce62cc088d2fe130},
		{6, 13, 3, 0x5fc13fedd721adc6},
	} {
		digest := fnv.New64a()
		for _, seed := range []uint64{1, 7, 1280, 1441, 3937, 5001, 6003, 6177, 7999, 8000, 8232, 9005, 9999, 10_016, 10_100, 11_001, 11_150, 11_999} {
			for number := range 20 {
				fmt.Fprintf(digest, "%d %d %v\n", seed, number, drawRound(seed, number, test.gateways, test.workers, test.zones))
			}
		}
		if got := digest.Sum64(); got != test.want {
			t.Errorf("digest of the rounds of %d gateways is %#x, want %#x", test.gateways, got, test.want)
		}
	}
	if has := featuresOf(firstChangeSeed - 1); has.changes || !featuresOf(firstChangeSeed).changes {
		t.Errorf("features of seed %d: %+v, of seed %d: %+v", firstChangeSeed-1, has, firstChangeSeed, featuresOf(firstChangeSeed))
	}
}

// TestChangesAreDrawn guards against a kind of change, signal or standstill that no seed draws, against rounds that differ when they are
// drawn again, and against times and durations out of range.
func TestChangesAreDrawn(t *testing.T) {
	const seeds, gateways, workers = 300, 4, 12
	kinds, beside := map[string]int{}, map[string]int{}
	large, storms, standstillsAtOnce, planned := 0, 0, 0, 0
	for seed := uint64(firstChangeSeed); seed < firstChangeSeed+seeds; seed++ {
		faults, areOnly := drawChanges(seed, 0, gateways, workers)
		again, _ := drawChanges(seed, 0, gateways, workers)
		if fmt.Sprint(faults, areOnly) != fmt.Sprint(again, areOnly) {
			t.Fatalf("seed %d: round differs when drawn again", seed)
		}
		changes, atOnce, isPlannedOnly := 0, map[time.Duration]int{}, len(faults) > 0
		for _, each := range faults {
			if each.At < 0 || each.At >= faultTime {
				t.Errorf("seed %d: %s at %s, outside of the fault time", seed, each.Fault, each.At)
			}
			kinds[fmt.Sprintf("%T", each.Fault)]++
			isPlannedOnly = isPlannedOnly && isPlanned(each.Fault)
			switch f := each.Fault.(type) {
			case GatewayFreeze:
				atOnce[each.At]++
				if f.Duration < 100*time.Millisecond || f.Duration > 3*time.Second {
					t.Errorf("seed %d: %s", seed, f)
				}
			case GatewayReload, GatewayStop, WorkerLimitNotice:
			case ExtraRoutes:
				changes++
				if f.Count == largeConfiguration {
					large++
				}
			default:
				changes++
			}
		}
		for kind := range distinctKinds(faults) {
			beside[kind]++
		}
		if changes > 10 {
			storms++
		}
		if len(atOnce) == 1 {
			for _, count := range atOnce {
				if count > 1 {
					standstillsAtOnce++
				}
			}
		}
		if isPlannedOnly {
			planned++
		}
	}
	if len(kinds) != 10 {
		t.Errorf("%d kinds of faults are drawn, want 10: %v", len(kinds), kinds)
	}
	for name, count := range map[string]int{"large configurations": large, "storms": storms, "rounds with several standstills at once": standstillsAtOnce, "rounds without standstills": planned} {
		if count < seeds/20 {
			t.Errorf("%d %s in %d seeds", count, name, seeds)
		}
	}
	for kind, count := range beside {
		if count < seeds/10 {
			t.Errorf("%s is drawn in %d of %d rounds", kind, count, seeds)
		}
	}
}

// distinctKinds returns the kinds of faults of a round.
func distinctKinds(faults []ScheduledFault) map[string]bool {
	kinds := map[string]bool{}
	for _, each := range faults {
		kinds[fmt.Sprintf("%T", each.Fault)] = true
	}
	return kinds
}

// TestStormsAreDense guards against storms whose changes are further apart or closer than meant.
func TestStormsAreDense(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	storms := 0
	for range 100 {
		times := drawChangeTimes(random)
		if len(times) < 10 {
			continue
		}
		storms++
		for i, at := range times[1:] {
			if gap := at - times[i]; gap < 100*time.Millisecond || gap > 300*time.Millisecond {
				t.Errorf("changes of a storm are %s apart", gap)
			}
		}
	}
	if storms == 0 {
		t.Error("no storm is drawn")
	}
}

// TestBoundCallersAreDrawn guards against clients that miss the bounds, or don't half-close their connections.
func TestBoundCallersAreDrawn(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[boundBehavior]int{}
	below, above := 0, 0
	for range 400 {
		behavior, share := drawBound(random)
		counts[behavior]++
		if share < 0.9 || share > 1.1 {
			t.Errorf("connection used after %.2f of the bound", share)
		}
		if share < 1 {
			below++
		} else {
			above++
		}
	}
	if counts[useAtIdleBound] < 150 || counts[useAtHeaderBound] < 60 || counts[halfClose] < 60 || below < 150 || above < 150 {
		t.Errorf("%v, %d below the bound, %d above", counts, below, above)
	}
}

// TestCallersKeyStaysValid guards against changes of tenants that reject the requests of the callers, or change nothing.
func TestCallersKeyStaysValid(t *testing.T) {
	seen := map[string]bool{}
	for number := range 10 {
		parts := initialParts()
		parts.tenants = TenantChange{3, number}
		config := fleet.Configuration{Routes: []fleet.Route{{Name: "once", Prefix: "/once/", Service: servicePlain}}}
		parts.extend(&config)
		valid := 0
		for name, keys := range config.Tenants {
			for _, key := range keys {
				if key == callersKey {
					valid++
					seen[name] = true
				}
			}
		}
		if valid != 1 {
			t.Errorf("change %d: the key belongs to %d tenants", number, valid)
		}
	}
	if len(seen) < 2 {
		t.Errorf("the key belongs to %v in all changes", seen)
	}
}
