package forward

import (
	"context"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestReportTellsAgeOfNewestConfiguration guards against reports from which nobody can see that the configuration changed while the request was
// in progress.
func TestReportTellsAgeOfNewestConfiguration(t *testing.T) {
	var f *fixture
	var changed time.Time
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		changed = time.Now()
		f.handler.SetTable(routing.NewTable(f.handler.Table().Configuration(), f.handler.Table()))
		return nil, resetError
	}}
	f = newFixture(t, fixtureOptions{}, workers)
	if _, _, err := f.get(t); err != nil {
		t.Fatal(err)
	}
	report := f.lastReport()
	if age := report.ConfigurationAge; age <= 0 || age > report.Ended.Sub(changed) {
		t.Errorf("got an age of %v for a configuration that changed at most %v before the end of the request", age, report.Ended.Sub(changed))
	}
}
