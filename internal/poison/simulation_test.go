package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation runs requests at a few workers. Killer requests crash the worker that runs them.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	table   *Table
	workers []simWorker
	// crashes counts the crashes under each request since its last success, and suspectedHarmless the harmless requests that reached
	// CrashLimit.
	crashes           map[Digest]int
	harmless          map[Digest]bool
	suspectedHarmless int
	barred            map[Digest]bool
	killerCrashes     map[Digest]int
}

// simWorker is a worker that is down for a while after each crash.
type simWorker struct {
	incarnation int
	downSteps   int
	running     []attempt
}

// attempt is one attempt of a request.
type attempt struct {
	digest Digest
	// stepsLeft until the request succeeds, or crashes its worker.
	stepsLeft int
	// began is when it reached its worker.
	began     time.Time
	triesLeft int
}

// Parameters of a simulation, in steps of stepTime. Each request is tried at most four times: twice by a gateway, and twice on the
// caller's retry.
const (
	stepTime     = 20 * time.Millisecond
	runSteps     = 15
	crashSteps   = 4
	restartSteps = 120
	maxTries     = 4
	simSteps     = 600
)

// assign sends a request to a random worker.
func (s *simulation) assign(attempt attempt) {
	if status, _ := s.table.Status(s.now, attempt.digest); status >= Pending || attempt.triesLeft == 0 {
		return
	}
	attempt.triesLeft--
	attempt.stepsLeft = runSteps
	if !s.harmless[attempt.digest] {
		attempt.stepsLeft = crashSteps
	}
	for range 20 {
		if w := &s.workers[s.random.IntN(len(s.workers))]; w.downSteps == 0 {
			attempt.began = s.now
			w.running = append(w.running, attempt)
			return
		}
	}
}

// step advances one worker.
func (s *simulation) step(index int) {
	w := &s.workers[index]
	if w.downSteps > 0 {
		w.downSteps--
		return
	}
	var running, finished []attempt
	crashed := false
	for _, attempt := range w.running {
		attempt.stepsLeft--
		if attempt.stepsLeft > 0 {
			running = append(running, attempt)
			continue
		}
		finished = append(finished, attempt)
		crashed = crashed || !s.harmless[attempt.digest]
	}
	w.running = running
	if !crashed {
		for _, attempt := range finished {
			s.table.RecordSuccess(s.now, s.now, attempt.digest)
			delete(s.crashes, attempt.digest)
		}
		return
	}
	s.crash(index, append(running, finished...))
}

// crash crashes a worker under all requests that it runs, which are retried.
func (s *simulation) crash(index int, running []attempt) {
	w := &s.workers[index]
	id := fmt.Sprint(index, "/", w.incarnation)
	w.incarnation++
	w.downSteps, w.running = restartSteps, nil
	for _, attempt := range running {
		crash := Crash{Digest: attempt.digest, Worker: id}
		s.table.RecordCrash(s.now, s.now, crash, "", "")
		s.table.RecordRun(s.now, attempt.began, s.now, crash)
		s.crashes[attempt.digest]++
		if !s.harmless[attempt.digest] {
			s.killerCrashes[attempt.digest]++
		} else if s.crashes[attempt.digest] == DefaultSettings().CrashLimit {
			s.suspectedHarmless++
		}
	}
	for _, attempt := range running {
		s.assign(attempt)
	}
}

// run simulates three killer requests, one at a time, among harmless ones.
func (s *simulation) run() {
	var killers []Digest
	for i := range 3 {
		killers = append(killers, digestNamed(fmt.Sprint("killer", i)))
	}
	for step := range simSteps {
		s.now = s.now.Add(stepTime)
		for range 2 {
			digest := digestNamed(fmt.Sprint("harmless", step, s.random.Uint64()))
			s.harmless[digest] = true
			s.assign(attempt{digest: digest, triesLeft: maxTries})
		}
		if step%20 == 0 {
			s.assign(attempt{digest: killers[(step/200)%3], triesLeft: maxTries})
		}
		for index := range s.workers {
			s.step(index)
		}
		for _, bar := range s.table.Evaluate(s.now) {
			s.barred[bar.Digest] = true
		}
	}
}

// TestOnlyKillersAreBarredAmongManyRequests guards against more than two bars of harmless requests in 100 runs with three killer requests
// each, and against killers that crash more than eight workers.
func TestOnlyKillersAreBarredAmongManyRequests(t *testing.T) {
	const runs = 100
	suspectedHarmless, barredHarmless, maxCrashes, crashes := 0, 0, 0, 0
	for seed := range uint64(runs) {
		s := &simulation{
			random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), table: NewTable(DefaultSettings()),
			workers: make([]simWorker, 10), crashes: map[Digest]int{}, harmless: map[Digest]bool{}, barred: map[Digest]bool{}, killerCrashes: map[Digest]int{},
		}
		s.run()
		suspectedHarmless += s.suspectedHarmless
		for digest := range s.barred {
			if s.harmless[digest] {
				barredHarmless++
			}
		}
		for digest, count := range s.killerCrashes {
			maxCrashes, crashes = max(maxCrashes, count), crashes+count
			if !s.barred[digest] {
				t.Errorf("seed %d: a killer request that crashed %d workers is not barred", seed, count)
			}
		}
	}
	t.Logf("%d runs: %d crashes under killer requests, at most %d under one; %d harmless requests reached the limit, %d were barred",
		runs, crashes, maxCrashes, suspectedHarmless, barredHarmless)
	if maxCrashes > 8 || barredHarmless > runs/50 {
		t.Errorf("%d crashes under one killer request, %d harmless requests barred", maxCrashes, barredHarmless)
	}
}
