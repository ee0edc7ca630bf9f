package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// TestRefusalsAreDrawn guards against refusals with seeds that failed before, and against a way to refuse or a fault beside it that no seed draws.
func TestRefusalsAreDrawn(t *testing.T) {
	const gateways, workers, zones = 4, 12, 4
	seen := map[string]bool{}
	for seed := uint64(firstRefusalSeed - 20); seed < firstRefusalSeed+100; seed++ {
		for number := range 10 {
			count := 0
			faults := drawRound(seed, number, gateways, workers, zones)
			for _, each := range faults {
				if each.At < 0 || each.At >= faultTime {
					t.Errorf("seed %d: %s at %s, outside of the fault time", seed, each.Fault, each.At)
				}
				if refusals, ok := each.Fault.(WorkerRefusals); ok {
					count++
					seen[refusals.Refusals.String()] = true
					seen[fmt.Sprint("rests ", refusals.Rest > 0)] = true
				}
			}
			if count > 1 || count > 0 && seed < firstRefusalSeed {
				t.Errorf("seed %d has %d kinds of refusals in round %d", seed, count, number)
			}
			for _, each := range faults {
				if count > 0 {
					seen[fmt.Sprintf("%T", each.Fault)] = true
				}
			}
		}
	}
	for _, want := range []string{
		fleet.RefusesOnce.String(), fleet.RefusesTwice.String(), fleet.RefusesUnnamed.String(), fleet.RefusesUnnamedTwice.String(), "rests true", "rests false",
		"soak.GatewayRestart", "soak.GatewayStop", "soak.GatewayFreeze", "soak.WorkerRestart", "soak.WorkerNetworkFault", "soak.CrashingPart", "soak.StoreFault",
	} {
		if !seen[want] {
			t.Errorf("no seed draws %s", want)
		}
	}
}

// TestRequestsAtRiskAreCounted guards against a soak that passes without requests that could have run twice.
func TestRequestsAtRiskAreCounted(t *testing.T) {
	request := func(id string, kind Kind) RequestRecord {
		return RequestRecord{Request: fleet.Request{ID: id}, Kind: kind}
	}
	h := &History{
		Requests: []RequestRecord{
			request("served", KindNonIdempotent), request("refused", KindNonIdempotent), request("again", KindNonIdempotent), request("repeatable", KindIdempotent),
		},
		Arrivals: []fleet.Arrival{{ID: "served"}, {ID: "refused"}, {ID: "again"}, {ID: "again"}, {ID: "repeatable"}, {ID: "repeatable"}, {ID: "refused", Reading: true}},
		Refusals: map[string]int{"refused": 1, "again": 1, "repeatable": 1},
	}
	if got, want := h.describeRefusals(), "3 requests had to run once: 2 of them were refused by a worker, and 1 of these were sent again"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	made := 0
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		repeatable, stream := request("r", KindIdempotent), request("s", KindStream)
		makeRunOnce(random, &repeatable)
		makeRunOnce(random, &stream)
		if repeatable.Kind == KindNonIdempotent {
			made++
			if !strings.HasPrefix(repeatable.Request.Path, "/once/") {
				t.Errorf("got path %q", repeatable.Request.Path)
			}
		}
		if stream.Kind != KindStream {
			t.Error("a stream was made to run once")
		}
	}
	if made < 30 || made > 70 {
		t.Errorf("%d of 100 requests were made to run once", made)
	}
}
