package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"github.com/granitebay/granitebay/internal/store"
)

// TestSizer runs the scripts of testdata/sizes.txtar on simulated time. The name of each states what must hold.
func TestSizer(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/sizes.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) { runSizerScript(t, string(file.Data)) })
	}
}

// runSizerScript runs one script.
func runSizerScript(t *testing.T, script string) {
	sizer := NewSizer(DefaultSizerSettings())
	now, need, changes := startTime, 0.0, 0
	var entries []EntryLoad
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		var count, seconds, wantChanges int
		var utilization, wantNeed float64
		switch {
		case scanLine(line, "entries %d", &count):
			entries = make([]EntryLoad, count)
		case scanLine(line, "for %ds utilization %g", &seconds, &utilization):
			for range seconds {
				now = now.Add(time.Second)
				for i := range entries {
					entries[i] = EntryLoad{Cores: 0.8, Utilization: utilization}
				}
				next, changed := sizer.Next(now, entries, need)
				if changed {
					need = next
					changes++
				}
			}
		case scanLine(line, "need %g changes %d", &wantNeed, &wantChanges):
			if fmt.Sprintf("%.2f", need) != fmt.Sprintf("%.2f", wantNeed) || changes != wantChanges {
				t.Errorf("%s: got need %.2f after %d changes", line, need, changes)
			}
			changes = 0
		default:
			t.Fatalf("invalid script line %q", line)
		}
	}
}

// scanLine parses a line in the given format.
func scanLine(line, format string, values ...any) bool {
	count, err := fmt.Sscanf(line, format, values...)
	return err == nil && count == len(values)
}

// TestNeedInStoreDeterminesEntries guards against ignoring the needed cores that the controller wrote, and against keeping
// them after their deletion.
func TestNeedInStoreDeterminesEntries(t *testing.T) {
	list := largeList("g00")
	item := store.Item{Key: EntryNeedKey, Value: []byte(`{"cores":3.9}`), Revision: 7}
	if err := list.Apply(startTime, store.Event{Item: item}); err != nil {
		t.Fatal(err)
	}
	if got := len(entriesAt(list, startTime)); got != 10 {
		t.Errorf("got %d entries for a need of 3.9 cores with gateways of 0.4 cores", got)
	}
	if _, revision, isStored := list.Need(); revision != 7 || !isStored {
		t.Errorf("got revision %d of the need, stored: %t", revision, isStored)
	}
	if err := list.Apply(startTime, store.Event{Item: store.Item{Key: EntryNeedKey, Revision: 8}, Deleted: true}); err != nil {
		t.Fatal(err)
	}
	if got := gatewayNames(entriesAt(list, startTime)); got != allEntries {
		t.Errorf("without a need: %s", got)
	}
}

// TestNeedIsWrittenAtRevisionOfKey guards against a need that the controller can never write again, because another writer has deleted it or left
// one that can't be read, and against gateways that drop the need that they know when they list the store.
func TestNeedIsWrittenAtRevisionOfKey(t *testing.T) {
	item := func(value string, revision store.Revision) store.Item {
		return store.Item{Key: EntryNeedKey, Value: []byte(value), Revision: revision}
	}
	expect := func(t *testing.T, list *List, cores float64, revision store.Revision, isStored bool) {
		t.Helper()
		if gotCores, gotRevision, gotStored := list.Need(); gotCores != cores || gotRevision != revision || gotStored != isStored {
			t.Errorf("got %v cores at revision %d, stored: %t; want %v at %d, stored: %t", gotCores, gotRevision, gotStored, cores, revision, isStored)
		}
	}
	for _, value := range []string{`{"cores":"many"}`, `{"cores":-1}`, `[[]]`, ``, "\xff"} {
		t.Run(value, func(t *testing.T) {
			list := largeList("g00")
			_ = list.Reset(startTime, []store.Item{item(value, 5)})
			expect(t, list, 0, 5, false)
			_ = list.Apply(startTime, store.Event{Item: item(`{"cores":3.9}`, 7)})
			expect(t, list, 3.9, 7, true)
			_ = list.Apply(startTime, store.Event{Item: item(value, 8)})
			expect(t, list, 3.9, 8, false)
			_ = list.Reset(startTime, []store.Item{item(value, 8)})
			expect(t, list, 3.9, 8, false)
			_ = list.Apply(startTime, store.Event{Item: item(`{"cores":3.9}`, 9)})
			expect(t, list, 3.9, 9, true)
			_ = list.Apply(startTime, store.Event{Item: store.Item{Key: EntryNeedKey, Revision: 10}, Deleted: true})
			expect(t, list, 0, 0, false)
		})
	}
}
