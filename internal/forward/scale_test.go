package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/routing"
)

// fleetSizes are the fleet sizes at which the cost of an operation is compared.
var fleetSizes = []int{130, 1_000, 10_000, 20_000}

// fleetOf returns engines of both roles in six zones.
func fleetOf(engines int) backend.Set {
	set := make(backend.Set, engines)
	for i := range engines {
		role := backend.RoleDecode
		if i%5 < 2 {
			role = backend.RolePrefill
		}
		id := fmt.Sprintf("i-%08x", uint32(i)*2654435761)
		set[id] = &backend.Worker{
			ID: id, Group: "g", Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16&255, i>>8&255, i&255), Zone: fmt.Sprint("zone-", i%6),
			Slots: 12, Role: role,
		}
	}
	return set
}

// newFleetDispatcher returns a dispatcher in zone-1 that knows a fleet.
func newFleetDispatcher(set backend.Set) *Dispatcher {
	settings := DefaultDispatchSettings()
	settings.Zone = "zone-1"
	dispatcher := NewDispatcher(settings, time.Now)
	dispatcher.SetGroups([]routing.Group{*engineGroup})
	dispatcher.SetWorkers(set)
	return dispatcher
}

// fleetRequest returns the request with the given number. One in six has a long shared prefix.
func fleetRequest(number int) *Request {
	demand := backend.Demand{PromptTokens: 400, Segments: []backend.Segment{{ID: fmt.Sprint("short-", number%32), Tokens: 90}, {ID: "own", Tokens: 310}}}
	if number%6 == 0 {
		demand = backend.Demand{
			PromptTokens: 17_000, Segments: []backend.Segment{{ID: fmt.Sprint("long-", number%1000), Tokens: 13_300}, {ID: "own", Tokens: 3700}},
		}
	}
	return &Request{ID: fmt.Sprint("request-", number), Demand: demand}
}

// BenchmarkPlace places requests with up to a hundred in progress.
func BenchmarkPlace(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			dispatcher := newFleetDispatcher(fleetOf(size))
			var running []*Assignment
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				request := fleetRequest(i)
				placement, found := dispatcher.Place(request, engineGroup, PlaceOptions{Objective: time.Second, Remaining: time.Second})
				if !found {
					b.Fatal("no engine was found")
				}
				runner := placement.Runner
				if placement.Prefill != nil {
					dispatcher.RecordPrefilled(placement.Prefill.Worker, request)
					placement.Prefill.finish(balance.OutcomeGood)
					runner, _ = dispatcher.PlaceRunner(request, engineGroup, nil, placement.Prefill)
				}
				if running = append(running, runner); len(running) > 100 {
					running[0].finish(balance.OutcomeGood)
					running = running[1:]
				}
			}
		})
	}
}

// BenchmarkTakeFullUpdate collects the complete state for other gateways with a hundred requests in progress.
func BenchmarkTakeFullUpdate(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			dispatcher := newFleetDispatcher(fleetOf(size))
			for i := range 100 {
				dispatcher.Place(fleetRequest(i), engineGroup, PlaceOptions{})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				dispatcher.TakeUpdate(true)
			}
		})
	}
}

// BenchmarkGroups collects the input of the role planner.
func BenchmarkGroups(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			dispatcher := newFleetDispatcher(fleetOf(size))
			dispatcher.ApplyUpdate(&peersync.Message{Sender: "other", Epoch: 1, Sequence: 1})
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				dispatcher.Groups()
			}
		})
	}
}

// BenchmarkOneChange applies a change of one engine's record.
func BenchmarkOneChange(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			set := fleetOf(size)
			dispatcher := newFleetDispatcher(set)
			var ids []string
			for id := range set {
				ids = append(ids, id)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				changed := *set[ids[i%len(ids)]]
				changed.Draining = !changed.Draining
				set[changed.ID] = &changed
				dispatcher.ChangeWorkers(backend.Changes{Updated: []*backend.Worker{&changed}})
			}
		})
	}
}

// TestGatewayLearnsCachedPrefixesFromPeer guards against prefilling again what another gateway knows to be cached.
func TestGatewayLearnsCachedPrefixesFromPeer(t *testing.T) {
	set := fleetOf(10_000)
	source, learner := newFleetDispatcher(set), newFleetDispatcher(set)
	for i := range 60 {
		request := fleetRequest(6 * i)
		placement, _ := source.Place(request, engineGroup, PlaceOptions{})
		source.RecordPrefilled(placement.Prefill.Worker, request)
	}
	if added := learner.MergeCache(source.CachedSegments(1_000)); added != 60 {
		t.Errorf("%d segments were new, want 60", added)
	}
	if added := learner.MergeCache(source.CachedSegments(1_000)); added != 0 {
		t.Errorf("%d segments were new again", added)
	}
	if parts := source.CachedSegments(7); len(parts) != 7 {
		t.Errorf("got %d segments, want 7", len(parts))
	}
	for i := range 60 {
		request := fleetRequest(6 * i)
		placement, _ := learner.Place(request, engineGroup, PlaceOptions{})
		prefill := placement.Runner
		if placement.Prefill != nil {
			prefill = placement.Prefill
		}
		if placement.FetchFrom == nil && !source.prefixCache.Has(prefill.Worker.ID, request.Demand.Segments[0].ID) {
			t.Errorf("the prefix of request %d is prefilled again at %s", i, prefill.Worker.ID)
		}
	}
}
