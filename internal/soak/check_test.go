package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// historyStart is the start of all histories.
var historyStart = time.Unix(1_700_000_000, 0)

// timeAt returns a time in a history.
func timeAt(after time.Duration) time.Time { return historyStart.Add(after) }

// answered returns a request with a correct response, sent at a time.
func answered(id string, kind Kind, sent time.Duration) RequestRecord {
	want := fleet.PlainAnswer(id, []byte("b"))
	if kind == KindStream {
		want = fleet.StreamAnswer(id, 3)
	}
	return RequestRecord{
		Request: fleet.Request{ID: id}, Kind: kind, Sent: timeAt(sent), Ended: timeAt(sent + 100*time.Millisecond), WantBody: want,
		Response: fleet.Response{Status: http.StatusOK, Signature: "s", Body: want},
	}
}

// abandoned returns a stream whose client disconnected shortly after sending it.
func abandoned(id string, sent time.Duration) RequestRecord {
	r := answered(id, KindStream, sent)
	r.Response = fleet.Response{Err: context.Canceled}
	r.AbandonedAt = r.Ended
	return r
}

// run returns a run of a request.
func run(worker string, begun time.Duration) fleet.Run {
	return fleet.Run{Worker: worker, Begun: timeAt(begun)}
}

// TestChecks guards against checks that miss a violation of their rule, report that of another one, or report permitted behavior.
func TestChecks(t *testing.T) {
	broken := errors.New("EOF")
	tests := []struct {
		rule string
		desc string
		// violate changes a correct history so that the rule is violated; allow then adds what makes it permitted.
		violate func(h *History)
		allow   func(h *History)
	}{
		{"TWICE", "non-idempotent request runs twice",
			func(h *History) { h.Runs["r1"] = []fleet.Run{run("w1", 0), run("w2", time.Second)} },
			func(h *History) { h.Requests[0].Kind = KindIdempotent }},
		{"TWICE", "request goes on elsewhere while its first worker works",
			func(h *History) {
				h.Requests[0].Kind = KindIdempotent
				h.Runs["r1"] = []fleet.Run{run("w1", 0), run("w2", time.Second)}
				h.Work = []fleet.Work{{ID: "r1", Worker: "w1", Begun: timeAt(0), Ended: timeAt(time.Second + maxSecondRun + time.Millisecond)}}
			},
			func(h *History) { h.Work[0].Ended = timeAt(time.Second + maxSecondRun) }},
		{"TWICE", "request goes on elsewhere while its first worker works, which is cut off",
			func(h *History) {
				h.Requests[0].Kind = KindIdempotent
				h.Runs["r1"] = []fleet.Run{run("w1", 0), run("w2", time.Second), run("w1", 2*time.Second)}
				h.Work = []fleet.Work{
					{ID: "r1", Worker: "w1", Begun: timeAt(0), Ended: timeAt(5 * time.Second)}, {ID: "r1", Worker: "w1", Begun: timeAt(2 * time.Second), Ended: timeAt(9 * time.Second)},
				}
			},
			func(h *History) {
				h.Spans = []Span{{Fault: WorkerNetworkFault{Worker: 1}, Begun: timeAt(0), Ended: timeAt(time.Second)}}
			}},
		{"REFUSED", "refused request runs",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Status: http.StatusServiceUnavailable}
				h.Runs["r1"] = []fleet.Run{run("w1", 0)}
			},
			func(h *History) { h.Runs["r1"] = nil }},
		{"MIXED", "response to another request",
			func(h *History) { h.Requests[0].Response.Body = "answer to r9" },
			func(h *History) { h.Requests[0].Response.Status = http.StatusBadGateway }},
		{"MIXED", "response without a signature",
			func(h *History) { h.Requests[0].Response.Signature = "" },
			func(h *History) { h.Requests[0].Response.Status = http.StatusBadGateway }},
		{"ORDER", "stream ends normally but is incomplete",
			func(h *History) { h.Requests[1].Response.Body = fleet.StreamAnswer("r2", 2) },
			func(h *History) {
				h.Requests[1].Response.Err = broken
				h.Spans = []Span{{Fault: GatewayKill{}, Begun: timeAt(0)}}
			}},
		{"ORDER", "stream with a duplicate event",
			func(h *History) {
				h.Requests[1].Response = fleet.Response{Status: http.StatusOK, Body: fleet.Event("r2", 1) + fleet.Event("r2", 1), Err: broken}
				h.Spans = []Span{{Fault: GatewayKill{}, Begun: timeAt(0)}}
			},
			func(h *History) { h.Requests[1].Response.Body = fleet.Event("r2", 1) + fleet.Event("r2", 2) }},
		{"LOST", "connection lost during a planned operation",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: broken}
				h.Spans = []Span{{Fault: GatewayStop{}, Begun: timeAt(0)}}
			},
			func(h *History) { h.Spans = append(h.Spans, Span{Fault: GatewayPause{}, Begun: timeAt(0)}) }},
		{"LOST", "connection closed after the request reached a worker, during faults",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: broken}
				h.Requests[0].Gateway = "g1"
				h.Arrivals = []fleet.Arrival{{ID: "r1", At: timeAt(10 * time.Millisecond)}}
				h.Spans = []Span{{Fault: GatewayPause{}, Begun: timeAt(0)}}
			},
			func(h *History) {
				h.Exits = []ProcessExit{{Gateway: "g1", At: timeAt(50 * time.Millisecond), Expected: true, Killed: true}}
			}},
		{"LOST", "connection closed after the prefill request reached a worker",
			func(h *History) {
				h.Requests[1].Response = fleet.Response{Err: broken}
				h.Arrivals = []fleet.Arrival{{ID: "r2", Reading: true, At: timeAt(10 * time.Millisecond)}}
				h.Spans = []Span{{Fault: GatewayKill{}, Begun: timeAt(0)}}
			},
			func(h *History) { h.Requests[1].Response.Err = context.DeadlineExceeded }},
		{"LOST", "connection closed, but not by a client that dropped a silenced one",
			func(h *History) {
				h.Requests[1].Response = fleet.Response{Err: broken}
				h.Arrivals = []fleet.Arrival{{ID: "r2", At: timeAt(10 * time.Millisecond)}}
				h.Spans = []Span{{Fault: SilentConnections{}, Begun: timeAt(0)}}
			},
			func(h *History) { h.Requests[1].Response.Err = errClosedByCaller }},
		{"LOST", "request that no worker got, but the gateway had read whole, during a standstill",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: broken, ReadByGateway: true}
				h.Requests[0].Gateway = "g1"
				h.Spans = []Span{{Fault: GatewayFreeze{}, Begun: timeAt(0)}}
			},
			func(h *History) { h.Requests[0].Response.ReadByGateway = false }},
		{"LOST", "request that a planned exit cut, beside a standstill",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: broken, ReadByGateway: true}
				h.Requests[0].Gateway = "g1"
				h.Spans = []Span{{Fault: GatewayFreeze{}, Begun: timeAt(0)}, {Fault: GatewayStop{}, Begun: timeAt(0)}}
				h.Exits = []ProcessExit{{Gateway: "g1", At: timeAt(50 * time.Millisecond), Expected: true}}
			},
			func(h *History) { h.Exits[0].Killed = true }},
		{"LOST", "half-closed client without a response during a standstill",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: broken, ReadByGateway: true}
				h.Requests[0].HalfClosedAt = timeAt(10 * time.Millisecond)
				h.Spans = []Span{{Fault: GatewayFreeze{}, Begun: timeAt(0)}}
			},
			func(h *History) { h.Requests[0].Response = fleet.Response{Status: http.StatusBadGateway} }},
		{"LOST", "half-closed client without a response, with planned operations only",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: broken}
				h.Requests[0].HalfClosedAt = timeAt(10 * time.Millisecond)
			},
			func(h *History) { h.Requests[0].Response = fleet.Response{Status: http.StatusBadGateway} }},
		{"LOST", "stream that breaks off, but not of a client that half-closed its connection",
			func(h *History) {
				h.Requests[1].Response = fleet.Response{Status: http.StatusOK, Body: fleet.Event("r2", 1), Err: broken}
				h.Requests[1].Request.Deadline = time.Second
			},
			func(h *History) { h.Requests[1].HalfClosedAt = timeAt(10 * time.Millisecond) }},
		{"ORDER", "stream of a half-closed client that ends normally but is incomplete",
			func(h *History) {
				h.Requests[1].Response.Body = fleet.StreamAnswer("r2", 2)
				h.Requests[1].HalfClosedAt = timeAt(10 * time.Millisecond)
			},
			func(h *History) { h.Requests[1].Response.Err = broken }},
		{"LOST", "request at a bound that the gateway had read whole",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: broken, ReadByGateway: true}
				h.Requests[0].AtBound = true
			},
			func(h *History) { h.Requests[0].Response.ReadByGateway = false }},
		{"LOST", "request at a bound that reached a worker",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: broken}
				h.Requests[0].AtBound = true
				h.Arrivals = []fleet.Arrival{{ID: "r1", At: timeAt(10 * time.Millisecond)}}
			},
			func(h *History) { h.Arrivals = nil }},
		{"LOST", "request that hangs, at a bound or not",
			func(h *History) {
				h.Requests[0].Response = fleet.Response{Err: context.DeadlineExceeded}
				h.Requests[0].AtBound = true
			},
			func(h *History) { h.Requests[0].Response.Err = broken }},
		{"LOST", "request that no bound was near",
			func(h *History) { h.Requests[0].Response = fleet.Response{Err: broken} },
			func(h *History) { h.Requests[0].AtBound = true }},
		{"RECOVER", "no service for clients at a bound",
			func(h *History) {
				h.QuietPeriods = []Span{{Begun: timeAt(0), Ended: timeAt(time.Second)}}
				for i := range 40 {
					r := answered(fmt.Sprint("more-", i), KindIdempotent, time.Millisecond)
					r.AtBound = true
					r.Response = fleet.Response{Status: http.StatusServiceUnavailable}
					h.Requests = append(h.Requests, r)
				}
			},
			func(h *History) {
				for i := range h.Requests[2:] {
					h.Requests[2+i].Response = fleet.Response{Err: broken}
				}
				for i := range 40 {
					h.Requests = append(h.Requests, answered(fmt.Sprint("served-", i), KindIdempotent, time.Millisecond))
				}
			}},
		{"GONE", "workers process requests long after their clients half-closed the connection",
			func(h *History) {
				for i := range 4 * (maxLateWork + 1) {
					r := answered(fmt.Sprint("half-", i), KindStream, 0)
					r.LongRunning, r.HalfClosedAt = true, r.Ended
					h.Requests = append(h.Requests, r)
					h.Work = append(h.Work, fleet.Work{ID: r.Request.ID, Begun: timeAt(0), Ended: r.Ended.Add(abandonGrace + time.Millisecond)})
				}
			},
			func(h *History) { h.Spans = []Span{{Fault: GatewayPause{}, Begun: timeAt(0)}} }},
		{"BUDGET", "retries at the second service of a split",
			func(h *History) {
				for i := range retrySlack + 3 {
					h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: "r1", Service: serviceSplit, At: timeAt(time.Duration(i) * time.Millisecond)})
				}
				for i := range 30 {
					h.Requests = append(h.Requests, answered(fmt.Sprint("more-", i), KindIdempotent, 0))
				}
			},
			func(h *History) {
				for i := range 30 {
					h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: fmt.Sprint("more-", i), Service: serviceSplit, At: timeAt(0)})
				}
			}},
		{"LOST", "stream aborted during a planned operation",
			func(h *History) {
				h.Requests[1].Response = fleet.Response{Status: http.StatusOK, Body: fleet.Event("r2", 1), Err: broken}
				h.Requests[1].Request.Deadline = time.Second
				h.Spans = []Span{{Fault: GatewayStop{}, Begun: timeAt(0)}}
			},
			func(h *History) { h.Requests[1].Ended = h.Requests[1].Sent.Add(time.Second) }},
		{"Fault", "unexpected exit of a gateway",
			func(h *History) { h.Exits = []ProcessExit{{Gateway: "g1", At: timeAt(0), Err: broken}} },
			func(h *History) { h.Exits[0].Expected = true }},
		{"GONE", "requests reach workers long after their clients disconnected",
			func(h *History) {
				for i := range maxLateArrivals + 1 {
					r := abandoned(fmt.Sprint("gone-", i), time.Duration(i)*time.Millisecond)
					h.Requests = append(h.Requests, r)
					h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: r.Request.ID, At: r.AbandonedAt.Add(abandonGrace + time.Millisecond)})
				}
			},
			func(h *History) { h.Arrivals[0].At = timeAt(0) }},
		{"GONE", "workers process requests long after their clients disconnected",
			func(h *History) {
				h.CollectedAt = timeAt(time.Hour)
				for i := range 4 * (maxLateWork + 1) {
					r := abandoned(fmt.Sprint("gone-", i), 0)
					r.LongRunning = true
					h.Requests = append(h.Requests, r)
					work := fleet.Work{ID: r.Request.ID, Begun: timeAt(0), Ended: r.AbandonedAt}
					switch i % 3 {
					case 0:
						work.Ended = r.AbandonedAt.Add(abandonGrace + time.Millisecond)
					case 1:
						work.Ended = time.Time{}
					}
					h.Work = append(h.Work, work)
				}
			},
			func(h *History) { h.Spans = []Span{{Fault: GatewayPause{}, Begun: timeAt(0)}} }},
		{"BUDGET", "repeated prefill of a prompt",
			func(h *History) {
				h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: "r2", Service: serviceEngine, At: timeAt(0)})
				for i := range retrySlack + 3 {
					h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: "r2", Service: serviceEngine, Reading: true, At: timeAt(time.Duration(i) * time.Millisecond)})
				}
			},
			func(h *History) {
				for i := range 30 {
					h.Requests = append(h.Requests, answered(fmt.Sprint("more-", i), KindStream, 0))
				}
			}},
		{"BUDGET", "retries of all gateways in a window that overlaps two fixed windows",
			func(h *History) {
				for i := range 2 * retrySlack {
					id := fmt.Sprint("r", i)
					first := fleet.Arrival{ID: id, Service: servicePlain, At: timeAt(0)}
					again := fleet.Arrival{ID: id, Service: servicePlain, At: timeAt(retryWindow - 3*time.Second + time.Duration(i)*30*time.Millisecond)}
					h.Arrivals = append(h.Arrivals, first, again)
				}
			},
			func(h *History) {
				for i := range h.Arrivals {
					if i%4 == 1 {
						h.Arrivals[i].At = h.Arrivals[i].At.Add(2 * retryWindow)
					}
				}
			}},
		{"DRAIN", "run on a worker after its drain time",
			func(h *History) {
				h.Departures = []Departure{{Worker: "w1", At: timeAt(0)}}
				h.Runs["r1"] = []fleet.Run{run("w1", drainTime+time.Millisecond)}
			},
			func(h *History) { h.Spans = []Span{{Fault: StoreCompaction{}, Begun: timeAt(0)}} }},
		{"DRAIN", "request to a worker after its leaving notice",
			func(h *History) {
				h.Gateways = []string{"g"}
				h.Requests[0].Gateway = "g"
				h.Runs["r1"] = []fleet.Run{run("w1", 0)}
				h.Notices = []fleet.Notice{{ID: "r1", Worker: "w1", Leaving: true, At: timeAt(0)}}
				late := answered("r9", KindIdempotent, drainTime+time.Second)
				late.Gateway = "g"
				h.Requests = append(h.Requests, late)
				h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: "r9", Worker: "w1", At: timeAt(drainTime + time.Second)})
			},
			func(h *History) {
				h.Spans = []Span{{Fault: GatewayFreeze{Gateway: 0}, Begun: timeAt(time.Second), Ended: timeAt(2 * time.Second)}}
			}},
		{"BUDGET", "requests to a worker within its Retry-After time",
			func(h *History) {
				h.Gateways = []string{"g"}
				h.Requests[0].Gateway = "g"
				h.Notices = []fleet.Notice{{ID: "r1", Worker: "w1", Rest: 2 * time.Second, At: timeAt(0)}}
				for i := range 3 {
					more := answered(fmt.Sprint("rest-", i), KindIdempotent, time.Second)
					more.Gateway = "g"
					h.Requests = append(h.Requests, more)
					h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: more.Request.ID, Worker: "w1", At: timeAt(time.Second)})
				}
			},
			func(h *History) {
				h.Exits = []ProcessExit{{Gateway: "g", At: timeAt(500 * time.Millisecond), Expected: true}}
			}},
		{"LIMIT", "more requests than the limit of a worker",
			func(h *History) {
				h.Gateways = []string{"g"}
				h.Requests[0].Gateway = "g"
				h.Limits = []fleet.LimitChange{{Worker: "w1", PerSecond: 0.4, At: timeAt(0)}}
				h.Notices = []fleet.Notice{{ID: "r1", Worker: "w1", Limit: 0.4, At: timeAt(0)}}
				for i := range 8 {
					more := answered(fmt.Sprint("limit-", i), KindIdempotent, 4*time.Second)
					more.Gateway = "g"
					h.Requests = append(h.Requests, more)
					h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: more.Request.ID, Worker: "w1", At: timeAt(4 * time.Second)})
				}
				h.CollectedAt = timeAt(time.Minute)
			},
			func(h *History) { h.Limits[0].PerSecond, h.Notices[0].Limit = 2, 2 }},
		{"ONE", "two holders share a fence",
			func(h *History) {
				h.Orders = []fleet.AcceptedOrder{{Holder: "a", Fence: 7}, {Holder: "b", Fence: 7, At: timeAt(time.Hour)}}
			},
			func(h *History) { h.Orders[1].Fence = 8 }},
		{"ONE", "decreasing fence",
			func(h *History) {
				h.Orders = []fleet.AcceptedOrder{{Holder: "a", Fence: 7}, {Holder: "b", Fence: 6, At: timeAt(time.Hour)}}
			},
			func(h *History) { h.Orders[1].Fence = 8 }},
		{"ONE", "orders of two holders within a lease",
			func(h *History) {
				h.Orders = []fleet.AcceptedOrder{{Holder: "a", Fence: 7, At: timeAt(0)}, {Holder: "b", Fence: 8, At: timeAt(leaseTTL - 1)}}
			},
			func(h *History) { h.Orders[1].At = timeAt(leaseTTL) }},
		{"BUDGET", "more retries than allowed",
			func(h *History) {
				for i := range retrySlack + 5 {
					h.Arrivals = append(h.Arrivals, fleet.Arrival{ID: "r1", Service: servicePlain, At: timeAt(time.Duration(i) * time.Millisecond)})
				}
			},
			func(h *History) {
				for i := range 30 {
					h.Requests = append(h.Requests, answered(fmt.Sprint("more-", i), KindIdempotent, 0))
				}
			}},
		{"CONFIG", "configuration takes effect too late",
			func(h *History) { h.ConfigDelays = []time.Duration{maxConfigDelay + 1} },
			func(h *History) { h.ConfigDelays[0] = maxConfigDelay }},
		{"RECOVER", "little service after all gateways were killed at once",
			func(h *History) {
				h.Spans = []Span{{Fault: AllGatewaysKill{}, Begun: timeAt(0), Ended: timeAt(time.Second)}}
				for i := range 40 {
					r := answered(fmt.Sprint("start-", i), KindIdempotent, time.Second+startOfAllTime+time.Millisecond)
					if i%2 == 0 {
						r.Response = fleet.Response{Status: http.StatusServiceUnavailable}
					}
					h.Requests = append(h.Requests, r)
				}
			},
			func(h *History) {
				h.Spans = append(h.Spans, Span{Fault: StoreFault{StoreSilent}, Begun: timeAt(time.Second)})
			}},
		{"RECOVER", "no service after all faults have ended",
			func(h *History) {
				h.QuietPeriods = []Span{{Begun: timeAt(0), Ended: timeAt(time.Second)}}
				for i := range 40 {
					r := answered(fmt.Sprint("more-", i), KindIdempotent, time.Millisecond)
					r.Response = fleet.Response{Status: http.StatusServiceUnavailable}
					h.Requests = append(h.Requests, r)
				}
			},
			func(h *History) {
				h.QuietPeriods[0].Begun, h.QuietPeriods[0].Ended = timeAt(time.Hour), timeAt(time.Hour)
				h.QuietPeriods = nil
			}},
		{"BUDGET", "retries of a crashing request long after the third crash",
			func(h *History) {
				for i := range 4 + maxCrashRetries {
					r := answered(fmt.Sprint("crash-", i), KindStream, time.Duration(i)*10*time.Second)
					r.CrashID, r.Response = 1, fleet.Response{Status: http.StatusBadGateway}
					h.Requests = append(h.Requests, r)
					h.Heads = append(h.Heads, fleet.Head{ID: r.Request.ID})
					h.Crashes = append(h.Crashes, fleet.Crash{ID: r.Request.ID, At: r.Sent})
				}
			},
			func(h *History) { h.Spans = []Span{{Fault: StoreCompaction{}, Begun: timeAt(0)}} }},
		{"DENIED", "request that does not crash workers is blocked",
			func(h *History) { h.Requests[0].Response.Status = http.StatusUnprocessableEntity },
			func(h *History) { h.Requests[0].CrashID = 1 }},
	}
	for _, test := range tests {
		t.Run(test.rule+" "+test.desc, func(t *testing.T) {
			h := &History{Requests: []RequestRecord{answered("r1", KindNonIdempotent, 0), answered("r2", KindStream, 0)}, Runs: map[string][]fleet.Run{}}
			if found := Check(h); len(found) > 0 {
				t.Fatalf("violations in a correct history: %v", found)
			}
			test.violate(h)
			found := Check(h)
			if len(found) == 0 || slices.ContainsFunc(found, func(v Violation) bool { return v.Rule != test.rule }) {
				t.Errorf("found %v, want only %s", found, test.rule)
			}
			test.allow(h)
			if found := Check(h); len(found) > 0 {
				t.Errorf("violations although permitted: %v", found)
			}
		})
	}
}

