package gateway

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// TestReceivedIncarnationIsResolved guards against an incarnation in the record of another gateway that is taken for a software version, and against
// one whose id a worker of another service has.
func TestReceivedIncarnationIsResolved(t *testing.T) {
	const key, service = 1, "g"
	began := streamversion.Version{Service: service, Incarnation: "w@2"}
	for group, want := range map[string]streamversion.Version{service: {Service: service, Software: "b"}, "other": {}} {
		g := newEngineGateway(2, nil)
		g.streams.applyRecords([]peersync.StreamVersion{
			{Key: key, Service: service, Software: began.Encode(), LifetimeMs: time.Minute.Milliseconds()},
		})
		if got, _, found := g.streams.findRecord(key); !found || got != began {
			t.Fatalf("the record holds %+v, %t, want %+v", got, found, began)
		}
		g.WorkersChanged(backend.Changes{Updated: []*backend.Worker{{ID: "w@2", Record: "w", Group: group, Address: "w:1", SoftwareVersion: "b"}}})
		got := g.streams.Find(t.Context(), streamversion.Stream{Key: key, Services: []string{service}, Lifetime: time.Minute})
		if isKnown := want != (streamversion.Version{}); got.IsKnown() != isKnown || (isKnown && got.Version != want) {
			t.Errorf("a worker of group %s: found %+v, want %+v", group, got, want)
		}
	}
}
