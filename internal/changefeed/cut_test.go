package changefeed_test

import (
	"testing"

	"github.com/granitebay/granitebay/internal/changefeed"
	"github.com/granitebay/granitebay/internal/standin/cutserver"
)

// TestCutSnapshotIsNotUsed guards against a gateway that starts with the beginning of a snapshot.
func TestCutSnapshotIsNotUsed(t *testing.T) {
	handler := changefeed.Handler(snapshotSource{revision: 1234}, func() (all, live []string) { return nil, nil })
	cuts, err := cutserver.Play(handler, func(cut cutserver.Cut) {
		got, err := changefeed.NewSeeds([]string{cut.Address}).Fetch(t.Context())
		isWhole := got.Revision == 1234 && len(got.Items) == 1 && got.Items[0].Key == "servers/w" && string(got.Items[0].Value) == "{}"
		if err == nil && !isWhole || err != nil && cut.IsWhole() {
			t.Errorf("%s: got %+v, %v", cut, got, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d cuts were played", cuts)
}
