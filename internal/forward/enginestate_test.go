package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/routing"
)

// roleChangeTime is how long a role change takes in these tests.
const roleChangeTime = time.Second

// gatewayPair models two gateways with the same three engines of each role and a common clock. Updates are delivered by exchange.
type gatewayPair struct {
	now      time.Time
	gateways [2]*Dispatcher
	sequence uint64
	group    *routing.Group
	records  backend.Set
}

// newGatewayPair returns two gateways that know the same engines.
func newGatewayPair() *gatewayPair {
	engine := *engineGroup.Engine
	engine.RoleChangeTime = roleChangeTime
	pair := &gatewayPair{now: time.Unix(1000, 0), group: &routing.Group{Name: "g", Engine: &engine}, records: backend.Set{}}
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		for i := range 3 {
			id := fmt.Sprint(role, i)
			pair.records[id] = &backend.Worker{ID: id, Group: "g", Address: id, Role: role, Slots: 32}
		}
	}
	for i := range pair.gateways {
		pair.gateways[i] = NewDispatcher(DefaultDispatchSettings(), func() time.Time { return pair.now })
		pair.gateways[i].SetGroups([]routing.Group{*pair.group})
		pair.gateways[i].SetWorkers(pair.records.Clone())
		pair.gateways[i].NotifyUpdates(func(bool) {})
	}
	return pair
}

// exchange delivers the pending updates of each gateway to the other.
func (pair *gatewayPair) exchange() {
	pair.sequence++
	for i, gateway := range pair.gateways {
		message := gateway.TakeUpdate(false)
		message.Sender, message.Epoch, message.Sequence = fmt.Sprint(i), 1, pair.sequence
		pair.gateways[1-i].ApplyUpdate(&message)
	}
}

// runners returns the engines at which a gateway places short requests.
func (pair *gatewayPair) runners(gateway int) map[string]bool {
	runners := map[string]bool{}
	for i := range 30 {
		request := &Request{ID: fmt.Sprint("r", i), Demand: shortPrompt}
		placement, found := pair.gateways[gateway].Place(request, pair.group, PlaceOptions{})
		if found && placement.Runner != nil {
			runners[placement.Runner.Worker.ID] = true
		}
		if found && placement.Prefill != nil {
			placement.Prefill.finish(0)
		}
	}
	return runners
}

// TestRefusedEngineIsAvoidedByAllGateways guards against gateways that keep sending requests to an engine whose connections another gateway
// saw refused, and against role changes on such hearsay.
func TestRefusedEngineIsAvoidedByAllGateways(t *testing.T) {
	pair := newGatewayPair()
	pair.gateways[0].RecordRefused("decode0")
	pair.gateways[0].RecordRefused("decode1")
	pair.exchange()
	for gateway := range pair.gateways {
		if runners := pair.runners(gateway); len(runners) != 1 || !runners["decode2"] {
			t.Errorf("gateway %d places requests at %v, want only decode2", gateway, runners)
		}
		for _, query := range pair.gateways[gateway].EnginesToQuery() {
			if query.Confirmed != (gateway == 0) {
				t.Errorf("gateway %d would query %+v", gateway, query)
			}
		}
	}
	if groups := pair.gateways[1].Groups(); countEnded(groups["g"].Engines) != 0 {
		t.Error("a report of one gateway makes another one consider engines down")
	}
	if groups := pair.gateways[0].Groups(); countEnded(groups["g"].Engines) != 2 {
		t.Error("engines that refused the gateway's own connections are not considered down")
	}
	pair.gateways[1].RecordResponse("decode0", backend.RoleDecode, false)
	pair.exchange()
	for gateway := range pair.gateways {
		if runners := pair.runners(gateway); !runners["decode0"] || runners["decode1"] {
			t.Errorf("gateway %d places requests at %v after decode0 responded", gateway, runners)
		}
	}
}

