package balance

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// backOffRun plays one script.
type backOffRun struct {
	t        *testing.T
	now      time.Time
	balancer *Balancer
	workers  backend.Set
	// part is which part of limits is held here.
	part float64
}

// outcomesByName are the outcomes in scripts.
var outcomesByName = map[string]Outcome{
	"good": OutcomeGood, "full": OutcomeFull, "silent": OutcomeSilent, "broken": OutcomeBroken,
}

// duration reads a duration of a script.
func (r *backOffRun) duration(text string) time.Duration {
	read, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return read
}

// holdings are parts of limits, with nothing lent.
type holdings func(worker string) float64

func (h holdings) Part(worker string, _ float64) float64 { return h(worker) }
func (holdings) Lent(string) int                         { return 0 }
func (holdings) UseLent(string) bool                     { return false }

// taking returns the workers that take requests, in their order.
func (r *backOffRun) taking() []string {
	var taking, tried []string
	for {
		choice, found := r.balancer.Pick(r.now, Query{Group: "g", Role: backend.RoleDecode, Request: "r", Excluded: tried})
		if !found {
			break
		}
		taking, tried = append(taking, choice.Worker.ID), append(tried, choice.Worker.ID)
	}
	slices.Sort(taking)
	return taking
}

// step plays one line, and returns what is wrong.
func (r *backOffRun) step(verb string, words []string) string {
	switch verb {
	case "ask":
		r.balancer.BackOff(r.now, words[0], r.duration(words[1]+"s"))
	case "wait":
		r.now = r.now.Add(r.duration(words[0]))
	case "end":
		count, _ := strconv.Atoi(words[2])
		for range count {
			r.balancer.End(r.now, words[0], outcomesByName[words[1]])
		}
	case "gone":
		r.balancer.SetGone(r.now, words[0], r.now.Add(time.Second))
	case "back":
		r.balancer.SetGone(r.now, words[0], time.Time{})
	case "removed":
		r.balancer.Change(backend.Changes{Gone: words})
	case "recorded":
		r.balancer.Change(backend.Changes{Put: []*backend.Worker{r.workers[words[0]]}})
	case "next":
		next := *r.workers[words[0]]
		next.ID += "@2"
		r.balancer.Change(backend.Changes{Gone: words, Put: []*backend.Worker{&next}})
	case "takes":
		if taking := r.taking(); !slices.Equal(taking, words) {
			return fmt.Sprintf("%v take requests", taking)
		}
	case "limit":
		rate, _ := strconv.ParseFloat(words[1], 64)
		r.balancer.Limit(r.now, words[0], rate, r.now.Add(-r.duration(words[2])))
	case "unlimited":
		r.balancer.Unlimit(words[0], r.now.Add(-r.duration(words[1])))
	case "part":
		r.balancer.EarnLimits(r.now)
		r.part, _ = strconv.ParseFloat(words[0], 64)
		r.balancer.EarnLimits(r.now)
	case "spend":
		got := 0
		for r.balancer.Spend(r.now, words[0]) && got < 100 {
			got++
		}
		if strconv.Itoa(got) != words[1] {
			return fmt.Sprintf("%d were spent", got)
		}
	case "ends":
		full, all := r.balancer.FullUntil(r.now, "g", backend.RoleDecode)
		if got := full.Until.Sub(r.now).String(); (all && got != words[0]) || (!all && words[0] != "never") {
			return fmt.Sprintf("it ends after %s, %t", got, all)
		}
	default:
		return "there is no such step"
	}
	return ""
}

func TestBackOffs(t *testing.T) { playBackOffs(t, "testdata/backoff.txtar") }

func TestLimits(t *testing.T) { playBackOffs(t, "testdata/limits.txtar") }

