package poison_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/poison"
)

// way is how a fleet treats suspects. The zero value is that of plain spreading: a repeat goes out at once, before it is known whether
// the worker has ended.
type strategy struct {
	name string
	// share of a role that suspects put at risk; 1 is everything, and 0 one worker.
	riskShare float64
	// knows has a repeat wait until it is known whether its worker has ended.
	awaitsProbe bool
	// pause is how long suspects are kept from workers after an end was heard of: repeats wait, and others are refused.
	suspectPause time.Duration
	// fresh has only those wait out the pause that have not run in this attempt: they are refused.
	pausesNewOnly bool
	// holds is how long the failure of a suspect is kept from its caller, so that the next copy finds the other gateways told.
	failureDelay time.Duration
	// alone has one suspect run at a time in the whole fleet, as if all gateways knew of each other at once.
	oneAtATime bool
	// tries of a gateway; zero is playTries.
	tries int
	// sets and turn keep suspects apart in time; zero does not.
	sets int
	turn time.Duration
}

// ways are weighed side by side.
var strategies = []strategy{
	{name: "a: spread", riskShare: 1},
	{name: "b: one worker", riskShare: 0, awaitsProbe: true},
	{name: "c: one at a time", riskShare: 1, awaitsProbe: true, oneAtATime: true},
	{name: "d: refusal 30 ms", riskShare: 1, suspectPause: 30 * time.Millisecond},
	{name: "e: second try waits", riskShare: 1, awaitsProbe: true},
	{name: "c+d+e", riskShare: 1, awaitsProbe: true, oneAtATime: true, suspectPause: 30 * time.Millisecond, failureDelay: 30 * time.Millisecond},
	{name: "half+e, turns", riskShare: 0.5, awaitsProbe: true, sets: 4, turn: 100 * time.Millisecond},
	{name: "quarter+e", riskShare: 0.25, awaitsProbe: true},
	{name: "quarter+d+e", riskShare: 0.25, awaitsProbe: true, suspectPause: 30 * time.Millisecond},
	{name: "quarter+e, alone", riskShare: 0.25, awaitsProbe: true, oneAtATime: true},
	{name: "built, 4 sets", riskShare: implemented.riskShare, awaitsProbe: true, sets: 4, turn: implemented.turn, failureDelay: implemented.failureDelay},
	implemented,
	{name: "one try: a", riskShare: 1, tries: 1},
	{name: "one try: built, not held", riskShare: implemented.riskShare, awaitsProbe: true, tries: 1, sets: implemented.sets, turn: implemented.turn},
	{name: "one try: built", riskShare: implemented.riskShare, awaitsProbe: true, tries: 1, sets: implemented.sets, turn: implemented.turn, failureDelay: implemented.failureDelay},
}

// built is the way of the gateways: a quarter of the role, repeats that wait until the end is known, sets that take turns, and failures
// that are kept from callers until the others are told.
var implemented = strategy{
	name: "built", riskShare: balance.DefaultRiskSettings().Share, awaitsProbe: true, failureDelay: 30 * time.Millisecond,
	sets: balance.DefaultRiskSettings().Sets, turn: balance.DefaultRiskSettings().Turn,
}

// Shape of a play.
const (
	gatewayCount = 5
	// playLength is how long requests come.
	simDuration = 16 * time.Second
	// Each worker runs some six requests at a time. One that ends its worker takes playCrash from when it begins.
	serviceTime, crashDelay = 150 * time.Millisecond, 60 * time.Millisecond
	requestsPerWorker       = 6
	// playAway is how long a worker is away, and playRecord how long after an end the gateways see what the records tell.
	restartTime, recordDelay = 3 * time.Second, 50 * time.Millisecond
	// playProbe is how long it takes to find out that a worker has ended, and between playTold and playSlow until others are told.
	probeDelay, minShareDelay, maxShareDelay = time.Millisecond, 3 * time.Millisecond, 22 * time.Millisecond
	// playTime is what a request has, playTries how often a gateway tries it, and playAgain after how long its caller sends it again.
	requestTimeout, gatewayTries, callerRetryDelay = 3 * time.Second, 2, 10 * time.Millisecond
	// playPoll is how often a repeat that waits looks whether it may run.
	pollInterval = 20 * time.Millisecond
	// playLeastAfter is the shortest time after which a refused one comes back.
	minRetryAfter = 20 * time.Millisecond
	// killerEvery is how often a request comes that ends workers, on the mean. Each third time three copies come at one moment.
	killerInterval = 800 * time.Millisecond
)

