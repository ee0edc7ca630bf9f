package platformmodel_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

const client = "router-a-1"

// fixture is a model on a clock that the test moves.
type fixture struct {
	t      *testing.T
	now    time.Time
	model  *platformmodel.Model
	lastID platform.RequestID
}

func unlimitedSettings() platformmodel.Settings {
	settings := platformmodel.DefaultSettings()
	settings.KeyValueLimits = platformmodel.Limits{}
	settings.MembershipLimits = platformmodel.Limits{}
	return settings
}

func newFixture(t *testing.T, settings platformmodel.Settings) *fixture {
	return &fixture{
		t:     t,
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		model: platformmodel.New(settings, rand.New(rand.NewPCG(1, 1))),
	}
}

// send hands a request to the model and returns its id.
func (f *fixture) send(request platform.Request) platform.RequestID {
	f.lastID++
	f.model.Handle(f.now, client, f.lastID, request)
	return f.lastID
}

// ask hands a request to the model, which must answer it at once.
func (f *fixture) ask(request platform.Request) platform.Response {
	f.t.Helper()
	id := f.send(request)
	deliveries := f.model.TakeDeliveries()
	if len(deliveries) == 0 || deliveries[0].Response == nil || deliveries[0].Response.ID != id {
		f.t.Fatalf("%T was not answered at once: %+v", request, deliveries)
	}
	return *deliveries[0].Response
}

// pass moves the clock on and returns what is delivered meanwhile.
func (f *fixture) pass(duration time.Duration) []platformmodel.Delivery {
	f.now = f.now.Add(duration)
	f.model.Tick(f.now)
	return f.model.TakeDeliveries()
}

func (f *fixture) keys(prefix string) []string {
	return lo.Map(f.model.Entries(prefix), func(entry platform.Entry, _ int) string { return entry.Key })
}

func put(key, value string, lease uint64) platform.Transaction {
	return platform.Transaction{Puts: []platform.Put{{Key: key, Value: []byte(value), Lease: lease}}}
}

func responses(deliveries []platformmodel.Delivery) []platform.Response {
	return lo.FilterMap(deliveries, func(delivery platformmodel.Delivery, _ int) (platform.Response, bool) {
		return lo.FromPtr(delivery.Response), delivery.Response != nil
	})
}

func watchEvents(deliveries []platformmodel.Delivery) []platform.WatchEvent {
	return lo.FilterMap(deliveries, func(delivery platformmodel.Delivery, _ int) (platform.WatchEvent, bool) {
		return lo.FromPtr(delivery.Watch), delivery.Watch != nil
	})
}

func TestTransaction(t *testing.T) {
	tests := []struct {
		desc          string
		transaction   platform.Transaction
		wantSucceeded bool
		wantFailure   platform.Failure
		wantRevision  uint64
		wantKeys      []string
	}{
		{
			desc: "absent key as expected",
			transaction: platform.Transaction{
				Compares: []platform.Compare{{Key: "c"}}, Puts: []platform.Put{{Key: "c"}},
			},
			wantSucceeded: true, wantRevision: 3, wantKeys: []string{"a", "b", "c"},
		},
		{
			desc: "key exists against expectation",
			transaction: platform.Transaction{
				Compares: []platform.Compare{{Key: "a"}}, Puts: []platform.Put{{Key: "c"}},
			},
			wantRevision: 2, wantKeys: []string{"a", "b"},
		},
		{
			desc: "one of two conditions fails",
			transaction: platform.Transaction{
				Compares: []platform.Compare{{Key: "a", ModRevision: 1}, {Key: "b", ModRevision: 1}},
				Deletes:  []string{"a"},
			},
			wantRevision: 2, wantKeys: []string{"a", "b"},
		},
		{
			desc: "puts and deletes at one revision",
			transaction: platform.Transaction{
				Compares: []platform.Compare{{Key: "a", ModRevision: 1}, {Key: "b", ModRevision: 2}},
				Puts:     []platform.Put{{Key: "c"}, {Key: "d"}},
				Deletes:  []string{"a", "b"},
			},
			wantSucceeded: true, wantRevision: 3, wantKeys: []string{"c", "d"},
		},
		{
			desc:          "nothing to write",
			transaction:   platform.Transaction{Deletes: []string{"z"}},
			wantSucceeded: true, wantRevision: 2, wantKeys: []string{"a", "b"},
		},
		{
			desc:        "unknown lease",
			transaction: platform.Transaction{Puts: []platform.Put{{Key: "c"}, {Key: "d", Lease: 9}}},
			wantFailure: platform.FailureNoLease, wantRevision: 2, wantKeys: []string{"a", "b"},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			f := newFixture(t, unlimitedSettings())
			f.ask(put("a", "1", 0))
			f.ask(put("b", "2", 0))
			got := f.ask(test.transaction)
			if got.Succeeded != test.wantSucceeded || got.Failure != test.wantFailure || got.Revision != test.wantRevision {
				t.Errorf("answer %+v", got)
			}
			if keys := f.keys(""); !slices.Equal(keys, test.wantKeys) {
				t.Errorf("keys %v, want %v", keys, test.wantKeys)
			}
		})
	}
}

