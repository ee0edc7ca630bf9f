package roles

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
)

// paceTest simulates a group whose engines differ in their pace.
type paceTest struct {
	scenario
	// paces are the true paces of the engines relative to the typical one.
	paces map[string]float64
	// known is set once paces are known. They are relative to the typical engine of the role.
	known bool
}

// newPaceTest returns a group of engines, of which each third is slower by the factor.
func newPaceTest(t *testing.T, prefill, decode int, factor float64) *paceTest {
	s := &paceTest{
		scenario: scenario{t: t, planner: NewPlanner(DefaultSettings()), now: epoch, group: &Group{Engines: newEngines(prefill, decode, 0)}, changingUntil: map[string]time.Time{}},
		paces:    map[string]float64{}, known: true,
	}
	for i, engine := range s.group.Engines {
		s.paces[engine.Worker.ID] = 1
		if i%3 == 0 {
			s.paces[engine.Worker.ID] = factor
		}
	}
	return s
}

// run plays a load for some seconds, and returns the number of changes.
func (s *paceTest) run(seconds int, prefillDemand float64, requests int) int {
	before := len(s.changes)
	for range seconds * 4 {
		s.now = s.now.Add(250 * time.Millisecond)
		s.group.PrefillDemand = prefillDemand
		s.load(requests)
		for change := s.planner.Next(s.now, s.group); change != nil; change = s.planner.Next(s.now, s.group) {
			s.changes = append(s.changes, fmt.Sprintf("%s %s", change.Worker.ID, change.Role))
			s.changingUntil[change.Worker.ID] = s.now.Add(3 * time.Second)
			s.load(requests)
		}
	}
	return len(s.changes) - before
}

// load distributes the requests, completes changes, and sets the known paces.
func (s *paceTest) load(requests int) {
	s.applyLoad(requests)
	for i := range s.group.Engines {
		engine := &s.group.Engines[i]
		engine.Pace = 0
		if s.known {
			engine.Pace = s.paces[engine.Worker.ID] / s.typical(engine.Worker.Role)
		}
	}
}

// typical returns the median pace of the engines with a role.
func (s *paceTest) typical(role backend.Role) float64 {
	var paces []float64
	for _, engine := range s.group.Engines {
		if engine.Worker.Role == role {
			paces = append(paces, s.paces[engine.Worker.ID])
		}
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// slow returns the number of slow engines with a role.
func (s *paceTest) slow(role backend.Role) int {
	n := 0
	for _, engine := range s.group.Engines {
		if engine.Worker.Role == role && s.paces[engine.Worker.ID] >= clearPaceRatio {
			n++
		}
	}
	return n
}

// TestSlowDecodeEnginesBecomePrefillEngines guards against slow engines that keep the decode role while faster ones prefill, and against
// exchanges that go on.
func TestSlowDecodeEnginesBecomePrefillEngines(t *testing.T) {
	s := newPaceTest(t, 35, 55, 2.4)
	changes := s.run(60, 8, 500)
	if slow := s.slow(backend.RoleDecode); slow > 12 {
		t.Errorf("%d of 30 slow engines decode after a minute, want at most 12", slow)
	}
	if slow := s.slow(backend.RolePrefill); slow > 25 {
		t.Errorf("%d of 35 prefill engines are slow, want at most 25, because long prompts need the others", slow)
	}
	if changes > 50 {
		t.Errorf("%d changes, want at most 50", changes)
	}
	if more := s.run(120, 8, 500); more > 4 {
		t.Errorf("%d changes in the next 2 minutes, want at most 4: %v", more, s.changes[changes:])
	}
}

// TestSlowEnginesAreExchangedAtTheMinimum guards against slow engines that keep the decode role because it has only its minimum of engines.
func TestSlowEnginesAreExchangedAtTheMinimum(t *testing.T) {
	s := newPaceTest(t, 60, 30, 2.4)
	changes := s.run(40, 20, 100)
	if slow := s.slow(backend.RoleDecode); slow > 2 {
		t.Errorf("%d of 30 decode engines are slow, want at most 2", slow)
	}
	if changes > 24 {
		t.Errorf("%d changes, want at most 24", changes)
	}
}

// TestExchangeLeavesOneDecodeEngine guards against an idle group whose only decode engine is exchanged, so that none serves until another has
// changed its role.
func TestExchangeLeavesOneDecodeEngine(t *testing.T) {
	settings := DefaultSettings()
	settings.MinEngines = map[backend.Role]int{backend.RolePrefill: 1, backend.RoleDecode: 1}
	planner, group := NewPlanner(settings), &Group{Engines: newEngines(2, 1, 0)}
	decode := &group.Engines[2]
	decode.Pace = 2.4
	for i := range 40 {
		now := epoch.Add(time.Duration(i) * settings.TickInterval)
		for change := planner.Next(now, group); change != nil; change = planner.Next(now, group) {
			for j := range group.Engines {
				if engine := &group.Engines[j]; engine.Worker == change.Worker {
					engine.TargetRole, engine.Usable = change.Role, false
				}
			}
		}
		if decode.TargetRole != backend.RoleNone {
			t.Fatalf("the only decode engine is ordered to take the role %s after %s", decode.TargetRole, now.Sub(epoch))
		}
	}
}

// TestPlannerForgetsExchangeWhileAnotherDecides guards against the second change of an exchange, or one for a slowness that may have ended, by
// a planner that was not asked for a time because another gateway decided on roles.
func TestPlannerForgetsExchangeWhileAnotherDecides(t *testing.T) {
	s := newPaceTest(t, 45, 45, 2.4)
	s.run(1, 8, 300)
	for s.planner.paces.partnerRole == backend.RoleNone {
		s.now = s.now.Add(250 * time.Millisecond)
		s.load(300)
		if s.now.Sub(epoch) > 10*time.Second {
			t.Fatal("no exchange began")
		}
		s.planner.Next(s.now, s.group)
	}
	s.now = s.now.Add(time.Hour)
	if changes := s.run(1, 8, 300); changes != 0 {
		t.Errorf("%d changes a second after an hour without decisions, want 0: %v", changes, s.changes)
	}
}

// TestAlikeEnginesChangeAsWithoutPaces guards against changes that depend on differences of the paces within their error.
func TestAlikeEnginesChangeAsWithoutPaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		prefill, decode := rapid.IntRange(2, 30).Draw(rt, "prefill"), rapid.IntRange(2, 30).Draw(rt, "decode")
		with, without := newPaceTest(t, prefill, decode, 1), newPaceTest(t, prefill, decode, 1)
		without.known = false
		for _, engine := range with.group.Engines {
			with.paces[engine.Worker.ID] = rapid.Float64Range(0.85, 1.2).Draw(rt, "pace")
		}
		for range rapid.IntRange(1, 8).Draw(rt, "phases") {
			demand, requests := rapid.Float64Range(0, 20).Draw(rt, "prefill demand"), rapid.IntRange(0, 600).Draw(rt, "requests")
			with.run(4, demand, requests)
			without.run(4, demand, requests)
		}
		if !slices.Equal(with.changes, without.changes) {
			rt.Fatalf("changes %v with paces, want %v as without", with.changes, without.changes)
		}
	})
}

