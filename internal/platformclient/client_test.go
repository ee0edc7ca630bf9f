package platformclient_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/platformclient"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

const endpoint = "http://platform:80"

func TestKeyValue(t *testing.T) {
	withPlatform(t, unlimitedSettings(), endpoint, func(t *testing.T, f *fixture) {
		create := platform.Transaction{
			Compares: []platform.Compare{{Key: "a/1"}},
			Puts:     []platform.Put{{Key: "a/1", Value: []byte("one")}, {Key: "a/empty"}},
		}
		if got := f.ask(create); !got.Succeeded || got.Revision != 1 {
			t.Fatalf("create: %+v", got)
		}
		if got := f.ask(create); got.Succeeded || got.Failure != platform.FailureNone {
			t.Fatalf("create again: %+v", got)
		}
		got := f.ask(platform.Get{Key: "a/1"})
		if len(got.Entries) != 1 || string(got.Entries[0].Value) != "one" || got.Entries[0].CreateRevision != 1 {
			t.Fatalf("get: %+v", got)
		}
		if got := f.ask(platform.Get{Key: "a"}); len(got.Entries) != 0 || got.Failure != platform.FailureNone {
			t.Fatalf("get of an absent key: %+v", got)
		}
		f.ask(put("b/1", "two"))
		if got := f.ask(platform.List{Prefix: "a/"}); len(got.Entries) != 2 || got.Revision != 2 {
			t.Fatalf("list: %+v", got)
		}
		if got := f.ask(platform.List{}); len(got.Entries) != 3 {
			t.Fatalf("list of all: %+v", got)
		}
		f.step(func(_ time.Time, model *platformmodel.Model) {
			if name := model.History()[0].Client; name != "router-a-1" {
				t.Errorf("client in the history %q", name)
			}
		})
	})
}

func TestLeaseAndWatch(t *testing.T) {
	withPlatform(t, unlimitedSettings(), endpoint, func(t *testing.T, f *fixture) {
		lease := f.ask(platform.GrantLease{TTL: 10 * time.Second})
		if lease.Lease == 0 || lease.TTL != 10*time.Second {
			t.Fatalf("grant: %+v", lease)
		}
		f.ask(platform.Transaction{Puts: []platform.Put{{Key: "s/1", Value: []byte("v"), Lease: lease.Lease}}})
		if got := f.ask(platform.Watch{Prefix: "s/"}); got.Failure != platform.FailureNone || got.Revision != 1 {
			t.Fatalf("watch: %+v", got)
		}
		watchID := f.lastID
		if got := <-f.events; got.ID != watchID || got.Revision != 1 || len(got.Changed) != 1 {
			t.Fatalf("past change: %+v", got)
		}
		time.Sleep(9 * time.Second)
		if got := f.ask(platform.KeepAlive{Lease: lease.Lease}); got.TTL != 10*time.Second {
			t.Fatalf("keepalive: %+v", got)
		}
		time.Sleep(11 * time.Second)
		if got := <-f.events; got.Revision != 2 || !slices.Equal(got.Deleted, []string{"s/1"}) {
			t.Fatalf("deletion when the lease expired: %+v", got)
		}
		if got := f.ask(platform.RevokeLease{Lease: lease.Lease}); got.Failure != platform.FailureNoLease {
			t.Fatalf("revoke: %+v", got)
		}
		f.step(func(now time.Time, model *platformmodel.Model) { model.Restart(now) })
		if got := <-f.events; !got.Closed || got.ID != watchID || got.Revision != 2 {
			t.Fatalf("close: %+v", got)
		}
	})
}

func TestMembersAndWeights(t *testing.T) {
	withPlatform(t, unlimitedSettings(), endpoint, func(t *testing.T, f *fixture) {
		member := platform.Member{Name: "engine/1", Kind: platform.MemberEngine, Zone: "a", Address: "127.0.0.1:1"}
		ttl, err := f.client.RegisterMember(t.Context(), member)
		if err != nil || ttl != 10*time.Second {
			t.Fatalf("register: %v %v", ttl, err)
		}
		if got := f.ask(platform.ListMembers{}); len(got.Members) != 1 || got.Members[0].Address != member.Address {
			t.Fatalf("members: %+v", got)
		}
		if err := f.client.RemoveMember(t.Context(), member.Name); err != nil {
			t.Fatal(err)
		}
		if got := f.ask(platform.ListMembers{}); len(got.Members) != 0 {
			t.Fatalf("members after removal: %+v", got)
		}
		member.Kind = "disk"
		if _, err := f.client.RegisterMember(t.Context(), member); err == nil || !strings.Contains(err.Error(), "body.kind disk") {
			t.Fatalf("unknown kind: %v", err)
		}
		if got := f.ask(platform.FetchWeights{Model: "m"}); got.Duration != 3500*time.Millisecond {
			t.Fatalf("weights: %+v", got)
		}
	})
}

