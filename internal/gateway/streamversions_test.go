package gateway

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// TestStreamOfUnrecordedIncarnation guards against a stream that began at a worker which was started again under its id and whose version is
// concluded from outdated records, and against one that stays unknown although the record of that worker is there.
func TestStreamOfUnrecordedIncarnation(t *testing.T) {
	g := newEngineGateway(2, nil)
	g.dependencies.CloseIdleConnections = func(string) {}
	stream := streamversion.Stream{Key: 1, Services: []string{"g"}, Lifetime: time.Minute}
	find := func() streamversion.Finding { return g.streams.Find(t.Context(), stream) }
	g.streams.Began(stream, streamversion.Version{Service: "g", Incarnation: streamversion.UnknownIncarnation})
	if got := find(); got.IsKnown() {
		t.Errorf("the version of an unknown incarnation is known: %+v", got)
	}
	g.streams.Began(stream, streamversion.Version{Service: "g", Incarnation: "w@2"})
	if got := find(); got.IsKnown() {
		t.Errorf("the version of an incarnation without a record is known: %+v", got)
	}
	if answer := g.streams.lookUp(stream); !answer.Found || answer.Version().Incarnation != "w@2" {
		t.Errorf("others are told %+v", answer)
	}
	if unshared := g.streams.records.TakeUnshared(boottime.Now()); len(unshared) > 0 {
		t.Errorf("others were not told of %+v", unshared)
	}
	g.WorkersChanged(backend.Changes{Updated: []*backend.Worker{{ID: "w@2", Record: "w", Group: "g", Address: "w:1", SoftwareVersion: "b"}}})
	if got, want := find(), (streamversion.Version{Service: "g", Software: "b"}); !got.IsKnown() || got.Version != want {
		t.Errorf("found %+v, want %+v", got, want)
	}
	// The record is extended with what is known now, as at a resumption.
	g.streams.Began(stream, find().Version)
	g.WorkersChanged(backend.Changes{Removed: []string{"w@2"}})
	if got := find(); !got.IsKnown() {
		t.Errorf("what was known is forgotten with the worker: %+v", got)
	}
}
