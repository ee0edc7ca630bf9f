package usage

import (
	"context"
	"encoding/json"
	"io"
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

// TestRestoredLedgerCausesNoDuplicateReports guards against reporting windows again after the store was restored from
// a backup with an older ledger, both for a continuing leader and for a new one that knows the newest ledger.
func TestRestoredLedgerCausesNoDuplicateReports(t *testing.T) {
	for _, takesOver := range []bool{false, true} {
		ledgers, sent := &ledgerStore{revision: store.NewRevision(1, 10)}, reportCounts{}
		now, holder := time.Unix(1_000_000, 0), "a"
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		reporter := func(name string) *Reporter {
			settings := DefaultSettings()
			settings.Holder, settings.Window, settings.CollectDelay = name, time.Second, 0
			return NewReporter(settings, ledgers, sent, NewTally(name, 1), func() time.Time { return now }, func() (int64, bool) {
				return map[string]int64{"a": 1, "b": 2}[name], holder == name
			}, logger, func(decision.Record) {})
		}
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
