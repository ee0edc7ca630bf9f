package forward

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/peersync"
)

// beginWarmup starts the warm-up of both gateways with all engines.
func (pair *gatewayPair) beginWarmup() {
	for _, gateway := range pair.gateways {
		var ids []string
		for id := range pair.records {
			ids = append(ids, id)
		}
		gateway.BeginWarmup(ids)
	}
}

// exchangeReports delivers the engine reports of each gateway to the other.
func (pair *gatewayPair) exchangeReports() {
	for i, gateway := range pair.gateways {
		supplement := peersync.Supplement{EngineReports: gateway.TakeEngineReports()}
		pair.gateways[1-i].ApplyEngineReports(supplement.EngineReports)
	}
}

// decoders returns the decode engines that a gateway places requests on.
func (pair *gatewayPair) decoders(t *testing.T, gateway *Dispatcher) map[string]bool {
	t.Helper()
	used := map[string]bool{}
	for i := range 60 {
		request := &Request{ID: string(rune('a' + i)), Demand: backend.Demand{PromptTokens: 10}}
		placement, found := gateway.Place(request, pair.group, PlaceOptions{Colocated: true})
		if !found {
			t.Fatal("no engine")
		}
		used[placement.Runner.Worker.ID] = true
	}
	return used
}

// TestRoleChangeOfEndedGatewayIsLearned guards against sending requests to an engine that refuses all of them, because it
// is still changing its role on an order of a gateway that has ended.
func TestRoleChangeOfEndedGatewayIsLearned(t *testing.T) {
	pair := newGatewayPair()
	pair.beginWarmup()
	pair.gateways[0].RecordEngineReport(EngineReport{Worker: "decode1", Role: backend.RoleDecode, Changing: true})
	pair.exchangeReports()
	for i, gateway := range pair.gateways {
		if used := pair.decoders(t, gateway); used["decode1"] || !used["decode0"] || !used["decode2"] {
			t.Errorf("gateway %d placed requests on %v", i, used)
		}
	}
	pair.now = pair.now.Add(roleChangeTime)
	queries := pair.gateways[0].EnginesToQuery()
	if len(queries) != 1 || queries[0].Worker.ID != "decode1" {
		t.Fatalf("queries %v, want one of decode1", queries)
	}
	pair.gateways[0].RecordResponse("decode1", backend.RolePrefill, false)
	pair.exchange()
	for i, gateway := range pair.gateways {
		if worker, _ := gateway.balancer.Worker("decode1"); worker.Role != backend.RolePrefill {
			t.Errorf("gateway %d: role %s", i, worker.Role)
		}
	}
}

// TestUnfinishedRoleChangeOfEndedGatewayIsCanceled guards against an engine that is skipped although it has kept its role.
func TestUnfinishedRoleChangeOfEndedGatewayIsCanceled(t *testing.T) {
	pair := newGatewayPair()
	pair.beginWarmup()
	pair.gateways[0].RecordEngineReport(EngineReport{Worker: "decode1", Role: backend.RoleDecode, Changing: true})
	pair.now = pair.now.Add(roleChangeTime)
	pair.gateways[0].RecordResponse("decode1", backend.RoleDecode, true)
	if used := pair.decoders(t, pair.gateways[0]); used["decode1"] {
		t.Error("used while it is changing its role")
	}
	pair.gateways[0].RecordResponse("decode1", backend.RoleDecode, false)
	if used := pair.decoders(t, pair.gateways[0]); !used["decode1"] {
		t.Error("not used although it has kept its role")
	}
}

// TestLoadOfEndedGatewaysIsLearned guards against engines that get more requests than they have slots, because those of
// the previous gateways still run there, and against counting own requests twice.
func TestLoadOfEndedGatewaysIsLearned(t *testing.T) {
	pair := newGatewayPair()
	pair.beginWarmup()
	gateway := pair.gateways[0]
	for id := range pair.records {
		running := 2
		if id == "decode0" {
			running = 31
		}
		gateway.RecordEngineReport(EngineReport{Worker: id, Role: pair.records[id].Role, Running: running})
	}
	pair.exchangeReports()
	for i, gateway := range pair.gateways {
		if share := gateway.KnownShare(); share != 1 {
			t.Errorf("gateway %d knows the load of %f", i, share)
		}
		if got := gateway.balancer.TotalLoad("decode0").Running; got != 31 {
			t.Errorf("gateway %d: load %d", i, got)
		}
		if used := pair.decoders(t, gateway); used["decode0"] {
			t.Errorf("gateway %d placed requests on the full engine", i)
		}
	}
	// A report that arrives after own requests began includes them.
	other := newGatewayPair()
	other.beginWarmup()
	placed := 0
	for range 9 {
		request := &Request{ID: "r", Demand: backend.Demand{PromptTokens: 10}}
		if placement, found := other.gateways[0].Place(request, other.group, PlaceOptions{Colocated: true}); found && placement.Runner.Worker.ID == "decode0" {
			placed++
		}
	}
	other.gateways[0].RecordEngineReport(EngineReport{Worker: "decode0", Role: backend.RoleDecode, Running: placed + 3})
	if got := other.gateways[0].balancer.TotalLoad("decode0").Running; got != placed+3 {
		t.Errorf("load %d, want %d", got, placed+3)
	}
}

// TestReportOfReplacedEngineIsIgnored guards against state of an engine that has been restarted since.
func TestReportOfReplacedEngineIsIgnored(t *testing.T) {
	pair := newGatewayPair()
	pair.beginWarmup()
	gateway := pair.gateways[0]
	gateway.RecordEngineReport(EngineReport{Worker: "decode0-before", Role: backend.RoleDecode, Changing: true, Running: 32})
	if len(gateway.EnginesToQuery()) != 0 || gateway.KnownShare() != 0 {
		t.Errorf("queries %v, known share %f", gateway.EnginesToQuery(), gateway.KnownShare())
	}
}

// TestSilentEngineIsUsedAfterWarmup guards against waiting for a report that never comes.
func TestSilentEngineIsUsedAfterWarmup(t *testing.T) {
	pair := newGatewayPair()
	pair.beginWarmup()
	for id, worker := range pair.records {
		if id != "decode0" {
			pair.gateways[0].RecordEngineReport(EngineReport{Worker: id, Role: worker.Role})
		}
	}
	pair.now = pair.now.Add(time.Second)
	if gateway := pair.gateways[0]; gateway.KnownShare() != 1 || !pair.decoders(t, gateway)["decode0"] {
		t.Errorf("known share %f, decode0 not used", gateway.KnownShare())
	}
}
