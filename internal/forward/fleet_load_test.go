package forward

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/routing"
)

// Parameters of the simulated load of long prompts on a whole fleet. Prompts consist of a shared document and a part of their own; lengths
// are in tokens. Prefilling takes 1/tokensPerMs for each token, and attentionMsPerMillionPairs for a million pairs of tokens.
const (
	longPromptsPerSecond       = 140.0
	documentCount              = 1060
	meanSharedTokens           = 13_300
	meanOwnTokens              = 3_720
	tokensPerMs                = 61.2
	gatewayCount               = 12
	longObjective              = 600 * time.Millisecond
	peerDelay                  = 4 * time.Millisecond
	attentionMsPerMillionPairs = 0.324
)

// scheduledEvent is an event of a simulation.
type scheduledEvent struct {
	at  time.Time
	run func()
}

// scheduledEventQueue is a heap of events ordered by time.
type scheduledEventQueue []scheduledEvent

func (q scheduledEventQueue) Len() int           { return len(q) }
func (q scheduledEventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q scheduledEventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *scheduledEventQueue) Push(event any)    { *q = append(*q, event.(scheduledEvent)) }
func (q *scheduledEventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// loadSimulation simulates gateways that exchange updates.
type loadSimulation struct {
	now      time.Time
	events   scheduledEventQueue
	random   *rand.Rand
	gateways []*Dispatcher
	group    *routing.Group
	// busyUntil is when an engine has prefilled its queue, by engine id. cached holds the documents cached by each engine.
	busyUntil map[string]time.Time
	cached    map[string]map[string]bool
	// everCached are the documents that were cached by any engine.
	everCached map[string]bool

	sequence                    uint64
	prompts, inTime, recomputed int
}

// schedule adds an event.
func (s *loadSimulation) schedule(delay time.Duration, run func()) {
	heap.Push(&s.events, scheduledEvent{s.now.Add(delay), run})
}

// drawTokens draws a log-normally distributed length with the given mean, at most limit.
func (s *loadSimulation) drawTokens(mean, spread, limit float64) int {
	return int(min(mean*math.Exp(spread*s.random.NormFloat64()-spread*spread/2), limit))
}

// arrive simulates the arrival of a prompt at a random gateway.
func (s *loadSimulation) arrive(number int, shared []int) {
	document := s.random.IntN(documentCount)
	own := s.drawTokens(meanOwnTokens, 1.1, 53_200)
	id := fmt.Sprint("document-", document)
	request := &Request{ID: fmt.Sprint("r", number), Demand: backend.Demand{
		PromptTokens: shared[document] + own, Segments: []backend.Segment{{ID: id, Tokens: shared[document]}, {ID: fmt.Sprint("own", number), Tokens: own}},
	}}
	gateway := s.gateways[s.random.IntN(len(s.gateways))]
	arrived := s.now
	placement, found := gateway.Place(request, s.group, PlaceOptions{Objective: longObjective, Remaining: longObjective})
	if !found {
		return
	}
	s.exchange()
	prefill := placement.Prefill
	if prefill == nil {
		prefill = placement.Runner
	}
	worker := prefill.Worker
	length := float64(request.Demand.PromptTokens)
	uncached := length
	switch {
	case s.cached[worker.ID][id] || placement.FetchFrom != nil:
		uncached = float64(own)
	case s.everCached[id]:
		s.recomputed++
	}
	took := uncached/tokensPerMs + attentionMsPerMillionPairs*(length*length-(length-uncached)*(length-uncached))/2e6
	if worker.Role == backend.RoleDecode {
		took *= 2
	}
	done := s.busyUntil[worker.ID]
	if done.Before(s.now) {
		done = s.now
	}
	done = done.Add(time.Duration(took * float64(time.Millisecond)))
	s.busyUntil[worker.ID] = done
	s.schedule(done.Sub(s.now), func() {
		if s.cached[worker.ID] == nil {
			s.cached[worker.ID] = map[string]bool{}
		}
		s.cached[worker.ID][id], s.everCached[id] = true, true
		gateway.RecordPrefilled(worker, request)
		runner := placement.Runner
		if placement.Prefill != nil {
			placement.Prefill.responseStarted()
			placement.Prefill.finish(balance.OutcomeGood)
			runner, _ = gateway.PlaceRunner(request, s.group, nil, placement.Prefill)
		}
		s.exchange()
		s.prompts++
		if s.now.Sub(arrived)+30*time.Millisecond <= longObjective {
			s.inTime++
		}
		s.schedule(30*time.Millisecond, func() { runner.finish(balance.OutcomeGood) })
	})
}

// exchange delivers pending updates to the other gateways after a delay.
func (s *loadSimulation) exchange() {
	for i, gateway := range s.gateways {
		message := gateway.TakeUpdate(false)
		if len(message.Loads) == 0 && len(message.CachedSegments) == 0 {
			continue
		}
		s.sequence++
		message.Sender, message.Epoch, message.Sequence = fmt.Sprint("entry-", i), 1, s.sequence
		s.schedule(peerDelay, func() {
			for j, other := range s.gateways {
				if i != j {
					other.ApplyUpdate(&message)
				}
			}
		})
	}
}

// TestLongPromptsReuseCachedDocuments guards against prefilling documents again that other engines have cached, on ten thousand engines
// under load.
func TestLongPromptsReuseCachedDocuments(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	s := &loadSimulation{
		now: time.Unix(1000, 0), random: random, busyUntil: map[string]time.Time{}, cached: map[string]map[string]bool{}, everCached: map[string]bool{},
		group: &routing.Group{Name: "g", Engine: &routing.Engine{KVCacheTokens: 417_523, BytesPerToken: 163_840, LinkMbps: 1_500_000}},
	}
	set := fleetOf(10_000)
	for i := range gatewayCount {
		settings := DefaultDispatchSettings()
		settings.Zone = fmt.Sprint("zone-", i%6)
		gateway := NewDispatcher(settings, func() time.Time { return s.now })
		gateway.SetGroups([]routing.Group{*s.group})
		gateway.SetWorkers(set)
		gateway.NotifyUpdates(func(bool) {})
		s.gateways = append(s.gateways, gateway)
	}
	shared := make([]int, documentCount)
	for i := range shared {
		shared[i] = s.drawTokens(meanSharedTokens, 0.7, 39_900)
	}
	end := s.now.Add(12 * time.Second)
	var arriveNext func(number int)
	arriveNext = func(number int) {
		s.arrive(number, shared)
		s.schedule(time.Duration(random.ExpFloat64()/longPromptsPerSecond*float64(time.Second)), func() { arriveNext(number + 1) })
	}
	arriveNext(0)
	for s.now.Before(end) {
		event := heap.Pop(&s.events).(scheduledEvent)
		s.now = event.at
		event.run()
	}
	t.Logf("%d prompts, %d in time, %d documents prefilled again", s.prompts, s.inTime, s.recomputed)
	if s.recomputed > cmp.Or(s.prompts/50, 1) {
		t.Errorf("for %d prompts, %d documents were prefilled again", s.prompts, s.recomputed)
	}
}
