package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// groupSet returns workers of the group that serves the parts of the tests.
func groupSet(count int) backend.Set {
	set := backend.Set{}
	for i := range count {
		id := fmt.Sprint("w", i)
		set[id] = &backend.Worker{ID: id, Address: id, Group: "g"}
	}
	return set
}

// reportCrashes tells a guard of crashes under a part that another gateway reports, at intervals.
func reportCrashes(g *testGuard, count int, interval time.Duration, ids ...string) {
	for i := range count {
		time.Sleep(interval)
		g.ApplyPartUpdate(&PartUpdate{Crashes: []PartCrash{{Worker: fmt.Sprint("w", i), Group: "g", Parts: ids}}})
	}
}

// expectPart checks the status of a part.
func expectPart(t *testing.T, g *testGuard, id string, want Status) {
	t.Helper()
	if got, bar := g.PartStatus([]Part{part(id)}); got != want {
		t.Errorf("part %s has status %d, want %d; %d workers", id, got, want, len(bar.Workers))
	}
}

// expectNoBar checks that a part is not barred, and will not be by the crashes so far.
func expectNoBar(t *testing.T, g *testGuard, id string) {
	t.Helper()
	if got, bar := g.PartStatus([]Part{part(id)}); got >= Pending {
		t.Errorf("part %s has status %d, want no bar; %d workers", id, got, len(bar.Workers))
	}
}

// fallSilent makes requests with a part abandon the workers with the given numbers at one moment, and removes their records one by one.
func fallSilent(g *testGuard, workers backend.Set, id string, numbers ...int) {
	for _, number := range numbers {
		worker := workers[fmt.Sprint("w", number)]
		g.prober.unresponsive[worker.ID] = true
		g.Abandoned(worker, Run{Digest: digestNamed(worker.ID), Rule: "rule", Parts: []Part{part(id), part("c" + worker.ID)}})
	}
	time.Sleep(2400 * time.Millisecond)
	left := backend.Set{}
	for id, worker := range g.registered {
		left[id] = worker
	}
	for _, number := range numbers {
		time.Sleep(100 * time.Millisecond)
		delete(left, fmt.Sprint("w", number))
		setWorkers(g, left)
	}
}

// TestGatewayWithoutAnswersBarsNoPart guards against a bar of a part in use by a gateway that has served nobody, as one that stands by: it knows of no
// answer, and there were many.
func TestGatewayWithoutAnswersBarsNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard(groupSet(4))
		time.Sleep(time.Minute)
		reportCrashes(g, 4, 100*time.Millisecond, "b")
		waitForEvaluation()
		expectNoBar(t, g, "b")
	})
}

// TestOldAnswersTeachNothing guards against a bar of a part in use by a gateway whose last answers are old, as of one that was cut off from the workers.
func TestOldAnswersTeachNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLearnedGuard(groupSet(4))
		time.Sleep(2 * DefaultSettings().Parts.AnswerMemory)
		reportCrashes(g, 4, 100*time.Millisecond, "b")
		waitForEvaluation()
		expectNoBar(t, g, "b")
	})
}

// TestAnswersOfOtherGroupTeachNothing guards against a bar of a part in use by a gateway that has served requests to another group only.
func TestAnswersOfOtherGroupTeachNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard(groupSet(4))
		for range DefaultSettings().Parts.LearningAnswers {
			g.RecordAnswer(g.registered["w0"], g.Now(), []Part{NewPart("other", "a")})
		}
		time.Sleep(30 * time.Second)
		reportCrashes(g, 4, 100*time.Millisecond, "b")
		waitForEvaluation()
		expectNoBar(t, g, "b")
	})
}

// TestAnswersSinceCrashTeachNothing guards against a bar by a gateway that began to serve after the first crash.
func TestAnswersSinceCrashTeachNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard(groupSet(6))
		time.Sleep(time.Minute)
		reportCrashes(g, 1, 100*time.Millisecond, "b")
		for range DefaultSettings().Parts.LearningAnswers {
			g.RecordAnswer(g.registered["w5"], g.Now(), []Part{part("other")})
		}
		reportCrashes(g, 3, 100*time.Millisecond, "b")
		waitForEvaluation()
		expectNoBar(t, g, "b")
	})
}

