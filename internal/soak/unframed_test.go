package soak

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// TestSeedsBeforeUnframedResponsesAreUnchanged guards against other schedules of the seeds with crashing parts, refusals and planned stops.
func TestSeedsBeforeUnframedResponsesAreUnchanged(t *testing.T) {
	for _, test := range []struct {
		gateways, workers, zones int
		want                     uint64
	}{
		{4, 12, 4, 0xe535599e68cc4b2f},
		{6, 15, 3, 0xe386d371b5a5e194},
	} {
		digest := fnv.New64a()
		for _, seed := range []uint64{14_000, 14_021, 14_301, 14_999, 15_000, 15_103, 15_404, 15_999, 16_000, 16_003, 16_206, 16_999} {
			for number := range 20 {
				fmt.Fprintf(digest, "%d %d %v\n", seed, number, drawRound(seed, number, test.gateways, test.workers, test.zones))
			}
		}
		if got := digest.Sum64(); got != test.want {
			t.Errorf("digest of the rounds of %d gateways is %#x, want %#x", test.gateways, got, test.want)
		}
	}
}

// TestUnframedResponsesAreDrawn guards against unframed responses with seeds that failed before, and against a group of workers, a way to end
// them or a fault beside them that no seed draws.
func TestUnframedResponsesAreDrawn(t *testing.T) {
	const gateways, workers, zones = 4, 12, 4
	seen := map[string]bool{}
	for seed := uint64(firstUnframedSeed - 20); seed < firstUnframedSeed+100; seed++ {
		seen[fmt.Sprint("lookups ", lookupsOf(seed))] = true
		if steady := featuresOf(seed).steady; steady != (seed >= firstUnframedSeed) {
			t.Errorf("seed %d: steady is %t", seed, steady)
		}
		for number := range 10 {
			crashes, areOnly := drawUnframed(seed, number, zones)
			if seed < firstUnframedSeed && len(crashes) > 0 {
				t.Errorf("seed %d has %v", seed, crashes)
			}
			if len(crashes) == 0 {
				continue
			}
			seen[fmt.Sprintf("%T only %t", crashes[0].Fault, areOnly)] = true
			kinds := map[string]bool{}
			for _, each := range drawRound(seed, number, gateways, workers, zones) {
				kinds[fmt.Sprintf("%T", each.Fault)] = true
				f, isCrashes := each.Fault.(WorkerCrashes)
				if !isCrashes {
					continue
				}
				seen["of "+f.Service] = true
				seen[fmt.Sprint("at once ", f.Interval == 0)] = true
				apart := f.Interval >= minCrashGap && f.Interval < maxCrashGap
				if each.At < firstCrashes || each.At >= faultTime || f.Interval != 0 && !apart || f.Down < minCrashDown || f.Rack >= zones {
					t.Errorf("seed %d: %s at %s", seed, f, each.At)
				}
			}
			if kinds["soak.UnframedResponses"] && kinds["soak.WorkerRestart"] {
				t.Errorf("seed %d: responses without a length beside restarts in round %d", seed, number)
			}
			maps.Copy(seen, kinds)
		}
	}
	for _, want := range []string{
		"soak.UnframedResponses only true", "soak.UnframedResponses only false", "soak.WorkerCrashes only true", "soak.WorkerCrashes only false",
		"lookups 1", "lookups 2", "of ", "of " + servicePlain, "of " + serviceEngine, "at once true", "at once false", "soak.GatewayStop", "soak.CrashingPart", "soak.WorkerRefusals",
	} {
		if !seen[want] {
			t.Errorf("no seed draws %s", want)
		}
	}
}

