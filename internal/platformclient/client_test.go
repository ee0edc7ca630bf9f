package platformclient_test

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/platformclient"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
	"github.com/granitebay/granitebay/internal/standin/platformserver"
)

// fixture is a platform on loopback and a client of it.
type fixture struct {
	t         *testing.T
	server    *platformserver.Server
	http      *httptest.Server
	client    *platformclient.Client
	responses chan platform.Response
	events    chan platform.WatchEvent
	lastID    platform.RequestID
}

func newLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func unlimitedSettings() platformmodel.Settings {
	settings := platformmodel.DefaultSettings()
	settings.KeyValueLimits = platformmodel.Limits{}
	settings.MembershipLimits = platformmodel.Limits{}
	settings.MembershipLag = 0
	return settings
}

func newFixture(t *testing.T, settings platformmodel.Settings, timeout time.Duration) *fixture {
	t.Helper()
	server, err := platformserver.New(platformserver.Options{Settings: settings, Logger: newLogger()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go server.Run(ctx)
	f := &fixture{
		t:         t,
		server:    server,
		http:      httptest.NewServer(server),
		responses: make(chan platform.Response, 100),
		events:    make(chan platform.WatchEvent, 100),
	}
	f.client = f.newClient(f.http.URL, timeout)
	t.Cleanup(func() {
		f.client.Close()
		cancel()
		f.http.Close()
	})
	return f
}

func (f *fixture) newClient(endpoint string, timeout time.Duration) *platformclient.Client {
	f.t.Helper()
	client, err := platformclient.New(platformclient.Options{
		Endpoint:     endpoint,
		Name:         "router-a-1",
		Timeout:      timeout,
		Deliver:      func(response platform.Response) { f.responses <- response },
		DeliverWatch: func(event platform.WatchEvent) { f.events <- event },
		Logger:       newLogger(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return client
}

// ask carries a request out and waits for its answer.
func (f *fixture) ask(request platform.Request) platform.Response {
	f.t.Helper()
	f.lastID++
	f.client.Do(core.PlatformRequest{ID: f.lastID, Request: request})
	response := <-f.responses
	if response.ID != f.lastID {
		f.t.Fatalf("answer to %d, want %d", response.ID, f.lastID)
	}
	return response
}

func put(key, value string) platform.Transaction {
	return platform.Transaction{Puts: []platform.Put{{Key: key, Value: []byte(value)}}}
}

func TestKeyValue(t *testing.T) {
	f := newFixture(t, unlimitedSettings(), time.Minute)
	if got := f.ask(platform.Transaction{
		Compares: []platform.Compare{{Key: "a/1"}},
		Puts:     []platform.Put{{Key: "a/1", Value: []byte("one")}},
	}); !got.Succeeded || got.Revision != 1 {
		t.Fatalf("first transaction: %+v", got)
	}
	if got := f.ask(platform.Transaction{
		Compares: []platform.Compare{{Key: "a/1"}},
		Puts:     []platform.Put{{Key: "a/1", Value: []byte("two")}},
	}); got.Succeeded || got.Failure != platform.FailureNone {
		t.Fatalf("transaction whose condition fails: %+v", got)
	}
	got := f.ask(platform.Get{Key: "a/1"})
	if len(got.Entries) != 1 || string(got.Entries[0].Value) != "one" || got.Entries[0].CreateRevision != 1 {
		t.Fatalf("get: %+v", got)
	}
	f.ask(put("a/2", "two"))
	if got := f.ask(platform.List{Prefix: "a/"}); len(got.Entries) != 2 || got.Revision != 2 {
		t.Fatalf("list: %+v", got)
	}
	if got := f.ask(platform.List{Prefix: ""}); len(got.Entries) != 2 {
		t.Fatalf("list of all: %+v", got)
	}
}

func TestLeaseAndWatch(t *testing.T) {
	f := newFixture(t, unlimitedSettings(), time.Minute)
	lease := f.ask(platform.GrantLease{TTL: time.Hour})
	if lease.Lease == 0 || lease.TTL != time.Hour {
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
	if got := f.ask(platform.KeepAlive{Lease: lease.Lease}); got.TTL != time.Hour {
		t.Fatalf("keepalive: %+v", got)
	}
	if got := f.ask(platform.RevokeLease{Lease: lease.Lease}); got.Failure != platform.FailureNone {
		t.Fatalf("revoke: %+v", got)
	}
	if got := <-f.events; got.Revision != 2 || len(got.Deleted) != 1 || got.Deleted[0] != "s/1" {
		t.Fatalf("deletion: %+v", got)
	}
	if got := f.ask(platform.KeepAlive{Lease: lease.Lease}); got.Failure != platform.FailureNoLease {
		t.Fatalf("keepalive of no lease: %+v", got)
	}
	f.server.Step(func(now time.Time, model *platformmodel.Model) { model.Restart(now) })
	if got := <-f.events; !got.Closed || got.ID != watchID || got.Revision != 2 {
		t.Fatalf("close: %+v", got)
	}
}

func TestMembersAndWeights(t *testing.T) {
	f := newFixture(t, unlimitedSettings(), time.Minute)
	member := platform.Member{Name: "engine-1", Kind: platform.MemberEngine, Zone: "a", Address: "127.0.0.1:1"}
	ttl, err := f.client.RegisterMember(t.Context(), member)
	if err != nil || ttl != 10*time.Second {
		t.Fatalf("register: %v %v", ttl, err)
	}
	if got := f.ask(platform.ListMembers{}); len(got.Members) != 1 || got.Members[0].Name != "engine-1" {
		t.Fatalf("members: %+v", got)
	}
	if err := f.client.RemoveMember(t.Context(), "engine-1"); err != nil {
		t.Fatal(err)
	}
	if got := f.ask(platform.ListMembers{}); len(got.Members) != 0 {
		t.Fatalf("members after removal: %+v", got)
	}
	if got := f.ask(platform.FetchWeights{Model: "m"}); got.Duration != 3500*time.Millisecond {
		t.Fatalf("weights: %+v", got)
	}
}
