package migration

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

// scripts returns the files of an archive in testdata.
func scripts(t *testing.T, name string) []txtar.File {
	t.Helper()
	archive, err := txtar.ParseFile("testdata/" + name + ".txtar")
	if err != nil {
		t.Fatal(err)
	}
	return archive.Files
}

// lines returns the fields of each line that is not empty.
func lines(content []byte) [][]string {
	var all [][]string
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 0 {
			all = append(all, fields)
		}
	}
	return all
}

// parseDuration parses a duration of a script.
func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

// TestStallLimits guards against taking a slow engine for a silent one, and against noticing a silent one after the caller has left.
func TestStallLimits(t *testing.T) {
	for _, file := range scripts(t, "stalls") {
		t.Run(file.Name, func(t *testing.T) {
			var patience, expected time.Duration
			var detector StallDetector
			for _, fields := range lines(file.Data) {
				switch fields[0] {
				case "patience":
					patience = parseDuration(t, fields[1])
				case "expected":
					expected = parseDuration(t, fields[1])
				case "intervals":
					detector = NewStallDetector(DefaultStallSettings(), patience, expected)
					for _, interval := range fields[1:] {
						detector.Observe(parseDuration(t, interval))
					}
				case "limit":
					if got, want := detector.Limit(), parseDuration(t, fields[1]); got != want {
						t.Errorf("limit %s, want %s", got, want)
					}
				default:
					t.Fatalf("unknown line %q", fields)
				}
			}
		})
	}
}

// TestStallLimitIsBounded guards against a limit below the floor or above half of the patience, whatever the pace is.
func TestStallLimitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultStallSettings()
		patience := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "patience"))
		detector := NewStallDetector(settings, patience, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "expected")))
		for _, interval := range rapid.SliceOfN(rapid.Int64Range(0, int64(5*time.Second)), 0, 20).Draw(t, "intervals") {
			detector.Observe(time.Duration(interval))
			limit := detector.Limit()
			if limit > patience/2 || limit < min(settings.Floor, patience/2) {
				t.Fatalf("limit %s with a patience of %s", limit, patience)
			}
		}
	})
}

// describe returns the name of a decision as the scripts give it.
func describe(decision Decision) string {
	switch decision := decision.(type) {
	case Keep:
		if decision.Recheck.IsZero() {
			return "Keep"
		}
		return "Keep again"
	default:
		return strings.TrimPrefix(fmt.Sprintf("%T", decision), "migration.")
	}
}

// TestDecisions guards against a run that is continued where it may not be, and against one that is given up although it could continue.
func TestDecisions(t *testing.T) {
	for _, file := range scripts(t, "decisions") {
		t.Run(file.Name, func(t *testing.T) {
			run := Run{Engine: "a", Started: true, Deadline: epoch.Add(5 * time.Second)}
			means := Means{Retry: true}
			policy := NewPolicy(DefaultSettings(copyBytes))
			for _, fields := range lines(file.Data) {
				switch fields[0] {
				case "backup":
					run.Backup = fields[1]
				case "resumable":
					run.Resumable = true
				case "elsewhere":
					means.Elsewhere = true
				case "noretry":
					means.Retry = false
				case "notstarted":
					run.Started = false
				case "left":
					run.Deadline = epoch.Add(parseDuration(t, fields[1]))
				case "stalled":
					if got, want := describe(policy.Stalled(epoch, run, means)), strings.Join(fields[1:], " "); got != want {
						t.Errorf("stalled: %s, want %s", got, want)
					}
				case "broken":
					if got, want := describe(policy.Broken(epoch, run, means)), strings.Join(fields[1:], " "); got != want {
						t.Errorf("broken: %s, want %s", got, want)
					}
				default:
					t.Fatalf("unknown line %q", fields)
				}
			}
		})
	}
}

// copyBytes is the limit on the size of all copies in the scripts.
const copyBytes = 8 << 30

// maxCopies is the limit on the number of copies in the scripts.
const maxCopies = 3

// copyScript plays one script of copies.
type copyScript struct {
	t      *testing.T
	policy *Policy
	// ended counts the engines of each zone that ended.
	ended map[string]int
	held  []Copy
}

