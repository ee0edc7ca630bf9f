package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// BenchmarkPlaceWithRateLimits places requests in a fleet in which all workers have rate limits that 60 gateways share. Most candidates
// have no capacity left.
func BenchmarkPlaceWithRateLimits(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			settings := DefaultDispatchSettings()
			settings.Budget.Window = 10 * time.Second
			d := NewDispatcher(settings, time.Now)
			d.ShareLimits("g0")
			set := backend.Set{}
			for i := range size {
				id := fmt.Sprint("w", i)
				set[id] = &backend.Worker{ID: id, Group: "g", Address: fmt.Sprint("10.0.0.1:", i), Slots: 8}
			}
			d.SetWorkers(set)
			var names []string
			for i := range 60 {
				names = append(names, fmt.Sprint("g", i))
			}
			d.SetHolders(names)
			now := d.retries.now()
			d.ConfirmShare(now.Add(-8 * time.Second))
			d.ConfirmShare(now)
			for id := range set {
				d.SetLimit(id, 2, 0)
			}
			group := &routing.Group{Name: "g"}
			b.ResetTimer()
			for i := range b.N {
				request := &Request{ID: fmt.Sprint("r", i)}
				if placement, found := d.Place(request, group, PlaceOptions{}); found {
					placement.Runner.finish(0)
				}
			}
		})
	}
}
