package usage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/store"
)

const testWindow = 5 * time.Second

// epoch is the start of a window.
var epoch = time.Unix(1_700_000_000, 0)

// simulation is a store, a platform that accepts reports, and gateways of which at most one has the authority.
// Before a call is executed, other gateways may run, which simulates a caller that is suspended in the middle of a step.
type simulation struct {
	t        *rapid.T
	now      time.Time
	gateways []*gateway
	// depth is the number of gateways that are currently suspended.
	depth int

	item     store.Item
	revision store.Revision
	// lateCommits are commits without a response that are executed later if their condition still holds.
	lateCommits []store.Transaction

	holder int
	fence  int64
	// highestFence is the highest fence that the platform has seen, and accepted holds the counts that it accepted by
	// window.
	highestFence int64
	accepted     map[int64]map[string]int64
	// lateCalls are reports without a response that are executed later.
	lateCalls []lateCall
	// faultless is set while all calls succeed at once.
	faultless bool
}

// lateCall is a report without a response that is executed later.
type lateCall struct {
	fence  int64
	report Report
}

// gateway is one process with its counts.
type gateway struct {
	number   int
	tally    *Tally
	reporter *Reporter
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: epoch, holder: -1, accepted: map[int64]map[string]int64{}}
	for i := range 3 {
		s.gateways = append(s.gateways, s.startGateway(i, int64(i)))
	}
	return s
}

// startGateway returns a gateway without counts.
func (s *simulation) startGateway(number int, epoch int64) *gateway {
	g := &gateway{number: number, tally: NewTally(fmt.Sprint("g", number), epoch)}
	settings := DefaultSettings()
	settings.Holder, settings.Window, settings.LateAfter = fmt.Sprint("g", number), testWindow, 10*time.Second
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g.reporter = NewReporter(settings, s, simulatedPlatform{s}, g.tally, func() time.Time { return s.now }, func() (int64, bool) {
		return s.fence, s.holder == g.number
	}, logger, func(decision.Record) {})
	return g
}

var errNoResponse = errors.New("no response")

// drawOutcome lets others act before a call arrives and returns the outcome of the call: executed with a response,
// executed without one, executed late, or lost.
func (s *simulation) drawOutcome() string {
	if s.faultless {
		return "answered"
	}
	if s.depth < 2 && rapid.Bool().Draw(s.t, "suspended") {
		s.depth++
		for range rapid.IntRange(1, 3).Draw(s.t, "actions") {
			s.randomAction()
		}
		s.depth--
	}
	return rapid.SampledFrom([]string{"answered", "answered", "answered", "unanswered", "late", "lost"}).Draw(s.t, "call")
}

// randomAction performs one random action.
func (s *simulation) randomAction() {
	switch rapid.SampledFrom([]string{"step", "step", "count", "exchange", "time", "time", "holder", "late", "restart"}).Draw(s.t, "action") {
	case "step":
		s.stepGateway(rapid.IntRange(0, len(s.gateways)-1).Draw(s.t, "gateway"))
	case "count":
		g := s.gateways[rapid.IntRange(0, len(s.gateways)-1).Draw(s.t, "gateway")]
		g.tally.Add(WindowAt(s.now, testWindow), rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "tenant"))
	case "exchange":
		s.exchangeCounts()
	case "time":
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(s.t, "ms")) * time.Millisecond)
	case "holder":
		s.holder = rapid.IntRange(-1, len(s.gateways)-1).Draw(s.t, "holder")
		s.fence++
	case "late":
		s.executeLate()
	case "restart":
		number := rapid.IntRange(0, len(s.gateways)-1).Draw(s.t, "gateway")
		if s.depth == 0 {
			s.gateways[number] = s.startGateway(number, s.now.UnixNano())
		}
	}
}

// stepGateway runs one step of a gateway. Only the holder starts to act, but a suspended gateway may resume after
// another one became the holder.
func (s *simulation) stepGateway(number int) {
	s.gateways[number].reporter.Step(context.Background(), s.now)
}

// exchangeCounts sends all counts of each gateway to the others.
func (s *simulation) exchangeCounts() {
	for _, from := range s.gateways {
		counts := from.tally.TakeAll(s.now)
		for _, to := range s.gateways {
			if to != from {
				to.tally.Merge(s.now, fmt.Sprint("g", from.number), counts)
			}
		}
	}
}

