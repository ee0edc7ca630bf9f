package balance

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// newBalancer returns a balancer with the given workers.
func newBalancer(set backend.Set) *Balancer {
	balancer := New(DefaultSettings(), enginemodel.New(), nil)
	balancer.SetWorkers(set)
	balancer.MatchReplacements(epoch)
	return balancer
}

// suspectQuery returns a query for a suspect with the given key.
func suspectQuery(name string) Query {
	return Query{Group: "g", Role: backend.RoleDecode, SuspectKey: name}
}

// TestSuspectsAreBoundedByRiskShare guards against gateways that know the same crashes but together expose more workers
// to suspects than the role can lose. The order of the reports and the ejections differ.
func TestSuspectsAreBoundedByRiskShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "workers")
		set := engines(backend.RoleDecode, size)
		ids := slices.Sorted(maps.Keys(set))
		crashed := rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 0, size, rapid.ID).Draw(t, "crashed")
		now := epoch.Add(time.Duration(len(crashed)) * time.Second / 10)
		exposed := map[string]bool{}
		for gateway := range 3 {
			balancer := newBalancer(set)
			for _, i := range rapid.Permutation(lo.Range(len(crashed))).Draw(t, "order") {
				balancer.RecordCrash(now, epoch.Add(time.Duration(i)*time.Second/10), crashed[i])
			}
			ejected := rapid.SampledFrom(ids).Draw(t, "ejected")
			balancer.Begin(ejected, LoadOf(0, false))
			balancer.End(now, ejected, OutcomeUnreachable)
			for number := range 20 {
				query := suspectQuery(fmt.Sprint(gateway, "-", number))
				query.Prefilled = rapid.Bool().Draw(t, "prefilled")
				query.Excluded = rapid.SliceOfN(rapid.SampledFrom(ids), 0, 2).Draw(t, "excluded")
				choice, found := balancer.Pick(now, query)
				if !found {
					continue
				}
				if slices.Contains(crashed, choice.Worker.ID) || slices.Contains(query.Excluded, choice.Worker.ID) {
					t.Fatalf("picked %s; crashed: %v, excluded: %v", choice.Worker.ID, crashed, query.Excluded)
				}
				exposed[choice.Worker.ID] = true
			}
		}
		if maxExposed := max(size/4, 1); len(exposed) > 0 && len(crashed)+len(exposed) > maxExposed {
			t.Fatalf("%d of %d workers are missing, and suspects run at %v, want at most %d in total", len(crashed), size, exposed, maxExposed)
		}
	})
}

// TestEverySuspectGetsATurn guards against suspects that never run, that run outside their turn, or that run while no
// further worker may be lost.
func TestEverySuspectGetsATurn(t *testing.T) {
	settings := DefaultRiskSettings()
	set := engines(backend.RoleDecode, 4)
	balancer := newBalancer(set)
	balancer.RecordCrash(epoch, epoch, "decode-1")
	if _, found := balancer.Pick(epoch, suspectQuery("a")); found {
		t.Fatal("a suspect runs while one of four workers is missing")
	}
	if wait := balancer.SuspectWait(epoch.Add(time.Second), suspectQuery("a")); wait != settings.MissingTimeout-time.Second {
		t.Errorf("SuspectWait = %s, want %s, until the worker no longer counts as missing", wait, settings.MissingTimeout-time.Second)
	}
	set = set.Clone()
	set["again"] = &backend.Worker{ID: "again", Group: "g", Address: set["decode-1"].Address, Role: backend.RoleDecode, Slots: 8}
	delete(set, "decode-1")
	replacedAt := epoch.Add(3 * time.Second)
	balancer.SetWorkers(set)
	balancer.MatchReplacements(replacedAt)
	turns := map[string]int{}
	for step := range int(settings.Round() / (10 * time.Millisecond)) {
		now := replacedAt.Add(time.Duration(step) * 10 * time.Millisecond)
		for number := range 20 {
			query := suspectQuery(fmt.Sprint("suspect ", number))
			choice, found := balancer.Pick(now, query)
			wait := balancer.SuspectWait(now, query)
			if found != (wait == 0) || wait >= settings.Round() {
				t.Fatalf("%s: found = %t, SuspectWait = %s", query.SuspectKey, found, wait)
			}
			if found {
				turns[query.SuspectKey]++
				if choice.Worker.ID == "again" {
					t.Errorf("%s runs at the address of the last crash", query.SuspectKey)
				}
			}
		}
	}
	for suspect, steps := range turns {
		if steps != int(settings.Turn/(10*time.Millisecond)) {
			t.Errorf("%s can run in %d steps, want %d", suspect, steps, int(settings.Turn/(10*time.Millisecond)))
		}
	}
	if len(turns) != 20 {
		t.Errorf("%d of 20 suspects had a turn", len(turns))
	}
	balancer.RecordCrash(replacedAt, replacedAt, "decode-2")
	if wait := balancer.SuspectWait(replacedAt, suspectQuery("a")); wait != 3*time.Second {
		t.Errorf("SuspectWait after the next crash = %s, want the last recovery time of 3s", wait)
	}
}