func TestRoundsAreDeterministic(t *testing.T) {
	kinds := map[string]bool{}
	for number := range 300 {
		first, second := drawRound(7, number, 4, 10, 4), drawRound(7, number, 4, 10, 4)
		if fmt.Sprint(first) != fmt.Sprint(second) {
			t.Fatalf("round %d differs when drawn again", number)
		}
		for _, each := range first {
			kinds[fmt.Sprintf("%T", each.Fault)] = true
			if each.At < 0 || each.At >= faultTime {
				t.Errorf("fault at %s, outside of the fault time", each.At)
			}
		}
	}
	if len(kinds) != 19 {
		t.Errorf("%d kinds of faults are drawn, want 19: %v", len(kinds), kinds)
	}
}

// TestCheckBypass guards against a check that passes gateways which serve nobody while they are cut off, and against one that counts the time
// that these have to find another way, or rounds with other faults.
func TestCheckBypass(t *testing.T) {
	begun := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cut := Span{Fault: PathFault{Gateways: []int{0}, Duration: 5 * time.Second}, Begun: begun, Ended: begun.Add(5 * time.Second)}
	requests := func(from time.Duration, served bool) []RequestRecord {
		var records []RequestRecord
		for i := range 40 {
			sent := begun.Add(from + time.Duration(i)*10*time.Millisecond)
			ok := fleet.Response{Status: http.StatusOK}
			record := RequestRecord{Gateway: []string{"a", "b"}[i%2], Sent: sent, Ended: sent.Add(time.Millisecond), Response: ok}
			if record.Gateway == "a" && !served {
				record.Response.Status = http.StatusServiceUnavailable
			}
			records = append(records, record)
		}
		return records
	}
	other := Span{Fault: StoreCompaction{}, Begun: begun.Add(time.Second), Ended: begun.Add(2 * time.Second)}
	for _, test := range []struct {
		name     string
		spans    []Span
		requests []RequestRecord
		want     int
	}{
		{"not served", []Span{cut}, requests(3*time.Second, false), 1},
		{"served", []Span{cut}, requests(3*time.Second, true), 0},
		{"too early", []Span{cut}, requests(time.Second, false), 0},
		{"another fault", []Span{cut, other}, requests(3*time.Second, false), 0},
		{"an upgrade", []Span{cut, {Fault: GatewayUpgrade{BuildCurrent}, Begun: begun.Add(time.Second)}}, requests(3*time.Second, false), 0},
	} {
		history := &History{Gateways: []string{"a", "b"}, Spans: test.spans, Requests: test.requests}
		if found := checkBypass(history); len(found) != test.want {
			t.Errorf("%s: %v", test.name, found)
		}
	}
}

