package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

func entry(key string, revision uint64) platform.Entry {
	return platform.Entry{Key: "/p/" + key, ModRevision: revision}
}

// TestCopyNeverGoesBack feeds a mirror by hand. The list is the first request of the mirror and the watch the second.
func TestCopyNeverGoesBack(t *testing.T) {
	list := func(revision uint64, entries ...platform.Entry) platform.Response {
		return platform.Response{Revision: revision, Entries: entries}
	}
	for _, test := range []struct {
		desc string
		act  func(m *Mirror, watch func(platform.WatchEvent))
		want string
	}{
		{desc: "a change and a deletion", act: func(_ *Mirror, watch func(platform.WatchEvent)) {
			watch(platform.WatchEvent{Revision: 6, Changed: []platform.Entry{entry("a", 6)}})
			watch(platform.WatchEvent{Revision: 7, Deleted: []string{"/p/b"}})
		}, want: "a6 at 7"},
		{desc: "what was listed already", act: func(_ *Mirror, watch func(platform.WatchEvent)) {
			watch(platform.WatchEvent{Revision: 4, Changed: []platform.Entry{entry("a", 4)}, Deleted: []string{"/p/b"}})
		}, want: "a5 b3 at 5"},
		{desc: "an older event after a read", act: func(m *Mirror, watch func(platform.WatchEvent)) {
			m.Observe("/p/a", list(9))
			watch(platform.WatchEvent{Revision: 8, Changed: []platform.Entry{entry("a", 8)}})
		}, want: "b3 at 8"},
		{desc: "a key made again after its deletion", act: func(m *Mirror, watch func(platform.WatchEvent)) {
			watch(platform.WatchEvent{Revision: 6, Deleted: []string{"/p/a"}})
			watch(platform.WatchEvent{Revision: 7, Changed: []platform.Entry{entry("a", 7)}})
			m.Observe("/p/a", list(6))
		}, want: "a7 b3 at 7"},
		{desc: "a key of another prefix", act: func(_ *Mirror, watch func(platform.WatchEvent)) {
			watch(platform.WatchEvent{Revision: 6, Changed: []platform.Entry{{Key: "/q/a", ModRevision: 6}}})
		}, want: "a5 b3 at 6"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			now := time.Unix(1, 0)
			m := New(Settings{Prefix: "/p/"}, core.NewRequestIDs(1), rand.New(rand.NewPCG(1, 1)))
			var effects core.Effects
			m.Tick(now, &effects)
			first := list(5, entry("a", 5), entry("b", 3))
			first.ID = effects.Platform[0].ID
			m.HandleResponse(now, first)
			m.Tick(now, &effects)
			test.act(m, func(event platform.WatchEvent) {
				event.ID = effects.Platform[1].ID
				if !m.HandleWatch(now, event) {
					t.Fatal("the mirror does not know its watch")
				}
			})
			got := ""
			for _, key := range m.Keys() {
				kept, _ := m.Entry(key)
				got += fmt.Sprintf("%s%d ", kept.Key[len("/p/"):], kept.ModRevision)
			}
			if got += fmt.Sprintf("at %d", m.Revision()); got != test.want {
				t.Errorf("copy is %q, want %q", got, test.want)
			}
		})
	}
}

func TestRequestsAgain(t *testing.T) {
	now := time.Unix(1, 0)
	m := New(Settings{Prefix: "/p/"}, core.NewRequestIDs(1), rand.New(rand.NewPCG(1, 1)))
	var effects core.Effects
	tick := func(wait time.Duration, want string) platform.RequestID {
		t.Helper()
		now = now.Add(wait)
		effects.Reset()
		m.Tick(now, &effects)
		if len(effects.Platform) != 1 || fmt.Sprintf("%T", effects.Platform[0].Request) != want {
			t.Fatalf("asked for %+v, want one %s", effects.Platform, want)
		}
		return effects.Platform[0].ID
	}
	tick(0, "platform.List")
	now = now.Add(DefaultRequestTimeout)
	m.Tick(now, &effects) // the List counts as lost
	listed := tick(DefaultBackoffMax, "platform.List")
	m.HandleResponse(now, platform.Response{ID: listed, Revision: 5})
	watch := tick(0, "platform.Watch")
	m.HandleResponse(now, platform.Response{ID: watch, Failure: platform.FailureCompacted})
	listed = tick(0, "platform.List")
	m.HandleResponse(now, platform.Response{ID: listed, Revision: 9})
	watch = tick(DefaultBackoffMax, "platform.Watch")
	m.HandleResponse(now, platform.Response{ID: watch, Revision: 9})
	m.HandleWatch(now, platform.WatchEvent{ID: watch, Revision: 9, Closed: true})
	tick(DefaultBackoffMax, "platform.Watch")
	m.Refresh(now)
	tick(0, "platform.List")
}