func TestCreateRevisionIsNewAfterDelete(t *testing.T) {
	f := newFixture(t, unlimitedSettings())
	f.ask(put("a", "1", 0))
	f.ask(put("a", "2", 0))
	if got := f.model.Entries("a")[0]; got.CreateRevision != 1 || got.ModRevision != 2 {
		t.Fatalf("after overwrite: %+v", got)
	}
	f.ask(platform.Transaction{Deletes: []string{"a"}})
	f.ask(put("a", "3", 0))
	if got := f.model.Entries("a")[0]; got.CreateRevision != 4 || got.ModRevision != 4 {
		t.Fatalf("after delete: %+v", got)
	}
}

func TestLease(t *testing.T) {
	f := newFixture(t, unlimitedSettings())
	granted := f.ask(platform.GrantLease{TTL: 5 * time.Second})
	f.ask(put("s/1", "1", granted.Lease))
	f.ask(put("s/2", "2", granted.Lease))
	f.ask(put("s/2", "no longer bound", 0))
	f.pass(4 * time.Second)
	if got := f.ask(platform.KeepAlive{Lease: granted.Lease}); got.TTL != 5*time.Second {
		t.Fatalf("keepalive: %+v", got)
	}
	f.pass(5*time.Second - time.Nanosecond)
	if got := f.keys(""); len(got) != 2 {
		t.Fatalf("expired too early: %v", got)
	}
	f.pass(time.Nanosecond)
	if got := f.keys(""); !slices.Equal(got, []string{"s/2"}) {
		t.Fatalf("keys after expiry: %v", got)
	}
	last := lo.LastOrEmpty(f.model.History())
	if last.ExpiredLease != granted.Lease || last.Client != "" || !slices.Equal(last.Deletes, []string{"s/1"}) {
		t.Fatalf("commit of expiry: %+v", last)
	}
	if got := f.ask(platform.KeepAlive{Lease: granted.Lease}); got.Failure != platform.FailureNoLease {
		t.Fatalf("keepalive after expiry: %+v", got)
	}
	if got := f.ask(platform.GrantLease{TTL: time.Millisecond}); got.TTL != time.Second {
		t.Fatalf("short TTL: %+v", got)
	}
}

func TestWatch(t *testing.T) {
	settings := unlimitedSettings()
	settings.HistoryLength = 3
	tests := []struct {
		desc          string
		from          uint64
		wantFailure   platform.Failure
		wantRevisions []uint64
	}{
		{desc: "from the oldest kept", from: 7, wantRevisions: []uint64{8, 9, 10, 12}},
		{desc: "from now", from: 10, wantRevisions: []uint64{12}},
		{desc: "compacted", from: 6, wantFailure: platform.FailureCompacted},
		{desc: "from a lost state", from: 11, wantFailure: platform.FailureCompacted},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			f := newFixture(t, settings)
			for range 10 {
				f.ask(put("w/1", "v", 0))
			}
			id := f.send(platform.Watch{Prefix: "w/", FromRevision: test.from})
			f.send(put("other", "v", 0))
			f.send(put("w/2", "v", 0))
			deliveries := f.model.TakeDeliveries()
			if got := deliveries[0].Response; got == nil || got.ID != id || got.Failure != test.wantFailure {
				t.Fatalf("answer to the watch: %+v", deliveries[0])
			}
			got := lo.Map(watchEvents(deliveries), func(event platform.WatchEvent, _ int) uint64 { return event.Revision })
			if !slices.Equal(got, test.wantRevisions) {
				t.Errorf("revisions %v, want %v", got, test.wantRevisions)
			}
			f.model.CancelWatch(client, id)
			f.send(put("w/3", "v", 0))
			if got := watchEvents(f.model.TakeDeliveries()); len(got) != 0 {
				t.Errorf("events after cancel: %+v", got)
			}
		})
	}
}