// countEnded counts the engines that are considered down.
func countEnded(engines []roles.Engine) int {
	count := 0
	for _, engine := range engines {
		if engine.Ended {
			count++
		}
	}
	return count
}

// TestReportedRolePrecedesRecord guards against waiting for the record of an engine that has already reported its new role.
func TestReportedRolePrecedesRecord(t *testing.T) {
	pair := newGatewayPair()
	for i := range 3 {
		pair.gateways[0].RecordRefused(fmt.Sprint("decode", i))
	}
	pair.gateways[0].SetRoleChange("prefill0", backend.RoleDecode)
	pair.exchange()
	for gateway := range pair.gateways {
		loss, lost := pair.gateways[gateway].RoleLoss(pair.group)
		if back := loss.ExpectedAt.Sub(pair.now); !lost || loss.LostDecoders != 3 || loss.Changing != 1 || loss.PrefillEngines != 2 || back != roleChangeTime {
			t.Fatalf("gateway %d: loss %+v, expected back in %s, lost: %v", gateway, loss, back, lost)
		}
	}
	before, _ := pair.gateways[0].RoleLoss(pair.group)
	pair.now = pair.now.Add(roleChangeTime)
	queries := 0
	for _, query := range pair.gateways[1].EnginesToQuery() {
		if !query.Absent && query.Worker.ID == "prefill0" {
			queries++
		}
	}
	if queries != 1 {
		t.Error("an engine that should have changed its role is not queried")
	}
	pair.gateways[1].RecordResponse("prefill0", backend.RoleDecode, false)
	pair.exchange()
	select {
	case <-before.Recovered:
	default:
		t.Error("waiting requests are not notified")
	}
	for range 2 {
		for gateway := range pair.gateways {
			if runners := pair.runners(gateway); len(runners) != 1 || !runners["prefill0"] {
				t.Errorf("gateway %d places requests at %v, want only prefill0", gateway, runners)
			}
			// The record still shows the old role.
			pair.gateways[gateway].SetWorkers(pair.records.Clone())
		}
	}
	changed := *pair.records["prefill0"]
	changed.Role = backend.RoleDecode
	records := pair.records.Clone()
	records["prefill0"] = &changed
	pair.gateways[0].SetWorkers(records.Clone())
	pair.gateways[0].SetWorkers(pair.records.Clone())
	if worker, _ := pair.gateways[0].balancer.Worker("prefill0"); worker.Role != backend.RolePrefill {
		t.Error("the reported role still applies after the record has shown it")
	}
}

// TestExpectedRecoveryOfLostRole guards against a wrong Retry-After time when a role is lost: before a role change is ordered, after that,
// and once it is late.
func TestExpectedRecoveryOfLostRole(t *testing.T) {
	pair := newGatewayPair()
	gateway := pair.gateways[0]
	if _, lost := gateway.RoleLoss(pair.group); lost {
		t.Fatal("a role with engines is considered lost")
	}
	for i := range 3 {
		gateway.RecordRefused(fmt.Sprint("decode", i))
	}
	ordered := false
	for _, c := range []struct {
		at, back time.Duration
		order    bool
	}{
		{at: 0, back: roleOrderTime + roleChangeTime},
		{at: 100 * time.Millisecond, back: roleOrderTime + roleChangeTime, order: true},
		{at: 200 * time.Millisecond, back: 100*time.Millisecond + roleChangeTime},
		{at: 1200 * time.Millisecond, back: 1300 * time.Millisecond},
		{at: 1400 * time.Millisecond, back: 1700 * time.Millisecond},
	} {
		pair.now = time.Unix(1000, 0).Add(c.at)
		for i := range 3 {
			gateway.RecordRefused(fmt.Sprint("decode", i))
		}
		loss, _ := gateway.RoleLoss(pair.group)
		if back := loss.ExpectedAt.Sub(time.Unix(1000, 0)); back != c.back {
			t.Errorf("after %s, ordered: %v: expected back after %s, want %s", c.at, ordered, back, c.back)
		}
		if c.order {
			gateway.SetRoleChange("prefill0", backend.RoleDecode)
			ordered = true
		}
	}
}