// TestFewAnswersTeachLittle guards against a bar of a part that is in a fortieth of the requests by a gateway that has served for a few seconds.
func TestFewAnswersTeachLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard(groupSet(9))
		time.Sleep(time.Minute)
		for i := range DefaultSettings().Parts.LearningAnswers {
			time.Sleep(time.Second)
			g.RecordAnswer(g.registered["w8"], g.Now(), []Part{part(fmt.Sprint("p", i))})
		}
		reportCrashes(g, 3, 100*time.Millisecond, "b")
		waitForEvaluation()
		expectNoBar(t, g, "b")
	})
}

// TestPartThatSilencesWorkersIsBarred guards against a part whose requests make one worker after the other fall silent without a broken connection.
func TestPartThatSilencesWorkersIsBarred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 8
		workers := groupSet(most + 1)
		g := newLearnedGuard(workers)
		left := groupSet(most + 1)
		for i := range most {
			for range 20 {
				g.RecordAnswer(workers[fmt.Sprint("w", most)], g.Now(), []Part{part("other")})
			}
			worker := workers[fmt.Sprint("w", i)]
			g.prober.unresponsive[worker.ID] = true
			g.Abandoned(worker, Run{Digest: digestNamed(worker.ID), Rule: "rule", Parts: []Part{part("b")}})
			time.Sleep(2400 * time.Millisecond)
			delete(left, worker.ID)
			setWorkers(g, left)
			waitForEvaluation()
		}
		expectPart(t, g, "b", Barred)
	})
}

// TestToldUseLiftsNoBar guards against a bar that a late message lifts, which tells of an answer from before the crashes.
func TestToldUseLiftsNoBar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := groupSet(6)
		guards := newLearnedGuards(workers, 2)
		creator, knowing := guards[0], guards[1]
		knowing.RecordAnswer(workers["w5"], knowing.Now(), []Part{part("b")})
		time.Sleep(time.Second)
		crashUnder(creator, workers, 0, 1, 2)
		time.Sleep(10 * time.Millisecond)
		update := creator.TakePartUpdate(false)
		knowing.ApplyPartUpdate(&update)
		late := knowing.TakePartUpdate(false)
		if len(late.InUse) != 1 {
			t.Fatalf("the gateway that knows an answer tells %+v", late)
		}
		waitForEvaluation()
		expectPart(t, creator, "b", Barred)
		creator.ApplyPartUpdate(&late)
		expectPart(t, creator, "b", Barred)
	})
}

// TestAnswersAreToldWhenWorkersCrash guards against a bar by a gateway that serves, but has not seen a part which another one answered shortly before.
func TestAnswersAreToldWhenWorkersCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := groupSet(4)
		guards := newLearnedGuards(workers, 2)
		ignorant, knowing := guards[0], guards[1]
		knowing.RecordAnswer(workers["w0"], knowing.Now(), []Part{part("b")})
		time.Sleep(10 * time.Second)
		for i := range 4 {
			time.Sleep(50 * time.Millisecond)
			worker := workers[fmt.Sprint("w", i)]
			knowing.prober.crash(worker.ID)
			knowing.ConnectionBroke(worker, Run{Digest: digestNamed(worker.ID), Rule: "rule", Parts: []Part{part("b")}})
			time.Sleep(5 * time.Millisecond)
			update := knowing.TakePartUpdate(false)
			ignorant.ApplyPartUpdate(&update)
		}
		waitForEvaluation()
		expectPart(t, ignorant, "b", Clear)
		expectPart(t, knowing, "b", Clear)
	})
}

// TestHeardCrashesAreAnsweredWithAnswers guards against a bar by a gateway that reports crashes itself under a part that it has not answered, while
// another one has.
func TestHeardCrashesAreAnsweredWithAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := groupSet(4)
		guards := newLearnedGuards(workers, 2)
		ignorant, knowing := guards[0], guards[1]
		notified := 0
		knowing.NotifyUpdates(func(urgent bool) {
			if urgent {
				notified++
			}
		})
		knowing.RecordAnswer(workers["w0"], knowing.Now(), []Part{part("b")})
		knowing.TakePartUpdate(false)
		time.Sleep(10 * time.Second)
		notified = 0
		for i := range 4 {
			time.Sleep(50 * time.Millisecond)
			worker := workers[fmt.Sprint("w", i)]
			ignorant.prober.crash(worker.ID)
			ignorant.ConnectionBroke(worker, Run{Digest: digestNamed(worker.ID), Rule: "rule", Parts: []Part{part("b")}})
			time.Sleep(5 * time.Millisecond)
			update := ignorant.TakePartUpdate(false)
			knowing.ApplyPartUpdate(&update)
			if notified > 0 {
				reply := knowing.TakePartUpdate(false)
				ignorant.ApplyPartUpdate(&reply)
			}
		}
		waitForEvaluation()
		expectPart(t, ignorant, "b", Clear)
	})
}

