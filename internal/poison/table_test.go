package poison

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"
)

// tableRun plays one script.
type scriptRunner struct {
	now   time.Time
	table *Table
}

// digestNamed returns the digest of a request of a name.
func digestNamed(name string) Digest { return Asked{Target: name}.Digest() }

// settle lets time pass until everything is judged.
func (r *scriptRunner) evaluate() {
	r.now = r.now.Add(r.table.settings.SettleDelay)
	r.table.Evaluate(r.now)
}

// step plays one line, and returns what is wrong.
func (r *scriptRunner) step(words []string) string {
	verb, names := words[0], words[1:]
	switch verb {
	case "ended", "together":
		for _, name := range names[1:] {
			r.table.RecordCrash(r.now, r.now, Crash{Digest: digestNamed(name), Worker: names[0]}, "rule", "")
		}
		if verb == "ended" {
			r.evaluate()
		}
	case "well":
		r.table.RecordSuccess(r.now, r.now, digestNamed(names[0]))
		r.evaluate()
	case "wait":
		elapsed, err := time.ParseDuration(names[0])
		if err != nil {
			return err.Error()
		}
		r.now = r.now.Add(elapsed)
		r.table.Expire(r.now)
	case "release":
		r.table.Release(r.now, digestNamed(names[0]))
	case "told":
		since, sinceErr := time.ParseDuration(names[1])
		remaining, remainingErr := time.ParseDuration(names[2])
		if err := errors.Join(sinceErr, remainingErr); err != nil {
			return err.Error()
		}
		r.table.MergeUpdate(r.now, Told{Bars: []ToldBar{{
			Asked: digestNamed(names[0]), Workers: []string{"far"}, Times: 1, AgoMs: since.Milliseconds(), LeftMs: remaining.Milliseconds(),
		}}})
	case "tell":
		update := r.table.TakeUpdate(r.now, len(names) > 0)
		r.table = NewTable(DefaultSettings())
		r.table.MergeUpdate(r.now, update)
		r.evaluate()
	case "clear", "excused", "suspected", "barred":
		want := map[string]Standing{"clear": Clear, "excused": Excused, "suspected": Suspected, "barred": Barred}[verb]
		for _, name := range names {
			if got, bar := r.table.Standing(r.now, digestNamed(name)); got != want {
				return fmt.Sprintf("%s has standing %d: %+v", name, got, bar)
			}
		}
	default:
		return "unknown verb " + verb
	}
	return ""
}

func TestTableScripts(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/table.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range archive.Files {
		t.Run(script.Name, func(t *testing.T) {
			runner := &scriptRunner{now: time.Unix(1_700_000_000, 0), table: NewTable(DefaultSettings())}
			for number, line := range strings.Split(string(script.Data), "\n") {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				if failure := runner.step(words); failure != "" {
					t.Fatalf("line %d, %s: %s", number+1, line, failure)
				}
			}
		})
	}
}

// TestWhoWasNotThreeTimesThereIsNotBarred plays ends, good ends and messages between three tables, some of them lost or doubled.
func TestBarRequiresCrashLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		settings := DefaultSettings()
		tables := []*Table{NewTable(settings), NewTable(settings), NewTable(settings)}
		// since are the workers that ended under each request since it ended well anywhere.
		crashedWorkers := map[Digest]map[string]bool{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			table := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			digest := digestNamed(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "request"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				worker := fmt.Sprint("w", rapid.IntRange(0, 7).Draw(t, "worker"))
				table.RecordCrash(now, now, Crash{Digest: digest, Worker: worker}, "", "")
				if crashedWorkers[digest] == nil {
					crashedWorkers[digest] = map[string]bool{}
				}
				crashedWorkers[digest][worker] = true
			case 3:
				table.RecordSuccess(now, now, digest)
			default:
				update := table.TakeUpdate(now, rapid.Bool().Draw(t, "full"))
				for range rapid.IntRange(0, 2).Draw(t, "copies") {
					tables[rapid.IntRange(0, 2).Draw(t, "hearer")].MergeUpdate(now, update)
				}
			}
			table.Evaluate(now)
			for i, each := range tables {
				for _, bar := range each.Bars(now) {
					if len(crashedWorkers[bar.Asked]) < settings.CrashLimit {
						t.Fatalf("table %d bars %v after the ends of %v", i, bar, crashedWorkers[bar.Asked])
					}
				}
			}
		}
	})
}