// executeLate executes the delayed calls.
func (s *simulation) executeLate() {
	for _, transaction := range s.lateCommits {
		_, _ = s.commit(transaction)
	}
	for _, call := range s.lateCalls {
		_ = s.acceptReport(call.fence, call.report)
	}
	s.lateCommits, s.lateCalls = nil, nil
}

// commit executes a transaction.
func (s *simulation) commit(transaction store.Transaction) (store.Revision, error) {
	if transaction.Conditions[0].Revision != s.item.Revision {
		return 0, store.ErrConflict
	}
	s.revision++
	s.item = store.Item{Key: Key, Value: transaction.Puts[0].Value, Revision: s.revision}
	ledger, err := DecodeLedger(s.item.Value)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, g := range s.gateways {
		if rapid.Bool().Draw(s.t, "watch notifies") {
			g.tally.Finalized(ledger.Next)
		}
	}
	return s.revision, nil
}

// acceptReport handles a report as the platform does.
func (s *simulation) acceptReport(fence int64, report Report) error {
	if fence < s.highestFence {
		return ErrSuperseded
	}
	s.highestFence = fence
	previous, found := s.accepted[report.Window]
	if found && !maps.Equal(previous, report.Requests) {
		s.t.Fatalf("window %d was reported as %v and as %v", report.Window, previous, report.Requests)
	}
	s.accepted[report.Window] = report.Requests
	return nil
}

func (s *simulation) ListUntil(context.Context, string, func([]store.Item) bool) (store.Listing, error) {
	return store.Listing{}, nil
}

func (s *simulation) List(context.Context, string) ([]store.Item, store.Revision, error) {
	if outcome := s.drawOutcome(); outcome != "answered" {
		return nil, 0, errNoResponse
	}
	if s.item.Revision == 0 {
		return nil, s.revision, nil
	}
	return []store.Item{s.item}, s.revision, nil
}

func (s *simulation) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	switch s.drawOutcome() {
	case "answered":
		return s.commit(transaction)
	case "unanswered":
		_, _ = s.commit(transaction)
	case "late":
		s.lateCommits = append(s.lateCommits, transaction)
	}
	return 0, errNoResponse
}

func (s *simulation) Watch(context.Context, string, store.Revision, time.Duration) ([]store.Event, store.Revision, error) {
	return nil, 0, nil
}

func (s *simulation) Grant(context.Context, time.Duration) (store.Lease, error) {
	return store.Lease{}, nil
}

func (s *simulation) KeepAlive(context.Context, int64) error { return nil }
func (s *simulation) Revoke(context.Context, int64) error    { return nil }

// simulatedPlatform is the platform as seen by a reporter.
type simulatedPlatform struct{ *simulation }

func (s simulatedPlatform) SendUsage(_ context.Context, _ string, fence int64, report Report) error {
	switch s.drawOutcome() {
	case "answered":
		return s.acceptReport(fence, report)
	case "unanswered":
		_ = s.acceptReport(fence, report)
	case "late":
		s.lateCalls = append(s.lateCalls, lateCall{fence, report})
	}
	return errNoResponse
}

// TestEachWindowIsReportedWithOneCount guards against reporting two different counts of a window, and against missing
// windows once all calls succeed again.
func TestEachWindowIsReportedWithOneCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(5, 60).Draw(t, "actions") {
			s.randomAction()
		}
		s.executeLate()
		s.faultless = true
		s.holder = 0
		s.fence++
		for range 20 {
			s.now = s.now.Add(testWindow)
			s.exchangeCounts()
			s.stepGateway(0)
		}
		ledger, err := DecodeLedger(s.item.Value)
		if err != nil {
			t.Fatal(err)
		}
		oldest := ledger.Next
		for window := range s.accepted {
			oldest = min(oldest, window)
		}
		for window := oldest; window < ledger.Next; window++ {
			if _, accepted := s.accepted[window]; !accepted {
				t.Fatalf("window %d was not reported", window)
			}
		}
		if settled := WindowAt(s.now.Add(-DefaultSettings().SettleDelay), testWindow); ledger.Next != settled {
			t.Fatalf("the first open window is %d, want %d", ledger.Next, settled)
		}
	})
}