// TestNewWorkerReplacesCrashedWorker guards against crashed workers that count as missing although replacements
// registered at other addresses, or although MissingTimeout has passed.
func TestNewWorkerReplacesCrashedWorker(t *testing.T) {
	set := engines(backend.RoleDecode, 4)
	balancer := newBalancer(set)
	for id := range set {
		balancer.RecordCrash(epoch, epoch, id)
	}
	replacements := backend.Set{}
	for i := range 4 {
		id := fmt.Sprint("other-", i)
		replacements[id] = &backend.Worker{ID: id, Group: "g", Address: "10.0.1." + fmt.Sprint(i), Role: backend.RoleDecode, Slots: 8}
	}
	query := suspectQuery("a")
	query.Prefilled = true
	for count := range 5 {
		current := backend.Set{}
		for i := range count {
			current[fmt.Sprint("other-", i)] = replacements[fmt.Sprint("other-", i)]
		}
		balancer.SetWorkers(current)
		balancer.MatchReplacements(epoch.Add(time.Second))
		if _, found := balancer.Pick(epoch.Add(time.Second), query); found != (count == 4) {
			t.Errorf("%d of 4 replacements: a suspect runs: %t, want %t", count, found, count == 4)
		}
	}
	balancer = newBalancer(set)
	balancer.RecordCrash(epoch, epoch, "decode-0")
	if _, found := balancer.Pick(epoch.Add(DefaultRiskSettings().MissingTimeout), query); !found {
		t.Error("suspects are held back although the crashed worker no longer counts as missing")
	}
}

// TestUnreachableWorkerCountsAsMissingForSuspects guards against exposing another worker to suspects while the
// only one that may serve them refuses connections and its crash is not reported yet.
func TestUnreachableWorkerCountsAsMissingForSuspects(t *testing.T) {
	b, now, query := newBalancer(engines(backend.RoleDecode, 4)), epoch, suspectQuery("a")
	choice, found := b.Pick(now, query)
	if !found {
		t.Fatal("no worker was picked for a suspect")
	}
	b.SetUnreachable(now, choice.Worker.ID, now.Add(time.Second))
	if again, found := b.Pick(now, query); found {
		t.Errorf("picked %s although another worker is missing", again.Worker.ID)
	}
	if wait := b.SuspectWait(now, query); wait <= 0 {
		t.Errorf("SuspectWait = %s, want more than zero", wait)
	}
}

// TestSuspectTriedOnEveryAllowedWorker guards against holding a suspect back although no worker is
// left for it.
func TestSuspectIsExhaustedAfterEveryAllowedWorker(t *testing.T) {
	b, now, query := newBalancer(engines(backend.RoleDecode, 4)), epoch, suspectQuery("a")
	choice, _ := b.Pick(now, query)
	query.Excluded = []string{choice.Worker.ID}
	if !b.SuspectExhausted(now, query) {
		t.Error("SuspectExhausted = false although every allowed worker is excluded")
	}
	query.Excluded = nil
	if b.SuspectExhausted(now, query) {
		t.Error("SuspectExhausted = true although no worker is excluded")
	}
}
