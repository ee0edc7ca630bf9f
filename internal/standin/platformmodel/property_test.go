package platformmodel_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

// TestMain fixes the seed of the properties; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// watcher is a client that keeps a copy of all keys by watching, and opens the watch again whenever it breaks.
type watcher struct {
	copy     map[string]platform.Entry
	revision uint64
	watching platform.RequestID
}

func (w *watcher) take(t *rapid.T, delivery platformmodel.Delivery) {
	if response := delivery.Response; response != nil {
		if response.ID == w.watching && response.Failure != platform.FailureNone {
			w.watching = 0
		}
		return
	}
	event := delivery.Watch
	if event.ID != w.watching {
		t.Fatalf("event of watch %d, want %d", event.ID, w.watching)
	}
	if event.Closed {
		if event.Revision != w.revision {
			t.Fatalf("closed at revision %d, the client has %d", event.Revision, w.revision)
		}
		w.watching = 0
		return
	}
	if event.Revision <= w.revision {
		t.Fatalf("event of revision %d after %d", event.Revision, w.revision)
	}
	w.revision = event.Revision
	for _, entry := range event.Changed {
		w.copy[entry.Key] = entry
	}
	for _, key := range event.Deleted {
		delete(w.copy, key)
	}
}

// run is one run of random requests and faults.
type run struct {
	model   *platformmodel.Model
	now     time.Time
	lastID  platform.RequestID
	watcher watcher
	// sent tells when each request was sent, and renewed when the latest renewal of each lease that was answered was.
	sent    map[platform.RequestID]time.Time
	renewed map[uint64]time.Time
}

const propertyTTL = 3 * time.Second

func (r *run) step(t *rapid.T) {
	r.now = r.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "milliseconds")) * time.Millisecond)
	r.lastID++
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	lease := rapid.SampledFrom([]uint64{0, 1, 2, 3}).Draw(t, "lease")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		r.send(platform.Transaction{Puts: []platform.Put{{Key: key, Value: []byte(fmt.Sprint(r.lastID)), Lease: lease}}})
	case 3:
		r.send(platform.Transaction{Deletes: []string{key}})
	case 4:
		r.send(platform.GrantLease{TTL: propertyTTL})
	case 5:
		r.send(platform.KeepAlive{Lease: lease})
	case 6:
		r.model.SetOutage(r.now, rapid.Bool().Draw(t, "outage"))
	case 7:
		r.model.SetSlow(time.Duration(rapid.IntRange(0, 3).Draw(t, "slow")) * time.Second)
	case 8:
		r.model.SetLostAnswerProbability(float64(rapid.IntRange(0, 1).Draw(t, "lost")) / 2)
	case 9:
		r.model.Restart(r.now)
	}
	r.collect(t)
}

func (r *run) send(request platform.Request) {
	r.sent[r.lastID] = r.now
	r.model.Handle(r.now, client, r.lastID, request)
}

func (r *run) collect(t *rapid.T) {
	r.model.Tick(r.now)
	taken := r.model.TakeDeliveries()
	for _, delivery := range taken {
		r.watcher.take(t, delivery)
		if response := delivery.Response; response != nil && response.Lease != 0 {
			r.renewed[response.Lease] = lo.MaxBy([]time.Time{r.renewed[response.Lease], r.sent[response.ID]}, time.Time.After)
		}
	}
	if r.watcher.watching == 0 {
		r.lastID++
		r.watcher.watching = r.lastID
		r.send(platform.Watch{FromRevision: r.watcher.revision})
	}
}

func newRun(settings platformmodel.Settings) *run {
	return &run{
		model:   platformmodel.New(settings, rand.New(rand.NewPCG(7, 7))),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		watcher: watcher{copy: map[string]platform.Entry{}},
		sent:    map[platform.RequestID]time.Time{},
		renewed: map[uint64]time.Time{},
	}
}

