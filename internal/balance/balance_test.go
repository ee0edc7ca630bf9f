package balance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

// engines returns workers of one group and role in three zones.
func engines(role backend.Role, count int) backend.Set {
	set := backend.Set{}
	for i := range count {
		id := fmt.Sprintf("%s-%d", role, i)
		set[id] = &backend.Worker{
			ID: id, Group: "g", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprintf("z%d", i%3), Slots: 8, Role: role,
		}
	}
	return set
}

func TestGatewaysPickTheSameWorkerForAPrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := engines(backend.RolePrefill, rapid.IntRange(1, 12).Draw(t, "workers"))
		key := rapid.String().Draw(t, "key")
		query := Query{Group: "g", Role: backend.RolePrefill, Key: key + "k"}
		chosen := map[string]bool{}
		for _, zone := range []string{"z0", "z1", "z2"} {
			balancer := New(DefaultSettings(), enginemodel.New(), nil)
			balancer.SetWorkers(set)
			query.Request = "request of " + zone
			choice, found := balancer.Pick(epoch, query)
			if !found {
				t.Fatalf("no worker was picked for %+v", query)
			}
			chosen[choice.Worker.ID] = true
		}
		if len(chosen) != 1 {
			t.Fatalf("gateways picked different workers: %v", chosen)
		}
	})
}

func TestDrainingAndExcludedWorkersAreNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := engines(backend.RoleDecode, 6)
		var excluded []string
		for id, worker := range set {
			switch rapid.IntRange(0, 2).Draw(t, id) {
			case 0:
				worker.Draining = true
			case 1:
				excluded = append(excluded, id)
			}
		}
		balancer := New(DefaultSettings(), enginemodel.New(), nil)
		balancer.SetWorkers(set)
		for id := range set {
			for range rapid.IntRange(0, 4).Draw(t, "failures of "+id) {
				balancer.Begin(id, LoadOf(0, false))
				balancer.End(epoch, id, OutcomeMalformed)
			}
		}
		choice, found := balancer.Pick(epoch, Query{Request: "r", Group: "g", Role: backend.RoleDecode, Excluded: excluded})
		if !found {
			return
		}
		if choice.Worker.Draining {
			t.Fatalf("picked %s, which is draining", choice.Worker.ID)
		}
		for _, id := range excluded {
			if choice.Worker.ID == id {
				t.Fatalf("picked %s, which is excluded", id)
			}
		}
	})
}

func TestFailingWorkersAreEjectedTemporarily(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	balancer.SetWorkers(engines(backend.RoleNone, 2))
	query := Query{Request: "r", Group: "g", Zone: "z0"}
	if choice, _ := balancer.Pick(epoch, query); choice.Worker.Zone != "z0" {
		t.Fatalf("picked %s in zone %q, want the worker in zone z0", choice.Worker.ID, choice.Worker.Zone)
	}
	balancer.Begin("-0", LoadOf(0, false))
	balancer.End(epoch, "-0", OutcomeUnreachable)
	if choice, _ := balancer.Pick(epoch, query); choice.Worker.ID == "-0" {
		t.Fatalf("picked %s, which is ejected", choice.Worker.ID)
	}
	if choice, _ := balancer.Pick(epoch.Add(2*time.Second), query); choice.Worker.ID != "-0" {
		t.Fatalf("picked %s after the ejection of -0 ended, want -0", choice.Worker.ID)
	}
}

func TestPickFindsAWorkerWhenAllAreEjected(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	set := engines(backend.RoleDecode, 4)
	balancer.SetWorkers(set)
	for id := range set {
		balancer.Begin(id, LoadOf(0, false))
		balancer.End(epoch, id, OutcomeUnreachable)
	}
	if _, found := balancer.Pick(epoch, Query{Request: "r", Group: "g", Role: backend.RoleDecode}); !found {
		t.Fatal("no worker was picked of 4 ejected ones, want any")
	}
}

func TestSetWorkersKeepsStateOfRemainingWorkers(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	set := engines(backend.RoleDecode, 2)
	balancer.SetWorkers(set)
	balancer.Begin("decode-0", LoadOf(100, false))
	balancer.SetWorkers(set.Clone())
	if balancer.workers["decode-0"].load.Running != 1 {
		t.Fatalf("decode-0 has %d running requests, want 1", balancer.workers["decode-0"].load.Running)
	}
	balancer.End(epoch, "decode-0", OutcomeGood)
	balancer.End(epoch, "decode-0", OutcomeGood)
	if balancer.workers["decode-0"].load.Running != 0 {
		t.Fatalf("decode-0 has %d running requests after more ended than began, want 0", balancer.workers["decode-0"].load.Running)
	}
}

