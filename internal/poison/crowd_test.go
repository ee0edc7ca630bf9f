package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// crowd is a play of callers at workers, some of which a few requests end.
type crowd struct {
	random  *rand.Rand
	now     time.Time
	table   *Table
	workers []crowdWorker
	// ends counts the workers that ended under each request since it ended well, and under how many at most one that does no harm.
	ends      map[Digest]int
	harmless  map[Digest]bool
	unlucky   int
	barred    map[Digest]bool
	killerEnd map[Digest]int
}

// crowdWorker is a worker that runs requests until it ends, and is away for a while then.
type crowdWorker struct {
	life    int
	awayFor int
	running []crowdRun
}

// crowdRun is a try of a request.
type crowdRun struct {
	asked Digest
	// left are the steps until it ends well, or ends its worker.
	left int
	// tries are those that are left to it.
	tries int
}

// Shape of a play: steps of 20 ms, runs of 15 steps, workers that are away for 120. Each request is tried four times: twice by a gateway,
// and twice more for its caller's own retry.
const (
	crowdStep   = 20 * time.Millisecond
	runSteps    = 15
	crashSteps  = 4
	awaySteps   = 120
	crowdTries  = 4
	crowdLength = 600
)

// place gives a request to a worker at random, as suspects are.
func (c *crowd) place(run crowdRun) {
	if standing, _ := c.table.Standing(c.now, run.asked); standing >= Judged || run.tries == 0 {
		return
	}
	run.tries--
	run.left = runSteps
	if !c.harmless[run.asked] {
		run.left = crashSteps
	}
	for range 20 {
		if w := &c.workers[c.random.IntN(len(c.workers))]; w.awayFor == 0 {
			w.running = append(w.running, run)
			return
		}
	}
}

// step lets time pass at one worker.
func (c *crowd) step(number int) {
	w := &c.workers[number]
	if w.awayFor > 0 {
		w.awayFor--
		return
	}
	var still, ended []crowdRun
	crashed := false
	for _, run := range w.running {
		run.left--
		if run.left > 0 {
			still = append(still, run)
			continue
		}
		ended = append(ended, run)
		crashed = crashed || !c.harmless[run.asked]
	}
	w.running = still
	if !crashed {
		for _, run := range ended {
			c.table.EndedWell(c.now, c.now, run.asked)
			delete(c.ends, run.asked)
		}
		return
	}
	c.crash(number, append(still, ended...))
}

// crash ends a worker under all that it runs.
func (c *crowd) crash(number int, running []crowdRun) {
	w := &c.workers[number]
	id := fmt.Sprint(number, "/", w.life)
	w.life++
	w.awayFor, w.running = awaySteps, nil
	for _, run := range running {
		c.table.Ended(c.now, c.now, End{Asked: run.asked, Worker: id}, "", "")
		c.ends[run.asked]++
		if !c.harmless[run.asked] {
			c.killerEnd[run.asked]++
		} else if c.ends[run.asked] == DefaultSettings().Ends {
			c.unlucky++
		}
	}
	for _, run := range running {
		c.place(run)
	}
}

// play plays a time with three requests that end workers, which come every 0.4 s.
func (c *crowd) play() {
	var killers []Digest
	for i := range 3 {
		killers = append(killers, digestNamed(fmt.Sprint("killer", i)))
	}
	for step := range crowdLength {
		c.now = c.now.Add(crowdStep)
		for range 2 {
			asked := digestNamed(fmt.Sprint("harmless", step, c.random.Uint64()))
			c.harmless[asked] = true
			c.place(crowdRun{asked: asked, tries: crowdTries})
		}
		if step%20 == 0 {
			c.place(crowdRun{asked: killers[(step/200)%3], tries: crowdTries})
		}
		for number := range c.workers {
			c.step(number)
		}
		for _, bar := range c.table.Judge(c.now) {
			c.barred[bar.Asked] = true
		}
	}
}

// TestAmongACrowdTheRightOnesAreBarred plays three requests that end workers beside a crowd that does no harm, at ten workers.
func TestAmongACrowdTheRightOnesAreBarred(t *testing.T) {
	const plays = 100
	unlucky, innocent, most, ends := 0, 0, 0, 0
	for seed := range uint64(plays) {
		c := &crowd{
			random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), table: NewTable(DefaultSettings()),
			workers: make([]crowdWorker, 10), ends: map[Digest]int{}, harmless: map[Digest]bool{}, barred: map[Digest]bool{}, killerEnd: map[Digest]int{},
		}
		c.play()
		unlucky += c.unlucky
		for asked := range c.barred {
			if c.harmless[asked] {
				innocent++
			}
		}
		for asked, count := range c.killerEnd {
			most, ends = max(most, count), ends+count
			if !c.barred[asked] {
				t.Errorf("seed %d: one that ended %d workers is not barred", seed, count)
			}
		}
	}
	t.Logf("in %d plays %d workers ended under the three, %d at the most under one; of the harmless %d were under three ends, and %d are barred",
		plays, ends, most, unlucky, innocent)
	if most > 8 || innocent > plays/50 {
		t.Errorf("%d workers ended under one, and %d harmless requests are barred", most, innocent)
	}
}
