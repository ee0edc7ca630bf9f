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

// epoch begins a window.
var epoch = time.Unix(1_700_000_000, 0)

// world is a store, the platform that takes reports, and gateways of which one has the authority. Whenever one of them calls, others
// may act before the call arrives: the caller stands still in the middle of a step.
type world struct {
	t        *rapid.T
	now      time.Time
	gateways []*gateway
	// depth bounds how many gateways stand still at once.
	depth int

	item     store.Item
	revision store.Revision
	// late are commits that got no answer and are carried out later, if their condition still holds.
	late []store.Transaction

	holder int
	fence  int64
	// highest is the highest fence that the platform has seen, and taken are the counts that it took.
	highest int64
	taken   map[int64]map[string]int64
	// lateCalls are reports that got no answer and are carried out later.
	lateCalls []lateCall
	healthy   bool
}

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

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, holder: -1, taken: map[int64]map[string]int64{}}
	for i := range 3 {
		w.gateways = append(w.gateways, w.start(i, int64(i)))
	}
	return w
}

// start returns a gateway that knows nothing.
func (w *world) start(number int, epoch int64) *gateway {
	g := &gateway{number: number, tally: NewTally(fmt.Sprint("g", number), epoch)}
	settings := DefaultSettings()
	settings.Holder, settings.Window, settings.Due = fmt.Sprint("g", number), testWindow, 10*time.Second
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g.reporter = NewReporter(settings, w, sender{w}, g.tally, func() time.Time { return w.now }, func() (int64, bool) {
		return w.fence, w.holder == g.number
	}, logger, func(decision.Record) {})
	return g
}

var errNoAnswer = errors.New("no answer")

// interfere lets others act before a call arrives, and says what becomes of the call: carried out and answered, carried out without
// an answer, later, or never.
func (w *world) interfere() string {
	if w.healthy {
		return "answered"
	}
	if w.depth < 2 && rapid.Bool().Draw(w.t, "stands still") {
		w.depth++
		for range rapid.IntRange(1, 3).Draw(w.t, "actions") {
			w.act()
		}
		w.depth--
	}
	return rapid.SampledFrom([]string{"answered", "answered", "answered", "unanswered", "late", "lost"}).Draw(w.t, "call")
}

// act is one thing that happens.
func (w *world) act() {
	switch rapid.SampledFrom([]string{"step", "step", "count", "tell", "time", "time", "holder", "late", "restart"}).Draw(w.t, "action") {
	case "step":
		w.step(rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "who"))
	case "count":
		g := w.gateways[rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "who")]
		g.tally.Add(WindowAt(w.now, testWindow), rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "tenant"))
	case "tell":
		w.tell()
	case "time":
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(w.t, "ms")) * time.Millisecond)
	case "holder":
		w.holder = rapid.IntRange(-1, len(w.gateways)-1).Draw(w.t, "holder")
		w.fence++
	case "late":
		w.carryOutLate()
	case "restart":
		number := rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "who")
		if w.depth == 0 {
			w.gateways[number] = w.start(number, w.now.UnixNano())
		}
	}
}

// step has a gateway do what is due. Only the holder does, but one that stands still may go on when another is holder.
func (w *world) step(number int) {
	w.gateways[number].reporter.Step(context.Background(), w.now)
}

// tell has each gateway tell the others everything.
func (w *world) tell() {
	for _, from := range w.gateways {
		told := from.tally.All(w.now)
		for _, to := range w.gateways {
			if to != from {
				to.tally.Merge(w.now, fmt.Sprint("g", from.number), told)
			}
		}
	}
}

// carryOutLate carries out what got no answer.
func (w *world) carryOutLate() {
	for _, transaction := range w.late {
		_, _ = w.commit(transaction)
	}
	for _, call := range w.lateCalls {
		_ = w.take(call.fence, call.report)
	}
	w.late, w.lateCalls = nil, nil
}

// commit carries out a transaction.
func (w *world) commit(transaction store.Transaction) (store.Revision, error) {
	if transaction.Conditions[0].Revision != w.item.Revision {
		return 0, store.ErrConflict
	}
	w.revision++
	w.item = store.Item{Key: Key, Value: transaction.Puts[0].Value, Revision: w.revision}
	ledger, err := DecodeLedger(w.item.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, g := range w.gateways {
		if rapid.Bool().Draw(w.t, "watch tells") {
			g.tally.Agreed(ledger.Next)
		}
	}
	return w.revision, nil
}

// take is the platform that takes a report.
func (w *world) take(fence int64, report Report) error {
	if fence < w.highest {
		return ErrSuperseded
	}
	w.highest = fence
	known, before := w.taken[report.Window]
	if before && !maps.Equal(known, report.Requests) {
		w.t.Fatalf("window %d was reported as %v and as %v", report.Window, known, report.Requests)
	}
	w.taken[report.Window] = report.Requests
	return nil
}

func (w *world) ListUntil(context.Context, string, func([]store.Item) bool) ([]store.Item, store.Revision, bool, error) {
	return nil, 0, false, nil
}

func (w *world) List(context.Context, string) ([]store.Item, store.Revision, error) {
	if outcome := w.interfere(); outcome != "answered" {
		return nil, 0, errNoAnswer
	}
	if w.item.Revision == 0 {
		return nil, w.revision, nil
	}
	return []store.Item{w.item}, w.revision, nil
}

func (w *world) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	switch w.interfere() {
	case "answered":
		return w.commit(transaction)
	case "unanswered":
		_, _ = w.commit(transaction)
	case "late":
		w.late = append(w.late, transaction)
	}
	return 0, errNoAnswer
}

func (w *world) Watch(context.Context, string, store.Revision, time.Duration) ([]store.Event, store.Revision, error) {
	return nil, 0, nil
}
func (w *world) Grant(context.Context, time.Duration) (store.Lease, error) { return store.Lease{}, nil }
func (w *world) KeepAlive(context.Context, int64) error                    { return nil }
func (w *world) Revoke(context.Context, int64) error                       { return nil }

// sender is the platform as a reporter calls it.
type sender struct{ *world }

func (s sender) SendUsage(_ context.Context, _ string, fence int64, report Report) error {
	switch s.interfere() {
	case "answered":
		return s.take(fence, report)
	case "unanswered":
		_ = s.take(fence, report)
	case "late":
		s.lateCalls = append(s.lateCalls, lateCall{fence, report})
	}
	return errNoAnswer
}

// Whoever reports, and wherever holders stand still: the platform never gets two counts of one window, and once all is well no
// window is missing.
func TestEachWindowIsReportedOnceAndWithOneCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(5, 60).Draw(t, "actions") {
			w.act()
		}
		w.carryOutLate()
		w.healthy = true
		w.holder = 0
		w.fence++
		for range 20 {
			w.now = w.now.Add(testWindow)
			w.tell()
			w.step(0)
		}
		ledger, err := DecodeLedger(w.item.Value)
		if err != nil {
			t.Fatal(err)
		}
		first := ledger.Next
		for window := range w.taken {
			first = min(first, window)
		}
		for window := first; window < ledger.Next; window++ {
			if _, taken := w.taken[window]; !taken {
				t.Fatalf("window %d was not reported", window)
			}
		}
		if settled := WindowAt(w.now.Add(-DefaultSettings().Settle), testWindow); ledger.Next != settled {
			t.Fatalf("the ledger stands at %d, want %d", ledger.Next, settled)
		}
	})
}
