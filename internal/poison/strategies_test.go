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

// strategy is how the gateways of a fleet route suspected requests. By default a request is retried at once, before it is known whether
// its worker crashed.
type strategy struct {
	name string
	// riskShare is the share of the workers that suspects may put at risk; 1 is all workers, and 0 a single one.
	riskShare float64
	// awaitsProbe delays a retry until it is known whether the worker crashed.
	awaitsProbe bool
	// suspectPause is how long suspects are not routed after a crash report: retries wait, and other requests are refused.
	suspectPause time.Duration
	// pausesNewOnly applies the pause only to requests that have not run yet in this attempt.
	pausesNewOnly bool
	// failureDelay delays the failure of a suspect, so that the caller's retry finds the other gateways informed.
	failureDelay time.Duration
	// oneAtATime runs one suspect at a time in the whole fleet, as if the gateways shared their state instantly.
	oneAtATime bool
	// tries is the number of tries per gateway; zero means gatewayTries.
	tries int
	// Suspects are divided into sets that are routed one after the other, each for turnDuration; zero disables this.
	sets         int
	turnDuration time.Duration
}

// strategies are the alternatives that BenchmarkStrategies compares.
var strategies = []strategy{
	{name: "a: spread", riskShare: 1},
	{name: "b: one worker", riskShare: 0, awaitsProbe: true},
	{name: "c: one at a time", riskShare: 1, awaitsProbe: true, oneAtATime: true},
	{name: "d: refusal 30 ms", riskShare: 1, suspectPause: 30 * time.Millisecond},
	{name: "e: second try waits", riskShare: 1, awaitsProbe: true},
	{name: "c+d+e", riskShare: 1, awaitsProbe: true, oneAtATime: true, suspectPause: 30 * time.Millisecond, failureDelay: 30 * time.Millisecond},
	{name: "half+e, turns", riskShare: 0.5, awaitsProbe: true, sets: 4, turnDuration: 100 * time.Millisecond},
	{name: "quarter+e", riskShare: 0.25, awaitsProbe: true},
	{name: "quarter+d+e", riskShare: 0.25, awaitsProbe: true, suspectPause: 30 * time.Millisecond},
	{name: "quarter+e, alone", riskShare: 0.25, awaitsProbe: true, oneAtATime: true},
	{name: "built, 4 sets", riskShare: implemented.riskShare, awaitsProbe: true, sets: 4, turnDuration: implemented.turnDuration, failureDelay: implemented.failureDelay},
	implemented,
	{name: "one try: a", riskShare: 1, tries: 1},
	{name: "one try: built, not held", riskShare: implemented.riskShare, awaitsProbe: true, tries: 1, sets: implemented.sets, turnDuration: implemented.turnDuration},
	{name: "one try: built", riskShare: implemented.riskShare, awaitsProbe: true, tries: 1, sets: implemented.sets, turnDuration: implemented.turnDuration, failureDelay: implemented.failureDelay},
}

// implemented is the strategy of the gateways: the default share of a role at risk, retries that await the probe, sets that take turns,
// and failures that are delayed until the other gateways are informed.
var implemented = strategy{
	name: "built", riskShare: balance.DefaultRiskSettings().Share, awaitsProbe: true, failureDelay: 30 * time.Millisecond,
	sets: balance.DefaultRiskSettings().Sets, turnDuration: balance.DefaultRiskSettings().Turn,
}

// Parameters of a simulation.
const (
	gatewayCount = 5
	// simDuration is how long requests arrive.
	simDuration = 16 * time.Second
	// serviceTime is the duration of a harmless request, and crashDelay how long a killer request runs before its worker crashes.
	serviceTime, crashDelay = 150 * time.Millisecond, 60 * time.Millisecond
	// requestsPerWorker is the mean number of requests that a worker runs at a time.
	requestsPerWorker = 6
	// restartTime is the downtime of a crashed worker, and recordDelay how much later the gateways see its new record.
	restartTime, recordDelay = 3 * time.Second, 50 * time.Millisecond
	// probeDelay is the duration of a probe. Updates reach other gateways after minShareDelay to maxShareDelay.
	probeDelay, minShareDelay, maxShareDelay = time.Millisecond, 3 * time.Millisecond, 22 * time.Millisecond
	// requestTimeout bounds a request with its retries. A caller retries callerRetryDelay after a failure.
	requestTimeout, gatewayTries, callerRetryDelay = 3 * time.Second, 2, 10 * time.Millisecond
	// pollInterval is the interval at which a waiting retry checks whether it may run.
	pollInterval = 20 * time.Millisecond
	// minRetryAfter is the minimum delay before a refused request is sent again.
	minRetryAfter = 20 * time.Millisecond
	// killerInterval is the mean interval between killer requests. Every third time three copies arrive at once.
	killerInterval = 800 * time.Millisecond
)

