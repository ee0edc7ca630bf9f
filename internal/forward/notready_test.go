package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// TestRequestWaitsForFirstConfiguration guards against refusing the callers that return while all gateways start, and
// against keeping them for long when the store does not answer.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	const never = time.Hour
	for _, test := range []struct {
		name                 string
		arrivesAt, readyAt   time.Duration
		wantStatus           int
		wantEarliest, latest time.Duration
	}{
		{"soon ready", 0, 180 * time.Millisecond, http.StatusOK, 180 * time.Millisecond, 200 * time.Millisecond},
		{"not ready in time", 0, never, http.StatusServiceUnavailable, 300 * time.Millisecond, 320 * time.Millisecond},
		{"no configuration for long", 2 * time.Second, never, http.StatusServiceUnavailable, 0, 10 * time.Millisecond},
		{"ready before", 50 * time.Millisecond, 0, http.StatusOK, 0, 10 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
				return wholeResponse(http.StatusOK, "answer"), nil
			}}
			table := newFixture(t, fixtureOptions{}, workers)
			synctest.Test(t, func(t *testing.T) {
				handler := NewHandler(DefaultSettings(), plainProtocol{}, workers, table.handler.dispatcher, table.reports)
				if test.readyAt < never {
					time.AfterFunc(test.readyAt, func() { handler.SetTable(table.handler.Table()) })
				}
				time.Sleep(test.arrivesAt)
				synctest.Wait()
				arrived := time.Now()
				recorder := httptest.NewRecorder()
				request := httptest.NewRequest(http.MethodGet, "/x", nil)
				request.Host = "127.0.0.1"
				handler.ServeHTTP(recorder, request)
				if took := time.Since(arrived); recorder.Code != test.wantStatus || took < test.wantEarliest || took > test.latest {
					t.Errorf("status %d after %v, want %d after %v", recorder.Code, took, test.wantStatus, test.wantEarliest)
				}
			})
		})
	}
}
