package poison

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// repeatTo passes a full update of one guard on to another one.
func repeatTo(from, to *testGuard) {
	update, parts := from.TakeUpdate(true), from.TakePartUpdate(true)
	to.ApplyUpdate(update)
	to.ApplyPartUpdate(&parts)
}

// createdBars counts the bars that a guard has created.
func createdBars(g *testGuard) int {
	count := 0
	for _, event := range g.events {
		if event == "poison.BarCreated" {
			count++
		}
	}
	return count
}

// senderCounts are numbers of gateways that share what full updates repeat.
var senderCounts = []int{1, 8, 30, 82}

// TestRepeatedRunsStayOneCrash guards against bars of sound requests at a gateway that knows crashes from full updates only: copies that were in
// flight together are one crash only if their runs are told with them.
func TestRepeatedRunsStayOneCrash(t *testing.T) {
	const plays, others, seconds = 5, 50, 30
	for _, gateways := range senderCounts {
		for _, heard := range []int{1, 3} {
			for range plays {
				synctest.Test(t, func(t *testing.T) { testRepeatedRunsStayOneCrash(t, gateways, heard, others, seconds) })
			}
		}
	}
}

func testRepeatedRunsStayOneCrash(t *testing.T, gateways, heard, others, seconds int) {
	guards := newLearnedGuards(groupSet(1), heard+1)
	receiver, senders := guards[0], guards[1:]
	var crashes []Crash
	var requests []SuspectUpdate
	add := func(name string, count int) {
		request := SuspectUpdate{Digest: digestNamed(name)}
		for i := range count {
			worker, ago := fmt.Sprint(name, "-", i), int64(1000-100*i)
			crashes = append(crashes, Crash{Digest: request.Digest, Worker: worker, AgoMs: ago})
			request.Runs = append(request.Runs, CrashedRun{Worker: worker, AgoMs: ago, BeganAgoMs: 2000, BrokeAgoMs: ago})
		}
		requests = append(requests, request)
	}
	add("sound", 3)
	for i := range others {
		add(fmt.Sprint("other-", i), 2)
	}
	for _, g := range senders {
		g.SetGateways(gateways)
		g.ApplyUpdate(Update{Crashes: crashes})
		g.ApplyPartUpdate(&PartUpdate{Requests: requests})
		// These messages are lost.
		g.TakeUpdate(false)
		g.TakePartUpdate(false)
	}
	waitForEvaluation()
	for range seconds {
		for _, g := range senders {
			repeatTo(g, receiver)
			time.Sleep(time.Second / time.Duration(heard))
		}
	}
	waitForEvaluation()
	if count := createdBars(receiver); count > 0 {
		t.Errorf("%d gateways, full updates of %d: %d bars", gateways, heard, count)
	}
}

