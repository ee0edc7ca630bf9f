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

// scriptRun runs one script of testdata.
type scriptRun struct {
	t        *testing.T
	now      time.Time
	balancer *Balancer
	workers  backend.Set
	// share is the share of this gateway in all limits.
	share float64
}

var outcomesByName = map[string]Outcome{
	"good": OutcomeGood, "refused": OutcomeRefused, "timeout": OutcomeTimeout, "malformed": OutcomeMalformed,
}

// duration parses a duration of a script.
func (r *scriptRun) duration(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return parsed
}

// quotaShares returns the share of this gateway by worker, and has no loans.
type quotaShares func(worker string) float64

func (s quotaShares) Share(worker string, _ float64) float64 { return s(worker) }
func (quotaShares) Loans(string) int                         { return 0 }
func (quotaShares) UseLoan(string) bool                      { return false }

// accepting returns the sorted IDs of the workers that can be picked.
func (r *scriptRun) accepting() []string {
	var accepting, excluded []string
	for {
		choice, found := r.balancer.Pick(r.now, Query{Group: "g", Role: backend.RoleDecode, Request: "r", Excluded: excluded})
		if !found {
			break
		}
		accepting, excluded = append(accepting, choice.Worker.ID), append(excluded, choice.Worker.ID)
	}
	slices.Sort(accepting)
	return accepting
}

// step runs one line, and returns how it failed, or an empty string.
func (r *scriptRun) step(verb string, arguments []string) string {
	switch verb {
	case "backoff":
		r.balancer.BackOff(r.now, arguments[0], r.duration(arguments[1]+"s"))
	case "wait":
		r.now = r.now.Add(r.duration(arguments[0]))
	case "end":
		count, _ := strconv.Atoi(arguments[2])
		for range count {
			r.balancer.End(r.now, arguments[0], outcomesByName[arguments[1]])
		}
	case "unreachable":
		r.balancer.SetUnreachable(r.now, arguments[0], r.now.Add(time.Second))
	case "reachable":
		r.balancer.SetUnreachable(r.now, arguments[0], time.Time{})
	case "remove":
		r.balancer.Change(backend.Changes{Removed: arguments})
	case "add":
		r.balancer.Change(backend.Changes{Updated: []*backend.Worker{r.workers[arguments[0]]}})
	case "restart":
		restarted := *r.workers[arguments[0]]
		restarted.ID += "@2"
		r.balancer.Change(backend.Changes{Removed: arguments, Updated: []*backend.Worker{&restarted}})
	case "accepting":
		if accepting := r.accepting(); !slices.Equal(accepting, arguments) {
			return fmt.Sprintf("%v accept requests", accepting)
		}
	case "limit":
		rate, _ := strconv.ParseFloat(arguments[1], 64)
		r.balancer.SetLimit(r.now, arguments[0], rate, r.now.Add(-r.duration(arguments[2])))
	case "no-limit":
		r.balancer.RemoveLimit(arguments[0], r.now.Add(-r.duration(arguments[1])))
	case "share":
		r.balancer.AccrueLimits(r.now)
		r.share, _ = strconv.ParseFloat(arguments[0], 64)
		r.balancer.AccrueLimits(r.now)
	case "spend":
		spent := 0
		for r.balancer.Spend(r.now, arguments[0]) && spent < 100 {
			spent++
		}
		if strconv.Itoa(spent) != arguments[1] {
			return fmt.Sprintf("spent %d requests", spent)
		}
	case "respond":
		r.balancer.ResponseStarted(r.now, arguments[0])
	case "likely-in":
		until, likely := r.balancer.RoleBackOffUntil(r.now, "g", backend.RoleDecode)
		if got := until.Sub(r.now).String(); (likely && got != arguments[0]) || (!likely && arguments[0] != "now") {
			return fmt.Sprintf("likely to accept in %s, back-offs decide: %t", got, likely)
		}
	case "accepts-in":
		full, allFull := r.balancer.RoleFullUntil(r.now, "g", backend.RoleDecode)
		if got := full.Until.Sub(r.now).String(); (allFull && got != arguments[0]) || (!allFull && arguments[0] != "never") {
			return fmt.Sprintf("accepts in %s, all full: %t", got, allFull)
		}
	default:
		return fmt.Sprintf("unknown step %q", verb)
	}
	return ""
}