// TestWorkersSilentTogetherCountOnce guards against one event, such as a rack that goes dark, that counts as a series of crashes because the records of
// its workers lapse one by one.
func TestWorkersSilentTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := groupSet(8)
		g := newLearnedGuard(workers)
		for _, worker := range workers {
			g.RecordAnswer(worker, g.Now(), []Part{part("other")})
		}
		time.Sleep(400 * time.Millisecond)
		fallSilent(g, workers, "b", 0, 1, 2, 3, 4, 5)
		waitForEvaluation()
		if got, _ := g.PartStatus([]Part{part("b")}); got == Barred {
			t.Error("the part is barred after one event")
		}
	})
}

// TestSilenceIsNoBrokenConnection guards against the time of a silence that is kept, and told, as that of a broken connection, which ends runs.
func TestSilenceIsNoBrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := groupSet(3)
		reporter, receiver := newTestGuard(workers), newTestGuard(workers)
		time.Sleep(400 * time.Millisecond)
		fallSilent(reporter, workers, "b", 0)
		parts, update := reporter.TakePartUpdate(false), reporter.TakeUpdate(false)
		time.Sleep(5 * time.Millisecond)
		receiver.ApplyPartUpdate(&parts)
		receiver.ApplyUpdate(update)
		for _, g := range []*testGuard{reporter, receiver} {
			if known := g.parts.times.byWorker["w0"]; !known.isSilence() || !known.broken.IsZero() {
				t.Errorf("the crash is known as %+v, want a silence and no broken connection", known)
			}
		}
	})
}

// TestLateReportOfVoidCrashStaysVoid guards against crashes that answers have voided and that count again, because another gateway notices them
// seconds later.
func TestLateReportOfVoidCrashStaysVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := groupSet(8)
		g := newLearnedGuard(workers)
		fallSilent(g, workers, "b", 0, 1, 2, 3, 4, 5)
		g.RecordAnswer(workers["w7"], g.Now(), []Part{part("b")})
		reportCrashes(g, 6, 500*time.Millisecond, "b")
		waitForEvaluation()
		expectPart(t, g, "b", Clear)
	})
}

// TestAnswerAfterCrashesRefutesBar guards against a bar that is believed by a gateway which has answered the part since the crashes, and that stays in
// force at the others.
func TestAnswerAfterCrashesRefutesBar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := groupSet(8)
		guards := newLearnedGuards(workers, 2)
		mistaken, knowing := guards[0], guards[1]
		crashUnder(mistaken, workers, 0, 1, 2)
		time.Sleep(10 * time.Millisecond)
		update := mistaken.TakePartUpdate(false)
		knowing.ApplyPartUpdate(&update)
		time.Sleep(20 * time.Millisecond)
		knowing.RecordAnswer(workers["w7"], knowing.Now(), []Part{part("b")})
		time.Sleep(time.Second)
		expectPart(t, mistaken, "b", Barred)
		update = mistaken.TakePartUpdate(true)
		knowing.ApplyPartUpdate(&update)
		expectPart(t, knowing, "b", Clear)
		update = knowing.TakePartUpdate(false)
		mistaken.ApplyPartUpdate(&update)
		expectPart(t, mistaken, "b", Clear)
		if !slices.Contains(mistaken.events, "poison.Cleared") {
			t.Errorf("the gateway that created the bar does not report that it is lifted: %v", mistaken.events)
		}
	})
}

// TestUnknownCrashTimesKeepBar guards against an answer from before a bar that lifts it although the times of its crashes are unknown.
func TestUnknownCrashTimesKeepBar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLearnedGuard(groupSet(4))
		g.RecordAnswer(g.registered["w0"], g.Now(), []Part{part("b")})
		time.Sleep(time.Second)
		now := g.Now()
		g.ApplyBar(Bar{Part: part("b"), Digest: part("b").Digest(), Workers: []string{"x1", "x2", "x3"}, Times: 1, Since: now, Until: now.Add(time.Minute)})
		expectPart(t, g, "b", Barred)
	})
}