func drawSettings(t *rapid.T) platformmodel.Settings {
	settings := unlimitedSettings()
	settings.RecordAllCommits = true
	settings.ClientTimeout = time.Second
	settings.OutageAnswer = rapid.SampledFrom([]platformmodel.OutageAnswer{
		platformmodel.OutageRefuses, platformmodel.OutageSilent,
	}).Draw(t, "outage answer")
	settings.OutageLeases = rapid.SampledFrom([]platformmodel.OutageLeases{
		platformmodel.OutageKeepsLeases, platformmodel.OutageExpiresLeases,
	}).Draw(t, "outage leases")
	return settings
}

// TestPropertyWatchersConverge checks that a client which watches through any faults misses nothing, and that the history
// explains the state.
func TestPropertyWatchersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRun(drawSettings(t))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.step(t)
		}
		r.model.SetOutage(r.now, false)
		r.model.SetSlow(0)
		for range 10 {
			r.now = r.now.Add(time.Second)
			r.collect(t)
		}
		entries := lo.KeyBy(r.model.Entries(""), func(entry platform.Entry) string { return entry.Key })
		if !reflect.DeepEqual(r.watcher.copy, entries) {
			t.Fatalf("the watcher has %v, the service %v", r.watcher.copy, entries)
		}
		if replayed := replay(t, r.model.History()); !reflect.DeepEqual(replayed, entries) {
			t.Fatalf("the history gives %v, the service has %v", replayed, entries)
		}
	})
}

func replay(t *rapid.T, history []platformmodel.Commit) map[string]platform.Entry {
	state := map[string]platform.Entry{}
	for i, commit := range history {
		if commit.Revision != uint64(i+1) {
			t.Fatalf("commit %d has revision %d", i, commit.Revision)
		}
		for _, entry := range commit.Puts {
			state[entry.Key] = entry
		}
		for _, key := range commit.Deletes {
			delete(state, key)
		}
	}
	return state
}

// TestPropertyNoLeaseExpiresEarly checks what holders rely on: a lease lives for its TTL from when they asked for a
// renewal that was answered.
func TestPropertyNoLeaseExpiresEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRun(drawSettings(t))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r.step(t)
		}
		for _, commit := range r.model.History() {
			renewed, known := r.renewed[commit.ExpiredLease]
			if known && commit.Time.Before(renewed.Add(propertyTTL)) {
				t.Fatalf("lease %d expired at %v, renewed at %v", commit.ExpiredLease, commit.Time, renewed)
			}
		}
	})
}

// TestPropertySameSeedSameRun checks that nothing but the inputs decides what is delivered, and that it does not matter
// how often the model is ticked.
func TestPropertySameSeedSameRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := drawSettings(t)
		lazy, eager := newRun(settings), newRun(settings)
		slow := time.Duration(rapid.IntRange(0, 3000).Draw(t, "slow")) * time.Millisecond
		lazy.model.SetSlow(slow)
		eager.model.SetSlow(slow)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			pause := time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond
			request := rapid.SampledFrom([]platform.Request{
				platform.GrantLease{TTL: propertyTTL}, platform.Watch{},
				put("a", "1", 0), put("b", "2", 1), platform.KeepAlive{Lease: 1}, platform.List{},
			}).Draw(t, "request")
			for _, r := range []*run{lazy, eager} {
				r.now = r.now.Add(pause)
				for r == eager && !r.model.NextWake().IsZero() && !r.model.NextWake().After(r.now) {
					r.model.Tick(r.model.NextWake())
				}
				r.model.Handle(r.now, client, platform.RequestID(i+1), request)
			}
		}
		if a, b := lazy.model.TakeDeliveries(), eager.model.TakeDeliveries(); !reflect.DeepEqual(a, b) {
			t.Fatalf("deliveries differ: %+v and %+v", a, b)
		}
		if a, b := lazy.model.History(), eager.model.History(); !reflect.DeepEqual(a, b) {
			t.Fatalf("histories differ: %+v and %+v", a, b)
		}
	})
}