// TestBackOffScripts guards against requests to a worker during its back-off, and against a back-off that ends early.
func TestBackOffScripts(t *testing.T) { runScripts(t, "testdata/backoff.txtar") }

// TestLimitScripts guards against requests to a worker above its rate limit, and against a limit that is lost.
func TestLimitScripts(t *testing.T) { runScripts(t, "testdata/limits.txtar") }

// runScripts runs the scripts of a file.
func runScripts(t *testing.T, file string) {
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
			run := &scriptRun{t: t, now: epoch, balancer: New(DefaultSettings(), enginemodel.New(), nil), workers: workers, share: 1}
			run.balancer.ShareLimits(quotaShares(func(string) float64 { return run.share }))
			run.balancer.SetWorkers(workers)
			for line := range strings.Lines(string(script.Data)) {
				fields := strings.Fields(line)
				if len(fields) == 0 {
					continue
				}
				if failure := run.step(fields[0], fields[1:]); failure != "" {
					t.Errorf("%s: %s", strings.TrimSpace(line), failure)
				}
			}
		})
	}
}

// TestBackingOffWorkerIsNeverPicked guards against requests to workers during their back-off, in small and large
// roles, with and without a suspect key.
func TestBackingOffWorkerIsNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.Shortlist.ScanLimit = rapid.SampledFrom([]int{0, 256}).Draw(t, "scan limit")
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
		query := Query{Group: "g", Role: backend.RoleDecode, Request: rapid.String().Draw(t, "request"), SuspectKey: rapid.SampledFrom([]string{"", "a"}).Draw(t, "suspect key")}
		if choice, found := balancer.Pick(now, query); found && now.Before(until[choice.Worker.ID]) {
			t.Fatalf("picked %s, which backs off for %s", choice.Worker.ID, until[choice.Worker.ID].Sub(now))
		}
	})
}

// TestLimitedWorkerGetsNoMoreThanItsLimit guards against more requests to a worker than the share of this gateway in
// its limit, in small and large roles, with and without a suspect key.
func TestLimitedWorkerGetsNoMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.Shortlist.ScanLimit = rapid.SampledFrom([]int{0, 256}).Draw(t, "scan limit")
		balancer := New(settings, enginemodel.New(), nil)
		balancer.ShareLimits(quotaShares(func(worker string) float64 { return float64(len(worker)%2) / 2 }))
		set := engines(backend.RoleDecode, 12)
		balancer.SetWorkers(set)
		limits, got := map[string]float64{}, map[string]int{}
		for id := range set {
			if rapid.Bool().Draw(t, id) {
				limits[id] = rapid.Float64Range(0.1, 20).Draw(t, "limit")
				balancer.SetLimit(epoch, id, limits[id], epoch)
			}
		}
		const seconds = 3
		for step := range seconds * 50 {
			now := epoch.Add(time.Duration(step) * 20 * time.Millisecond)
			query := Query{Group: "g", Role: backend.RoleDecode, Request: fmt.Sprint(step), SuspectKey: rapid.SampledFrom([]string{"", "a"}).Draw(t, "suspect key")}
			choice, found := balancer.Pick(now, query)
			if !found {
				continue
			}
			if !balancer.Spend(now, choice.Worker.ID) {
				t.Fatalf("picked %s without a quota", choice.Worker.ID)
			}
			got[choice.Worker.ID]++
		}
		for id, limit := range limits {
			share := limit * float64(len(id)%2) / 2
			if maxRequests := share*seconds + max(share, 1); share == 0 && got[id] > 0 || float64(got[id]) > maxRequests {
				t.Fatalf("%s got %d requests in %d s with a share of %v requests per second", id, got[id], seconds, share)
			}
		}
	})
}