// TestOnlyNewSeedsCutPaths guards against other schedules of the seeds that failed before.
func TestOnlyNewSeedsCutPaths(t *testing.T) {
	hasCut := func(seed uint64) bool {
		for number := range 20 {
			for _, each := range drawRound(seed, number, 4, 10, 4) {
				if _, isPathFault := each.Fault.(PathFault); isPathFault {
					return true
				}
			}
		}
		return false
	}
	if hasCut(firstPathSeed-1) || !hasCut(firstPathSeed) {
		t.Errorf("cuts with seed %d: %t, with seed %d: %t", firstPathSeed-1, hasCut(firstPathSeed-1), firstPathSeed, hasCut(firstPathSeed))
	}
}

// TestRecoveryJudgesRequestsOfItsRound guards against a check that blames a round for requests which the faults of the next one cut, and against
// one that lets requests pass which failed within the quiet period or hung through it.
func TestRecoveryJudgesRequestsOfItsRound(t *testing.T) {
	quiet := Span{Begun: timeAt(0), Ended: timeAt(10 * time.Second)}
	for _, test := range []struct {
		desc        string
		sent, ended time.Duration
		want        int
	}{
		{"cut by the next round", 9500 * time.Millisecond, 10100 * time.Millisecond, 0},
		{"cut within the quiet period", 9 * time.Second, 9900 * time.Millisecond, 1},
		{"hung until the next round", 10*time.Second - 2*fleet.LongWork - time.Millisecond, 10100 * time.Millisecond, 1},
	} {
		h := &History{QuietPeriods: []Span{quiet}}
		for i := range 2 * minQuietRequests {
			h.Requests = append(h.Requests, answered(fmt.Sprint("r", i), KindStream, time.Second))
		}
		for i := range minQuietRequests {
			r := answered(fmt.Sprint("f", i), KindStream, test.sent)
			r.Ended, r.Response.Err = timeAt(test.ended), context.DeadlineExceeded
			h.Requests = append(h.Requests, r)
		}
		if found := checkRecovery(h); len(found) != test.want {
			t.Errorf("%s: %v", test.desc, found)
		}
	}
}
