package platformmodel_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

func TestOutageAnswers(t *testing.T) {
	tests := []struct {
		desc          string
		answer        platformmodel.OutageAnswer
		clientTimeout time.Duration
		want          []platform.Failure
		wantAfter     []platform.Failure
	}{
		{desc: "refused", answer: platformmodel.OutageRefuses, want: []platform.Failure{platform.FailureUnavailable}},
		{desc: "silent", answer: platformmodel.OutageSilent},
		{
			desc: "silent, client gives up", answer: platformmodel.OutageSilent, clientTimeout: time.Second,
			wantAfter: []platform.Failure{platform.FailureUnknown},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			settings := unlimitedSettings()
			settings.OutageAnswer = test.answer
			settings.ClientTimeout = test.clientTimeout
			f := newFixture(t, settings)
			f.model.SetOutage(f.now, true)
			f.send(put("a", "1", 0))
			expectFailures(t, f.model.TakeDeliveries(), test.want)
			expectFailures(t, f.pass(time.Second), test.wantAfter)
			if f.model.Revision() != 0 {
				t.Error("a write took effect during the outage")
			}
			f.model.SetOutage(f.now, false)
			if got := f.ask(put("a", "1", 0)); !got.Succeeded {
				t.Errorf("after the outage: %+v", got)
			}
		})
	}
}

func expectFailures(t *testing.T, deliveries []platformmodel.Delivery, want []platform.Failure) {
	t.Helper()
	got := responses(deliveries)
	if len(got) != len(want) {
		t.Fatalf("answers %+v, want %v", got, want)
	}
	for i := range want {
		if got[i].Failure != want[i] {
			t.Errorf("answer %+v, want %v", got[i], want[i])
		}
	}
}

func TestOutageLeases(t *testing.T) {
	tests := []struct {
		desc     string
		leases   platformmodel.OutageLeases
		outage   time.Duration
		after    time.Duration
		wantLive bool
	}{
		{desc: "kept in a long outage", leases: platformmodel.OutageKeepsLeases, outage: time.Hour, wantLive: true},
		{desc: "kept, a full TTL after", leases: platformmodel.OutageKeepsLeases, outage: time.Hour, after: 10*time.Second - 1, wantLive: true},
		{desc: "kept, over after that TTL", leases: platformmodel.OutageKeepsLeases, outage: time.Hour, after: 10 * time.Second},
		{desc: "expires in a long outage", leases: platformmodel.OutageExpiresLeases, outage: 10 * time.Second},
		{desc: "outlives a short outage", leases: platformmodel.OutageExpiresLeases, outage: 9 * time.Second, wantLive: true},
		{desc: "no fresh TTL when leases expire", leases: platformmodel.OutageExpiresLeases, outage: 9 * time.Second, after: time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			settings := unlimitedSettings()
			settings.OutageLeases = test.leases
			f := newFixture(t, settings)
			lease := f.ask(platform.GrantLease{TTL: 10 * time.Second}).Lease
			f.ask(put("s", "1", lease))
			f.model.SetOutage(f.now, true)
			f.pass(test.outage)
			f.model.SetOutage(f.now, false)
			f.pass(test.after)
			got := f.ask(platform.KeepAlive{Lease: lease})
			if live := got.Failure == platform.FailureNone; live != test.wantLive || live != (len(f.keys("s")) == 1) {
				t.Errorf("keepalive %+v, keys %v, want live %v", got, f.keys("s"), test.wantLive)
			}
		})
	}
}

func TestSlow(t *testing.T) {
	f := newFixture(t, unlimitedSettings())
	f.model.SetSlow(2 * time.Second)
	f.send(put("a", "1", 0))
	f.pass(time.Second - 1)
	if f.model.Revision() != 0 {
		t.Fatal("applied too early")
	}
	if got := f.pass(1); f.model.Revision() != 1 || len(got) != 0 {
		t.Fatalf("revision %d, deliveries %+v", f.model.Revision(), got)
	}
	if got := responses(f.pass(time.Second)); len(got) != 1 || !got[0].Succeeded {
		t.Fatalf("answer: %+v", got)
	}
}

func TestWatchStaysInOrderWhenServiceSpeedsUp(t *testing.T) {
	tests := []struct {
		desc   string
		second func(f *fixture)
	}{
		{desc: "second write is fast", second: func(f *fixture) {
			f.pass(time.Second)
			f.model.SetSlow(0)
			f.send(put("b", "2", 0))
		}},
		{desc: "second write is applied when the first change is due", second: func(f *fixture) {
			f.model.SetSlow(4 * time.Second)
			f.send(put("b", "2", 0))
			f.model.SetSlow(2 * time.Second)
			f.pass(time.Second)
			f.model.SetSlow(0)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			f := newFixture(t, unlimitedSettings())
			f.ask(platform.Watch{})
			f.model.SetSlow(2 * time.Second)
			f.send(put("a", "1", 0))
			test.second(f)
			events := watchEvents(append(f.model.TakeDeliveries(), f.pass(time.Hour)...))
			if len(events) != 2 || events[0].Revision != 1 || events[1].Revision != 2 {
				t.Errorf("events %+v", events)
			}
		})
	}
}