// play plays one line.
func (s *copyScript) play(fields []string) {
	s.t.Helper()
	second, err := strconv.Atoi(fields[0])
	if err != nil {
		s.t.Fatal(err)
	}
	now := epoch.Add(time.Duration(second) * time.Second)
	switch fields[1] {
	case "engines":
		for i := range s.number(fields[3]) {
			s.policy.Risk().Add(fmt.Sprint(fields[2], i), "g", fields[2])
		}
	case "end":
		for range s.number(fields[3]) {
			s.policy.Risk().Ended(now, fmt.Sprint(fields[2], s.ended[fields[2]]))
			s.ended[fields[2]]++
		}
	case "again":
		s.policy.Risk().Ended(now, fmt.Sprint(fields[2], s.ended[fields[2]]-1))
	case "release":
		s.policy.Release(s.held[0])
		s.held = s.held[1:]
	case "run", "resumable":
		s.ask(now, fields)
	default:
		s.t.Fatalf("unknown line %q", fields)
	}
}

// number parses a count.
func (s *copyScript) number(text string) int {
	number, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return number
}

// ask asks for a copy of a run and compares the answer.
func (s *copyScript) ask(now time.Time, fields []string) {
	s.t.Helper()
	rule := fields[3]
	s.policy.ObserveRun(rule, parseDuration(s.t, rule))
	held, wanted := s.policy.Copy(now, Run{
		Group: "g", Zone: fields[2], Rule: rule, Resumable: fields[1] == "resumable", Tokens: s.number(fields[4]), Deadline: now.Add(time.Minute),
	}, 1000, maxCopies)
	got := "none"
	if wanted {
		s.held = append(s.held, held)
		got = "copy"
	}
	if held.OtherZone {
		got += " elsewhere"
	}
	if want := strings.Join(fields[5:], " "); got != want {
		s.t.Errorf("%s: got %s, want %s", strings.Join(fields, " "), got, want)
	}
}

// TestCopies guards against copies that no risk justifies, and against runs without one while engines end.
func TestCopies(t *testing.T) {
	for _, file := range scripts(t, "copies") {
		t.Run(file.Name, func(t *testing.T) {
			script := &copyScript{t: t, policy: NewPolicy(DefaultSettings(copyBytes)), ended: map[string]int{}}
			for _, fields := range lines(file.Data) {
				script.play(fields)
			}
		})
	}
}

// TestCopyBytesAreBounded guards against copies above the limit, and against a limit that leaks when engines come and go.
func TestCopyBytesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings(copyBytes)
		settings.MaxCopyBytes = 10_000
		policy := NewPolicy(settings)
		policy.ObserveRun("r", 2*time.Second)
		var held []Copy
		now := epoch
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "engine"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				policy.Risk().Add(id, "g", rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"))
			case 1:
				policy.Risk().Ended(now, id)
			case 2:
				policy.Risk().Remove(id)
			case 3:
				run := Run{Group: "g", Zone: "x", Rule: "r", Tokens: rapid.IntRange(1, 5000).Draw(t, "tokens"), Deadline: now.Add(time.Minute)}
				if granted, wanted := policy.Copy(now, run, 1, maxCopies); wanted {
					held = append(held, granted)
				}
			case 4:
				if len(held) > 0 {
					policy.Release(held[0])
					held = held[1:]
				}
			}
			total := int64(0)
			for _, each := range held {
				total += each.Bytes
			}
			if inUse := policy.Totals().CopyBytesInUse; inUse != total || inUse > settings.MaxCopyBytes || len(held) > maxCopies {
				t.Fatalf("step %d: %d bytes in use, %d held", step, inUse, total)
			}
			if probability, _ := policy.Risk().Estimate(now, "g", "x", 2*time.Second); probability < 0 || probability > 1 {
				t.Fatalf("step %d: probability %v", step, probability)
			}
		}
	})
}

// TestNoCopiesWithoutLimit guards against copies at a gateway that is set to ask for none.
func TestNoCopiesWithoutLimit(t *testing.T) {
	policy := NewPolicy(DefaultSettings(0))
	policy.Risk().Add("a", "g", "x")
	policy.Risk().Ended(epoch, "a")
	policy.ObserveRun("r", 2*time.Second)
	if held, wanted := policy.Copy(epoch, Run{Group: "g", Zone: "x", Rule: "r", Tokens: 1, Deadline: epoch.Add(time.Minute)}, 1, maxCopies); wanted {
		t.Errorf("got %+v", held)
	}
}