func TestKeepRegistered(t *testing.T) {
	withPlatform(t, unlimitedSettings(), endpoint, func(t *testing.T, f *fixture) {
		go f.client.KeepRegistered(t.Context(), 3*time.Second, func() platform.Member {
			return platform.Member{Name: "router-a-1", Kind: platform.MemberRouter}
		})
		time.Sleep(time.Minute)
		if got := f.ask(platform.ListMembers{}); len(got.Members) != 1 {
			t.Errorf("members: %+v", got)
		}
		f.client.Close()
	})
}

func TestFailures(t *testing.T) {
	outage := func(now time.Time, model *platformmodel.Model) { model.SetOutage(now, true) }
	limited := unlimitedSettings()
	limited.KeyValueLimits.Client = platformmodel.Limit{PerSecond: 0.5, Burst: 1}
	silent := unlimitedSettings()
	silent.OutageAnswer = platformmodel.OutageSilent
	tests := []struct {
		desc         string
		settings     platformmodel.Settings
		endpoint     string
		fault        func(now time.Time, model *platformmodel.Model)
		request      platform.Request
		want         platform.Failure
		wantAfter    time.Duration
		wantRetry    time.Duration
		wantRevision uint64
	}{
		{desc: "connection refused", endpoint: "http://nobody:80", request: put("a", "1"), want: platform.FailureUnavailable},
		{desc: "watch, connection refused", endpoint: "http://nobody:80", request: platform.Watch{}, want: platform.FailureUnavailable},
		{desc: "outage", fault: outage, request: put("a", "1"), want: platform.FailureUnavailable},
		{desc: "watch in an outage", fault: outage, request: platform.Watch{}, want: platform.FailureUnavailable},
		{
			desc: "silent outage", settings: silent, fault: outage, request: put("a", "1"),
			want: platform.FailureUnknown, wantAfter: 3 * time.Second,
		},
		{
			desc: "watch in a silent outage", settings: silent, fault: outage, request: platform.Watch{},
			want: platform.FailureUnknown, wantAfter: 3 * time.Second,
		},
		{
			desc:    "lost answer",
			fault:   func(_ time.Time, model *platformmodel.Model) { model.SetLostAnswerProbability(1) },
			request: put("a", "1"), want: platform.FailureUnknown, wantAfter: 3 * time.Second, wantRevision: 1,
		},
		{
			desc:    "slow beyond the time-out",
			fault:   func(_ time.Time, model *platformmodel.Model) { model.SetSlow(5 * time.Second) },
			request: put("a", "1"), want: platform.FailureUnknown, wantAfter: 3 * time.Second, wantRevision: 1,
		},
		{
			desc: "rate limited", settings: limited,
			fault: func(now time.Time, model *platformmodel.Model) {
				model.Handle(now, "router-a-1", 1<<60, platform.Get{Key: "a"})
			},
			request: put("a", "1"), want: platform.FailureRateLimited, wantRetry: 2 * time.Second,
		},
		{desc: "no lease", request: platform.KeepAlive{Lease: 7}, want: platform.FailureNoLease},
		{desc: "watch from a lost state", request: platform.Watch{FromRevision: 9}, want: platform.FailureCompacted},
		{desc: "refused by the checks of the service", request: platform.Get{}, want: platform.FailureUnavailable},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if test.settings.HistoryLength == 0 {
				test.settings = unlimitedSettings()
			}
			if test.endpoint == "" {
				test.endpoint = endpoint
			}
			withPlatform(t, test.settings, test.endpoint, func(t *testing.T, f *fixture) {
				if test.fault != nil {
					f.step(test.fault)
				}
				start := time.Now()
				got := f.ask(test.request)
				if got.Failure != test.want || got.RetryAfter != test.wantRetry || time.Since(start) != test.wantAfter {
					t.Errorf("answer %+v after %v", got, time.Since(start))
				}
				f.step(func(_ time.Time, model *platformmodel.Model) {
					if model.Revision() != test.wantRevision {
						t.Errorf("revision %d, want %d", model.Revision(), test.wantRevision)
					}
				})
			})
		})
	}
}