// darkDay is a fleet of guards before workers that fall silent in groups. Two of the gateways serve nobody.
type darkDay struct {
	random  *rand.Rand
	guards  []*testGuard
	workers backend.Set
	// darkSince is when the first third of the workers fell silent; zero before.
	darkSince time.Time
}

const (
	darkGateways, darkStandbys = 6, 2
	darkWorkers                = 40
	darkParts                  = 60
	// darkKnown is how long gateways go on sending requests to silent workers.
	darkKnown = 4 * time.Second
)

// newDarkDay returns a fleet that has not served yet.
func newDarkDay(seed uint64) *darkDay {
	d := &darkDay{random: rand.New(rand.NewPCG(seed, 1)), workers: groupSet(darkWorkers)}
	for range darkGateways + darkStandbys {
		d.guards = append(d.guards, newTestGuard(d.workers))
	}
	return d
}

// serve sends requests for a while, each with one of many parts in use.
func (d *darkDay) serve(duration time.Duration) {
	const step = 10 * time.Millisecond
	for range int(duration / step) {
		time.Sleep(step)
		g := d.guards[d.random.IntN(darkGateways)]
		worker := d.workers[fmt.Sprint("w", d.random.IntN(darkWorkers))]
		used := part(fmt.Sprint("p", d.random.IntN(darkParts)))
		began := g.Now()
		isDark := d.isDark(worker)
		if isDark && time.Since(d.darkSince) > darkKnown {
			continue
		}
		go d.run(g, worker, isDark, used, began, digestNamed(fmt.Sprint(d.random.Uint64())))
	}
}

// isDark reports whether a worker has fallen silent.
func (d *darkDay) isDark(worker *backend.Worker) bool {
	var number int
	_, _ = fmt.Sscanf(worker.ID, "w%d", &number)
	return number < darkWorkers/3 && !d.darkSince.IsZero()
}

// run runs one request at a worker.
func (d *darkDay) run(g *testGuard, worker *backend.Worker, isDark bool, used Part, began time.Time, digest Digest) {
	if isDark {
		time.Sleep(400 * time.Millisecond)
		g.Abandoned(worker, Run{Digest: digest, Rule: "rule", Parts: []Part{used}})
		return
	}
	time.Sleep(30 * time.Millisecond)
	g.RecordAnswer(worker, began, []Part{used})
}

// fallDark lets a third of the workers fall silent. Their records lapse one by one, and each gateway learns of that with a delay of its own.
func (d *darkDay) fallDark() {
	d.darkSince = time.Now()
	for _, g := range d.guards {
		delay := time.Duration(d.random.IntN(2500)) * time.Millisecond
		go func() {
			time.Sleep(2400*time.Millisecond + delay)
			left := backend.Set{}
			for id, worker := range d.workers {
				left[id] = worker
			}
			for i := range darkWorkers / 3 {
				time.Sleep(80 * time.Millisecond)
				delete(left, fmt.Sprint("w", i))
				setWorkers(g, left)
			}
		}()
	}
}

// exchange sends the updates of all gateways to each other until the given time.
func (d *darkDay) exchange(until time.Time) {
	for round := 0; time.Now().Before(until); round++ {
		time.Sleep(20 * time.Millisecond)
		for from, g := range d.guards {
			update, parts := g.TakeUpdate(round%50 == 0), g.TakePartUpdate(round%50 == 0)
			for to, other := range d.guards {
				if to != from {
					other.ApplyUpdate(update)
					other.ApplyPartUpdate(&parts)
				}
			}
		}
	}
}

// TestWorkersThatGoDarkBarNoPart guards against bars of parts in use while many workers fall silent together, gateways learn of it late and some
// gateways serve nobody.
func TestWorkersThatGoDarkBarNoPart(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDarkDay(seed)
				go d.exchange(time.Now().Add(24 * time.Second))
				d.serve(14 * time.Second)
				d.fallDark()
				d.serve(8 * time.Second)
				time.Sleep(3 * time.Second)
				synctest.Wait()
				for number, g := range d.guards {
					if slices.Contains(g.events, "poison.BarCreated") {
						t.Errorf("gateway %d barred a part or a request", number)
					}
				}
			})
		})
	}
}
