package rolecontrol

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

const (
	scriptEngine   = "engine-1"
	scriptEpoch    = 7
	scriptRevision = 8
)

// script drives one core by hand, one step after the other.
type script struct {
	now     time.Time
	core    *Core
	epoch   uint64
	held    bool
	effects core.Effects
	// asked is the latest request other than List and Watch, listed the latest List.
	asked, listed platform.RequestID
	incarnation   uint64
	fence         engine.Fence
}

func newScript() *script {
	s := &script{now: testStart, epoch: scriptEpoch, held: true, incarnation: 1}
	s.core = New(Settings{
		Self:       "router-1",
		Authority:  func(time.Time, string) (uint64, bool) { return s.epoch, s.held },
		ShardKey:   func(string) string { return "shard" },
		MaxCrashes: 3,
	}, rand.New(rand.NewPCG(1, 1)))
	s.core.SetKnownEngine(s.now, scriptEngine, testZone, 1)
	s.core.SetAuthority(s.now, scriptEngine, scriptEpoch, true)
	return s
}

// take lets time pass and returns what the core asked for, in short form.
func (s *script) take(wait time.Duration) string {
	s.now = s.now.Add(wait)
	s.core.Tick(s.now, &s.effects)
	for wake := s.core.NextWake(); !wake.After(s.now); wake = s.core.NextWake() {
		s.core.Tick(s.now, &s.effects)
	}
	var short []string
	for _, asked := range s.effects.Platform {
		switch request := asked.Request.(type) {
		case platform.List:
			s.listed = asked.ID
			short = append(short, "list")
		case platform.Get:
			s.asked = asked.ID
			short = append(short, "get")
		case platform.FetchWeights:
			s.asked = asked.ID
			short = append(short, "weights "+request.Version)
		case platform.Transaction:
			s.asked = asked.ID
			var record Record
			if err := json.Unmarshal(request.Puts[0].Value, &record); err != nil {
				panic(err)
			}
			short = append(short, fmt.Sprintf("commit %s if %d and %d", brief(record), request.Compares[0].ModRevision, request.Compares[1].ModRevision))
		}
	}
	for _, command := range s.effects.Engine {
		if order, isOrder := command.(engine.Order); isOrder {
			record := Record{Configuration: order.Configuration, Generation: order.Fence.Generation}
			short = append(short, fmt.Sprintf("order %s under %d to %d", brief(record), order.Fence.Epoch, order.ExpectedIncarnation))
			s.fence = order.Fence
		}
	}
	s.effects.Reset()
	return strings.Join(short, ", ")
}

// brief writes a record as generation, role, version and a mark for draining.
func brief(record Record) string {
	mark := ""
	if record.Draining {
		mark = "!"
	}
	return fmt.Sprintf("%d:%s%s%s", record.Generation, record.Role, record.ModelVersion, mark)
}

func storedRecord(configuration engine.Configuration, generation uint64, draining bool, revision uint64) platform.Entry {
	record := Record{Configuration: configuration, Generation: generation, Draining: draining, Epoch: scriptEpoch}
	value, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return platform.Entry{Key: recordKey(scriptEngine), Value: value, ModRevision: revision, CreateRevision: 1}
}

func (s *script) list(revision uint64, entries ...platform.Entry) {
	s.core.HandlePlatformResponse(s.now, platform.Response{ID: s.listed, Revision: revision, Entries: entries}, &s.effects)
}

func (s *script) answer(response platform.Response) {
	response.ID = s.asked
	s.core.HandlePlatformResponse(s.now, response, &s.effects)
}

func (s *script) target(configuration engine.Configuration) {
	s.core.SetTarget(s.now, scriptEngine, Target{Configuration: configuration, Reason: "wanted"}, &s.effects)
}

func (s *script) accept() {
	s.core.HandleEngineEvent(s.now, engine.OrderResult{
		Engine: scriptEngine, Incarnation: s.incarnation, Fence: s.fence, Accepted: true, Current: s.fence,
	}, &s.effects)
}

func (s *script) report(configuration engine.Configuration, running int) {
	s.core.HandleEngineEvent(s.now, engine.Status{
		Engine: scriptEngine, Incarnation: s.incarnation, AsOf: s.now, Fence: s.fence, Configuration: configuration, Running: running,
	}, &s.effects)
}

func (s *script) restart() {
	s.incarnation++
	s.fence = engine.Fence{}
	s.report(engine.Configuration{}, 0)
}

// serving brings the script to an engine that serves its record, which is the third generation.
func (s *script) serving() {
	s.restating()
	s.accept()
	s.report(configPrefill, 2)
	s.take(0)
}

func (s *script) restating() {
	s.take(0)
	s.list(scriptRevision, storedRecord(configPrefill, 3, false, 5))
	s.take(0)
}