func TestRateLimit(t *testing.T) {
	settings := unlimitedSettings()
	settings.KeyValueLimits.Client = platformmodel.Limit{PerSecond: 2, Burst: 3}
	f := newFixture(t, settings)
	for range 3 {
		if got := f.ask(platform.Get{Key: "a"}); got.Failure != platform.FailureNone {
			t.Fatalf("within the burst: %+v", got)
		}
	}
	refused := f.ask(put("a", "1", 0))
	if refused.Failure != platform.FailureRateLimited || refused.RetryAfter != 500*time.Millisecond {
		t.Fatalf("beyond the burst: %+v", refused)
	}
	if f.model.Revision() != 0 {
		t.Fatal("a refused write took effect")
	}
	f.model.Handle(f.now, "another", 1, platform.Get{Key: "a"})
	if got := responses(f.model.TakeDeliveries()); got[0].Failure != platform.FailureNone {
		t.Fatalf("another client: %+v", got)
	}
	f.pass(refused.RetryAfter)
	if got := f.ask(platform.Get{Key: "a"}); got.Failure != platform.FailureNone {
		t.Fatalf("after the given time: %+v", got)
	}
}

func TestMembershipLag(t *testing.T) {
	f := newFixture(t, unlimitedSettings())
	engine := platform.Member{Name: "engine-1", Kind: platform.MemberEngine, Zone: "a"}
	visible := func(wantPresent, wantLeaving bool, desc string) {
		t.Helper()
		members := f.ask(platform.ListMembers{}).Members
		if present := len(members) == 1; present != wantPresent || present && members[0].Leaving != wantLeaving {
			t.Errorf("%s: %+v", desc, members)
		}
	}
	renew := func() { f.model.RegisterMember(f.now, engine) }

	renew()
	f.pass(3*time.Second - 1)
	visible(false, false, "before the lag")
	f.pass(1)
	visible(true, false, "after the lag")
	renew()
	f.model.SetLeaving(f.now, engine.Name, true)
	f.pass(3*time.Second - 1)
	visible(true, false, "leaving before the lag")
	renew()
	f.pass(1)
	visible(true, true, "leaving after the lag, although renewed")
	f.pass(13*time.Second - 2)
	visible(true, true, "not renewed, before TTL and lag")
	f.pass(1)
	visible(false, false, "not renewed, after TTL and lag")

	renew()
	f.pass(3 * time.Second)
	visible(true, false, "registered again")
	if !f.model.RemoveMember(f.now, engine.Name) || f.model.RemoveMember(f.now, engine.Name) {
		t.Error("a member must be removed once")
	}
	f.pass(3 * time.Second)
	visible(false, false, "removed")
}

func TestMembershipLagShrinks(t *testing.T) {
	f := newFixture(t, unlimitedSettings())
	f.model.RegisterMember(f.now, platform.Member{Name: "engine-1"})
	f.model.SetMembershipLag(f.now, 0)
	f.model.RegisterMember(f.now, platform.Member{Name: "engine-2"})
	f.model.RemoveMember(f.now, "engine-1")
	if got := f.model.Members(f.now); len(got) != 1 || got[0].Name != "engine-2" {
		t.Errorf("members %+v, want only engine-2", got)
	}
	f.pass(3 * time.Second)
	if got := f.model.Members(f.now); len(got) != 1 {
		t.Errorf("members %+v: a removal must not be overtaken by what it removes", got)
	}
}

func TestWeights(t *testing.T) {
	settings := unlimitedSettings()
	settings.Weights = platformmodel.WeightSettings{
		BytesPerSecond:     100,
		BurstBytes:         1000,
		LoadBytesPerSecond: 500,
		MaximumLoads:       3,
		ModelBytes:         map[string]int64{"small": 500},
		DefaultModelBytes:  1000,
		RegionOfZone:       map[string]string{"far": "other"},
	}
	f := newFixture(t, settings)
	steps := []struct {
		desc           string
		pass           time.Duration
		request        platform.FetchWeights
		wantDuration   time.Duration
		wantRetryAfter time.Duration
	}{
		{desc: "from the burst", request: platform.FetchWeights{Model: "large", Zone: "a"}, wantDuration: 2 * time.Second},
		{desc: "has to wait", request: platform.FetchWeights{Model: "small", Zone: "b"}, wantDuration: 6 * time.Second},
		{desc: "another region", request: platform.FetchWeights{Model: "small", Zone: "far"}, wantDuration: time.Second},
		{desc: "waits longer", request: platform.FetchWeights{Model: "small", Zone: "a"}, wantDuration: 11 * time.Second},
		{desc: "too many", request: platform.FetchWeights{Model: "small", Zone: "a"}, wantRetryAfter: 2 * time.Second},
		{desc: "after one is done", pass: 2 * time.Second, request: platform.FetchWeights{Model: "small", Zone: "a"}, wantDuration: 14 * time.Second},
	}
	for _, step := range steps {
		f.pass(step.pass)
		got := f.ask(step.request)
		if got.Duration != step.wantDuration || got.RetryAfter != step.wantRetryAfter ||
			(got.Failure == platform.FailureRateLimited) != (step.wantRetryAfter > 0) {
			t.Errorf("%s: %+v", step.desc, got)
		}
	}
}
