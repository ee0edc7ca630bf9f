package changefeed

import (
	"net/url"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/store"
)

// TestRequestsCarryEra guards against requests that lose their era, against rejecting those of builds without eras, and
// against accepting invalid eras.
func TestRequestsCarryEra(t *testing.T) {
	request := store.ChangesRequest{After: store.NewRevision(3, 7), Wait: time.Second, Shards: 1}
	parsed, err := parseRequest(encodeRequest(request))
	if err != nil || parsed.After != request.After || parsed.EraUnknown {
		t.Errorf("parsed %+v, %v", parsed, err)
	}
	for query, want := range map[string]store.Revision{"after=7&hold=0": 7, "after=-1&hold=0": 0} {
		values, _ := url.ParseQuery(query)
		if parsed, err := parseRequest(values); err != nil || parsed.After != want || !parsed.EraUnknown {
			t.Errorf("%s: %+v, %v", query, parsed, err)
		}
	}
	for _, query := range []string{"after=7&hold=0&era=-1", "after=7&hold=0&era=x", "after=7&hold=0&era=8192"} {
		values, _ := url.ParseQuery(query)
		if _, err := parseRequest(values); err == nil {
			t.Errorf("%s: invalid era was accepted", query)
		}
	}
}