func TestSlowerThanClientTimeout(t *testing.T) {
	settings := unlimitedSettings()
	settings.ClientTimeout = time.Second
	f := newFixture(t, settings)
	f.model.SetSlow(4 * time.Second)
	f.send(put("a", "1", 0))
	f.send(platform.Watch{})
	expectFailures(t, f.pass(time.Second), []platform.Failure{platform.FailureUnknown, platform.FailureUnknown})
	if got := f.pass(time.Hour); len(got) != 0 {
		t.Errorf("deliveries after the client gave up: %+v", got)
	}
	if f.model.Revision() != 1 {
		t.Error("the write must take effect late")
	}
	if wake := f.model.NextWake(); !wake.IsZero() {
		t.Errorf("next wake %v, want never", wake)
	}
}

func TestLostAnswer(t *testing.T) {
	settings := unlimitedSettings()
	settings.ClientTimeout = time.Second
	f := newFixture(t, settings)
	f.model.SetLostAnswerProbability(1)
	f.send(put("a", "1", 0))
	if got := f.model.TakeDeliveries(); len(got) != 0 || f.model.Revision() != 1 {
		t.Fatalf("revision %d, deliveries %+v", f.model.Revision(), got)
	}
	expectFailures(t, f.pass(time.Second), []platform.Failure{platform.FailureUnknown})
}

func TestConnectionsBreakAtOutage(t *testing.T) {
	f := newFixture(t, unlimitedSettings())
	open := f.send(platform.Watch{})
	f.send(put("a", "1", 0))
	f.model.TakeDeliveries()
	f.model.SetSlow(2 * time.Second)
	applied := f.send(put("a", "2", 0))
	opening := f.send(platform.Watch{})
	f.pass(time.Second)
	received := f.send(put("a", "3", 0))
	f.model.SetOutage(f.now, true)

	deliveries := f.model.TakeDeliveries()
	events := watchEvents(deliveries)
	if len(events) != 1 || events[0].ID != open || !events[0].Closed || events[0].Revision != 1 {
		t.Errorf("events %+v, want the close of %d after revision 1", events, open)
	}
	got := responses(deliveries)
	expectFailures(t, deliveries, []platform.Failure{platform.FailureUnknown, platform.FailureUnknown, platform.FailureUnknown})
	if got[0].ID != applied || got[1].ID != opening || got[2].ID != received {
		t.Errorf("answers %+v", got)
	}
	if f.pass(time.Hour); f.model.Revision() != 2 {
		t.Errorf("revision %d, want 2: what was not applied must be dropped", f.model.Revision())
	}
}

func TestDisconnectClient(t *testing.T) {
	f := newFixture(t, unlimitedSettings())
	f.ask(platform.Watch{})
	f.model.SetSlow(2 * time.Second)
	f.send(put("a", "1", 0))
	f.model.DisconnectClient(client)
	if got := f.pass(time.Hour); len(got) != 0 {
		t.Errorf("deliveries to a client that is gone: %+v", got)
	}
	if f.model.Revision() != 1 {
		t.Error("the write must take effect")
	}
}

func TestSnapshot(t *testing.T) {
	f := newFixture(t, unlimitedSettings())
	lease := f.ask(platform.GrantLease{TTL: 10 * time.Second}).Lease
	f.ask(put("a", "1", 0))
	f.ask(put("s", "2", lease))
	f.model.RegisterMember(f.now, platform.Member{Name: "engine-1", Labels: map[string]string{"pool": "x"}})
	f.model.SetLeaving(f.now, "engine-1", true)
	encoded, err := json.Marshal(f.model.Snapshot())
	if err != nil {
		t.Fatal(err)
	}

	restored := newFixture(t, unlimitedSettings())
	var snapshot platformmodel.Snapshot
	if err := json.Unmarshal(encoded, &snapshot); err != nil {
		t.Fatal(err)
	}
	restored.model.Restore(restored.now, snapshot)
	if again, _ := json.Marshal(restored.model.Snapshot()); string(again) != string(encoded) {
		t.Errorf("snapshot after restore %s, want %s", again, encoded)
	}
	if got := restored.ask(platform.ListMembers{}).Members; len(got) != 1 || !got[0].Leaving {
		t.Errorf("members after restore: %+v", got)
	}
	restored.send(platform.Watch{})
	if got := watchEvents(restored.model.TakeDeliveries()); len(got) != 2 {
		t.Errorf("history after restore: %+v", got)
	}
	restored.pass(10*time.Second - 1)
	if got := restored.keys(""); len(got) != 2 {
		t.Errorf("keys before the fresh TTL is over: %v", got)
	}
	restored.pass(1)
	if got := restored.keys(""); !slices.Equal(got, []string{"a"}) {
		t.Errorf("keys after it: %v", got)
	}
}
