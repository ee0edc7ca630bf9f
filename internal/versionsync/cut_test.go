package versionsync

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/cutserver"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// TestCutResponseIsNotUsed guards against a gateway that takes the beginning of an answer about a stream for the whole one.
func TestCutResponseIsNotUsed(t *testing.T) {
	want := Answer{Found: true, Service: "a b", Software: "v1", AgeMs: 17}
	cuts, err := cutserver.Play(Handler(func(streamversion.Stream) Answer { return want }), func(cut cutserver.Cut) {
		got, err := New().Ask(t.Context(), cut.Address, streamversion.Stream{Key: 5, Services: []string{"a b"}, Lifetime: time.Second})
		if err == nil && got != want || err != nil && cut.IsWhole() {
			t.Errorf("%s: got %+v, %v", cut, got, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d cuts were played", cuts)
}