func TestEndpointsInOrder(t *testing.T) {
	withPlatform(t, unlimitedSettings(), "http://nobody:80, http://platform:80/", func(t *testing.T, f *fixture) {
		if got := f.ask(put("a", "1")); !got.Succeeded {
			t.Errorf("answer %+v", got)
		}
		if want := []string{"nobody:80", "platform:80"}; !slices.Equal(f.network.dials, want) {
			t.Errorf("dials %v, want %v", f.network.dials, want)
		}
	})
}

func TestNoSecondEndpointAfterSending(t *testing.T) {
	withPlatform(t, unlimitedSettings(), "http://mute:80,http://platform:80", func(t *testing.T, f *fixture) {
		stop := f.serve("mute:80", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			// The server sees that a client left only after the body was read.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
		}))
		defer stop()
		if got := f.ask(put("a", "1")); got.Failure != platform.FailureUnknown {
			t.Errorf("answer %+v", got)
		}
		if slices.Contains(f.network.dials, "platform:80") {
			t.Error("a request that may have taken effect was sent again")
		}
	})
}

func TestBrokenConnection(t *testing.T) {
	withPlatform(t, unlimitedSettings(), endpoint, func(t *testing.T, f *fixture) {
		f.ask(put("a", "1"))
		f.ask(platform.Watch{FromRevision: 1})
		f.step(func(_ time.Time, model *platformmodel.Model) { model.SetSlow(2 * time.Second) })
		f.lastID++
		f.client.Do(core.PlatformRequest{ID: f.lastID, Request: put("a", "2")})
		time.Sleep(time.Second)
		f.network.cut()
		if got := <-f.responses; got.ID != f.lastID || got.Failure != platform.FailureUnknown {
			t.Errorf("answer %+v", got)
		}
		if got := <-f.events; !got.Closed || got.Revision != 1 {
			t.Errorf("event %+v", got)
		}
	})
}

func TestSilentWatchBreaks(t *testing.T) {
	withPlatform(t, unlimitedSettings(), "http://mute:80", func(t *testing.T, f *fixture) {
		stop := f.serve("mute:80", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = writer.Write([]byte(`{"revision":4,"opened":true}` + "\n"))
			writer.(http.Flusher).Flush()
			<-request.Context().Done()
		}))
		defer stop()
		start := time.Now()
		if got := f.ask(platform.Watch{FromRevision: 3}); got.Failure != platform.FailureNone || got.Revision != 4 {
			t.Errorf("answer %+v", got)
		}
		if got := <-f.events; !got.Closed || got.Revision != 3 || time.Since(start) != 5*time.Second {
			t.Errorf("event %+v after %v", got, time.Since(start))
		}
	})
}

func TestQuietWatchStaysOpen(t *testing.T) {
	withPlatform(t, unlimitedSettings(), endpoint, func(t *testing.T, f *fixture) {
		f.ask(platform.Watch{})
		time.Sleep(time.Hour)
		f.ask(put("a", "1"))
		if got := <-f.events; got.Closed || got.Revision != 1 {
			t.Errorf("event %+v", got)
		}
	})
}

func TestNothingIsDeliveredAfterClose(t *testing.T) {
	withPlatform(t, unlimitedSettings(), endpoint, func(t *testing.T, f *fixture) {
		f.ask(platform.Watch{})
		f.step(func(_ time.Time, model *platformmodel.Model) { model.SetSlow(time.Second) })
		f.client.Do(core.PlatformRequest{ID: 8, Request: platform.Get{Key: "a"}})
		synctest.Wait()
		f.client.Close()
		f.client.Do(core.PlatformRequest{ID: 9, Request: platform.Get{Key: "a"}})
		time.Sleep(time.Minute)
		if len(f.responses) != 0 || len(f.events) != 0 {
			t.Errorf("%d responses and %d events", len(f.responses), len(f.events))
		}
	})
}

func TestEndpointMustBeURL(t *testing.T) {
	for _, endpoint := range []string{"", "10.0.0.1:7000", "http://a:1,,http://b:1"} {
		if _, err := platformclient.New(platformclient.Options{Endpoint: endpoint}); err == nil {
			t.Errorf("endpoint %q was taken", endpoint)
		}
	}
}
