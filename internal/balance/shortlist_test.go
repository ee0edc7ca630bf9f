package balance

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// fleetOf returns writers of one group in six zones.
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

// TestAChoiceLooksAtNoMoreOfTwiceTheFleet counts the candidates of choices at fleets of both sizes.
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
				t.Fatalf("at %d workers %d were looked at, at the most %d are to be: %t", size, choice.Candidates, maxCandidates, found)
			}
		}
	}
}

// TestGatewaysOfALargeFleetKeepAPromptTogether asks gateways of all zones, which share nothing but the list of workers, for prompts of one
// key: the worker that keeps it is among those that each looks at, and without a cost of distance all choose it.
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
			t.Errorf("prompts of k%d went to %v", number, chosen)
		}
	}
}

// TestSomeOfALargeFleetAreFoundWhenFewAreLeft has most workers drain, fail or be tried before.
func TestPickFindsTheFewAvailableWorkersOfALargeFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := decodeFleet(1_200)
		availableOneIn := rapid.IntRange(1, 9).Draw(t, "one in so many takes work")
		for i := range 1_200 {
			set[fmt.Sprintf("w%05d", i)].Draining = i%availableOneIn != 0
		}
		balancer := New(DefaultSettings(), enginemodel.New(), nil)
		balancer.SetWorkers(set)
		var excluded []string
		for range rapid.IntRange(0, 20).Draw(t, "tries") {
			query := Query{Request: rapid.String().Draw(t, "request"), Group: "g", Role: backend.RoleDecode, Zone: "z1", Excluded: excluded}
			query.Gather = rapid.Bool().Draw(t, "gather")
			choice, found := balancer.Pick(epoch, query)
			if !found || choice.Worker.Draining || slices.Contains(excluded, choice.Worker.ID) {
				t.Fatalf("picked %+v, tried %v", choice, excluded)
			}
			excluded = append(excluded, choice.Worker.ID)
			balancer.Begin(choice.Worker.ID, LoadOf(0, false))
			balancer.End(epoch, choice.Worker.ID, OutcomeUnreachable)
		}
	})
}

// TestShortPromptsOfALargeFleetNeedFewConnections sends the short prompts of a minute, 100 a second that take 30 ms each, through one
// gateway of a fleet of ten thousand. They are kept together at a few workers of its zone, each of which is a connection to open, and none
// of them has more than its places to do.
func TestShortPromptsOfALargeFleetUseFewWorkers(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	balancer.SetWorkers(decodeFleet(10_000))
	used := map[string]bool{}
	var running []string
	for i := range 6_000 {
		choice, _ := balancer.Pick(epoch, Query{
			Request: fmt.Sprint("r", i), Group: "g", Role: backend.RoleDecode, Key: fmt.Sprint("short ", i%3355), Zone: "z2", Gather: true,
		})
		balancer.Begin(choice.Worker.ID, LoadOf(0, false))
		if load := balancer.Load(choice.Worker.ID); load.Running > 2 {
			t.Fatalf("%d run at %s while thousands are idle", load.Running, choice.Worker.ID)
		}
		used[choice.Worker.ID] = true
		if running = append(running, choice.Worker.ID); len(running) > 3 {
			balancer.End(epoch, running[0], OutcomeGood)
			running = running[1:]
		}
	}
	if len(used) > 2*DefaultShortlistSettings().Affinity {
		t.Errorf("%d workers were used", len(used))
	}
}

// TestRandomOnesBearALoadBeyondTheHome sends 2,000 prompts of one key at a moment: the workers of its home fill, and the others get
// the rest.
func TestRandomCandidatesAbsorbLoadOfAHotKey(t *testing.T) {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	balancer.SetWorkers(decodeFleet(10_000))
	maxRunning := 0
	for i := range 2_000 {
		choice, _ := balancer.Pick(epoch, Query{Request: fmt.Sprint("r", i), Group: "g", Role: backend.RoleDecode, Key: "one", Zone: "z2"})
		balancer.Begin(choice.Worker.ID, LoadOf(0, false))
		maxRunning = max(maxRunning, balancer.Load(choice.Worker.ID).Running)
	}
	// Spread at random over the 1,667 of the zone alone some would have six and more.
	if maxRunning > 8 {
		t.Errorf("one worker has %d of 2,000", maxRunning)
	}
}
