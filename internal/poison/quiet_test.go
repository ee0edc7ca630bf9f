package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestGuardsBecomeQuiet guards against gateways that pass a report on to each other for ever, because each message changes what they know a little.
func TestGuardsBecomeQuiet(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { testGuardsBecomeQuiet(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// testGuardsBecomeQuiet plays crashes of workers, and then waits for the updates to end. Messages take up to 20 ms.
func testGuardsBecomeQuiet(t *testing.T, random *rand.Rand) {
	delay := func() { time.Sleep(time.Duration(random.IntN(20_000)) * time.Microsecond) }
	synctest.Test(t, func(t *testing.T) {
		const gateways, rounds, quietRounds = 4, 100, 20
		workers := groupSet(9)
		guards := newLearnedGuards(workers, gateways)
		guards[0].RecordAnswer(workers["w8"], guards[0].Now(), []Part{part("b")})
		sent := 0
		exchange := func(isQuiet bool) {
			delay()
			var updates []Update
			var partUpdates []PartUpdate
			for _, g := range guards {
				updates, partUpdates = append(updates, g.TakeUpdate(false)), append(partUpdates, g.TakePartUpdate(false))
			}
			delay()
			for from := range guards {
				if isQuiet && !partUpdates[from].Empty() {
					sent++
				}
				delay()
				for to, g := range guards {
					if to != from {
						g.ApplyPartUpdate(&partUpdates[from])
						g.ApplyUpdate(updates[from])
					}
				}
			}
		}
		for round := range rounds {
			if number := round / 10; round%10 == 0 && number < 6 {
				worker := workers[fmt.Sprint("w", number)]
				for copies, g := range guards[:2] {
					run := Run{Digest: digestNamed("often"), Rule: "rule", Began: g.Now().Add(-time.Duration(50+copies) * time.Millisecond), Parts: []Part{part("b")}}
					if number%2 == 0 {
						g.prober.crash(worker.ID)
						g.ConnectionBroke(worker, run)
					} else {
						g.prober.unresponsive[worker.ID] = true
						g.Abandoned(worker, run)
						left := groupSet(9)
						delete(left, worker.ID)
						setWorkers(g, left)
					}
				}
			}
			exchange(false)
		}
		for range quietRounds {
			exchange(true)
		}
		if sent > 0 {
			t.Errorf("%d updates were sent in %d rounds without news", sent, quietRounds)
		}
	})
}
