package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// TestOnlyEligibleWorkersArePicked guards against a request that is sent to a worker which may not serve it, and against one that finds no
// worker in a large role of which few are eligible.
func TestOnlyEligibleWorkersArePicked(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, size := range []int{12, 3000} {
		t.Run(fmt.Sprint(size, " workers"), func(t *testing.T) {
			b := New(DefaultSettings(), enginemodel.New(), nil)
			b.SetWorkers(decodeFleet(size))
			eligible := fmt.Sprintf("w%05d", size/2)
			for i := range 50 {
				query := Query{
					Request: fmt.Sprint("r", i), Group: "g", Role: backend.RoleDecode, Zone: fmt.Sprint("z", i%6),
					Eligible: func(worker *backend.Worker) bool { return worker.ID == eligible },
				}
				if choice, found := b.Pick(now, query); !found || choice.Worker.ID != eligible {
					t.Fatalf("picked %v, %t", choice.Worker, found)
				}
				if preferred := b.Preferred(now, query); preferred == nil || preferred.ID != eligible {
					t.Fatalf("preferred %v", preferred)
				}
				if backup, found := b.Backup(now, query, func(string) bool { return true }); found && backup.ID != eligible {
					t.Fatalf("backup %v", backup)
				}
				query.SuspectKey = "k"
				if choice, found := b.Pick(now, query); found && choice.Worker.ID != eligible {
					t.Fatalf("a suspect was picked for %v", choice.Worker)
				}
			}
		})
	}
}