// TestTablesStayBounded has very many requests suspected and barred.
// TestABarTellsTheRuleOfItsRequest has one gateway see the ends under a request, and another one that was only told of them bar it first, as
// it does when it judges a millisecond sooner. Operators list the bar at either, and need to know of which rule it is.
func TestReceivedBarLearnsRule(t *testing.T) {
	now, settings := time.Unix(1000, 0), DefaultSettings()
	witness, informed := NewTable(settings), NewTable(settings)
	digest := digestNamed("a")
	for i := range settings.CrashLimit {
		now = now.Add(settings.MinCrashInterval)
		witness.RecordCrash(now, now, Crash{Digest: digest, Worker: fmt.Sprint(i)}, "rule", "tenant")
		informed.MergeUpdate(now, witness.TakeUpdate(now, false))
	}
	now = now.Add(settings.SettleDelay)
	if bars := informed.Evaluate(now); len(bars) != 1 {
		t.Fatalf("the one that was told made %d bars", len(bars))
	}
	witness.MergeUpdate(now, informed.TakeUpdate(now, false))
	informed.MergeUpdate(now, witness.TakeUpdate(now, true))
	for name, table := range map[string]*Table{"saw the ends": witness, "was told of them": informed} {
		bars := table.Bars(now)
		if len(bars) != 1 || bars[0].Rule != "rule" || bars[0].Tenant != "tenant" {
			t.Errorf("the one that %s lists %+v", name, bars)
		}
	}
}

func TestTableSizeIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := DefaultSettings()
	settings.MaxSuspects, settings.MaxBarred = 64, 32
	table := NewTable(settings)
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		digest := digestNamed(fmt.Sprint(i))
		for worker := range 1 + i%3 {
			now = now.Add(settings.MinCrashInterval)
			table.RecordCrash(now, now, Crash{Digest: digest, Worker: fmt.Sprint(i, "-", worker)}, "", "")
		}
		now = now.Add(settings.SettleDelay)
		table.Evaluate(now)
	}
	if suspects, bars := len(table.suspects), len(table.Bars(now)); suspects > 96 || bars > 32 || len(table.suspectsByWorker) > 3*96 {
		t.Errorf("%d are kept, %d of them barred, with %d workers", suspects, bars, len(table.suspectsByWorker))
	}
	last, _ := table.Standing(now, digestNamed("1997"))
	if last != Barred {
		t.Error("one that was barred last is forgotten")
	}
	if update := table.TakeUpdate(now, true); len(update.Crashes) > settings.MaxPerUpdate || len(update.Bars) > settings.MaxPerUpdate {
		t.Errorf("%d ends and %d bars are told at once", len(update.Crashes), len(update.Bars))
	}
}

// TestBarsAreReadAsTheyWereWritten writes a bar as the store holds it.
func TestBarRoundTrip(t *testing.T) {
	bar := Bar{Asked: digestNamed("a"), Rule: "quick", Tenant: "cafes", Workers: []string{"w1", "w2"}, Times: 2,
		Since: time.Unix(1_699_999_400, 0).UTC(), Until: time.Unix(1_700_000_000, 0).UTC()}
	value, err := bar.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := DecodeBar(KeyOf(bar.Asked), value)
	if err != nil || fmt.Sprint(read) != fmt.Sprint(bar) {
		t.Errorf("%+v was read as %+v: %v", bar, read, err)
	}
	for key, value := range map[string]string{KeyOf(bar.Asked): "{", Prefix + "xyz": "{}"} {
		if _, err := DecodeBar(key, []byte(value)); err == nil {
			t.Errorf("%s with %q was read", key, value)
		}
	}
}