// event is a scheduled function.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a heap of events, ordered by time and then by sequence.
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

// simWorker is a worker of the simulated role.
type simWorker struct {
	number, incarnation int
	down                bool
	running             map[*simRequest]bool
}

func (w *simWorker) id() string { return fmt.Sprint("w", w.number, "/", w.incarnation) }

// simGateway is a gateway with its table and balancer.
type simGateway struct {
	table    *poison.Table
	balancer *balance.Balancer
	// lastCrashReport is when the gateway last learned of a crash.
	lastCrashReport time.Time
}

// simRequest is a request of a caller, with all its tries.
type simRequest struct {
	digest  poison.Digest
	killer  bool
	arrived time.Time
	gateway *simGateway
	tries   int
	// began is when the current try reached its worker.
	began time.Time
	// excluded are the workers that this attempt has tried. resent is set once the caller has retried.
	excluded      []string
	callerRetried bool
	// affected is set once a worker crashed under the request, or it was refused or delayed as a suspect.
	affected bool
}

// outcome sums up the results of several simulations.
type outcome struct {
	runs, crashes, maxCrashes, barred int
	timeToBar, maxTimeToBar           time.Duration
	maxShareDown                      float64
	harmless, affected, lost          int
	totalDelay                        time.Duration
	falseBars                         int
}

// simulation simulates a fleet with one role.
type simulation struct {
	strategy     strategy
	now          time.Time
	startedAt    time.Time
	random       *rand.Rand
	queue        eventQueue
	nextSequence int
	workers      []*simWorker
	gateways     []*simGateway
	// suspectsRunning is the number of suspects that run now.
	suspectsRunning int
	crashes         int
	firstCrash      time.Time
	barredAt        time.Time
	outcome         *outcome
	harmless        map[poison.Digest]bool
	falseBars       map[poison.Digest]bool
}

// newSimulation returns an idle fleet.
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
	settings.Risk.Share, settings.Risk.Sets, settings.Risk.Turn = strategy.riskShare, strategy.sets, strategy.turnDuration
	for range gatewayCount {
		gateway := &simGateway{table: poison.NewTable(poison.DefaultSettings()), balancer: balance.New(settings, enginemodel.New(), nil)}
		gateway.balancer.SetWorkers(s.workerRecords())
		s.gateways = append(s.gateways, gateway)
	}
	return s
}

// workerRecords returns the records of all workers.
func (s *simulation) workerRecords() backend.Set {
	set := backend.Set{}
	for _, w := range s.workers {
		set[w.id()] = &backend.Worker{ID: w.id(), Group: "g", Address: fmt.Sprint("address-", w.number), Slots: 48, Role: backend.RoleDecode}
	}
	return set
}

// schedule runs a function after a delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.nextSequence++
	heap.Push(&s.queue, event{at: s.now.Add(delay), sequence: s.nextSequence, run: run})
}

// run processes events until some time after the last request arrived.
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

// randomGateway returns a random gateway.
func (s *simulation) randomGateway() *simGateway { return s.gateways[s.random.IntN(len(s.gateways))] }

// arrive starts an attempt of a request at a gateway.
func (s *simulation) arrive(request *simRequest, gateway *simGateway) {
	request.gateway, request.tries, request.excluded = gateway, 0, nil
	s.try(request)
}

// try routes a request at its gateway.
func (s *simulation) try(request *simRequest) {
	status, _ := request.gateway.table.Status(s.now, request.digest)
	switch {
	case s.now.Sub(request.arrived) >= requestTimeout || status == poison.Barred:
		s.fail(request)
	case status == poison.Pending:
		s.waitOrRefuse(request)
	case status == poison.Suspected:
		s.trySuspect(request)
	default:
		if w := s.randomWorker(); w != nil {
			s.startRun(request, w, false)
			return
		}
		s.fail(request)
	}
}

// randomWorker returns a random worker that is up, or nil.
func (s *simulation) randomWorker() *simWorker {
	for range 20 * len(s.workers) {
		if w := s.workers[s.random.IntN(len(s.workers))]; !w.down {
			return w
		}
	}
	return nil
}

