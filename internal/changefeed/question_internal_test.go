package changefeed

import (
	"net/url"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/store"
)

// TestQuestionsNameTheirEra spells questions and reads them, and reads those of a build that names no era.
func TestQuestionsNameTheirEra(t *testing.T) {
	asked := store.ChangesRequest{After: store.NewRevision(3, 7), Wait: time.Second, Shards: 1}
	read, err := questionOf(queryOf(asked))
	if err != nil || read.After != asked.After || read.EraUnknown {
		t.Errorf("read %+v, %v", read, err)
	}
	for query, want := range map[string]store.Revision{"after=7&hold=0": 7, "after=-1&hold=0": 0} {
		values, _ := url.ParseQuery(query)
		if read, err := questionOf(values); err != nil || read.After != want || !read.EraUnknown {
			t.Errorf("%s: %+v, %v", query, read, err)
		}
	}
	for _, query := range []string{"after=7&hold=0&era=-1", "after=7&hold=0&era=x", "after=7&hold=0&era=8192"} {
		values, _ := url.ParseQuery(query)
		if _, err := questionOf(values); err == nil {
			t.Errorf("%s is taken", query)
		}
	}
}