// TestRecoveryWithoutRoleOrder guards against announcing a role change that no gateway ordered. The restart of the engines is announced
// instead.
func TestRecoveryWithoutRoleOrder(t *testing.T) {
	pair := newGatewayPair()
	for i := range 3 {
		pair.gateways[0].RecordRefused(fmt.Sprint("decode", i))
	}
	pair.now = pair.now.Add(roleOrderTime)
	for i := range 3 {
		pair.gateways[0].RecordRefused(fmt.Sprint("decode", i))
	}
	loss, _ := pair.gateways[0].RoleLoss(pair.group)
	// 3 s is the DefaultReturnTime of enginehealth.
	if back := loss.ExpectedAt.Sub(time.Unix(1000, 0)); back != 3*time.Second {
		t.Errorf("expected back after %s, want 3s", back)
	}
}

// newLostRoleFixture returns a fixture whose three decode engines refuse connections. Its prefill engines change roles within the given
// time.
func newLostRoleFixture(t *testing.T, objective, roleChange time.Duration) (*fixture, *fakeWorkers) {
	t.Helper()
	workers := &fakeWorkers{}
	workers.run = func(_ context.Context, _ int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		if strings.HasPrefix(worker.ID, "decode") {
			return nil, &httpclient.Error{Step: httpclient.StepConnect, Peer: worker.ID, Cause: syscall.ECONNREFUSED}
		}
		return wholeResponse(200, "answer"), nil
	}
	f := newFixture(t, fixtureOptions{
		rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: objective}, engine: true, demand: shortPrompt, allowance: 10,
	}, workers)
	f.handler.dispatcher.engineGroups["g"].RoleChangeTime = roleChange
	return f, workers
}

// TestRequestWaitsForRoleExpectedSoon guards against refusing a request although a lost role is restored within its objective.
func TestRequestWaitsForRoleExpectedSoon(t *testing.T) {
	f, workers := newLostRoleFixture(t, 4*time.Second, 50*time.Millisecond)
	dispatcher := f.handler.dispatcher
	dispatcher.SetRoleChange("prefill0", backend.RoleDecode)
	time.AfterFunc(100*time.Millisecond, func() { dispatcher.RecordResponse("prefill0", backend.RoleDecode, false) })
	response, body, err := f.get(t)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %s, %v", response, body, err)
	}
	if len(workers.ranAt) != 4 || workers.ranAt[3] != "prefill0" {
		t.Errorf("the request was sent to %v", workers.ranAt)
	}
}

// TestRequestIsRefusedForRoleExpectedLate guards against holding a request until its objective has passed when a lost role is restored
// later.
func TestRequestIsRefusedForRoleExpectedLate(t *testing.T) {
	f, workers := newLostRoleFixture(t, 200*time.Millisecond, 900*time.Millisecond)
	for first := true; ; first = false {
		start := time.Now()
		response, body, err := f.get(t)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(ReasonRoleLost)) {
			t.Fatalf("got %v, %s, %v", response, body, err)
		}
		if took := time.Since(start); took > 50*time.Millisecond {
			t.Errorf("the response took %s", took)
		}
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if least := (900*time.Millisecond + roleOrderTime - 100*time.Millisecond).Seconds(); err != nil || after < least || after > 2*least {
			t.Errorf("Retry-After is %v", response.Header.Get("Retry-After"))
		}
		if loss := f.reports.last.Loss; loss == nil || loss.LostDecoders != 3 || loss.PrefillEngines != 3 {
			t.Errorf("reported loss %+v", loss)
		}
		if !first {
			break
		}
		// The gateway already knows of the loss, so the second request is not sent to any engine.
		if len(workers.ranAt) != 3 {
			t.Errorf("the first request was sent to %v", workers.ranAt)
		}
	}
	if len(workers.ranAt) != 3 {
		t.Errorf("both requests were sent to %v", workers.ranAt)
	}
}