// event is something that happens at a moment.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events are a heap in the order of time.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playWorker is a worker of the role.
type simWorker struct {
	number, incarnation int
	down                bool
	running             map[*simRequest]bool
}

func (w *simWorker) id() string { return fmt.Sprint("w", w.number, "/", w.incarnation) }

// playGateway is a gateway with what it holds.
type simGateway struct {
	table    *poison.Table
	balancer *balance.Balancer
	// heardAt is when it heard of an end last, and judging when the next judgement is due.
	lastCrashReport time.Time
}

// playRequest is one request of a caller, with all its tries.
type simRequest struct {
	digest  poison.Digest
	killer  bool
	arrived time.Time
	gateway *simGateway
	tries   int
	// runs of this attempt, and whether its caller has sent it again.
	excluded []string
	resent   bool
	// touched is set once a worker has ended under it, or it was refused as a suspect.
	affected bool
}

// outcome counts what became of the requests of plays.
type outcome struct {
	runs, crashes, maxCrashes, barred int
	timeToBar, maxTimeToBar           time.Duration
	maxShareDown                      float64
	harmless, affected, lost          int
	waited                            time.Duration
	falseBars                         int
}

// play is one fleet with one role.
type simulation struct {
	strategy     strategy
	now          time.Time
	startedAt    time.Time
	random       *rand.Rand
	queue        eventQueue
	nextSequence int
	workers      []*simWorker
	gateways     []*simGateway
	// suspectsRunning are those that run, where one is to run at a time.
	suspectsRunning int
	crashes         int
	firstCrash      time.Time
	barredAt        time.Time
	outcome         *outcome
	harmless        map[poison.Digest]bool
	falseBars       map[poison.Digest]bool
}

// newPlay returns a fleet at rest.
func newSimulation(strategy strategy, size int, seed uint64, outcome *outcome) *simulation {
	s := &simulation{
		strategy: strategy, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, uint64(size))), outcome: outcome,
		harmless: map[poison.Digest]bool{}, falseBars: map[poison.Digest]bool{},
	}
	s.startedAt = s.now
	for number := range size {
		s.workers = append(s.workers, &simWorker{number: number, running: map[*simRequest]bool{}})
	}
	settings := balance.DefaultSettings()
	settings.Risk.Share, settings.Risk.Sets, settings.Risk.Turn = strategy.riskShare, strategy.sets, strategy.turn
	for range gatewayCount {
		gateway := &simGateway{table: poison.NewTable(poison.DefaultSettings()), balancer: balance.New(settings, enginemodel.New(), nil)}
		gateway.balancer.SetWorkers(s.workerRecords())
		s.gateways = append(s.gateways, gateway)
	}
	return s
}

// records are those of the workers.
func (s *simulation) workerRecords() backend.Set {
	set := backend.Set{}
	for _, w := range s.workers {
		set[w.id()] = &backend.Worker{ID: w.id(), Group: "g", Address: fmt.Sprint("address-", w.number), Slots: 48, Role: backend.RoleDecode}
	}
	return set
}

// after has something happen.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.nextSequence++
	heap.Push(&s.queue, event{at: s.now.Add(delay), sequence: s.nextSequence, run: run})
}

