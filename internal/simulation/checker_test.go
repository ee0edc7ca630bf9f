package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// seconds makes the moment of an observation.
func seconds(count float64) Seen { return Seen{At: time.Duration(count * float64(time.Second))} }

func asked(at float64, number uint64, repeatable bool) CallAsked {
	return CallAsked{Seen: seconds(at), Call: number, RequestID: "fes/1", Agent: "agent-a-1", Repeatable: repeatable,
		Expected: []string{"go", " on"}, Deadline: seconds(at + 10).At}
}

func ended(at float64, number uint64, ending Ending) CallEnded {
	return CallEnded{Seen: seconds(at), Call: number, RequestID: "fes/1", Ending: ending}
}

func tokens(at float64, offset uint32, content ...string) CallTokens {
	return CallTokens{Seen: seconds(at), Call: 1, RequestID: "fes/1", Offset: offset, Tokens: content}
}

func order(at float64, epoch, generation uint64, role engine.Role) OrderReceived {
	return OrderReceived{Seen: seconds(at), Engine: "engine-a-1", Incarnation: 1, Sender: "router-a-1", Accepted: true,
		Fence: engine.Fence{Epoch: epoch, Generation: generation}, Configuration: engine.Configuration{Role: role}}
}

func started(at float64, incarnation uint64) RunStarted {
	return RunStarted{Seen: seconds(at), Engine: "engine-a-1", Incarnation: incarnation, RequestID: "fes/1"}
}

func runEnded(at float64) RunEnded {
	return RunEnded{Seen: seconds(at), Engine: "engine-a-1", Incarnation: 1, RequestID: "fes/1", Ending: RunCancelled}
}

func granted(at float64, epoch uint64) StoreCommitted {
	return StoreCommitted{Seen: seconds(at), Revision: epoch, Changed: []platform.Entry{
		{Key: shardPrefix + "a", CreateRevision: epoch, ModRevision: epoch}}}
}

func committed(at float64, revision uint64, record string) StoreCommitted {
	return StoreCommitted{Seen: seconds(at), Revision: revision, Changed: []platform.Entry{
		{Key: recordPrefix + "engine-a-1", Value: []byte(record), CreateRevision: 1, ModRevision: revision}}}
}

// stored is a configuration with a version of the model and engine-a-1 in a pool.
func stored(at float64, revision int, version, pool string) StoreCommitted {
	document := fmt.Sprintf(`{"spec":{"groups":[{"models":[{"version":%q}]}],"engineLabels":{"engine-a-1":{"pool":%q}}},`+
		`"status":{"revision":%d,"changeID":"change-%d"}}`, version, pool, revision, revision)
	return StoreCommitted{Seen: seconds(at), Changed: []platform.Entry{{Key: configuration.StoreKey, Value: []byte(document)}}}
}

func process(at float64, name string, state ProcessState) ProcessChanged {
	return ProcessChanged{Seen: seconds(at), Process: name, Incarnation: 1, State: state}
}

func submitted(at float64) SubmitReceived {
	return SubmitReceived{Seen: seconds(at), Engine: "engine-a-1", Incarnation: 1, Sender: "router-a-1",
		RequestID: "fes/1", New: true}
}

func engineState(at float64, state EngineState) EngineChanged {
	return EngineChanged{Seen: seconds(at), Engine: "engine-a-1", Incarnation: 1, State: state}
}

func read(at float64, revision uint64) ConfigurationRead {
	return ConfigurationRead{Seen: seconds(at), Router: "router-a-1", Incarnation: 1, Revision: revision}
}

func accepted(at float64, revision uint64) ConfigurationAccepted {
	return ConfigurationAccepted{Seen: seconds(at), Operator: "operator-1", Router: "router-b-1", Revision: revision}
}

func fault(from, until float64, kind FaultKind, variant Variant, target string) FaultBegan {
	return FaultBegan{Seen: seconds(from), Fault: Fault{Kind: kind, Variant: variant, Target: target,
		From: seconds(from).At, Until: seconds(until).At}}
}