func TestLoadOfOtherGatewaysCounts(t *testing.T) {
	busy := func(worker string) backend.Load {
		if worker == "prefill-1" {
			return backend.Load{}
		}
		return backend.Load{Running: 1, PrefillTokens: 50_000}
	}
	balancer := New(DefaultSettings(), enginemodel.New(), busy)
	balancer.SetWorkers(engines(backend.RolePrefill, 3))
	choice, _ := balancer.Pick(epoch, Query{Request: "r", Group: "g", Role: backend.RolePrefill, Key: "k"})
	if choice.Worker.ID != "prefill-1" {
		t.Fatalf("picked %s, want prefill-1", choice.Worker.ID)
	}
}

func TestSecondReportFromOtherGatewaysEjects(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	balancer.SetWorkers(engines(backend.RoleDecode, 4))
	balancer.RemoteEjection(epoch, "decode-0")
	if !balancer.Usable(epoch, "decode-0") {
		t.Error("decode-0 is ejected after one report")
	}
	balancer.RemoteEjection(epoch, "decode-0")
	if balancer.Usable(epoch, "decode-0") {
		t.Error("decode-0 is not ejected after two reports")
	}
}

// TestRefusingWorkerDoesNotAttractEveryRequest guards against sending every request to a worker that refuses them all
// and therefore looks idle.
func TestRefusingWorkerDoesNotAttractEveryRequest(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), func(worker string) backend.Load {
		if worker == "decode-0" {
			return backend.Load{}
		}
		return backend.Load{Running: 5}
	})
	balancer.SetWorkers(engines(backend.RoleDecode, 4))
	now, refused := epoch, 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		choice, _ := balancer.Pick(now, Query{Request: "r", Group: "g", Role: backend.RoleDecode})
		balancer.Begin(choice.Worker.ID, LoadOf(0, false))
		outcome := OutcomeGood
		if choice.Worker.ID == "decode-0" {
			outcome = OutcomeRefused
			refused++
		}
		balancer.End(now, choice.Worker.ID, outcome)
	}
	if refused == 0 || refused > 6 {
		t.Errorf("%d of 100 requests went to the refusing worker, want 1 to 6", refused)
	}
}

// TestHealthyWorkersArePreferredOverEjected guards against picking ejected workers, which look idle, before a busy
// healthy one when too few healthy workers are left.
func TestHealthyWorkersArePreferredOverEjected(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), func(worker string) backend.Load {
		if worker == "decode-0" {
			return backend.Load{Running: 30, PrefillTokens: 2000}
		}
		return backend.Load{}
	})
	balancer.SetWorkers(engines(backend.RoleDecode, 6))
	for i := 1; i < 6; i++ {
		id := fmt.Sprint("decode-", i)
		balancer.Begin(id, LoadOf(0, false))
		balancer.End(epoch, id, OutcomeUnreachable)
	}
	choice, _ := balancer.Pick(epoch, Query{Request: "r", Group: "g", Role: backend.RoleDecode})
	if choice.Worker.ID != "decode-0" {
		t.Errorf("picked %s, want decode-0", choice.Worker.ID)
	}
}

// TestSuspectsAreSpreadOverCheapWorkers guards against suspects that all go to one worker, or to a much costlier one.
func TestSuspectsAreSpreadOverCheapWorkers(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	balancer.SetWorkers(engines(backend.RoleDecode, 32))
	suspect := func(i int) Query {
		return Query{Group: "g", Role: backend.RoleDecode, Key: "shared prompt", SuspectKey: fmt.Sprint("digest ", i)}
	}
	busy, _ := balancer.Pick(epoch, suspect(0))
	balancer.Begin(busy.Worker.ID, backend.Load{Running: 1, Prefilling: 1, PrefillTokens: 500_000})
	pickedWithoutSpread, pickedForSuspects := map[string]int{}, map[string]int{}
	for i := range 200 {
		query := suspect(i)
		query.SuspectKey = ""
		choice, _ := balancer.Pick(epoch, query)
		pickedWithoutSpread[choice.Worker.ID]++
		first, _ := balancer.Pick(epoch, suspect(i))
		again, _ := balancer.Pick(epoch, suspect(i))
		if first.Worker != again.Worker {
			t.Errorf("suspect %q goes to %s and then to %s", suspect(i).SuspectKey, first.Worker.ID, again.Worker.ID)
		}
		pickedForSuspects[first.Worker.ID]++
	}
	if len(pickedWithoutSpread) != 1 {
		t.Errorf("queries without a suspect key go to %v, want one worker", pickedWithoutSpread)
	}
	if len(pickedForSuspects) != 7 || pickedForSuspects[busy.Worker.ID] > 0 {
		t.Errorf("suspects go to %v, want 7 workers without %s", pickedForSuspects, busy.Worker.ID)
	}
}
