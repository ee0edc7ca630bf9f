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

// scriptRunner runs one script.
type scriptRunner struct {
	now   time.Time
	table *Table
}

// digestNamed returns the digest of a request with the given name.
func digestNamed(name string) Digest { return Request{Target: name}.Digest() }

// evaluate advances the time by SettleDelay and evaluates the table.
func (r *scriptRunner) evaluate() {
	r.now = r.now.Add(r.table.settings.SettleDelay)
	r.table.Evaluate(r.now)
}

// step runs one line, and describes a failed check.
func (r *scriptRunner) step(words []string) string {
	command, names := words[0], words[1:]
	switch command {
	case "crash", "crash-together":
		for _, name := range names[1:] {
			r.table.RecordCrash(r.now, r.now, Crash{Digest: digestNamed(name), Worker: names[0]}, "rule", "")
		}
		if command == "crash" {
			r.evaluate()
		}
	case "succeed":
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
	case "receive-bar":
		age, ageErr := time.ParseDuration(names[1])
		remaining, remainingErr := time.ParseDuration(names[2])
		if err := errors.Join(ageErr, remainingErr); err != nil {
			return err.Error()
		}
		r.table.ApplyUpdate(r.now, Update{Bars: []BarUpdate{{
			Digest: digestNamed(names[0]), Workers: []string{"far"}, Times: 1, AgoMs: age.Milliseconds(), LeftMs: remaining.Milliseconds(),
		}}})
	case "share":
		update := r.table.TakeUpdate(r.now, repeatAll(len(names) > 0, r.table, nil))
		r.table = NewTable(DefaultSettings())
		r.table.ApplyUpdate(r.now, update)
		r.evaluate()
	case "clear", "excused", "suspected", "barred":
		want := map[string]Status{"clear": Clear, "excused": Excused, "suspected": Suspected, "barred": Barred}[command]
		for _, name := range names {
			if got, bar := r.table.Status(r.now, digestNamed(name)); got != want {
				return fmt.Sprintf("%s has status %d: %+v", name, got, bar)
			}
		}
	default:
		return "unknown command " + command
	}
	return ""
}

// TestTableScripts runs the scripts of testdata/table.txtar. The name of each states what must hold.
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

// TestBarRequiresCrashLimit guards against bars below the limit when crashes, successes and lost or repeated updates occur in any order.
func TestBarRequiresCrashLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		settings := DefaultSettings()
		tables := []*Table{NewTable(settings), NewTable(settings), NewTable(settings)}
		// crashedWorkers are all workers that crashed under each request, at any table.
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
				update := table.TakeUpdate(now, repeatAll(rapid.Bool().Draw(t, "full"), table, nil))
				for range rapid.IntRange(0, 2).Draw(t, "copies") {
					tables[rapid.IntRange(0, 2).Draw(t, "hearer")].ApplyUpdate(now, update)
				}
			}
			table.Evaluate(now)
			for i, other := range tables {
				for _, bar := range other.Bars(now) {
					if len(crashedWorkers[bar.Digest]) < settings.CrashLimit {
						t.Fatalf("table %d bars %v after crashes of only %v", i, bar, crashedWorkers[bar.Digest])
					}
				}
			}
		}
	})
}

// TestReceivedBarLearnsRule guards against bars that are listed without rule and tenant when the gateway that created them knows the crashes
// only from updates.
func TestReceivedBarLearnsRule(t *testing.T) {
	now, settings := time.Unix(1000, 0), DefaultSettings()
	observer, receiver := NewTable(settings), NewTable(settings)
	digest := digestNamed("a")
	for i := range settings.CrashLimit {
		now = now.Add(settings.MinCrashInterval)
		observer.RecordCrash(now, now, Crash{Digest: digest, Worker: fmt.Sprint(i)}, "rule", "tenant")
		receiver.ApplyUpdate(now, observer.TakeUpdate(now, nil))
	}
	now = now.Add(settings.SettleDelay)
	if bars := receiver.Evaluate(now); len(bars) != 1 {
		t.Fatalf("the gateway that received the crashes created %d bars, want 1", len(bars))
	}
	observer.ApplyUpdate(now, receiver.TakeUpdate(now, nil))
	receiver.ApplyUpdate(now, observer.TakeUpdate(now, repeatAll(true, observer, nil)))
	for name, table := range map[string]*Table{"saw the crashes": observer, "received the crashes": receiver} {
		bars := table.Bars(now)
		if len(bars) != 1 || bars[0].Rule != "rule" || bars[0].Tenant != "tenant" {
			t.Errorf("the gateway that %s lists %+v", name, bars)
		}
	}
}

// TestTableSizeIsBounded guards against unbounded growth when very many requests are suspected and barred.
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
		t.Errorf("%d suspects, %d bars and %d workers are kept", suspects, bars, len(table.suspectsByWorker))
	}
	last, _ := table.Status(now, digestNamed("1997"))
	if last != Barred {
		t.Error("the latest bar was evicted")
	}
	if update := table.TakeUpdate(now, repeatAll(true, table, nil)); len(update.Crashes) > settings.MaxPerUpdate || len(update.Bars) > settings.MaxPerUpdate {
		t.Errorf("an update holds %d crashes and %d bars", len(update.Crashes), len(update.Bars))
	}
}

// TestBarRoundTrip guards against fields that are lost when a bar is stored, and against accepting malformed bars.
func TestBarRoundTrip(t *testing.T) {
	bar := Bar{Digest: digestNamed("a"), Rule: "quick", Tenant: "cafes", Workers: []string{"w1", "w2"}, Times: 2,
		Since: time.Unix(1_699_999_400, 0).UTC(), Until: time.Unix(1_700_000_000, 0).UTC()}
	value, err := bar.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := DecodeBar(BarKey(bar.Digest), value)
	if err != nil || fmt.Sprint(read) != fmt.Sprint(bar) {
		t.Errorf("%+v was decoded as %+v: %v", bar, read, err)
	}
	for key, value := range map[string]string{BarKey(bar.Digest): "{", BarPrefix + "xyz": "{}"} {
		if _, err := DecodeBar(key, []byte(value)); err == nil {
			t.Errorf("DecodeBar accepted key %s with value %q", key, value)
		}
	}
}
