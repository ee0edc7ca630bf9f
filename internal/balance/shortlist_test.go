package balance

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// decodeFleet returns decode engines of one group in six zones.
func decodeFleet(size int) backend.Set {
	set := make(backend.Set, size)
	for i := range size {
		id := fmt.Sprintf("w%05d", i)
		set[id] = &backend.Worker{
			ID: id, Group: "g", Address: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255), Zone: fmt.Sprint("z", i%6), Slots: 12, Role: backend.RoleDecode,
		}
	}
	return set
}

// TestCandidatesAreBoundedForAnyFleetSize guards against a number of candidates that grows with the fleet.
func TestCandidatesAreBoundedForAnyFleetSize(t *testing.T) {
	settings := DefaultShortlistSettings()
	maxCandidates := settings.Holders + 2*(settings.Affinity+settings.Random)
	for _, size := range []int{1_000, 10_000, 20_000} {
		balancer := New(DefaultSettings(), enginemodel.New(), nil)
		balancer.SetWorkers(decodeFleet(size))
		for i := range 100 {
			query := Query{Request: fmt.Sprint("r", i), Group: "g", Role: backend.RoleDecode, Key: fmt.Sprint("k", i%7), Zone: fmt.Sprint("z", i%6)}
			choice, found := balancer.Pick(epoch, query)
			if !found || choice.Candidates > maxCandidates {
				t.Fatalf("%d workers: %d candidates, want at most %d (found: %t)", size, choice.Candidates, maxCandidates, found)
			}
		}
	}
}

// TestGatewaysOfALargeFleetPickTheSameWorkerForAKey guards against gateways of different zones that pick different
// workers for a key although crossing zones costs nothing.
func TestGatewaysOfALargeFleetPickTheSameWorkerForAKey(t *testing.T) {
	settings := DefaultSettings()
	settings.OtherZoneSeconds = 0
	set := decodeFleet(3_000)
	for number := range 50 {
		chosen := map[string]bool{}
		for zone := range 6 {
			balancer := New(settings, enginemodel.New(), nil)
			balancer.SetWorkers(set)
			choice, _ := balancer.Pick(epoch, Query{
				Request: fmt.Sprint("of zone ", zone), Group: "g", Role: backend.RoleDecode, Key: fmt.Sprint("k", number), Zone: fmt.Sprint("z", zone),
			})
			chosen[choice.Worker.ID] = true
		}
		if len(chosen) != 1 {
			t.Errorf("prompts with key k%d went to %v, want one worker", number, chosen)
		}
	}
}

// TestPickFindsTheFewAvailableWorkersOfALargeFleet guards against finding no worker although some are available, while
// most are draining, ejected or excluded.
func TestPickFindsTheFewAvailableWorkersOfALargeFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := decodeFleet(1_200)
		availableOneIn := rapid.IntRange(1, 9).Draw(t, "available one in")
		for i := range 1_200 {
			set[fmt.Sprintf("w%05d", i)].Draining = i%availableOneIn != 0
		}
		balancer := New(DefaultSettings(), enginemodel.New(), nil)
		balancer.SetWorkers(set)
		var excluded []string
		for range rapid.IntRange(0, 20).Draw(t, "attempts") {
			query := Query{Request: rapid.String().Draw(t, "request"), Group: "g", Role: backend.RoleDecode, Zone: "z1", Excluded: excluded}
			query.Concentrate = rapid.Bool().Draw(t, "concentrate")
			choice, found := balancer.Pick(epoch, query)
			if !found || choice.Worker.Draining || slices.Contains(excluded, choice.Worker.ID) {
				t.Fatalf("picked %+v (found: %t), want an available worker other than %v", choice, found, excluded)
			}
			excluded = append(excluded, choice.Worker.ID)
			balancer.Begin(choice.Worker.ID, LoadOf(0, false))
			balancer.End(epoch, choice.Worker.ID, OutcomeUnreachable)
		}
	})
}

// TestShortPromptsOfALargeFleetUseFewWorkers guards against short prompts that open connections to many workers of a
// large fleet, or overload the few that they are concentrated on.
func TestShortPromptsOfALargeFleetUseFewWorkers(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	balancer.SetWorkers(decodeFleet(10_000))
	used := map[string]bool{}
	var running []string
	for i := range 6_000 {
		choice, _ := balancer.Pick(epoch, Query{
			Request: fmt.Sprint("r", i), Group: "g", Role: backend.RoleDecode, Key: fmt.Sprint("short ", i%3355), Zone: "z2", Concentrate: true,
		})
		balancer.Begin(choice.Worker.ID, LoadOf(0, false))
		if load := balancer.Load(choice.Worker.ID); load.Running > 2 {
			t.Fatalf("%s has %d running requests, want at most 2", choice.Worker.ID, load.Running)
		}
		used[choice.Worker.ID] = true
		if running = append(running, choice.Worker.ID); len(running) > 3 {
			balancer.End(epoch, running[0], OutcomeGood)
			running = running[1:]
		}
	}
	if len(used) > 2*DefaultShortlistSettings().Affinity {
		t.Errorf("%d workers were used, want at most %d", len(used), 2*DefaultShortlistSettings().Affinity)
	}
}

// TestRandomCandidatesAbsorbLoadOfAHotKey guards against overloading the affinity candidates of one frequent key.
func TestRandomCandidatesAbsorbLoadOfAHotKey(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	balancer.SetWorkers(decodeFleet(10_000))
	maxRunning := 0
	for i := range 2_000 {
		choice, _ := balancer.Pick(epoch, Query{Request: fmt.Sprint("r", i), Group: "g", Role: backend.RoleDecode, Key: "one", Zone: "z2"})
		balancer.Begin(choice.Worker.ID, LoadOf(0, false))
		maxRunning = max(maxRunning, balancer.Load(choice.Worker.ID).Running)
	}
	// Without random candidates, the 24 affinity candidates would get more than 80 requests each.
	if maxRunning > 8 {
		t.Errorf("one worker has %d of 2,000 requests, want at most 8", maxRunning)
	}
}
