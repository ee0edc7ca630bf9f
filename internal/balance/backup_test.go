package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// TestBackupsAreSpread guards against copies that all go to the same engine, and against one at an engine that is excluded, draining or of the
// other role, or in the zone to avoid while another has engines.
func TestBackupsAreSpread(t *testing.T) {
	b := New(DefaultSettings(), enginemodel.New(), func(string) backend.Load { return backend.Load{} })
	set := backend.Set{}
	for i := range 20 {
		id := fmt.Sprintf("e%02d", i)
		set[id] = &backend.Worker{
			ID: id, Group: "g", Address: id, Slots: 4, Role: []backend.Role{backend.RoleDecode, backend.RolePrefill}[i%2],
			Zone: []string{"x", "y"}[i/2%2], Draining: i == 4,
		}
	}
	b.SetWorkers(set)
	counts := map[string]int{}
	const requests = 1000
	for i := range requests {
		query := Query{Request: fmt.Sprint("r", i), Group: "g", Role: backend.RoleDecode, Excluded: []string{"e00"}}
		worker, found := b.Backup(time.Unix(1000, 0), query, func(zone string) bool { return zone == "x" })
		if !found || worker.Role != backend.RoleDecode || worker.Zone != "x" || worker.Draining || worker.ID == "e00" {
			t.Fatalf("picked %+v, %t", worker, found)
		}
		counts[worker.ID]++
	}
	for id, count := range counts {
		if count > requests*2/3 {
			t.Errorf("%s keeps %d of %d copies", id, count, requests)
		}
	}
	if len(counts) != 3 {
		t.Errorf("copies at %v", counts)
	}
	if worker, found := b.Backup(time.Unix(1000, 0), Query{Request: "r", Group: "g", Role: backend.RoleDecode}, func(string) bool { return false }); !found {
		t.Errorf("no engine outside the preferred zone: %v", worker)
	}
}
