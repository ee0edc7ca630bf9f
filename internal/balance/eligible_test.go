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

// TestSuspectsFindEligibleWorkers guards against suspects that are refused because all workers which the role can lose are of another kind, and
// against kinds of workers that multiply the number of those at risk.
func TestSuspectsFindEligibleWorkers(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(DefaultSettings(), enginemodel.New(), nil)
	set := decodeFleet(12)
	b.SetWorkers(set)
	atRisk := map[string]bool{}
	for kind := range 4 {
		isOfKind := func(worker *backend.Worker) bool { return worker.ID[len(worker.ID)-1]%4 == byte(kind) }
		for i := range 40 {
			query := Query{
				Request: fmt.Sprint("r", i), SuspectKey: fmt.Sprint("k", i), Group: "g", Role: backend.RoleDecode, Eligible: isOfKind,
			}
			choice, found := b.Pick(now, query)
			if !found || !isOfKind(choice.Worker) {
				t.Fatalf("kind %d: picked %v, %t", kind, choice.Worker, found)
			}
			atRisk[choice.Worker.ID] = true
		}
	}
	for i := range 40 {
		if choice, found := b.Pick(now, Query{Request: fmt.Sprint("r", i), SuspectKey: fmt.Sprint("k", i), Group: "g", Role: backend.RoleDecode}); found {
			atRisk[choice.Worker.ID] = true
		}
	}
	// Three of twelve may be lost, and each kind but those of the three adds one.
	if len(atRisk) > 3+3 {
		t.Errorf("%d workers are at risk: %v", len(atRisk), atRisk)
	}
}