// TestCutUnframedResponsesBreakRules guards against checks that can't see a response without a length that was cut: here no gateway is between the
// caller and a worker that is killed.
func TestCutUnframedResponsesBreakRules(t *testing.T) {
	for _, test := range []struct {
		name    string
		request RequestRecord
		options fleet.WorkerOptions
		cut     bool
		want    []string
	}{
		{"whole lookup", lookupRequest(0, 0), fleet.WorkerOptions{}, false, nil},
		{"cut lookup", lookupRequest(0, 0), fleet.WorkerOptions{}, true, []string{"MIXED"}},
		{"whole stream", steadyStream(0), fleet.WorkerOptions{Stage: "decode", Events: streamEvents}, false, nil},
		{"cut stream", steadyStream(0), fleet.WorkerOptions{Stage: "decode", Events: streamEvents}, true, []string{"ORDER"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.options.ID, test.options.Service, test.options.Slots, test.options.Unframed = "w", servicePlain, 1, true
			worker, err := fleet.NewFleet().Start(test.options)
			if err != nil {
				t.Fatal(err)
			}
			defer worker.Stop(true)
			if test.cut {
				// Both halves of a lookup come at the end of its work, and the events of a stream throughout.
				killed := time.AfterFunc(fleet.LongWork+40*time.Millisecond, func() { worker.Kill() })
				if test.request.Kind == KindStream {
					killed.Reset(fleet.LongWork / 2)
				}
				defer killed.Stop()
			}
			test.request.Response = fleet.NewCaller(false).Do(t.Context(), worker.Address(), test.request.Request)
			h := &History{Requests: []RequestRecord{test.request}}
			var rules []string
			for _, violation := range checkResponses(h) {
				rules = append(rules, violation.Rule)
			}
			if test.request.Response.Err != nil || !slices.Equal(rules, test.want) {
				t.Errorf("got %v for %+v, want %v", rules, test.request.Response, test.want)
			}
		})
	}
}

// TestDeniedLookupsAreCounted guards against a report that hides refused lookups or copies that ran at workers as they crashed, and against a check
// that passes one refused lookup.
func TestDeniedLookupsAreCounted(t *testing.T) {
	h := &History{
		CollectedAt: timeAt(10 * time.Second),
		Spans: []Span{
			{Fault: WorkerCrashes{Service: servicePlain}, Begun: timeAt(time.Second), Ended: timeAt(2 * time.Second)},
			{Fault: GatewayStop{}, Begun: timeAt(8 * time.Second), Ended: timeAt(9 * time.Second)},
		},
		Cuts: map[string]int{"lookup0-0": 1, "r9": 1},
	}
	add := func(request RequestRecord, status int, sent time.Duration) {
		request.Sent, request.Response = timeAt(sent), fleet.Response{Status: status, Body: request.WantBody}
		h.Requests = append(h.Requests, request)
	}
	add(lookupRequest(0, 0), 200, 0)
	add(lookupRequest(0, 1), 422, 3*time.Second)
	add(lookupRequest(0, 2), 422, 6*time.Second)
	add(lookupRequest(0, 3), 503, 7*time.Second)
	add(lookupRequest(0, 4), 503, 9*time.Second)
	add(steadyStream(0), 200, 0)
	cut := answered("r9", KindIdempotent, 0)
	cut.Response.Body = cut.Response.Body[:3]
	h.Requests = append(h.Requests, cut)
	h.Crashes = []fleet.Crash{{Worker: "w1", At: timeAt(time.Second)}, {Worker: "w2", At: timeAt(time.Second)}, {Worker: "w1", ID: "r", At: timeAt(time.Second)}}
	h.Work = []fleet.Work{
		{ID: "lookup0-1", Worker: "w1", Begun: timeAt(500 * time.Millisecond), Ended: timeAt(1100 * time.Millisecond)},
		{ID: "lookup0-1", Worker: "w2", Begun: timeAt(500 * time.Millisecond), Ended: timeAt(900 * time.Millisecond)},
	}
	want := "crashes of workers cut responses of 2 requests that look whole, of which 1 were taken for whole; lookups ran at 1 of 2 workers that crashed; of 5 lookups 1 were served and 2 got 422, of which 1 later than 3s after all workers were back; the last 503 of a lookup came [5s] after that"
	if got := h.describeUnframed(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if found := checkFalseBlocks(h); len(found) != 2 || found[0].Rule != "DENIED" {
		t.Errorf("got %v", found)
	}
}
