package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// TestSeedsBeforeCrashingPartsAreUnchanged guards against other schedules of the seeds that change configurations and versions.
func TestSeedsBeforeCrashingPartsAreUnchanged(t *testing.T) {
	for _, test := range []struct {
		gateways, workers, zones int
		want                     uint64
	}{
		{4, 12, 4, 0x12e0e1cc2a58ef36},
		{6, 15, 3, 0xf6863e1cd131730b},
	} {
		digest := fnv.New64a()
		for _, seed := range []uint64{12_000, 12_017, 12_500, 12_999, 13_000, 13_001, 13_090, 13_130, 13_132, 13_999} {
			for number := range 20 {
				fmt.Fprintf(digest, "%d %d %v\n", seed, number, drawRound(seed, number, test.gateways, test.workers, test.zones))
			}
		}
		if got := digest.Sum64(); got != test.want {
			t.Errorf("digest of the rounds of %d gateways is %#x, want %#x", test.gateways, got, test.want)
		}
	}
}

// TestCrashingPartsAreDrawn guards against crashing parts with seeds that failed before, and against a place, a crash point or a fault beside
// them that no seed draws.
func TestCrashingPartsAreDrawn(t *testing.T) {
	const gateways, workers, zones = 4, 12, 4
	seen := map[string]bool{}
	for seed := uint64(firstPartSeed - 20); seed < firstPartSeed+100; seed++ {
		for number := range 10 {
			parts := 0
			for _, each := range drawRound(seed, number, gateways, workers, zones) {
				if each.At < 0 || each.At >= faultTime {
					t.Errorf("seed %d: %s at %s, outside of the fault time", seed, each.Fault, each.At)
				}
				if part, isPart := each.Fault.(CrashingPart); isPart {
					parts++
					seen[string(part.Place)] = true
				}
			}
			if parts > 1 || parts > 0 && seed < firstPartSeed {
				t.Errorf("seed %d has %d crashing parts in round %d", seed, parts, number)
			}
			if faults, areOnly := drawCrashingPart(seed, number, gateways, workers, zones); areOnly {
				for _, each := range faults {
					seen[fmt.Sprintf("%T", each.Fault)] = true
				}
			}
		}
		point := featuresOf(seed).partCrash
		seen[fmt.Sprint("crash point ", point)] = true
		if seed < firstPartSeed && point != fleet.CrashBeforeFirstEvent {
			t.Errorf("seed %d: crash point %d", seed, point)
		}
	}
	for _, want := range []string{
		string(PartFirst), string(PartMiddle), string(PartMiddleOfThree), "crash point 0", "crash point 1", "crash point 2",
		"soak.GatewayRestart", "soak.GatewayKill", "soak.GatewayStop", "soak.GatewayFreeze", "soak.PathFault", "soak.WorkerRestart", "soak.AllGatewaysKill",
	} {
		if !seen[want] {
			t.Errorf("no seed draws %s", want)
		}
	}
}

// TestPartsOfPrompts guards against requests with the crashing part in another place than that of the round, or without other parts.
func TestPartsOfPrompts(t *testing.T) {
	s := &system{}
	random := rand.New(rand.NewPCG(1, 1))
	for _, place := range []PartPlace{"", PartFirst, PartMiddle, PartMiddleOfThree} {
		part := &CrashingPart{Number: 1, Place: place, SharedPrefixes: 2, OneIn: 2}
		if place == "" {
			part = nil
		}
		s.crashingPart.Store(part)
		crashing := 0
		for number := range 400 {
			request := drawRequest(random, number, false)
			s.addParts(random, &request)
			if request.PartID == 0 {
				continue
			}
			crashing++
			parts := append([]string{request.Request.SharedPrefix}, request.Request.Parts...)
			at := map[PartPlace]int{PartFirst: 0, PartMiddle: 1, PartMiddleOfThree: 1}[place]
			length := map[PartPlace]int{PartFirst: 2, PartMiddle: 2, PartMiddleOfThree: 3}[place]
			if request.Kind != KindStream || len(parts) != length || parts[at] != fleet.CrashingPart(1) {
				t.Errorf("%s: %s with parts %v", place, request.Kind, parts)
			}
		}
		if (crashing == 0) != (part == nil) {
			t.Errorf("place %q: %d requests with the part", place, crashing)
		}
	}
}