// trySuspect routes a suspect if the strategy allows it now.
func (s *simulation) trySuspect(request *simRequest) {
	gateway := request.gateway
	paused := s.now.Sub(gateway.lastCrashReport) < s.strategy.suspectPause && (request.tries == 0 || !s.strategy.pausesNewOnly)
	if paused || (s.strategy.oneAtATime && s.suspectsRunning > 0) {
		s.waitOrRefuse(request)
		return
	}
	choice, found := gateway.balancer.Pick(s.now, balance.Query{
		Group: "g", Role: backend.RoleDecode, SuspectKey: request.digest.String(), Excluded: request.excluded,
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
	// The worker is down: try another one.
	request.excluded = append(request.excluded, choice.Worker.ID)
	s.schedule(probeDelay, func() { s.try(request) })
}

// waitOrRefuse delays a request that was tried before or whose turn is near. It refuses any other one, whose caller retries once.
func (s *simulation) waitOrRefuse(request *simRequest) {
	request.affected = true
	turnsIn := request.gateway.balancer.SuspectWait(s.now, balance.Query{Group: "g", Role: backend.RoleDecode, SuspectKey: request.digest.String()})
	if request.tries > 0 || (turnsIn > 0 && turnsIn <= time.Duration(s.strategy.sets)*s.strategy.turnDuration) {
		s.schedule(pollInterval, func() { s.try(request) })
		return
	}
	if request.callerRetried {
		s.fail(request)
		return
	}
	request.callerRetried = true
	s.schedule(max(turnsIn+time.Millisecond, s.strategy.suspectPause, minRetryAfter), func() { s.arrive(request, s.randomGateway()) })
}

// startRun runs a request at a worker.
func (s *simulation) startRun(request *simRequest, w *simWorker, suspect bool) {
	request.tries++
	request.began = s.now
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
			// The worker crashed meanwhile, and crash has handled the request.
		case request.killer:
			s.crash(w)
		default:
			delete(w.running, request)
			s.succeed(request)
		}
	})
}

// succeed records the success of a request.
func (s *simulation) succeed(request *simRequest) {
	gateway := request.gateway
	if status, _ := gateway.table.Status(s.now, request.digest); status != poison.Clear {
		gateway.table.RecordSuccess(s.now, s.now, request.digest)
		s.shareUpdate(gateway)
	}
	s.outcome.harmless++
	if request.affected {
		s.outcome.affected++
		s.outcome.totalDelay += s.now.Sub(request.arrived) - serviceTime
	}
}

// fail records a failed try at a gateway. The caller retries once unless the request is barred.
func (s *simulation) fail(request *simRequest) {
	if status, _ := request.gateway.table.Status(s.now, request.digest); !request.callerRetried && status != poison.Barred {
		request.callerRetried = true
		s.schedule(callerRetryDelay, func() { s.arrive(request, s.randomGateway()) })
		return
	}
	if !request.killer {
		s.outcome.harmless++
		s.outcome.affected++
		s.outcome.lost++
	}
}

// crash takes a worker down, which fails all requests that it runs, and restarts it later.
func (s *simulation) crash(w *simWorker) {
	crashed, id := w, w.id()
	disconnected := w.running
	w.running, w.down = map[*simRequest]bool{}, true
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
		gateway, began := request.gateway, request.began
		s.schedule(probeDelay, func() {
			crash := poison.Crash{Digest: request.digest, Worker: id}
			gateway.table.RecordCrash(s.now, brokenAt, crash, "rule", "")
			gateway.table.RecordRun(s.now, began, brokenAt, crash)
			gateway.balancer.RecordCrash(s.now, brokenAt, id)
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
			gateway.balancer.MatchReplacements(s.now)
		}
	})
}

// sorted returns the requests in an order that does not depend on map iteration.
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

// retry retries a request whose worker crashed, or fails it after the last try.
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

// shareUpdate sends an update to the other gateways and schedules evaluations.
func (s *simulation) shareUpdate(gateway *simGateway) {
	update, supplement := gateway.table.TakeUpdate(s.now, nil), gateway.table.TakeSupplement(s.now, nil)
	sent := s.now
	for _, other := range s.gateways {
		if other == gateway {
			continue
		}
		delay := minShareDelay + time.Duration(s.random.Int64N(int64(maxShareDelay-minShareDelay)))
		s.schedule(delay, func() {
			other.table.ApplyUpdate(s.now, update)
			other.table.ApplySupplement(s.now, supplement)
			for _, crash := range update.Crashes {
				other.balancer.RecordCrash(s.now, sent, crash.Worker)
				other.lastCrashReport = s.now
			}
			s.scheduleEvaluation(other)
		})
	}
	s.scheduleEvaluation(gateway)
}

