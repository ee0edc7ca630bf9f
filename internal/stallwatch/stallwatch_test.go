package stallwatch

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/migration"
	"github.com/granitebay/granitebay/internal/standstill"
)

// TestLateTimerRestartsStallLimit guards against a worker that is blamed for time in which this process stood still.
func TestLateTimerRestartsStallLimit(t *testing.T) {
	const patience = time.Hour
	late := time.Now().Add(-2 * standstill.MaxTimerDelay)
	abandoned := false
	w := New(migration.NewStallDetector(migration.DefaultStallSettings(), patience, 0), nil, func() (bool, time.Duration) {
		abandoned = true
		return true, 0
	})
	w.Wait()
	w.Received()
	w.Wait()
	defer w.Stop()
	w.waitingSince = time.Now().Add(-patience)
	for range 3 {
		w.due = late
		w.check()
	}
	if left := time.Until(w.due); abandoned || left < patience/4 {
		t.Errorf("abandoned %t, next check in %s", abandoned, left)
	}
	w.patientSince = w.waitingSince
	for range 2 {
		w.due = time.Now()
		w.check()
	}
	if !abandoned {
		t.Error("a response that stalled was kept")
	}
	if w.Received() {
		t.Error("an event of an abandoned response may be forwarded")
	}
}