// partHistoryOf returns a history of one crashing part, whose requests reached workers each 100 ms from a second on, beside sound streams.
// Gateway b takes half of them.
func partHistoryOf(crashes, late int, begun func(at time.Duration) bool) *History {
	h := &History{
		Gateways: []string{"a", "b"}, CollectedAt: timeAt(20 * time.Second),
		Spans: []Span{{Fault: CrashingPart{Number: 1, Place: PartMiddle, SharedPrefixes: 2, OneIn: 10}, Begun: timeAt(time.Second), Ended: timeAt(12 * time.Second)}},
	}
	add := func(r RequestRecord, id string, at time.Duration) {
		r.Request.ID, r.Gateway, r.Sent, r.Ended = id, h.Gateways[len(h.Requests)/2%2], timeAt(at), timeAt(at+50*time.Millisecond)
		h.Requests = append(h.Requests, r)
	}
	for i := range 120 {
		at := time.Duration(i) * 100 * time.Millisecond
		sound := answered("", KindStream, at)
		sound.Request.SharedPrefix = fmt.Sprintf("a%x", i%2)
		if !begun(at) {
			sound.Response = fleet.Response{Status: http.StatusServiceUnavailable}
		}
		add(sound, fmt.Sprint("sound-", i), at)
		other := sound
		other.Request.SharedPrefix, other.Response = "a7", fleet.Response{Status: http.StatusServiceUnavailable}
		if at > time.Second {
			add(other, fmt.Sprint("other-", i), at)
		}
	}
	for i := range crashes + late {
		at := time.Second + time.Duration(i)*100*time.Millisecond
		if i >= crashes {
			at = 9*time.Second + time.Duration(i)*100*time.Millisecond
		}
		id := fmt.Sprint("bad-", i)
		add(RequestRecord{Kind: KindStream, PartID: 1}, id, at)
		h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: id, At: timeAt(at)}, fleet.Arrival{ID: id, At: timeAt(at + time.Millisecond)})
		if i < crashes {
			h.Crashes = append(h.Crashes, fleet.Crash{ID: id, At: timeAt(at + 30*time.Millisecond)})
		}
	}
	return h
}

// TestChecksOfCrashingParts guards against checks that pass gateways which send a crashing part on, or that starve the requests beside it, and
// against checks that count what gateways could not know.
func TestChecksOfCrashingParts(t *testing.T) {
	always := func(time.Duration) bool { return true }
	beforeOnly := func(at time.Duration) bool { return at < 2*time.Second }
	overHalf := func(at time.Duration) bool { return at < 2*time.Second || at/(100*time.Millisecond)%5 < 3 }
	killed := func(gateway string, at time.Duration) ProcessExit {
		return ProcessExit{Gateway: gateway, At: timeAt(at), Expected: true, Killed: true}
	}
	span := func(fault Fault, from, until time.Duration) Span {
		return Span{Fault: fault, Begun: timeAt(from), Ended: timeAt(until)}
	}
	for _, test := range []struct {
		name          string
		crashes, late int
		begun         func(at time.Duration) bool
		exits         []ProcessExit
		spans         []Span
		want          []string
	}{
		{name: "barred after five", crashes: 5, late: 3, begun: always},
		{name: "one too many", crashes: 5, late: 4, begun: always, want: []string{"BUDGET"}},
		{name: "four crashes", crashes: 4, late: 20, begun: always},
		{name: "sound ones starve", crashes: 5, begun: beforeOnly, want: []string{"LOST"}},
		{name: "sound ones starve under four crashes", crashes: 4, begun: beforeOnly, want: []string{"LOST"}},
		{name: "over half of the sound ones", crashes: 5, begun: overHalf},
		{name: "all were killed before the bar", crashes: 5, late: 4, begun: always, exits: []ProcessExit{killed("a", 2*time.Second), killed("b", 2100*time.Millisecond)}},
		{name: "sound ones starve though all were killed", crashes: 5, begun: beforeOnly,
			exits: []ProcessExit{killed("a", 3*time.Second), killed("b", 3*time.Second)}, want: []string{"LOST"}},
		{name: "one was killed", crashes: 5, late: 4, begun: always, exits: []ProcessExit{killed("a", 2*time.Second)}, want: []string{"BUDGET"}},
		{name: "all were killed long after the bar", crashes: 5, late: 4, begun: always,
			exits: []ProcessExit{killed("a", 6*time.Second), killed("b", 6*time.Second)}, want: []string{"BUDGET"}},
		{name: "all were killed after the bar while the store failed", crashes: 5, late: 4, begun: always,
			exits: []ProcessExit{killed("a", 6*time.Second), killed("b", 6*time.Second)}, spans: []Span{span(StoreFault{StoreRefusing}, time.Second, 5*time.Second)}},
		{name: "one killed while the other stood still", crashes: 5, late: 4, begun: always,
			exits: []ProcessExit{killed("a", 2*time.Second)}, spans: []Span{span(GatewayFreeze{Gateway: 1}, time.Second, 3*time.Second)}},
		{name: "both out of touch until the end", crashes: 5, late: 8, begun: always, spans: []Span{
			span(GatewayFreeze{Gateway: 0}, time.Second, 9*time.Second), span(GatewayFreeze{Gateway: 1}, time.Second, 9*time.Second),
		}},
		{name: "in touch again", crashes: 5, late: 8, begun: always, spans: []Span{
			span(GatewayFreeze{Gateway: 0}, time.Second, 5*time.Second), span(GatewayFreeze{Gateway: 1}, time.Second, 5*time.Second),
		}, want: []string{"BUDGET"}},
	} {
		h := partHistoryOf(test.crashes, test.late, test.begun)
		h.Exits, h.Spans = test.exits, append(h.Spans, test.spans...)
		var rules []string
		for _, violation := range append(checkCrashingParts(h), checkSharedParts(h)...) {
			rules = append(rules, violation.Rule)
		}
		if !slices.Equal(rules, test.want) {
			t.Errorf("%s: %v, want %v; %s", test.name, rules, test.want, h.describeParts())
		}
	}
}
