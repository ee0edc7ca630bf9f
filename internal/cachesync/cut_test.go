package cachesync

import (
	"reflect"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/standin/cutserver"
)

// TestCutResponseIsNotUsed guards against a gateway that takes the beginning of a response for all cached segments that another one knows.
func TestCutResponseIsNotUsed(t *testing.T) {
	known := []peersync.CachedSegment{{Worker: "w", Key: "k", Tokens: 13_300, Ready: true}, {Worker: "v", Key: "l", Tokens: 700}}
	handler := Handler(func(int) []peersync.CachedSegment { return known }, func() time.Duration { return 0 })
	cuts, err := cutserver.Play(handler, func(cut cutserver.Cut) {
		got, err := New().Query(t.Context(), cut.Address, func() {})
		if err == nil && !reflect.DeepEqual(got, known) || err != nil && cut.IsWhole() {
			t.Errorf("%s: got %+v, %v", cut, got, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d cuts were played", cuts)
}