// playBackOffs plays the scripts of a file.
func playBackOffs(t *testing.T, file string) {
	t.Helper()
	scripts, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts.Files {
		t.Run(script.Name, func(t *testing.T) {
			workers := backend.Set{}
			for i := range 4 {
				id := fmt.Sprint("w", i)
				workers[id] = &backend.Worker{ID: id, Group: "g", Address: fmt.Sprint(id, ":1"), Slots: 8, Role: backend.RoleDecode}
			}
			run := &backOffRun{t: t, now: epoch, balancer: New(DefaultSettings(), enginemodel.New(), nil), workers: workers, part: 1}
			run.balancer.ShareLimits(holdings(func(string) float64 { return run.part }))
			run.balancer.SetWorkers(workers)
			for line := range strings.Lines(string(script.Data)) {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				if fault := run.step(words[0], words[1:]); fault != "" {
					t.Errorf("%s: %s", strings.TrimSpace(line), fault)
				}
			}
		})
	}
}

// TestAWorkerThatBacksOffIsNeverPicked looks at all ways to choose: of few workers and of many, for a request that is known to do no harm
// and for one that may end workers.
func TestAWorkerThatBacksOffIsNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.Shortlist.ScanUpTo = rapid.SampledFrom([]int{0, 256}).Draw(t, "scan up to")
		balancer := New(settings, enginemodel.New(), nil)
		set := engines(backend.RoleDecode, 12)
		balancer.SetWorkers(set)
		until := map[string]time.Time{}
		for id := range set {
			if rapid.Bool().Draw(t, id) {
				until[id] = balancer.BackOff(epoch, id, time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond)
			}
			if rapid.Bool().Draw(t, "fails") {
				balancer.End(epoch, id, OutcomeUnreachable)
			}
		}
		now := epoch.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "later")) * time.Millisecond)
		query := Query{Group: "g", Role: backend.RoleDecode, Request: rapid.String().Draw(t, "request"), Apart: rapid.SampledFrom([]string{"", "a"}).Draw(t, "apart")}
		if choice, found := balancer.Pick(now, query); found && now.Before(until[choice.Worker.ID]) {
			t.Fatalf("%s was picked, which wants none for %s", choice.Worker.ID, until[choice.Worker.ID].Sub(now))
		}
	})
}

// TestAWorkerWithALimitGetsNoMore asks in all ways to choose, and counts what each worker gets: what its limit allows, and nothing of a limit
// that others hold.
func TestAWorkerWithALimitGetsNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.Shortlist.ScanUpTo = rapid.SampledFrom([]int{0, 256}).Draw(t, "scan up to")
		balancer := New(settings, enginemodel.New(), nil)
		balancer.ShareLimits(holdings(func(worker string) float64 { return float64(len(worker)%2) / 2 }))
		set := engines(backend.RoleDecode, 12)
		balancer.SetWorkers(set)
		limits, got := map[string]float64{}, map[string]int{}
		for id := range set {
			if rapid.Bool().Draw(t, id) {
				limits[id] = rapid.Float64Range(0.1, 20).Draw(t, "limit")
				balancer.Limit(epoch, id, limits[id], epoch)
			}
		}
		const seconds = 3
		for step := range seconds * 50 {
			now := epoch.Add(time.Duration(step) * 20 * time.Millisecond)
			query := Query{Group: "g", Role: backend.RoleDecode, Request: fmt.Sprint(step), Apart: rapid.SampledFrom([]string{"", "a"}).Draw(t, "apart")}
			choice, found := balancer.Pick(now, query)
			if !found {
				continue
			}
			if !balancer.Spend(now, choice.Worker.ID) {
				t.Fatalf("%s was picked, and may not be asked", choice.Worker.ID)
			}
			got[choice.Worker.ID]++
		}
		for id, limit := range limits {
			held := limit * float64(len(id)%2) / 2
			if most := held*seconds + max(held, 1); held == 0 && got[id] > 0 || float64(got[id]) > most {
				t.Fatalf("%s got %d requests in %d s of a part of %v a second", id, got[id], seconds, held)
			}
		}
	})
}
