package soak

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// versionedTry returns a try of stream s1 whose events have the given versions. Resumptions are numbered from one.
func versionedTry(resumption int, versions ...string) RequestRecord {
	r := answered("s1", KindStream, time.Duration(resumption)*time.Second)
	if resumption > 0 {
		r.Request.ID, r.Stream, r.Resumption = fmt.Sprint("s1-resumed-", resumption), "s1", resumption
	}
	r.Response.Versions = versions
	return r
}

// TestCheckVersions guards against a check that misses events of two versions in one answer or over the tries of a client, or that takes the events
// of several streams for those of one.
func TestCheckVersions(t *testing.T) {
	other := versionedTry(0, "b", "b")
	other.Request.ID = "s2"
	for _, test := range []struct {
		desc  string
		tries []RequestRecord
		want  int
	}{
		{"one version", []RequestRecord{versionedTry(0, "a", "a"), versionedTry(1, "a"), versionedTry(2, "a")}, 0},
		{"two within an answer", []RequestRecord{versionedTry(0, "a", "b")}, 1},
		{"two over the tries", []RequestRecord{versionedTry(0, "a"), versionedTry(1, "b")}, 1},
		{"another one in the second resumption", []RequestRecord{versionedTry(0, "a"), versionedTry(1), versionedTry(2, "b")}, 1},
		{"the first version again", []RequestRecord{versionedTry(0, "a"), versionedTry(1, "b"), versionedTry(2, "a")}, 1},
		{"tries that were recorded in another order", []RequestRecord{versionedTry(1, "b"), versionedTry(0, "a")}, 1},
		{"two streams", []RequestRecord{versionedTry(0, "a"), other}, 0},
		{"a refused resumption", []RequestRecord{versionedTry(0, "a"), versionedTry(1)}, 0},
		{"unsigned events", []RequestRecord{versionedTry(0), versionedTry(1)}, 0},
	} {
		if found := checkVersions(&History{Requests: test.tries}); len(found) != test.want || len(found) > 0 && found[0].Subject != "s1" {
			t.Errorf("%s: %v", test.desc, found)
		}
	}
}

// TestCheckResumptions guards against a check that passes gateways which refuse most resumptions, that blames them for those which no gateway could
// have continued, or that asks more of them than of new streams.
func TestCheckResumptions(t *testing.T) {
	const gateway = "g1"
	refused := fleet.Response{Status: http.StatusServiceUnavailable}
	// requests returns a history of new streams and resumptions, of which the first ones have begun.
	requests := func(newStreams, begun, resumptions, wentOn int) *History {
		h := &History{Gateways: []string{gateway}}
		add := func(resumption, number int, hasBegun bool) {
			r := answered(fmt.Sprintf("s%d-%d", number, resumption), KindStream, 10*time.Second+time.Duration(number)*time.Millisecond)
			r.Gateway, r.Resumption, r.ServingEngines = gateway, resumption, 2
			if !hasBegun {
				r.Response = refused
			}
			h.Requests = append(h.Requests, r)
		}
		for number := range newStreams {
			add(0, number, number < begun)
		}
		for number := range resumptions {
			add(1, number, number < wentOn)
		}
		return h
	}
	change := func(h *History, edit func(r *RequestRecord)) *History {
		for i := range h.Requests {
			if h.Requests[i].Resumption > 0 {
				edit(&h.Requests[i])
			}
		}
		return h
	}
	withFault := func(h *History, fault Fault) *History {
		h.Spans = []Span{{Fault: fault, Begun: timeAt(0), Ended: timeAt(20 * time.Second)}}
		return h
	}
	startedAt := func(h *History, at time.Duration) *History {
		h.Starts = []ProcessStart{{Gateway: gateway, At: timeAt(0)}, {Gateway: gateway, At: timeAt(at)}}
		return h
	}
	for _, test := range []struct {
		desc    string
		history *History
		want    int
	}{
		{"most go on", requests(100, 100, 20, 19), 0},
		{"half go on", requests(100, 100, 20, 10), 0},
		{"under half go on", requests(100, 100, 20, 9), 1},
		{"under half of the share of new streams", requests(100, 50, 20, 4), 1},
		{"half of the share of new streams", requests(100, 50, 20, 5), 0},
		{"just enough of them", requests(100, 100, 12, 5), 1},
		{"too few of them", requests(100, 100, 11, 0), 0},
		{"one engine of the version", change(requests(100, 100, 20, 0), func(r *RequestRecord) { r.ServingEngines = 1 }), 0},
		{"failures instead of refusals", change(requests(100, 100, 20, 0), func(r *RequestRecord) { r.Response = fleet.Response{Err: context.DeadlineExceeded} }), 1},
		{"no connection", change(requests(100, 100, 20, 0), func(r *RequestRecord) { r.Response = fleet.Response{Err: fleet.ErrNotConnected} }), 0},
		{"clients that left without an event", change(requests(100, 100, 20, 0), func(r *RequestRecord) { r.AbandonedAt = r.Ended }), 0},
		{"clients that left with an event count as gone on", change(requests(100, 100, 20, 20), func(r *RequestRecord) {
			r.Response.Err, r.AbandonedAt = fleet.ErrAborted, r.Ended
		}), 0},
		{"a gateway that was just started", startedAt(requests(100, 100, 20, 0), 9*time.Second), 0},
		{"a gateway that was started before", startedAt(requests(100, 100, 20, 0), 7*time.Second-time.Millisecond), 1},
		{"a gateway that was started later", startedAt(requests(100, 100, 20, 0), 15*time.Second), 1},
		{"a gateway that stands still", withFault(requests(100, 100, 20, 0), GatewayPause{[]int{0}}), 0},
		{"another gateway that stands still", withFault(requests(100, 100, 20, 0), GatewayPause{[]int{1}}), 1},
		{"a gateway that is cut off from workers", withFault(requests(100, 100, 20, 0), PathFault{Gateways: []int{0}}), 0},
		{"a fault that separates nobody", withFault(requests(100, 100, 20, 0), WorkerUpgrade{}), 1},
	} {
		found := checkResumptions(test.history)
		if len(found) != test.want {
			t.Errorf("%s: %v, %s", test.desc, found, test.history.resumptionTotals())
		}
	}
	if got := requests(10, 10, 5, 2).resumptionTotals(); got.wentOn != 2 || got.refused != 3 || got.failed != 0 {
		t.Errorf("totals: %s", got)
	}
}