// TestCheckers feeds each checker histories that break its promise, and next to each one that nearly does.
func TestCheckers(t *testing.T) {
	owned := []Observation{granted(0, 3), committed(0, 4, `{"generation":1,"epoch":3}`)}
	changing := order(2, 3, 1, engine.RoleDecode)
	changing.Changes, changing.Runs = true, 1
	emptyChange := changing
	emptyChange.Runs = 0
	refused := order(3, 2, 1, engine.RoleDecode)
	refused.Accepted = false
	conflicting := order(3, 2, 1, engine.RolePrefill)
	conflicting.Accepted = false
	joined := submitted(9)
	joined.New = false
	otherCaller := asked(2, 2, true)
	secondStored := stored(2, 3, "1", "serving")
	secondStored.Changed[0].Value = stored(1, 2, "1", "serving").Changed[0].Value
	versionOrder := order(5, 3, 2, engine.RoleDecode)
	versionOrder.Configuration.ModelVersion = "2"
	secondAccepted := accepted(3, 2)
	secondAccepted.ChangeID = "change-2"
	lostAccepted := accepted(3, 2)
	lostAccepted.ChangeID = "change-9"
	lostAccepted.Revision = 9
	restarted := engineState(3, EngineStarted)
	restarted.Incarnation = 2

	for _, test := range []struct {
		desc    string
		checker CheckerFunc
		history []Observation
		broken  bool
	}{
		{desc: "one generation with two contents", checker: checkConflictingOrders, broken: true,
			history: []Observation{order(1, 3, 1, engine.RolePrefill), order(2, 3, 1, engine.RoleDecode)}},
		{desc: "one generation with two contents, one of them refused", checker: checkConflictingOrders, broken: true,
			history: []Observation{order(1, 3, 1, engine.RoleDecode), conflicting}},
		{desc: "one generation ordered twice", checker: checkConflictingOrders,
			history: []Observation{order(1, 3, 1, engine.RoleDecode), order(2, 4, 1, engine.RoleDecode)}},

		{desc: "run cut by a change", checker: checkCutByChange, broken: true, history: []Observation{
			RunEnded{Seen: seconds(1), Engine: "engine-a-1", RequestID: "fes/1", Ending: RunChanged}}},
		{desc: "changed with runs", checker: checkCutByChange, broken: true, history: []Observation{changing}},
		{desc: "changed when empty", checker: checkCutByChange, history: []Observation{emptyChange}},
		{desc: "run lost in a crash", checker: checkCutByChange, history: []Observation{
			RunEnded{Seen: seconds(1), Engine: "engine-a-1", RequestID: "fes/1", Ending: RunCrashed}}},

		{desc: "order of an epoch that was never granted", checker: checkAuthority, broken: true,
			history: append(owned, order(1, 2, 1, engine.RoleDecode))},
		{desc: "order of a generation that was never committed", checker: checkAuthority, broken: true,
			history: append(owned, order(1, 3, 2, engine.RoleDecode))},
		{desc: "old epoch after a newer one was accepted", checker: checkAuthority, broken: true,
			history: append(owned, granted(1, 7), order(2, 7, 1, engine.RoleDecode), order(3, 3, 1, engine.RoleDecode))},
		{desc: "old epoch after a newer one committed", checker: checkAuthority, broken: true,
			history: append(owned, granted(1, 7), committed(2, 8, `{"generation":2,"epoch":7}`), order(3, 3, 1, engine.RoleDecode))},
		{desc: "record committed under an epoch that ended", checker: checkAuthority, broken: true,
			history: append(owned, StoreCommitted{Seen: seconds(1), Revision: 5, Deleted: []string{shardPrefix + "a"}},
				committed(2, 6, `{"generation":2,"epoch":3}`))},
		{desc: "record that jumps over a generation", checker: checkAuthority, broken: true,
			history: append(owned, committed(2, 6, `{"generation":3,"epoch":3}`))},
		{desc: "record of a generation that was there", checker: checkAuthority, broken: true,
			history: append(owned, committed(2, 6, `{"generation":1,"epoch":3}`))},
		{desc: "next record", checker: checkAuthority, history: append(owned, committed(2, 6, `{"generation":2,"epoch":3}`))},
		{desc: "old epoch refused", checker: checkAuthority,
			history: append(owned, order(1, 3, 1, engine.RoleDecode), refused)},
		{desc: "restated under a newer epoch", checker: checkAuthority,
			history: append(owned, order(1, 3, 1, engine.RoleDecode), granted(2, 7), order(3, 7, 1, engine.RoleDecode))},

		{desc: "another answer", checker: checkWholeAnswer, broken: true,
			history: []Observation{asked(1, 1, true), tokens(2, 0, "stop")}},
		{desc: "out of order", checker: checkWholeAnswer, broken: true,
			history: []Observation{asked(1, 1, true), tokens(2, 1, " on"), tokens(2, 0, "go")}},
		{desc: "given twice", checker: checkWholeAnswer, broken: true,
			history: []Observation{asked(1, 1, true), tokens(2, 0, "go"), tokens(2, 0, "go")}},
		{desc: "longer than whole", checker: checkWholeAnswer, broken: true,
			history: []Observation{asked(1, 1, true), tokens(2, 0, "go", " on", " on")}},
		{desc: "said to be whole too early", checker: checkWholeAnswer, broken: true,
			history: []Observation{asked(1, 1, true), tokens(2, 0, "go"), ended(3, 1, EndAnswered)}},
		{desc: "tokens after the end", checker: checkWholeAnswer, broken: true,
			history: []Observation{asked(1, 1, true), ended(2, 1, EndUnknown), tokens(3, 0, "go")}},
		{desc: "two endings", checker: checkWholeAnswer, broken: true,
			history: []Observation{asked(1, 1, true), ended(2, 1, EndNotRun), ended(3, 1, EndUnknown)}},
		{desc: "whole answer in two parts", checker: checkWholeAnswer,
			history: []Observation{asked(1, 1, true), tokens(2, 0, "go"), tokens(3, 1, " on"), ended(3, 1, EndAnswered)}},

		{desc: "told not run after it ran", checker: checkNotRun, broken: true,
			history: []Observation{asked(1, 1, true), started(2, 1), ended(3, 1, EndNotRun)}},
		{desc: "runs after it was told not run", checker: checkNotRun, broken: true,
			history: []Observation{asked(1, 1, true), ended(2, 1, EndNotRun), started(3, 1)}},
		{desc: "ran before another call asked", checker: checkNotRun, broken: true,
			history: []Observation{asked(1, 1, true), started(1.5, 1), otherCaller, ended(3, 1, EndNotRun), ended(3, 2, EndAnswered)}},
		{desc: "ran for another call", checker: checkNotRun,
			history: []Observation{asked(1, 1, true), ended(1.5, 1, EndNotRun), otherCaller, started(3, 1), ended(4, 2, EndAnswered)}},
		{desc: "told unknown", checker: checkNotRun,
			history: []Observation{asked(1, 1, true), started(2, 1), ended(3, 1, EndUnknown)}},

		{desc: "ran twice", checker: checkAtMostOnce, broken: true,
			history: []Observation{asked(1, 1, false), started(2, 1), started(3, 1)}},
		{desc: "ran again after a restart", checker: checkAtMostOnce, broken: true,
			history: []Observation{asked(1, 1, false), started(2, 1), started(3, 2)}},
		{desc: "may be repeated", checker: checkAtMostOnce,
			history: []Observation{asked(1, 1, true), started(2, 1), started(3, 2)}},

		{desc: "new work long after leaving", checker: checkLeaving, broken: true,
			history: []Observation{engineState(1, EngineLeaving), submitted(9)}},
		{desc: "new work at once after leaving", checker: checkLeaving,
			history: []Observation{engineState(1, EngineLeaving), submitted(2)}},
		{desc: "joined long after leaving", checker: checkLeaving,
			history: []Observation{engineState(1, EngineLeaving), joined}},

		{desc: "unknown without a fault", checker: checkPlannedStop, broken: true,
			history: []Observation{asked(1, 1, true), process(2, "router-a-1", ProcessStopping), ended(3, 1, EndUnknown)}},
		{desc: "agent stopped with a call", checker: checkPlannedStop, broken: true, history: []Observation{
			fault(0, 5, FaultKill, VariantNone, "router-a-1"), asked(1, 1, true), process(2, "agent-a-1", ProcessStopped)}},
		{desc: "did not stop", checker: checkPlannedStop, broken: true, history: []Observation{
			process(1, "router-a-1", ProcessStopping), process(31, "router-a-1", ProcessTimedOut)}},
		{desc: "unknown after a kill", checker: checkPlannedStop, history: []Observation{
			fault(0, 2, FaultKill, VariantNone, "router-a-1"), asked(1, 1, true), ended(3, 1, EndUnknown)}},
		{desc: "failed after another caller went away", checker: checkPlannedStop, history: []Observation{asked(1, 1, true),
			otherCaller, ended(3, 2, EndLeft), ended(3, 1, EndFailed)}},
		{desc: "failed together with another caller", checker: checkPlannedStop, broken: true, history: []Observation{
			asked(1, 1, true), otherCaller, ended(3, 2, EndFailed), ended(3, 1, EndFailed)}},
		{desc: "failed before another caller went away", checker: checkPlannedStop, broken: true, history: []Observation{
			asked(1, 1, true), otherCaller, ended(3, 1, EndFailed), ended(4, 2, EndLeft)}},
		{desc: "late", checker: checkPlannedStop, history: []Observation{asked(1, 1, true), started(9, 1),
			runEnded(10.9), ended(11, 1, EndFailed)}},
		{desc: "stuck until the deadline", checker: checkPlannedStop, broken: true, history: []Observation{asked(1, 1, true),
			started(2, 1), runEnded(3), ended(11, 1, EndFailed)}},
		{desc: "cut before the deadline", checker: checkPlannedStop, broken: true, history: []Observation{asked(1, 1, true),
			started(2, 1), runEnded(3), ended(3, 1, EndFailed)}},
		{desc: "not run without a fault", checker: checkPlannedStop,
			history: []Observation{asked(1, 1, true), ended(3, 1, EndNotRun)}},

		{desc: "revision goes back", checker: checkConfiguration, broken: true, history: []Observation{read(1, 2), read(2, 1)}},
		{desc: "accepted but not in force", checker: checkConfiguration, broken: true,
			history: []Observation{accepted(1, 2), read(7, 1)}},
		{desc: "not in force while cut from the store", checker: checkConfiguration, broken: true, history: []Observation{
			fault(0, 8, FaultCut, VariantFromPlatform, "router-a-1"), accepted(1, 2), read(7, 1)}},
		{desc: "not yet in force", checker: checkConfiguration, history: []Observation{accepted(1, 2), read(5, 1)}},
		{desc: "not in force while isolated", checker: checkConfiguration, history: []Observation{
			fault(0, 8, FaultCut, VariantIsolated, "router-a-1"), accepted(1, 2), read(7, 1)}},
		{desc: "went back long after a restart", checker: checkConfiguration, broken: true, history: []Observation{accepted(1, 2),
			process(2, "router-a-1", ProcessKilled), process(3, "router-a-1", ProcessStarted), read(9, 1)}},

		{desc: "accepted but not stored", checker: checkEdits, broken: true,
			history: []Observation{stored(0, 1, "1", "serving"), lostAccepted}},
		{desc: "accepted and stored twice", checker: checkEdits, broken: true,
			history: []Observation{stored(0, 1, "1", "serving"), stored(1, 2, "1", "serving"), secondStored, secondAccepted}},
		{desc: "accepted and stored", checker: checkEdits,
			history: []Observation{stored(0, 1, "1", "serving"), stored(1, 2, "1", "serving"), secondAccepted}},
		{desc: "stored revision goes back", checker: checkEdits, broken: true,
			history: []Observation{stored(0, 2, "1", "serving"), stored(1, 1, "1", "serving")}},
		{desc: "new work at an engine in reserve", checker: checkEdits, broken: true, history: []Observation{
			stored(0, 1, "1", "serving"), stored(1, 2, "1", "reserve"), secondAccepted, submitted(9)}},
		{desc: "new work at an engine in reserve before the bound", checker: checkEdits, history: []Observation{
			stored(0, 1, "1", "serving"), stored(1, 2, "1", "reserve"), secondAccepted, submitted(7)}},
		{desc: "new work at an engine that serves again", checker: checkEdits, history: []Observation{stored(0, 1, "1", "serving"),
			stored(1, 2, "1", "reserve"), secondAccepted, stored(8, 3, "1", "serving"), submitted(9)}},

		{desc: "no outcome", checker: checkLiveness, broken: true, history: []Observation{asked(1, 1, true)}},
		{desc: "late outcome", checker: checkLiveness, broken: true,
			history: []Observation{asked(1, 1, true), ended(15, 1, EndUnknown)}},
		{desc: "outcome in time", checker: checkLiveness, history: []Observation{asked(1, 1, true), ended(12, 1, EndUnknown)}},
		{desc: "outcome after a pause of the agent", checker: checkLiveness, history: []Observation{asked(1, 1, true),
			process(2, "agent-a-1", ProcessPaused), process(14, "agent-a-1", ProcessResumed), ended(14, 1, EndUnknown)}},
		{desc: "engine never ordered", checker: checkLiveness, broken: true, history: []Observation{engineState(0, EngineStarted)}},
		{desc: "engine not ordered after its restart", checker: checkLiveness, broken: true, history: []Observation{
			engineState(0, EngineStarted), order(1, 3, 1, engine.RoleDecode), restarted}},
		{desc: "not answered long after the last fault", checker: checkLiveness, broken: true,
			history: []Observation{asked(30, 1, true), ended(31, 1, EndNotRun)}},
		{desc: "not answered shortly after the last fault", checker: checkLiveness,
			history: []Observation{asked(15, 1, true), ended(16, 1, EndNotRun)}},
		{desc: "version that no engine follows", checker: checkLiveness, broken: true,
			history: []Observation{stored(0, 1, "1", "serving"), stored(2, 2, "2", "serving"), order(1, 3, 1, engine.RoleDecode)}},
		{desc: "version that operators went back to, which an engine never left", checker: checkLiveness,
			history: []Observation{stored(0, 1, "2", "serving"), versionOrder, stored(6, 2, "1", "serving"), stored(7, 3, "2", "serving")}},
		{desc: "version that an engine follows", checker: checkLiveness,
			history: []Observation{stored(0, 1, "1", "serving"), stored(2, 2, "2", "serving"), versionOrder}},
		{desc: "engine ordered", checker: checkLiveness,
			history: []Observation{engineState(0, EngineStarted), order(1, 3, 1, engine.RoleDecode)}},

		{desc: "submitted without end", checker: checkRetries, broken: true,
			history: slices.Repeat([]Observation{submitted(1)}, maximumSubmits+1)},
		{desc: "submitted some times", checker: checkRetries, history: slices.Repeat([]Observation{submitted(1)}, maximumSubmits)},

		{desc: "everything refused", checker: checkAnswered, broken: true,
			history: []Observation{asked(1, 1, true), ended(2, 1, EndNotRun)}},
		{desc: "caller left", checker: checkAnswered, history: []Observation{asked(1, 1, true), ended(2, 1, EndLeft)}},
		{desc: "engine of work that may not be repeated crashed", checker: checkAnswered, history: []Observation{
			asked(1, 1, false), RunEnded{Seen: seconds(2), RequestID: "fes/1", Ending: RunCrashed}, ended(3, 1, EndUnknown)}},
		{desc: "routers of two zones down", checker: checkAnswered, history: []Observation{asked(1, 1, false),
			process(2, "router-a-1", ProcessKilled), process(2, "router-b-1", ProcessKilled), ended(5, 1, EndNotRun)}},
		{desc: "routers of one zone down", checker: checkAnswered, broken: true, history: []Observation{asked(1, 1, false),
			process(2, "router-a-1", ProcessKilled), process(2, "router-a-2", ProcessKilled), ended(5, 1, EndNotRun)}},
		{desc: "routers of two zones down, work that may be repeated", checker: checkAnswered, broken: true,
			history: []Observation{asked(1, 1, true), process(2, "router-a-1", ProcessKilled),
				process(2, "router-b-1", ProcessKilled), ended(5, 1, EndNotRun)}},
		{desc: "engine of work that may be repeated crashed", checker: checkAnswered, broken: true, history: []Observation{
			asked(1, 1, true), RunEnded{Seen: seconds(2), RequestID: "fes/1", Ending: RunCrashed}, ended(3, 1, EndUnknown)}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			history := &History{Observations: test.history, FaultsEnd: seconds(10).At, End: seconds(60).At, Zones: zonesOf(Fes().Routers)}
			violations := test.checker(history)
			if broken := len(violations) > 0; broken != test.broken {
				t.Errorf("violations %v, want some: %t", violations, test.broken)
			}
		})
	}
}
