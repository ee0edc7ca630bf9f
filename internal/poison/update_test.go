package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxUpdateBytes bounds an update, which shares a datagram of 64 KB with other data.
const maxUpdateBytes = 24 << 10

// TestUpdateSizeIsBounded guards against updates that exceed the datagram when a table holds more crashes, successes and bars than fit.
func TestUpdateSizeIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := DefaultSettings()
	table := NewTable(settings)
	for i := range 3 * settings.MaxPerUpdate {
		digest := digestNamed(fmt.Sprint(i))
		for worker := range 3 {
			table.RecordCrash(now, now.Add(time.Duration(worker)*settings.MinCrashInterval), Crash{Digest: digest, Worker: fmt.Sprintf("i-%010d-%d", i, worker)}, "r-a-long-name", "tenant-1234")
			if i >= 2*settings.MaxPerUpdate {
				break
			}
		}
		if i < settings.MaxPerUpdate {
			table.RecordSuccess(now, now.Add(time.Second), digest)
		}
	}
	now = now.Add(time.Second)
	table.Evaluate(now)
	update := table.TakeUpdate(now, repeatAll(true, table, nil))
	encoded, err := cbor.Marshal(update)
	if err != nil || len(encoded) > maxUpdateBytes {
		t.Errorf("%d bytes encode %d crashes, %d successes and %d bars: %v", len(encoded), len(update.Crashes), len(update.Successes), len(update.Bars), err)
	}
	if unsent := table.TakeUpdate(now, nil); len(unsent.Crashes)+len(unsent.Successes)+len(unsent.Bars) > 0 {
		t.Errorf("an incremental update repeats known state: %+v", unsent)
	}
	t.Logf("%d bytes encode %d crashes, %d successes and %d bars", len(encoded), len(update.Crashes), len(update.Successes), len(update.Bars))
}

// maxSupplementBytes bounds the supplement to an update, which shares the datagram as well.
const maxSupplementBytes = 12 << 10

// TestSupplementSizeIsBounded guards against supplements that exceed the datagram when very many requests are suspected and barred, and against a trial that
// is left out of one for that.
func TestSupplementSizeIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := DefaultSettings()
	table := NewTable(settings)
	for i := range 6 * settings.MaxPerUpdate {
		for worker := range 3 {
			began := now.Add(time.Duration(worker) * settings.SettleDelay)
			crash := Crash{Digest: digestNamed(fmt.Sprint(i)), Worker: fmt.Sprintf("i-%010d-%d", i, worker)}
			table.RecordCrash(now, began.Add(settings.MinCrashInterval), crash, "rule", "")
			table.RecordRun(now, began, began.Add(settings.MinCrashInterval), crash)
		}
		if i == settings.MaxPerUpdate*3 {
			now = now.Add(settings.SettleDelay)
			table.Evaluate(now)
		}
	}
	barred := digestNamed("0")
	now = now.Add(settings.Parts.TrialDelay)
	if !table.beginTrial(now, barred, elected) {
		t.Fatal("the first request is not barred")
	}
	updates := table.TakeSupplement(now, repeatAll(true, table, nil))
	encoded, err := cbor.Marshal(updates)
	if err != nil || len(encoded) > maxSupplementBytes {
		t.Errorf("%d bytes encode %d suspects: %v", len(encoded), len(updates), err)
	}
	if len(updates) == 0 || updates[0].Digest != barred || updates[0].Trials != 1 {
		t.Error("the trial is not told")
	}
	if unsent := table.TakeSupplement(now, nil); len(unsent) > 0 {
		t.Errorf("an incremental supplement repeats known state: %+v", unsent)
	}
	t.Logf("%d bytes encode %d suspects", len(encoded), len(updates))
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{400, 15000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			request := Request{Method: "POST", Host: "shop.example", Target: "/stream/x", Body: make([]byte, size)}
			for b.Loop() {
				request.Digest()
			}
		})
	}
}
