package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/routing"
)

// Parameters of the simulated start of all gateways.
const (
	startGateways  = 8
	startEngines   = 24
	startSlots     = 32
	startCallers   = 240
	startReturn    = time.Second
	startObjective = 250 * time.Millisecond
	// decodeTime is how long an engine decodes a response, and firstEventTime the time to its first event in a free slot.
	decodeTime     = 900 * time.Millisecond
	firstEventTime = 40 * time.Millisecond
	// reportDelay is how long the report of an engine takes.
	reportDelay = 5 * time.Millisecond
)

// startSimulation simulates gateways that all start at once before engines that still run requests of the previous ones, some
// of which are changing their roles and refuse all requests.
type startSimulation struct {
	now      time.Time
	events   scheduledEventQueue
	random   *rand.Rand
	gateways []*Dispatcher
	group    *routing.Group
	// running is the number of requests that each engine runs, and peak the highest after the start.
	running, peak map[string]int
	changing      map[string]bool

	sequence        uint64
	inTime, refused int
}

// schedule adds an event.
func (s *startSimulation) schedule(delay time.Duration, run func()) {
	heap.Push(&s.events, scheduledEvent{s.now.Add(delay), run})
}

// newStartSimulation returns the simulation: a third of the engines is full, a third is idle, a third is changing roles.
func newStartSimulation(seed uint64) *startSimulation {
	s := &startSimulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), running: map[string]int{}, peak: map[string]int{}, changing: map[string]bool{},
		group: &routing.Group{Name: "g", Engine: &routing.Engine{RoleChangeTime: 3 * time.Second, KVCacheTokens: 400_000}},
	}
	set := backend.Set{}
	for i := range startEngines {
		id := fmt.Sprint("decode", i)
		set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Role: backend.RoleDecode, Slots: startSlots}
		switch i % 3 {
		case 0:
			s.running[id] = startSlots - 2
			for range s.running[id] {
				s.schedule(time.Duration(s.random.Float64()*2*float64(decodeTime)), func() { s.running[id]-- })
			}
		case 1:
			s.changing[id] = true
		}
	}
	for range startGateways {
		gateway := NewDispatcher(DefaultDispatchSettings(), func() time.Time { return s.now })
		gateway.SetGroups([]routing.Group{*s.group})
		gateway.SetWorkers(set.Clone())
		gateway.NotifyUpdates(func(bool) {})
		s.gateways = append(s.gateways, gateway)
	}
	return s
}

// askEngines makes each gateway ask its share of the engines first.
func (s *startSimulation) askEngines() {
	for i, gateway := range s.gateways {
		var own, others []string
		for j := range startEngines {
			if id := fmt.Sprint("decode", j); j%startGateways == i {
				own = append(own, id)
			} else {
				others = append(others, id)
			}
		}
		gateway.BeginWarmup(append(own, others...))
		for range startEngines / startGateways {
			engine, found := gateway.NextUnreported()
			if !found {
				break
			}
			s.schedule(reportDelay, func() {
				gateway.RecordEngineReport(EngineReport{Worker: engine.ID, Role: engine.Role, Changing: s.changing[engine.ID], Running: s.running[engine.ID]})
				s.exchange()
			})
		}
	}
}

// exchange delivers the pending updates of each gateway to the others.
func (s *startSimulation) exchange() {
	for i, gateway := range s.gateways {
		message, reports := gateway.TakeUpdate(false), gateway.TakeEngineReports()
		s.sequence++
		message.Sender, message.Epoch, message.Sequence = fmt.Sprint("entry-", i), 1, s.sequence
		s.schedule(peerDelay, func() {
			for j, other := range s.gateways {
				if i != j {
					other.ApplyUpdate(&message)
					other.ApplyEngineReports(reports)
				}
			}
		})
	}
}

// arrive simulates a caller at a gateway. A refusal is final, since there are no retries right after a start.
func (s *startSimulation) arrive(number int) {
	gateway := s.gateways[s.random.IntN(startGateways)]
	request := &Request{ID: fmt.Sprint("r", number), Demand: backend.Demand{PromptTokens: 20}}
	placement, found := gateway.Place(request, s.group, PlaceOptions{Objective: startObjective, Remaining: startObjective, Colocated: true})
	if !found {
		s.refused++
		return
	}
	s.exchange()
	runner := placement.Runner
	id := runner.Worker.ID
	if s.changing[id] {
		s.refused++
		runner.finish(balance.OutcomeRefused)
		return
	}
	s.running[id]++
	s.peak[id] = max(s.peak[id], s.running[id])
	if s.running[id] <= startSlots {
		s.inTime++
	}
	s.schedule(firstEventTime, runner.responseStarted)
	s.schedule(decodeTime, func() {
		s.running[id]--
		runner.finish(balance.OutcomeGood)
	})
}

// run plays two seconds, in which all callers return within startReturn.
func (s *startSimulation) run() {
	for number := range startCallers {
		s.schedule(2*reportDelay+time.Duration(s.random.Float64()*float64(startReturn)), func() { s.arrive(number) })
	}
	for len(s.events) > 0 && s.events[0].at.Before(time.Unix(1002, 0)) {
		event := heap.Pop(&s.events).(scheduledEvent)
		s.now = event.at
		event.run()
	}
}

// TestStartOfAllBeforeHalfFullEngines guards against callers that are refused or late, and engines that get more requests than
// they have slots, after all gateways have started at once before engines that are full or are changing their roles.
func TestStartOfAllBeforeHalfFullEngines(t *testing.T) {
	for seed := range uint64(5) {
		s := newStartSimulation(seed)
		s.askEngines()
		s.run()
		t.Logf("seed %d: %d of %d in time, %d refused", seed, s.inTime, startCallers, s.refused)
		if s.inTime < startCallers*95/100 {
			t.Errorf("seed %d: %d of %d in time, %d refused", seed, s.inTime, startCallers, s.refused)
		}
		for id, peak := range s.peak {
			if peak > startSlots {
				t.Errorf("seed %d: engine %s ran %d requests in %d slots", seed, id, peak, startSlots)
			}
		}
	}
}