// TestSwingingDemandCausesFewChangesForPace guards against engines that are exchanged back and forth while two kinds of requests take turns.
func TestSwingingDemandCausesFewChangesForPace(t *testing.T) {
	s := newPaceTest(t, 30, 60, 2.4)
	for range 10 {
		s.run(3, 4, 900)
		s.run(3, 12, 500)
	}
	changes := len(s.changes)
	for range 20 {
		s.run(3, 4, 900)
		s.run(3, 12, 500)
	}
	if changes > 70 || len(s.changes)-changes > 8 {
		t.Errorf("%d changes in the first minute and %d in the next two, want at most 70 and 8", changes, len(s.changes)-changes)
	}
}

// TestNoExchangeWithoutKnownPaces guards against changes for pace by a planner that has just started.
func TestNoExchangeWithoutKnownPaces(t *testing.T) {
	s := newPaceTest(t, 45, 45, 2.4)
	s.known = false
	if changes := s.run(30, 8, 300); changes != 0 {
		t.Errorf("%d changes without known paces, want 0: %v", changes, s.changes)
	}
	s.known = true
	if changes := s.run(1, 8, 300); changes != 0 {
		t.Errorf("%d changes a second after the first paces, want 0: %v", changes, s.changes)
	}
}

// TestReclaimedZoneStopsExchanges guards against engines that are exchanged while those that remain after the loss of others are full.
func TestReclaimedZoneStopsExchanges(t *testing.T) {
	s := newPaceTest(t, 30, 60, 2.4)
	s.run(1, 8, 500)
	// The first half of the decode engines is reclaimed.
	s.group.Engines = slices.DeleteFunc(s.group.Engines, func(engine Engine) bool {
		return strings.HasPrefix(engine.Worker.ID, "w") && len(engine.Worker.ID) == 3 && engine.Worker.ID < "w40"
	})
	s.changes = nil
	s.run(10, 8, 1300)
	for _, change := range s.changes {
		if strings.HasSuffix(change, string(backend.RolePrefill)) {
			t.Errorf("%s while the decode engines are full, want none that takes one away", change)
		}
	}
	if size := len(s.planner.paces.known); size > len(s.group.Engines) {
		t.Errorf("the paces of %d engines are kept, want at most those of %d", size, len(s.group.Engines))
	}
}

// BenchmarkNext measures a step of the planner in a large group whose engines differ in their pace.
func BenchmarkNext(b *testing.B) {
	engines := newEngines(2000, 3200, 10)
	for i := range engines {
		engines[i].Pace = 1 + float64(i%3)/2
	}
	group, now, planner := &Group{Engines: engines, PrefillDemand: 500}, epoch, NewPlanner(DefaultSettings())
	for b.Loop() {
		now = now.Add(250 * time.Millisecond)
		planner.Next(now, group)
	}
}