// committed answers a transaction and the read after it.
func (s *script) committed(entry platform.Entry) {
	s.answer(platform.Response{Succeeded: true, Revision: entry.ModRevision})
	s.take(0)
	s.answer(platform.Response{Entries: []platform.Entry{entry}, Revision: entry.ModRevision})
}

// scriptStep is something that happens, and what the core asks for after a while.
type scriptStep struct {
	act  func(s *script)
	wait time.Duration
	want string
}

func TestSteps(t *testing.T) {
	nothing := func(*script) {}
	unknown := func(s *script) { s.answer(platform.Response{Failure: platform.FailureUnknown}) }
	unchanged := func(s *script) {
		s.answer(platform.Response{Revision: 9, Entries: []platform.Entry{storedRecord(configPrefill, 3, false, 5)}})
	}
	newVersion := configPrefill
	newVersion.ModelVersion = "2"
	wantDecode := func(s *script) { s.serving(); s.target(configDecode) }
	draining := func(s *script) { s.committed(storedRecord(configPrefill, 4, true, 10)) }
	crashThrice := func(s *script) { s.restart(); s.restart(); s.restart() }
	for _, test := range []struct {
		desc  string
		steps []scriptStep
		phase Phase
	}{
		{desc: "a take-over waits for records as new as its epoch, restates, and only then changes", steps: []scriptStep{
			{nothing, 0, "list"},
			{func(s *script) { s.list(scriptEpoch-1, storedRecord(configPrefill, 2, false, 3)) }, 0, ""},
			{nothing, time.Second, "list"},
			{func(s *script) { s.list(scriptRevision, storedRecord(configPrefill, 3, false, 5)) }, 0, "order 3:prefill1 under 7 to 1"},
			{func(s *script) { s.target(configDecode) }, 0, ""},
			{nothing, DefaultOrderRetry, "order 3:prefill1 under 7 to 1"},
			{(*script).accept, 0, ""},
			{func(s *script) { s.report(configPrefill, 2) }, 0, "commit 4:prefill1! if 5 and 7"},
		}, phase: PhaseServing},
		{desc: "a change: drain, wait for empty, change", steps: []scriptStep{
			{wantDecode, 0, "commit 4:prefill1! if 5 and 7"},
			{draining, 0, "order 4:prefill1 under 7 to 1"},
			{func(s *script) { s.accept(); s.report(configPrefill, 1) }, 0, ""},
			{func(s *script) { s.report(configPrefill, 0) }, 0, "commit 5:decode1 if 10 and 7"},
			{func(s *script) { s.committed(storedRecord(configDecode, 5, false, 11)) }, 0, "order 5:decode1 under 7 to 1"},
			{func(s *script) { s.accept(); s.report(configDecode, 0) }, 0, ""},
		}, phase: PhaseServing},
		{desc: "a change of version asks the weight store before the engine is drained", steps: []scriptStep{
			{func(s *script) { s.serving(); s.target(newVersion) }, 0, "weights 2"},
			{func(s *script) {
				s.answer(platform.Response{Failure: platform.FailureRateLimited, RetryAfter: 3 * time.Second})
			}, 2 * time.Second, ""},
			{nothing, time.Second, "weights 2"},
			{func(s *script) { s.answer(platform.Response{Duration: time.Second}) }, 0, "commit 4:prefill1! if 5 and 7"},
		}, phase: PhaseServing},
		{desc: "a drain that is not empty in time is withdrawn", steps: []scriptStep{
			{wantDecode, 0, "commit 4:prefill1! if 5 and 7"},
			{draining, 0, "order 4:prefill1 under 7 to 1"},
			{func(s *script) { s.accept(); s.report(configPrefill, 1) }, DefaultDrainTimeout, "commit 5:prefill1 if 10 and 7"},
			{func(s *script) { s.committed(storedRecord(configPrefill, 5, false, 11)) }, 0, "order 5:prefill1 under 7 to 1"},
			{func(s *script) { s.accept(); s.report(configPrefill, 1); s.target(configDecode) }, 0, ""},
			{func(s *script) { s.report(configPrefill, 1); s.target(configDecode) }, DefaultRedrainDelay, "list"},
			{func(s *script) { s.report(configPrefill, 1); s.target(configDecode) }, 0, "commit 6:prefill1! if 11 and 7"},
		}, phase: PhaseServing},
		{desc: "a commit without an answer is sent again unchanged until it is settled", steps: []scriptStep{
			{wantDecode, 0, "commit 4:prefill1! if 5 and 7"},
			{unknown, time.Second, "get"},
			{func(s *script) { s.target(configPrefill); unchanged(s) }, time.Second, "commit 4:prefill1! if 5 and 7"},
			{func(s *script) { s.answer(platform.Response{Failure: platform.FailureRateLimited}) }, 2 * time.Second, "commit 4:prefill1! if 5 and 7"},
			{draining, 0, "order 4:prefill1 under 7 to 1"},
			{(*script).accept, 0, "commit 5:prefill1 if 10 and 7"},
		}, phase: PhaseDraining},
		{desc: "a commit that was surely refused is thought over", steps: []scriptStep{
			{wantDecode, 0, "commit 4:prefill1! if 5 and 7"},
			{func(s *script) {
				s.answer(platform.Response{Failure: platform.FailureUnavailable})
				s.target(configPrefill)
			}, time.Second, ""},
		}, phase: PhaseServing},
		{desc: "an order needs the authority at that very moment", steps: []scriptStep{
			{func(s *script) { s.restating(); s.held = false }, DefaultOrderRetry, ""},
		}, phase: PhaseUnknown},
		{desc: "an order under another epoch than the present one is not sent", steps: []scriptStep{
			{func(s *script) { s.restating(); s.epoch = 9 }, DefaultOrderRetry, "list"},
			{func(s *script) { s.list(9, storedRecord(configPrefill, 3, false, 5)) }, 0, "order 3:prefill1 under 9 to 1"},
		}, phase: PhaseRestating},
		{desc: "a commit needs the authority at that very moment", steps: []scriptStep{
			{func(s *script) { s.serving(); s.held = false; s.target(configDecode) }, 0, ""},
		}, phase: PhaseUnknown},
		{desc: "an engine that restarts during a drain gets its record again", steps: []scriptStep{
			{wantDecode, 0, "commit 4:prefill1! if 5 and 7"},
			{draining, 0, "order 4:prefill1 under 7 to 1"},
			{func(s *script) { s.accept(); s.restart() }, 0, "order 4:prefill1 under 7 to 2"},
			{func(s *script) { s.accept(); s.report(configPrefill, 0) }, 0, "commit 5:decode1 if 10 and 7"},
		}, phase: PhaseDraining},
		{desc: "a change that cannot start is forgotten", steps: []scriptStep{
			{func(s *script) { s.restating(); s.target(configDecode) }, DefaultTargetLifetime, "order 3:prefill1 under 7 to 1"},
			{func(s *script) { s.accept(); s.report(configPrefill, 0) }, 0, ""},
		}, phase: PhaseServing},
		{desc: "a change is forgotten with the authority", steps: []scriptStep{
			{func(s *script) { s.restating(); s.target(configDecode) }, 0, ""},
			{func(s *script) { s.epoch = 8; s.core.SetAuthority(s.now, scriptEngine, 8, true) }, 0, "order 3:prefill1 under 8 to 1"},
			{func(s *script) { s.accept(); s.report(configPrefill, 0) }, 0, ""},
		}, phase: PhaseServing},
		{desc: "an engine that crashes too often is set aside, gets one more order, and another configuration without a drain", steps: []scriptStep{
			{func(s *script) { s.serving(); crashThrice(s); s.take(0) }, time.Minute, ""},
			{nothing, DefaultSetAsideRetry, "list, order 3:prefill1 under 7 to 4"},
			{(*script).restart, time.Minute, ""},
			{func(s *script) { s.target(configNew) }, 0, "commit 4:decode2 if 5 and 7"},
		}, phase: PhaseSetAside},
		{desc: "what may have been ordered by an older holder is not replaced without a drain", steps: []scriptStep{
			{func(s *script) { s.restating(); crashThrice(s); s.take(0) }, time.Minute, ""},
			{func(s *script) { s.target(configNew) }, 0, ""},
		}, phase: PhaseSetAside},
	} {
		t.Run(test.desc, func(t *testing.T) {
			s := newScript()
			for i, step := range test.steps {
				step.act(s)
				if got := s.take(step.wait); got != step.want {
					t.Fatalf("step %d: asked for %q, want %q", i+1, got, step.want)
				}
			}
			if got := s.core.EngineState(scriptEngine); got.Phase != test.phase {
				t.Errorf("state is %+v, want phase %s", got, test.phase)
			}
		})
	}
}

func TestLearnRecordsNeverGoesBack(t *testing.T) {
	s := newScript()
	s.core.SetAuthority(s.now, scriptEngine, 0, false)
	old, young := Record{Generation: 2}.toMessage(scriptEngine), Record{Generation: 3, Draining: true}.toMessage(scriptEngine)
	for _, step := range []struct {
		desc    string
		message []uint64
		want    uint64
		changed int
	}{
		{desc: "the first", message: []uint64{2}, want: 2, changed: 1},
		{desc: "higher", message: []uint64{3}, want: 3, changed: 1},
		{desc: "lower and equal", message: []uint64{2, 3}, want: 3, changed: 0},
	} {
		for _, generation := range step.message {
			message := old
			if generation == 3 {
				message = young
			}
			s.core.LearnRecords(s.now, append(s.core.Records(), message))
		}
		record, _ := s.core.Record(scriptEngine)
		if got := len(s.core.TakeChangedRecords()); record.GetGeneration() != step.want || got != step.changed {
			t.Errorf("%s: generation %d with %d changed, want %d with %d", step.desc, record.GetGeneration(), got, step.want, step.changed)
		}
	}
}
