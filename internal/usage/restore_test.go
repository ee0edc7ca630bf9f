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

// ledgerStore holds one ledger.
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

func (l *ledgerStore) Commit(_ context.Context, wanted store.Transaction) (store.Revision, error) {
	held := l.revision
	if l.value == nil {
		held = 0
	}
	if wanted.Conditions[0].Revision != held {
		return 0, store.ErrConflict
	}
	l.value = wanted.Puts[0].Value
	l.revision++
	return l.revision, nil
}

// sentReports counts the reports of each window.
type sentReports map[int64]int

func (s sentReports) SendUsage(_ context.Context, _ string, _ int64, report Report) error {
	s[report.Window]++
	return nil
}

// TestAWindowIsReportedOnceThoughTheLedgerGoesBack has the store come back with an older ledger, for the holder that goes on and for one that
// takes over and has heard the newest ledger.
func TestAWindowIsReportedOnceThoughTheLedgerGoesBack(t *testing.T) {
	for _, takesOver := range []bool{false, true} {
		held, sent := &ledgerStore{revision: store.NewRevision(1, 10)}, sentReports{}
		now, holder := time.Unix(1_000_000, 0), "a"
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		reporter := func(name string) *Reporter {
			settings := DefaultSettings()
			settings.Holder, settings.Window, settings.Hear = name, time.Second, 0
			return NewReporter(settings, held, sent, NewTally(name, 1), func() time.Time { return now }, func() (int64, bool) {
				return map[string]int64{"a": 1, "b": 2}[name], holder == name
			}, logger, func(decision.Record) {})
		}
		a, b := reporter("a"), reporter("b")
		play := func(r *Reporter, windows int) {
			for range 4 * windows {
				now = now.Add(250 * time.Millisecond)
				r.Step(t.Context(), now)
			}
		}
		play(a, 5)
		older := *held
		play(a, 5)
		var newest Ledger
		if err := json.Unmarshal(held.value, &newest); err != nil {
			t.Fatal(err)
		}
		b.Heard(newest)
		held.value, held.revision = older.value, store.NewRevision(2, older.revision.Number())
		next := a
		if takesOver {
			holder, next = "b", b
		}
		play(next, 10)
		if len(sent) < 15 {
			t.Errorf("takes over %t: %d windows were reported", takesOver, len(sent))
		}
		again := 0
		for _, times := range sent {
			again += times - 1
		}
		// What the old ledger does not tell as taken may be sent again with the same count: that of the last window, as without a loss.
		if again > 1 {
			t.Errorf("takes over %t: %d windows were reported again: %v", takesOver, again, sent)
		}
	}
}
