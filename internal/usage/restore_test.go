package usage

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/store"
)

// ledgerStore is a store with one ledger.
type ledgerStore struct {
	store.Store
	value    []byte
	revision store.Revision
}

func (l *ledgerStore) List(context.Context, string) ([]store.Item, store.Revision, error) {
	if l.value == nil {
		return nil, l.revision, nil
	}
	return []store.Item{{Key: Key, Value: l.value, Revision: l.revision}}, l.revision, nil
}

func (l *ledgerStore) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	revision := l.revision
	if l.value == nil {
		revision = 0
	}
	if transaction.Conditions[0].Revision != revision {
		return 0, store.ErrConflict
	}
	l.value = transaction.Puts[0].Value
	l.revision++
	return l.revision, nil
}

// reportCounts counts the reports of each window.
type reportCounts map[int64]int

func (c reportCounts) SendUsage(_ context.Context, _ string, _ int64, report Report) error {
	c[report.Window]++
	return nil
}

// newLedgerReporters returns a function that makes reporters of windows of a second, of which those named holder have the authority.
func newLedgerReporters(ledgers store.Store, sent Sender, now *time.Time, holder *string) func(name string) *Reporter {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return func(name string) *Reporter {
		settings := DefaultSettings()
		settings.Holder, settings.Window, settings.CollectDelay = name, time.Second, 0
		return NewReporter(settings, ledgers, sent, NewTally(name, 1), func() time.Time { return *now }, func() (int64, bool) {
			return map[string]int64{"a": 1, "b": 2}[name], *holder == name
		}, logger, func(decision.Record) {})
	}
}

// TestUnreadableLedgerIsReplaced guards against a ledger that another writer has left and that keeps all gateways from reporting usage for good, and
// against windows that are reported again or left out although the newest ledger is known.
func TestUnreadableLedgerIsReplaced(t *testing.T) {
	for _, c := range []struct {
		desc string
		// takesOver means that another reporter continues, and isKnown that it knows the newest ledger.
		takesOver, isKnown bool
	}{{"the holder goes on", false, true}, {"a new holder knows the newest ledger", true, true}, {"a new holder knows no ledger", true, false}} {
		t.Run(c.desc, func(t *testing.T) {
			ledgers, sent := &ledgerStore{revision: store.NewRevision(1, 10)}, reportCounts{}
			now, holder := time.Unix(1_000_000, 0), "a"
			reporter := newLedgerReporters(ledgers, sent, &now, &holder)
			a, b := reporter("a"), reporter("b")
			run := func(r *Reporter, windows int) {
				for range 4 * windows {
					now = now.Add(250 * time.Millisecond)
					r.Step(t.Context(), now)
				}
			}
			run(a, 8)
			var newest Ledger
			if err := json.Unmarshal(ledgers.value, &newest); err != nil {
				t.Fatal(err)
			}
			before := len(sent)
			ledgers.value = []byte(`{"next":"soon"}`)
			ledgers.revision++
			next := a
			if c.takesOver {
				holder, next = "b", b
			}
			if c.takesOver && c.isKnown {
				b.ObserveLedger(newest)
			}
			run(next, 20)
			if reported := len(sent) - before; reported < 15 {
				t.Errorf("%d windows were reported in 20 s after the change", reported)
			}
			first, last, duplicates := int64(math.MaxInt64), int64(0), 0
			for window, count := range sent {
				first, last, duplicates = min(first, window), max(last, window), duplicates+count-1
			}
			if missing := last - first + 1 - int64(len(sent)); missing > 0 && c.isKnown {
				t.Errorf("%d windows were left out: %v", missing, sent)
			}
			// The newest ledger may not show the last windows as accepted yet; these are reported again with the same count.
			if duplicates > len(newest.Reports) {
				t.Errorf("%d windows were reported again: %v", duplicates, sent)
			}
		})
	}
}

// TestRestoredLedgerCausesNoDuplicateReports guards against reporting windows again after the store was restored from
// a backup with an older ledger, both for a continuing leader and for a new one that knows the newest ledger.
func TestRestoredLedgerCausesNoDuplicateReports(t *testing.T) {
	for _, takesOver := range []bool{false, true} {
		ledgers, sent := &ledgerStore{revision: store.NewRevision(1, 10)}, reportCounts{}
		now, holder := time.Unix(1_000_000, 0), "a"
		reporter := newLedgerReporters(ledgers, sent, &now, &holder)
		a, b := reporter("a"), reporter("b")
		run := func(r *Reporter, windows int) {
			for range 4 * windows {
				now = now.Add(250 * time.Millisecond)
				r.Step(t.Context(), now)
			}
		}
		run(a, 5)
		backup := *ledgers
		run(a, 5)
		var newest Ledger
		if err := json.Unmarshal(ledgers.value, &newest); err != nil {
			t.Fatal(err)
		}
		b.ObserveLedger(newest)
		ledgers.value, ledgers.revision = backup.value, store.NewRevision(2, backup.revision.Number())
		next := a
		if takesOver {
			holder, next = "b", b
		}
		run(next, 10)
		if len(sent) < 15 {
			t.Errorf("takes over %t: %d windows were reported", takesOver, len(sent))
		}
		duplicates := 0
		for _, count := range sent {
			duplicates += count - 1
		}
		// One duplicate, with the same count, is allowed: the backup may not show the last window as accepted yet.
		if duplicates > 1 {
			t.Errorf("takes over %t: %d windows were reported again: %v", takesOver, duplicates, sent)
		}
	}
}
