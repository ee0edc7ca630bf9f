package changefeed

import (
	"testing"

	"github.com/granitebay/granitebay/internal/standin/cutserver"
	"github.com/granitebay/granitebay/internal/store"
)

// changesSource returns a change.
type changesSource struct{ Source }

func (changesSource) Changes(request store.ChangesRequest) (store.Changes, bool) {
	event := store.Event{Item: store.Item{Key: "servers/w", Value: []byte("{}"), Revision: store.NewRevision(request.After.Era(), 1234)}}
	return store.Changes{Changed: []store.Event{event}, Revision: event.Revision}, true
}

func (changesSource) Changed() <-chan struct{} { return nil }

// TestCutChangesAreNotUsed guards against a gateway that takes the beginning of a response for all changes of another one, and misses those that follow.
func TestCutChangesAreNotUsed(t *testing.T) {
	handler := Handler(changesSource{}, func() (all, live []string) { return nil, nil })
	cuts, err := cutserver.Play(handler, func(cut cutserver.Cut) {
		got, err := NewSeeds(nil).requestChanges(t.Context(), cut.Address, store.ChangesRequest{After: 7, Shards: 1})
		isWhole := got.Revision.Number() == 1234 && len(got.Changed) == 1 && string(got.Changed[0].Value) == "{}"
		if err == nil && !isWhole || err != nil && cut.IsWhole() {
			t.Errorf("%s: got %+v, %v", cut, got, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d cuts were played", cuts)
}