// run lets everything happen until a while after the last request came.
func (s *simulation) run() {
	for len(s.queue) > 0 && s.queue[0].at.Sub(s.startedAt) < simDuration+2*requestTimeout {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.outcome.runs++
	s.outcome.crashes += s.crashes
	s.outcome.maxCrashes = max(s.outcome.maxCrashes, s.crashes)
	s.outcome.falseBars += len(s.falseBars)
	if !s.barredAt.IsZero() {
		elapsed := s.barredAt.Sub(s.firstCrash)
		s.outcome.barred++
		s.outcome.timeToBar += elapsed
		s.outcome.maxTimeToBar = max(s.outcome.maxTimeToBar, elapsed)
	}
}

// anyGateway returns a gateway by chance.
func (s *simulation) randomGateway() *simGateway { return s.gateways[s.random.IntN(len(s.gateways))] }

// arrive has a request come to a gateway.
func (s *simulation) arrive(request *simRequest, gateway *simGateway) {
	request.gateway, request.tries, request.excluded = gateway, 0, nil
	s.try(request)
}

// try goes on with a request at its gateway.
func (s *simulation) try(request *simRequest) {
	standing, _ := request.gateway.table.Standing(s.now, request.digest)
	switch {
	case s.now.Sub(request.arrived) >= requestTimeout || standing == poison.Barred:
		s.fail(request)
	case standing == poison.Judged:
		s.waitOrRefuse(request)
	case standing == poison.Suspected:
		s.trySuspect(request)
	default:
		if w := s.randomWorker(); w != nil {
			s.startRun(request, w, false)
			return
		}
		s.fail(request)
	}
}

// anyWorker returns a worker that is up, by chance, or nil.
func (s *simulation) randomWorker() *simWorker {
	for range 20 * len(s.workers) {
		if w := s.workers[s.random.IntN(len(s.workers))]; !w.down {
			return w
		}
	}
	return nil
}

// trySuspect has a suspect run if that is allowed now.
func (s *simulation) trySuspect(request *simRequest) {
	gateway := request.gateway
	paused := s.now.Sub(gateway.lastCrashReport) < s.strategy.suspectPause && (request.tries == 0 || !s.strategy.pausesNewOnly)
	if paused || (s.strategy.oneAtATime && s.suspectsRunning > 0) {
		s.waitOrRefuse(request)
		return
	}
	choice, found := gateway.balancer.Pick(s.now, balance.Query{
		Group: "g", Role: backend.RoleDecode, Apart: request.digest.String(), Excluded: request.excluded,
	})
	if !found {
		s.waitOrRefuse(request)
		return
	}
	for _, w := range s.workers {
		if w.id() == choice.Worker.ID && !w.down {
			s.startRun(request, w, true)
			return
		}
	}
	// Nothing listens there any more.
	request.excluded = append(request.excluded, choice.Worker.ID)
	s.schedule(probeDelay, func() { s.try(request) })
}

// waitOrRefuse has a request wait that has run, or whose turn is to come, and another one come back.
func (s *simulation) waitOrRefuse(request *simRequest) {
	request.affected = true
	turnsIn := request.gateway.balancer.RunsIn(s.now, balance.Query{Group: "g", Role: backend.RoleDecode, Apart: request.digest.String()})
	if request.tries > 0 || (turnsIn > 0 && turnsIn <= time.Duration(s.strategy.sets)*s.strategy.turn) {
		s.schedule(pollInterval, func() { s.try(request) })
		return
	}
	if request.resent {
		s.fail(request)
		return
	}
	request.resent = true
	s.schedule(max(turnsIn+time.Millisecond, s.strategy.suspectPause, minRetryAfter), func() { s.arrive(request, s.randomGateway()) })
}

// begin has a worker run a request.
func (s *simulation) startRun(request *simRequest, w *simWorker, suspect bool) {
	request.tries++
	w.running[request] = true
	incarnation := w.incarnation
	if suspect {
		s.suspectsRunning++
	}
	duration := serviceTime
	if request.killer {
		duration = crashDelay
	}
	s.schedule(duration, func() {
		if suspect {
			s.suspectsRunning--
		}
		switch {
		case w.incarnation != incarnation || !w.running[request]:
		case request.killer:
			s.crash(w)
		default:
			delete(w.running, request)
			s.succeed(request)
		}
	})
}

// served notes a good end.
func (s *simulation) succeed(request *simRequest) {
	gateway := request.gateway
	if standing, _ := gateway.table.Standing(s.now, request.digest); standing != poison.Clear {
		gateway.table.RecordSuccess(s.now, s.now, request.digest)
		s.shareUpdate(gateway)
	}
	s.outcome.harmless++
	if request.affected {
		s.outcome.affected++
		s.outcome.waited += s.now.Sub(request.arrived) - serviceTime
	}
}

// fail notes a request that is not served, or has its caller send it again.
func (s *simulation) fail(request *simRequest) {
	if standing, _ := request.gateway.table.Standing(s.now, request.digest); !request.resent && standing != poison.Barred {
		request.resent = true
		s.schedule(callerRetryDelay, func() { s.arrive(request, s.randomGateway()) })
		return
	}
	if !request.killer {
		s.outcome.harmless++
		s.outcome.affected++
		s.outcome.lost++
	}
}

// end ends a worker under all that it runs. It is back after a while.
func (s *simulation) crash(w *simWorker) {
	crashed, id := w, w.id()
	disconnected := w.running
	w.running, w.down = map[*simRequest]bool{}, true
	// What is due of this life is void.
	s.crashes++
	if s.firstCrash.IsZero() {
		s.firstCrash = s.now
	}
	down := 0
	for _, other := range s.workers {
		if other.down {
			down++
		}
	}
	s.outcome.maxShareDown = max(s.outcome.maxShareDown, float64(down)/float64(len(s.workers)))
	brokenAt := s.now
	for _, request := range s.sorted(disconnected) {
		request.affected = true
		request.excluded = append(request.excluded, id)
		gateway := request.gateway
		s.schedule(probeDelay, func() {
			gateway.table.RecordCrash(s.now, brokenAt, poison.Crash{Digest: request.digest, Worker: id}, "rule", "")
			gateway.balancer.Ended(s.now, brokenAt, id)
			gateway.lastCrashReport = s.now
			s.shareUpdate(gateway)
		})
		s.retry(request)
	}
	s.schedule(restartTime, func() {
		crashed.incarnation++
		crashed.down = false
	})
	s.schedule(restartTime+recordDelay, func() {
		for _, gateway := range s.gateways {
			gateway.balancer.SetWorkers(s.workerRecords())
			gateway.balancer.Returned(s.now)
		}
	})
}

// ordered returns requests in an order that does not depend on that of a map.
func (s *simulation) sorted(requests map[*simRequest]bool) []*simRequest {
	var all []*simRequest
	for request := range requests {
		all = append(all, request)
	}
	for i := range all {
		for j := i + 1; j < len(all); j++ {
			if all[j].digest.String() < all[i].digest.String() {
				all[i], all[j] = all[j], all[i]
			}
		}
	}
	return all
}

// repeat goes on with a request under which a worker has ended.
func (s *simulation) retry(request *simRequest) {
	delay := time.Duration(0)
	if s.strategy.awaitsProbe {
		delay = 2 * probeDelay
	}
	if request.tries < cmp.Or(s.strategy.tries, gatewayTries) {
		s.schedule(delay, func() { s.try(request) })
		return
	}
	s.schedule(delay+s.strategy.failureDelay, func() { s.fail(request) })
}

// changed has the other gateways told, and judges what is due.
func (s *simulation) shareUpdate(gateway *simGateway) {
	update := gateway.table.TakeUpdate(s.now, false)
	sent := s.now
	for _, other := range s.gateways {
		if other == gateway {
			continue
		}
		delay := minShareDelay + time.Duration(s.random.Int64N(int64(maxShareDelay-minShareDelay)))
		s.schedule(delay, func() {
			other.table.MergeUpdate(s.now, update)
			for _, crash := range update.Crashes {
				other.balancer.Ended(s.now, sent, crash.Worker)
				other.lastCrashReport = s.now
			}
			s.scheduleEvaluation(other)
		})
	}
	s.scheduleEvaluation(gateway)
}

// judgeLater judges when something is due.
func (s *simulation) scheduleEvaluation(gateway *simGateway) {
	next := gateway.table.NextEvaluation()
	if next.IsZero() {
		return
	}
	s.schedule(max(next.Sub(s.now), 0)+time.Millisecond, func() {
		bars := gateway.table.Evaluate(s.now)
		for _, bar := range bars {
			if s.harmless[bar.Asked] {
				s.falseBars[bar.Asked] = true
			} else if s.barredAt.IsZero() {
				s.barredAt = s.now
			}
		}
		if len(bars) > 0 {
			s.shareUpdate(gateway)
		}
		s.scheduleEvaluation(gateway)
	})
}

// crowdOf has requests come that do no harm, each of its own content but for those of a popular one.
func (s *simulation) scheduleHarmless(popularShare float64) {
	interval := serviceTime / time.Duration(requestsPerWorker*len(s.workers))
	number := 0
	var next func()
	next = func() {
		number++
		name := fmt.Sprint("innocent", number)
		if s.random.Float64() < popularShare {
			name = "popular"
		}
		request := &simRequest{digest: poison.Asked{Target: name}.Digest(), arrived: s.now}
		s.harmless[request.digest] = true
		s.arrive(request, s.randomGateway())
		if s.now.Sub(s.startedAt) < simDuration {
			s.schedule(interval, next)
		}
	}
	s.schedule(0, next)
}

// killers have the request come that ends workers.
func (s *simulation) scheduleKillers() {
	digest := poison.Asked{Target: "killer"}.Digest()
	at := time.Second
	for number := 0; at < simDuration-time.Second; number++ {
		copies := 1
		if number%3 == 2 {
			copies = 3
		}
		s.schedule(at, func() {
			for i := range copies {
				s.arrive(&simRequest{digest: digest, killer: true, arrived: s.now}, s.gateways[(number+i)%len(s.gateways)])
			}
		})
		at += killerInterval/2 + time.Duration(s.random.Int64N(int64(killerInterval)))
	}
}

// String shows an outcome as a line of a table.
func (o *outcome) String() string {
	meanWait := time.Duration(0)
	if served := o.affected - o.lost; served > 0 {
		meanWait = o.waited / time.Duration(served)
	}
	meanTimeToBar := time.Duration(0)
	if o.barred > 0 {
		meanTimeToBar = o.timeToBar / time.Duration(o.barred)
	}
	runs := float64(o.runs)
	return fmt.Sprintf("ends %.1f, most %d | barred in %.2f s, most %.2f s, %d of %d | away %.0f%% | touched %.0f, lost %.1f, wait %.2f s | false bars %d",
		float64(o.crashes)/runs, o.maxCrashes, meanTimeToBar.Seconds(), o.maxTimeToBar.Seconds(), o.barred, o.runs, 100*o.maxShareDown,
		float64(o.affected)/runs, float64(o.lost)/runs, meanWait.Seconds(), o.falseBars)
}

// BenchmarkWays plays all ways at roles of several sizes and shows what they cost. It is the source of the table in the design.
func BenchmarkStrategies(b *testing.B) {
	for _, size := range []int{4, 12, 20, 300} {
		runs := uint64(50)
		if size > 100 {
			runs = 3
		}
		for _, strategy := range strategies {
			b.Run(fmt.Sprint(size, " ", strategy.name), func(b *testing.B) {
				var got outcome
				for b.Loop() {
					got = simulate(strategy, size, runs)
				}
				b.Logf("%4d %-24s %v", size, strategy.name, &got)
			})
		}
	}
}

// playsOf plays a request that ends workers beside a crowd.
func simulate(strategy strategy, size int, runs uint64) outcome {
	var got outcome
	for seed := range runs {
		s := newSimulation(strategy, size, seed, &got)
		s.scheduleHarmless(0.05)
		s.scheduleKillers()
		s.run()
	}
	return got
}

// TestOneRequestLeavesARoleMostOfItsWorkers plays a request that ends workers, and copies of it that come to three gateways at one moment.
// From the first end on it never has more than a quarter of the role away, at any size, also where a gateway may try it only once; it
// is barred, nobody else is, and of those that ran beside it few come to harm.
func TestKillerRequestLeavesMostWorkersUp(t *testing.T) {
	const runs, maxCrashes = 20, 5
	for _, size := range []int{1, 2, 4, 12, 20, 60} {
		for _, tries := range []int{1, gatewayTries} {
			strategy := implemented
			strategy.tries = tries
			got := simulate(strategy, size, runs)
			maxDown := max(size/4, 1)
			if got.maxShareDown > float64(maxDown)/float64(size) || got.maxCrashes > maxCrashes || got.barred < got.runs || got.falseBars > 0 {
				t.Errorf("a role of %d, tried %d times: %v", size, tries, &got)
			}
			// A worker runs some six requests, and at the most five of them end.
			if affected := float64(got.affected) / runs; size > 1 && affected > 2*maxCrashes*requestsPerWorker {
				t.Errorf("a role of %d, tried %d times: %.0f requests beside it waited or were lost", size, tries, affected)
			}
			t.Logf("a role of %d, tried %d times: %v", size, tries, &got)
		}
	}
}

// TestWorkersThatEndByThemselvesBarNobody ends workers that nobody has ended, while one request of five is always the same: one alone, a
// rack, a zone and all at one moment, and all in a row.
func TestUnrelatedCrashesBarNoRequest(t *testing.T) {
	const runs = 3
	patterns := []struct {
		name string
		// share of the workers that end together, every so often.
		share float64
		every time.Duration
	}{{"one alone", 0, 4 * time.Second}, {"rack", 0.2, 4 * time.Second}, {"zone", 0.34, 5 * time.Second}, {"all", 1, 5 * time.Second}, {"release", 0, 300 * time.Millisecond}}
	for _, size := range []int{4, 12} {
		for _, pattern := range patterns {
			var got outcome
			for seed := range uint64(runs) {
				s := newSimulation(implemented, size, seed, &got)
				s.scheduleHarmless(0.2)
				s.scheduleCrashes(pattern.share, pattern.every)
				s.run()
			}
			if got.falseBars > 0 {
				t.Errorf("a role of %d, %s: %v", size, pattern.name, &got)
			}
			t.Logf("a role of %d, %s: %v", size, pattern.name, &got)
		}
	}
}

// endSome ends workers in their order, a share of them within some milliseconds, every so often.
func (s *simulation) scheduleCrashes(share float64, every time.Duration) {
	next := 0
	for at := time.Second; at < simDuration-time.Second; at += every {
		s.schedule(at, func() {
			for range max(int(share*float64(len(s.workers))), 1) {
				w := s.workers[next%len(s.workers)]
				next++
				s.schedule(time.Duration(s.random.Int64N(int64(10*time.Millisecond))), func() {
					if !w.down {
						s.crash(w)
					}
				})
			}
		})
	}
}