// TestRepeatedSilencesStayOneCrash guards against a bar of a sound part at a gateway that knows crashes from full updates only: workers that fell
// silent together are one crash only if their silence is told with them.
func TestRepeatedSilencesStayOneCrash(t *testing.T) {
	const plays, dark, requestsEach, seconds = 10, 19, 8, 15
	for _, gateways := range senderCounts {
		for range plays {
			synctest.Test(t, func(t *testing.T) {
				workers := groupSet(dark + 4)
				guards := newLearnedGuards(workers, 2)
				receiver, sender := guards[0], guards[1]
				sender.SetGateways(gateways)
				left := groupSet(dark + 4)
				for w := range dark {
					worker := workers[fmt.Sprint("w", w)]
					sender.prober.unresponsive[worker.ID] = true
					for r := range requestsEach {
						used := []Part{part(fmt.Sprint("p", w, "-", r))}
						if r == 0 && w < 6 {
							used = append(used, part("sound"))
						}
						sender.Abandoned(worker, Run{Digest: digestNamed(fmt.Sprint(w, "-", r)), Rule: "rule", Parts: used, Began: sender.Now().Add(-time.Second)})
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				for w := range dark {
					delete(left, fmt.Sprint("w", w))
					setWorkers(sender, left)
					time.Sleep(40 * time.Millisecond)
					// These messages are lost.
					sender.TakeUpdate(false)
					sender.TakePartUpdate(false)
				}
				for range seconds {
					repeatTo(sender, receiver)
					time.Sleep(time.Second)
				}
				waitForEvaluation()
				if count := createdBars(receiver); count > 0 {
					t.Errorf("%d gateways: %d bars", gateways, count)
				}
			})
		}
	}
}

// TestPassedOnSilencesStayOneCrash guards against bars of a sound part and a sound request at a gateway that misses the messages of the one that noticed
// the crashes, and hears of them from one that passes them on: workers that fell silent together are one crash only if that tells their silence as well.
func TestPassedOnSilencesStayOneCrash(t *testing.T) {
	const plays, dark, requestsEach = 10, 19, 8
	barred := 0
	for range plays {
		synctest.Test(t, func(t *testing.T) {
			workers := groupSet(dark + 4)
			guards := newLearnedGuards(workers, 3)
			receiver, passer, sender := guards[0], guards[1], guards[2]
			left := groupSet(dark + 4)
			for w := range dark {
				worker := workers[fmt.Sprint("w", w)]
				sender.prober.unresponsive[worker.ID] = true
				for r := range requestsEach {
					used := []Part{part(fmt.Sprint("p", w, "-", r))}
					if r == 0 && w < 6 {
						used = append(used, part("sound"))
					}
					digest := digestNamed(fmt.Sprint(w, "-", r))
					if r == 1 && w < 6 {
						digest = digestNamed("sound")
					}
					sender.Abandoned(worker, Run{Digest: digest, Rule: "rule", Parts: used, Began: sender.Now().Add(-time.Second)})
				}
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			pass := func(from, to *testGuard) {
				update, parts := from.TakeUpdate(false), from.TakePartUpdate(false)
				to.ApplyUpdate(update)
				to.ApplyPartUpdate(&parts)
			}
			for w := range dark {
				delete(left, fmt.Sprint("w", w))
				setWorkers(sender, left)
				time.Sleep(40 * time.Millisecond)
				// The message to the receiver is lost.
				pass(sender, passer)
				pass(passer, receiver)
			}
			waitForEvaluation()
			if createdBars(receiver) > 0 {
				barred++
			}
		})
	}
	if barred > 0 {
		t.Errorf("barred in %d of %d plays", barred, plays)
	}
}

// TestPassedOnRunsStayOneCrash guards against a bar of a sound request at a gateway that misses the messages about its crashes, and hears of them from
// one that passes them on: copies that were in flight together are one crash only if that tells their runs as well.
func TestPassedOnRunsStayOneCrash(t *testing.T) {
	const plays, copies = 10, 4
	barred := 0
	for range plays {
		synctest.Test(t, func(t *testing.T) {
			guards := newLearnedGuards(groupSet(1), 2)
			receiver, passer := guards[0], guards[1]
			digest := digestNamed("sound")
			for i := range copies {
				worker, ago, began := fmt.Sprint("gone-", i), int64(5), int64(1000+100*i)
				passer.ApplyUpdate(Update{Crashes: []Crash{{Digest: digest, Worker: worker, AgoMs: ago}}})
				runs := []CrashedRun{{Worker: worker, AgoMs: ago, BeganAgoMs: began, BrokeAgoMs: ago}}
				passer.ApplyPartUpdate(&PartUpdate{Requests: []SuspectUpdate{{Digest: digest, Runs: runs}}})
				update, parts := passer.TakeUpdate(false), passer.TakePartUpdate(false)
				receiver.ApplyUpdate(update)
				receiver.ApplyPartUpdate(&parts)
				time.Sleep(100 * time.Millisecond)
			}
			waitForEvaluation()
			if createdBars(passer) > 0 {
				t.Error("barred by the gateway that was told all, so the test checks nothing")
			}
			if createdBars(receiver) > 0 {
				barred++
			}
		})
	}
	if barred > 0 {
		t.Errorf("barred in %d of %d plays", barred, plays)
	}
}

// TestBarredRequestsLeaveRoomForRuns guards against a bar of a sound request at a gateway that knows crashes from full updates only, because barred
// requests take the room of the runs but not that of the crashes.
func TestBarredRequestsLeaveRoomForRuns(t *testing.T) {
	const copies, seconds = 3, 10
	synctest.Test(t, func(t *testing.T) {
		guards := newLearnedGuards(groupSet(1), 2)
		receiver, sender := guards[0], guards[1]
		sender.SetGateways(fullShare)
		for i := range DefaultSettings().MaxPerUpdate {
			sender.ApplyBar(Bar{
				Digest: digestNamed(fmt.Sprint("barred-", i)), Workers: []string{"a", "b", "c"}, Times: 1, Since: sender.Now(), Until: sender.Now().Add(time.Hour),
				TrialDelay: time.Second,
			})
		}
		sound := SuspectUpdate{Digest: digestNamed("sound")}
		var crashes []Crash
		for i := range copies {
			worker, ago := fmt.Sprint("gone-", i), int64(1000-100*i)
			crashes = append(crashes, Crash{Digest: sound.Digest, Worker: worker, AgoMs: ago})
			sound.Runs = append(sound.Runs, CrashedRun{Worker: worker, AgoMs: ago, BeganAgoMs: 2000, BrokeAgoMs: ago})
		}
		sender.ApplyUpdate(Update{Crashes: crashes})
		sender.ApplyPartUpdate(&PartUpdate{Requests: []SuspectUpdate{sound}})
		// These messages are lost.
		sender.TakeUpdate(false)
		sender.TakePartUpdate(false)
		for range seconds {
			repeatTo(sender, receiver)
			time.Sleep(time.Second)
		}
		waitForEvaluation()
		if count := createdBars(receiver); count > 0 {
			t.Errorf("%d bars", count)
		}
	})
}

// TestLargeCrashesComeRound guards against runs and parts that no full update tells, because a worker has more of them than one may repeat.
func TestLargeCrashesComeRound(t *testing.T) {
	const workers, requestsEach, partsEach, seconds = 3, 12, 80, 100
	for _, gateways := range senderCounts {
		synctest.Test(t, func(t *testing.T) {
			sender, receiver := newTestGuard(groupSet(1)), newTestGuard(groupSet(1))
			sender.SetGateways(gateways)
			for w := range workers {
				worker := fmt.Sprint("x", w)
				crash := PartCrash{Worker: worker, AgoMs: 10, Group: "g"}
				for p := range partsEach {
					crash.Parts = append(crash.Parts, fmt.Sprintf("p-%d-%d", w, p))
				}
				update := PartUpdate{Crashes: []PartCrash{crash}}
				for r := range requestsEach {
					run := CrashedRun{Worker: worker, AgoMs: 10, BeganAgoMs: 500, BrokeAgoMs: 10}
					update.Requests = append(update.Requests, SuspectUpdate{Digest: digestNamed(fmt.Sprint(w, "-", r)), Runs: []CrashedRun{run}})
				}
				sender.ApplyPartUpdate(&update)
			}
			sender.TakeUpdate(false)
			sender.TakePartUpdate(false)
			for range seconds {
				repeatTo(sender, receiver)
				time.Sleep(time.Second)
			}
			runs := 0
			for _, entry := range receiver.table.suspects {
				runs += len(entry.runs)
			}
			if runs != workers*requestsEach || len(receiver.parts.parts) != workers*partsEach {
				t.Errorf("%d gateways: %d runs and %d parts told in %d s, want %d and %d",
					gateways, runs, len(receiver.parts.parts), seconds, workers*requestsEach, workers*partsEach)
			}
			waitForEvaluation()
		})
	}
}

// TestLostSuccessesAreRepeated guards against sound requests and parts that a gateway suspects for minutes, because the message about their success
// was lost and full updates have no room for all.
func TestLostSuccessesAreRepeated(t *testing.T) {
	const count, seconds = 60, 20
	for _, gateways := range senderCounts {
		synctest.Test(t, func(t *testing.T) {
			sender, receiver := newTestGuard(groupSet(1)), newTestGuard(groupSet(1))
			sender.SetGateways(gateways)
			var update Update
			var parts PartUpdate
			for i := range count {
				update.Crashes = append(update.Crashes, Crash{Digest: digestNamed(fmt.Sprint(i)), Worker: fmt.Sprint("w", i), AgoMs: 1000})
				parts.Crashes = append(parts.Crashes, PartCrash{Worker: fmt.Sprint("w", i), AgoMs: 1000, Group: "g", Parts: []string{fmt.Sprint("p", i)}})
			}
			for _, g := range []*testGuard{sender, receiver} {
				g.ApplyUpdate(update)
				g.ApplyPartUpdate(&parts)
				g.TakeUpdate(false)
				g.TakePartUpdate(false)
			}
			for i := range count {
				sender.RecordSuccess(digestNamed(fmt.Sprint(i)))
				sender.RecordAnswer(sender.registered["w0"], sender.Now(), []Part{part(fmt.Sprint("p", i))})
			}
			// This message is lost.
			sender.TakeUpdate(false)
			sender.TakePartUpdate(false)
			for range seconds {
				time.Sleep(time.Second)
				repeatTo(sender, receiver)
			}
			for i := range count {
				if status, _ := receiver.Status(digestNamed(fmt.Sprint(i))); status != Clear {
					t.Errorf("%d gateways: request %d is still %v", gateways, i, status)
				}
				if state := receiver.parts.parts[part(fmt.Sprint("p", i))]; state != nil && len(state.crashes) > 0 {
					t.Errorf("%d gateways: part %d still counts %d crashes", gateways, i, len(state.crashes))
				}
			}
			waitForEvaluation()
		})
	}
}

// TestChangeOfGatewaysDuringTrial guards against a deadlock: the election of the gateway that begins a trial asks for the gateways, under the mutex
// of the guard, while a change of the gateways sets their number under the mutex of these.
func TestChangeOfGatewaysDuringTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard(groupSet(1))
		digest := digestNamed("barred")
		g.ApplyBar(Bar{Digest: digest, Workers: []string{"a", "b", "c"}, Times: 1, Since: g.Now(), Until: g.Now().Add(time.Minute), TrialDelay: time.Second})
		var entries sync.Mutex
		elected := 0
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			changed := make(chan struct{})
			g.BeginRequestTrial(digest, func(int) bool {
				elected++
				go func() {
					defer close(changed)
					entries.Lock()
					defer entries.Unlock()
					g.SetGateways(3)
				}()
				<-changed
				entries.Lock()
				defer entries.Unlock()
				return false
			})
		}
		if elected == 0 {
			t.Error("no election took place, so nothing was checked")
		}
	})
}