// TestOnlyNewSeedsChangeVersions guards against other schedules and other workers of the seeds that failed before.
func TestOnlyNewSeedsChangeVersions(t *testing.T) {
	kinds := func(seed uint64) map[string]bool {
		found := map[string]bool{}
		for number := range 40 {
			for _, each := range drawRound(seed, number, 4, 12, 4) {
				found[fmt.Sprintf("%T", each.Fault)] = true
				if each.At < 0 || each.At >= faultTime {
					t.Errorf("fault at %s, outside of the fault time", each.At)
				}
			}
		}
		return found
	}
	for _, kind := range []string{"soak.WorkerUpgrade", "soak.WorkerRestart"} {
		if kinds(firstVersionSeed - 1)[kind] || !kinds(firstVersionSeed)[kind] {
			t.Errorf("%s with seed %d: %t, with seed %d: %t", kind, firstVersionSeed-1, kinds(firstVersionSeed - 1)[kind], firstVersionSeed, kinds(firstVersionSeed)[kind])
		}
	}
	if featuresOf(firstVersionSeed-1).versions != nil || featuresOf(firstVersionSeed).versions == nil {
		t.Errorf("versions with seed %d: %t, with seed %d: %t", firstVersionSeed-1, featuresOf(firstVersionSeed-1).versions != nil,
			firstVersionSeed, featuresOf(firstVersionSeed).versions != nil)
	}
}

// TestResumptionOf guards against resumptions that name another try than the one that brought the first event, or expect events again.
func TestResumptionOf(t *testing.T) {
	first := answered("r1", KindStream, 0)
	first.Request.AbortAfter = 2
	for try := 1; try <= maxResumptions; try++ {
		next := resumptionOf(&first, try, fmt.Sprint(streamEvents-try))
		id := fmt.Sprint("r1-resumed-", try)
		want := ""
		for number := streamEvents - try + 1; number <= streamEvents; number++ {
			want += fleet.Event(id, number)
		}
		if next.Request.ID != id || next.Request.Resumes != "r1" || next.Request.AbortAfter != 0 || next.WantBody != want || next.stream() != "r1" {
			t.Errorf("resumption %d: %+v", try, next)
		}
	}
}

// TestNoticesBindOneIncarnation guards against a check that takes a worker which was started again under its ID for the one that announced that
// it leaves, and against one that lets requests to the latter pass.
func TestNoticesBindOneIncarnation(t *testing.T) {
	const gateway = "g1"
	before, late := answered("r1", KindStream, 0), answered("r2", KindStream, time.Minute)
	before.Gateway, late.Gateway = gateway, gateway
	h := &History{
		Requests: []RequestRecord{before, late},
		Runs:     map[string][]fleet.Run{"r1": {{Worker: "w"}}},
		Notices:  []fleet.Notice{{ID: "r1", Worker: "w", Born: 1, Leaving: true, At: before.Sent}},
	}
	for born, want := range map[int64]int{1: 1, 2: 0} {
		h.Arrivals = []fleet.Arrival{{ID: "r2", Worker: "w", Born: born, At: late.Sent}}
		if found := checkLeavingNotices(h); len(found) != want {
			t.Errorf("incarnation %d: %v", born, found)
		}
	}
}

// TestLateNoticesAreNotDelivered guards against a check that takes a notice for delivered which the worker sent only after another worker's
// response had ended the request.
func TestLateNoticesAreNotDelivered(t *testing.T) {
	const gateway = "g1"
	cut, late := answered("r1", KindIdempotent, 0), answered("r2", KindIdempotent, time.Minute)
	cut.Gateway, late.Gateway = gateway, gateway
	h := &History{
		Requests: []RequestRecord{cut, late},
		Runs:     map[string][]fleet.Run{"r1": {{Worker: "other"}, {Worker: "w"}}},
		Arrivals: []fleet.Arrival{{ID: "r2", Worker: "w", At: late.Sent}},
	}
	for at, want := range map[time.Time]int{cut.Ended.Add(-time.Millisecond): 1, cut.Ended.Add(time.Millisecond): 0} {
		h.Notices = []fleet.Notice{{ID: "r1", Worker: "w", Leaving: true, At: at}}
		if found := checkLeavingNotices(h); len(found) != want {
			t.Errorf("notice %s after the response: %v, want %d", at.Sub(cut.Ended), found, want)
		}
	}
}