// BenchmarkRoleLoss computes the lost role of a group with 5,200 engines without using the cache.
func BenchmarkRoleLoss(b *testing.B) {
	pair := newGatewayPair()
	set := backend.Set{}
	for i := range 5200 {
		role := backend.RolePrefill
		if i%2 == 0 {
			role = backend.RoleDecode
		}
		id := fmt.Sprint("w", i)
		set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Role: role, Slots: 32}
	}
	dispatcher := pair.gateways[0]
	dispatcher.SetWorkers(set)
	for id, worker := range set {
		if worker.Role == backend.RoleDecode {
			dispatcher.RecordRefused(id)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		clear(dispatcher.engineState.lossCache)
		if loss, lost := dispatcher.RoleLoss(pair.group); !lost || loss.LostDecoders != 2600 {
			b.Fatalf("loss %+v, lost: %v, want 2600 decode engines down", loss, lost)
		}
	}
}

// BenchmarkApplyRefused applies updates from 320 gateways about engines that refuse connections.
func BenchmarkApplyRefused(b *testing.B) {
	pair := newGatewayPair()
	set := backend.Set{}
	var refused []string
	for i := range 5200 {
		id := fmt.Sprint("w", i)
		set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Role: backend.RoleDecode, Slots: 32}
		if i < maxPendingNotices {
			refused = append(refused, id)
		}
	}
	dispatcher := pair.gateways[0]
	dispatcher.SetWorkers(set)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		for gateway := range 320 {
			dispatcher.ApplyUpdate(&peersync.Message{Sender: fmt.Sprint(gateway), Epoch: 1, Sequence: uint64(i + 1), Refused: refused})
		}
	}
}

// TestEjectionIsSharedOnlyIfWorkerIsAtFault guards against gateways that avoid a sound worker because one that has lost its path to it ejected
// it, and against that one avoiding it although another gateway relays its connections.
func TestEjectionIsSharedOnlyIfWorkerIsAtFault(t *testing.T) {
	for _, test := range []struct {
		fault            Fault
		usable, isShared bool
	}{
		{FaultWorker, false, true},
		{FaultUnknown, false, false},
		{FaultPath, true, false},
	} {
		for _, outcome := range []balance.Outcome{balance.OutcomeTimeout, balance.OutcomeUnreachable, balance.OutcomeMalformed} {
			pair := newGatewayPair()
			cutOff := pair.gateways[0]
			var judged func(Fault)
			cutOff.JudgeFailures(func(_ *backend.Worker, done func(Fault)) { judged = done })
			worker := pair.records[fmt.Sprint(backend.RoleDecode, 0)]
			for judged == nil {
				cutOff.mutex.Lock()
				assignment := cutOff.assign(balance.Choice{Worker: worker}, 0, false, 0)
				cutOff.mutex.Unlock()
				pair.now = pair.now.Add(time.Second)
				assignment.finish(outcome)
			}
			if sent := cutOff.TakeUpdate(false); len(sent.Failed) > 0 {
				t.Errorf("outcome %d: %v was sent before the fault was known", outcome, sent.Failed)
			}
			judged(test.fault)
			sent := cutOff.TakeUpdate(false)
			if isShared := len(sent.Failed) > 0; isShared != test.isShared {
				t.Errorf("outcome %d, fault %d: ejection sent: %t, want %t", outcome, test.fault, isShared, test.isShared)
			}
			for other, status := range cutOff.balancer.WorkerStatuses(pair.now, worker.Group) {
				if other.ID == worker.ID && status.Usable != test.usable {
					t.Errorf("outcome %d, fault %d: usable: %t, want %t", outcome, test.fault, status.Usable, test.usable)
				}
			}
		}
	}
}