// scheduleEvaluation evaluates the table of a gateway when its next evaluation is due.
func (s *simulation) scheduleEvaluation(gateway *simGateway) {
	next := gateway.table.NextEvaluation()
	if next.IsZero() {
		return
	}
	s.schedule(max(next.Sub(s.now), 0)+time.Millisecond, func() {
		bars := gateway.table.Evaluate(s.now)
		for _, bar := range bars {
			if s.harmless[bar.Digest] {
				s.falseBars[bar.Digest] = true
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

// scheduleHarmless lets harmless requests arrive, a share of them with the same content and the others with distinct contents.
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
		request := &simRequest{digest: poison.Request{Target: name}.Digest(), arrived: s.now}
		s.harmless[request.digest] = true
		s.arrive(request, s.randomGateway())
		if s.now.Sub(s.startedAt) < simDuration {
			s.schedule(interval, next)
		}
	}
	s.schedule(0, next)
}

// scheduleKillers lets a killer request arrive repeatedly.
func (s *simulation) scheduleKillers() {
	digest := poison.Request{Target: "killer"}.Digest()
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

// String formats an outcome as a table row.
func (o *outcome) String() string {
	meanWait := time.Duration(0)
	if served := o.affected - o.lost; served > 0 {
		meanWait = o.totalDelay / time.Duration(served)
	}
	meanTimeToBar := time.Duration(0)
	if o.barred > 0 {
		meanTimeToBar = o.timeToBar / time.Duration(o.barred)
	}
	runs := float64(o.runs)
	return fmt.Sprintf("crashes %.1f, max %d | barred in %.2f s, max %.2f s, %d of %d | down %.0f%% | affected %.0f, lost %.1f, wait %.2f s | false bars %d",
		float64(o.crashes)/runs, o.maxCrashes, meanTimeToBar.Seconds(), o.maxTimeToBar.Seconds(), o.barred, o.runs, 100*o.maxShareDown,
		float64(o.affected)/runs, float64(o.lost)/runs, meanWait.Seconds(), o.falseBars)
}

// BenchmarkStrategies compares the strategies at several sizes of the role. The design document shows its results.
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

// simulate runs simulations of killer requests among harmless ones.
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

// TestKillerRequestLeavesMostWorkersUp guards against a killer request that takes down more than a quarter of a role, also when it arrives
// at three gateways at once and gateways do not retry. The killer must be barred, harmless requests must not, and few may be affected.
func TestKillerRequestLeavesMostWorkersUp(t *testing.T) {
	const runs, maxCrashes = 20, 5
	for _, size := range []int{1, 2, 4, 12, 20, 60} {
		for _, tries := range []int{1, gatewayTries} {
			strategy := implemented
			strategy.tries = tries
			got := simulate(strategy, size, runs)
			maxDown := max(size/4, 1)
			if got.maxShareDown > float64(maxDown)/float64(size) || got.maxCrashes > maxCrashes || got.barred < got.runs || got.falseBars > 0 {
				t.Errorf("%d workers, %d tries: %v", size, tries, &got)
			}
			// Each crash affects the requests that the worker ran.
			if affected := float64(got.affected) / runs; size > 1 && affected > 2*maxCrashes*requestsPerWorker {
				t.Errorf("%d workers, %d tries: %.0f harmless requests per run waited or were lost", size, tries, affected)
			}
			t.Logf("%d workers, %d tries: %v", size, tries, &got)
		}
	}
}

// TestUnrelatedCrashesBarNoRequest guards against bars after crashes that no request caused, while one content makes up a fifth of the
// requests: single workers, a rack, a zone, all workers at once, and a rolling release.
func TestUnrelatedCrashesBarNoRequest(t *testing.T) {
	const runs = 3
	patterns := []struct {
		name string
		// share of the workers that crash together at each interval.
		share float64
		every time.Duration
	}{{"single worker", 0, 4 * time.Second}, {"rack", 0.2, 4 * time.Second}, {"zone", 0.34, 5 * time.Second}, {"all workers", 1, 5 * time.Second}, {"rolling release", 0, 300 * time.Millisecond}}
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
				t.Errorf("%d workers, %s: %v", size, pattern.name, &got)
			}
			t.Logf("%d workers, %s: %v", size, pattern.name, &got)
		}
	}
}

// scheduleCrashes crashes a share of the workers within 10 ms at each interval, in turn.
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
