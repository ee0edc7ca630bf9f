package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/decision"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

// tick is the time between the steps of an executor.
const tick = 250 * time.Millisecond

// TestEstimator guards against a need that falls before the demand is known, or that does not follow the demand afterwards.
func TestEstimator(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/estimator.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			estimator := NewEstimator(DefaultEstimatorSettings())
			now, busy, present, got, known := epoch, 0.0, 0, 0, false
			for line := range strings.Lines(string(file.Data)) {
				words := strings.Fields(line)
				switch words[0] {
				case "at":
					end := epoch.Add(time.Duration(parseNumber(t, words[1]) * float64(time.Second)))
					for ; now.Before(end); now = now.Add(tick) {
						got, known = estimator.Update(now, Group{Busy: busy, BootTime: bootTime, Present: Plan{"z": {OnDemand: present}}, RecordsComplete: true, NewFleet: true})
					}
					busy, present = parseNumber(t, words[3]), int(parseNumber(t, words[5]))
					got, known = estimator.Update(now, Group{Busy: busy, BootTime: bootTime, Present: Plan{"z": {OnDemand: present}}, RecordsComplete: true, NewFleet: true})
				case "unknown":
					if known {
						t.Errorf("at %s: need %d is known, want unknown", now.Sub(epoch), got)
					}
				case "need":
					if want := int(parseNumber(t, words[1])); got != want || !known {
						t.Errorf("at %s: need %d (known: %t), want %d", now.Sub(epoch), got, known, want)
					}
				default:
					t.Fatalf("unknown command %q", line)
				}
			}
		})
	}
}

func parseNumber(t *testing.T, text string) float64 {
	t.Helper()
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// fakePlatform accepts orders and simulates the workers. Orders may be lost or delayed.
type fakePlatform struct {
	t     *rapid.T
	now   time.Time
	offer Offer
	// ordered holds the numbers of the orders that were carried out, and present those of the running workers.
	ordered, present Plan
	booting          []bootingWorker
	delayed          []Order
	unavailableUntil map[string]time.Time
	busy             float64
	calls            int
	// standby is set while the executors do not receive the whole demand.
	standby bool
	// newFleet is set if the fleet starts with the simulation.
	newFleet bool
	// recordsIncomplete is set while records of workers may be missing.
	recordsIncomplete bool
	// reliable is set once all calls succeed immediately.
	reliable bool
}

type bootingWorker struct {
	zone string
	spot bool
	at   time.Time
}

const bootTime = 4 * time.Second

func (p *fakePlatform) CapacityGroups() []Group {
	if p.standby {
		return nil
	}
	present := Plan{}
	for zone, count := range p.present {
		present[zone] = count
	}
	return []Group{{Name: "g", Offer: p.offer, BootTime: bootTime, Present: present, Busy: p.busy, MostRegistered: true, RecordsComplete: !p.recordsIncomplete, NewFleet: p.newFleet && p.now.Sub(epoch) < 5*time.Second}}
}

func (p *fakePlatform) OrderWorkers(_ context.Context, order Order) error {
	p.calls++
	if p.reliable {
		return p.apply(order)
	}
	switch rapid.SampledFrom([]string{"done", "done", "done", "lost", "late", "unanswered"}).Draw(p.t, "order") {
	case "done":
		return p.apply(order)
	case "late":
		p.delayed = append(p.delayed, order)
	case "unanswered":
		_ = p.apply(order)
	}
	return errors.New("no response")
}

// apply carries out an order.
func (p *fakePlatform) apply(order Order) error {
	count := p.ordered[order.Zone]
	if order.Spot {
		if p.now.Before(p.unavailableUntil[order.Zone]) && order.Workers > count.Spot {
			return ErrUnavailable
		}
		count.Spot = order.Workers
	} else {
		count.OnDemand = order.Workers
	}
	p.ordered[order.Zone] = count
	return nil
}

// advance advances the time by a tick, and boots and removes workers.
func (p *fakePlatform) advance() {
	p.now = p.now.Add(tick)
	for _, zone := range p.offer.Zones {
		p.advancePool(zone.Name, false)
		p.advancePool(zone.Name, true)
	}
	var booting []bootingWorker
	for _, worker := range p.booting {
		if worker.at.After(p.now) {
			booting = append(booting, worker)
			continue
		}
		p.changePresent(worker.zone, worker.spot, 1)
	}
	p.booting = booting
}

// changePresent changes the number of present workers.
func (p *fakePlatform) changePresent(zone string, spot bool, n int) {
	count := p.present[zone]
	if spot {
		count.Spot += n
	} else {
		count.OnDemand += n
	}
	p.present[zone] = count
}

// advancePool boots or removes workers of one kind in a zone.
func (p *fakePlatform) advancePool(zone string, spot bool) {
	have, want := p.present[zone].OnDemand, p.ordered[zone].OnDemand
	if spot {
		have, want = p.present[zone].Spot, p.ordered[zone].Spot
	}
	for _, worker := range p.booting {
		if worker.zone == zone && worker.spot == spot {
			have++
		}
	}
	if want < have {
		p.changePresent(zone, spot, max(want-have, -p.presentCount(zone, spot)))
	}
	total := p.present[zone].Total()
	for _, worker := range p.booting {
		if worker.zone == zone {
			total++
		}
	}
	for range min(want-have, p.offer.MaxPerZone-total) {
		p.booting = append(p.booting, bootingWorker{zone, spot, p.now.Add(bootTime)})
	}
}

func (p *fakePlatform) presentCount(zone string, spot bool) int {
	if spot {
		return p.present[zone].Spot
	}
	return p.present[zone].OnDemand
}

// reclaim removes the spot workers of a zone and makes them unavailable for a while.
func (p *fakePlatform) reclaim(zone string, duration time.Duration) {
	count := p.ordered[zone]
	count.Spot = 0
	p.ordered[zone] = count
	p.present[zone] = Count{OnDemand: p.present[zone].OnDemand}
	p.unavailableUntil[zone] = p.now.Add(duration)
}

func newFakePlatform(t *rapid.T) *fakePlatform {
	p := &fakePlatform{
		t: t, now: epoch, ordered: Plan{}, present: Plan{}, unavailableUntil: map[string]time.Time{}, newFleet: true,
		offer: Offer{MinPerZone: 1, MaxPerZone: 36, SpotPrice: 0.22},
	}
	for i, price := range []float64{1, 0.8, 1.25, 0.9} {
		name := fmt.Sprint("z", i)
		p.offer.Zones = append(p.offer.Zones, Zone{Name: name, Price: price})
		p.ordered[name], p.present[name] = Count{OnDemand: 18}, Count{OnDemand: 18}
	}
	return p
}

func newTestExecutor(p *fakePlatform, authority func() (int64, bool)) *Executor {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return NewExecutor(DefaultSettings(), p, p, authority, logger, func(decision.Record) {})
}

// TestOrdersConverge guards against orders that never reach the plan, or that continue afterwards, when calls were lost or delayed, the
// authority moved, and spot workers were reclaimed.
func TestOrdersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		holder, fence := 0, int64(1)
		var executors []*Executor
		for i := range 2 {
			executors = append(executors, newTestExecutor(p, func() (int64, bool) { return fence, holder == i }))
		}
		step := func() {
			p.advance()
			for _, e := range executors {
				e.Step(context.Background(), p.now)
			}
		}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 24).Draw(t, "event") {
			case 0:
				holder, fence = 1-holder, fence+1
			case 1:
				zone := rapid.SampledFrom(p.offer.Zones).Draw(t, "zone").Name
				p.reclaim(zone, time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds without spot workers"))*time.Second)
			case 2:
				p.busy = rapid.Float64Range(0, 45).Draw(t, "busy")
			case 3:
				for _, order := range p.delayed {
					_ = p.apply(order)
				}
				p.delayed = nil
			}
			step()
		}
		p.reliable = true
		for range int(2 * time.Minute / tick) {
			step()
		}
		calls := p.calls
		for range int(30 * time.Second / tick) {
			step()
		}
		status := executors[holder].Status()[0]
		if fmt.Sprint(p.present) != fmt.Sprint(status.Plan) {
			t.Fatalf("present %v, want the plan %v for a need of %d", p.present, status.Plan, status.Need)
		}
		if p.calls != calls {
			t.Fatalf("%d orders after the plan was reached, want 0", p.calls-calls)
		}
	})
}

// TestWorkersAreRemovedOnlyAfterReplacement guards against a loss of capacity while on-demand workers are replaced by spot workers.
func TestWorkersAreRemovedOnlyAfterReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		for range int(20 * time.Second / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
			if total := p.present.Total(); total < 72 {
				t.Fatalf("only %d of 72 workers are present after %s", total, p.now.Sub(epoch))
			}
		}
		if spot := p.present["z0"].Spot; spot == 0 || p.present["z0"].OnDemand != 1 {
			t.Fatalf("present: %v, want 1 on-demand worker and some spot workers in z0", p.present)
		}
	})
}

// TestUnavailableSpotWorkersAreReplaced guards against waiting for spot workers that are unavailable in all zones.
func TestUnavailableSpotWorkersAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		for _, zone := range p.offer.Zones {
			p.unavailableUntil[zone.Name] = epoch.Add(time.Hour)
		}
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		for range int(time.Minute / tick) {
			p.busy = 30
			p.advance()
			e.Step(context.Background(), p.now)
		}
		if total := p.present.Total(); total < 50 || p.present["z0"].Spot != 0 {
			t.Fatalf("present: %v, want at least 50 workers and no spot workers in z0", p.present)
		}
	})
}

// TestUnregisteredWorkersAreNotRemoved guards against orders based on incomplete records while the workers of a new fleet register.
func TestUnregisteredWorkersAreNotRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		initial := p.present
		p.present = Plan{}
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		for i := range 16 {
			p.recordsIncomplete = i < 14
			for zone, count := range initial {
				registered := count.OnDemand
				if p.recordsIncomplete {
					registered = rapid.IntRange(0, count.OnDemand).Draw(t, "registered")
				}
				if registered > p.present[zone].OnDemand {
					p.present[zone] = Count{OnDemand: registered, Spot: p.present[zone].Spot}
				}
			}
			p.now = p.now.Add(tick)
			e.Step(context.Background(), p.now)
			for zone, count := range p.ordered {
				if count.OnDemand < initial[zone].OnDemand {
					t.Fatalf("%d on-demand workers of zone %s were ordered before all were registered, want at least %d", count.OnDemand, zone, initial[zone].OnDemand)
				}
			}
		}
	})
}

// TestNewHolderRemovesNoWorkers guards against a new holder of the controller key that removes workers because it has seen only the demand
// of its own callers.
func TestNewHolderRemovesNoWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		holder := 0
		first := newTestExecutor(p, func() (int64, bool) { return 1, holder == 0 })
		second := newTestExecutor(p, func() (int64, bool) { return 2, holder == 1 })
		for range int(40 * time.Second / tick) {
			p.advance()
			p.busy, p.standby = 43, false
			first.Step(context.Background(), p.now)
			p.busy, p.standby = 0.1, true
			second.Step(context.Background(), p.now)
		}
		before := p.present.Total()
		holder, p.busy, p.standby = 1, 30, false
		for range int(10 * time.Second / tick) {
			p.advance()
			second.Step(context.Background(), p.now)
			if p.present.Total() < before {
				t.Fatalf("%d workers are present, want at least %d", p.present.Total(), before)
			}
		}
	})
}

// TestWorkersWithLapsedRecordsAreNotRemoved guards against a new holder of the controller key that removes workers whose records expired in
// an outage of the store.
func TestWorkersWithLapsedRecordsAreNotRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		p.newFleet = false
		for _, zone := range p.offer.Zones {
			p.ordered[zone.Name] = Count{OnDemand: 1, Spot: 25}
			p.present[zone.Name] = Count{OnDemand: rapid.IntRange(0, 1).Draw(t, "on-demand"), Spot: rapid.IntRange(0, 25).Draw(t, "spot")}
		}
		e := newTestExecutor(p, func() (int64, bool) { return 2, true })
		for i := range 20 {
			p.recordsIncomplete = i < 14
			if !p.recordsIncomplete {
				for _, zone := range p.offer.Zones {
					p.present[zone.Name] = Count{OnDemand: 1, Spot: 25}
				}
			}
			p.now = p.now.Add(tick)
			e.Step(context.Background(), p.now)
			for zone, count := range p.ordered {
				if count.Total() < 25 {
					t.Fatalf("%+v ordered in zone %s of group g, want at least 25 workers", count, zone)
				}
			}
		}
	})
}

// TestPlanIsReachedSoon guards against taking longer than 11.5 s until a fleet of on-demand workers has the spot workers of the plan.
func TestPlanIsReachedSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		for range int(11500 * time.Millisecond / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
		}
		if status := e.Status()[0]; p.present.Total() < status.Plan.Total() {
			t.Fatalf("%d of %d planned workers are present: %v", p.present.Total(), status.Plan.Total(), p.present)
		}
	})
}

// TestNewSpotWorkersAreNotRemoved guards against removing new spot workers before the demand is known, while a zone has more on-demand
// workers than it may.
func TestNewSpotWorkersAreNotRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		p.offer.MaxPerZone = 30
		registered := 0
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		maxSpot := map[string]int{}
		for i := range int(18 * time.Second / tick) {
			p.recordsIncomplete = i < 14
			registered = min(registered+rapid.IntRange(1, 9).Draw(t, "registered"), 50)
			for _, zone := range p.offer.Zones {
				p.ordered[zone.Name] = Count{OnDemand: 50, Spot: p.ordered[zone.Name].Spot}
				p.present[zone.Name] = Count{OnDemand: registered, Spot: p.ordered[zone.Name].Spot}
			}
			p.now = p.now.Add(tick)
			e.Step(context.Background(), p.now)
			for zone, count := range p.ordered {
				if count.Spot < maxSpot[zone] {
					t.Fatalf("zone %s has %d spot workers ordered, want at least %d", zone, count.Spot, maxSpot[zone])
				}
				maxSpot[zone] = count.Spot
			}
		}
	})
}

// TestChangeRateIsLimited guards against orders that exceed MaxChangeRate when all workers of a large fleet are replaced.
func TestChangeRateIsLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		p.offer.MaxPerZone = 1600
		for _, zone := range p.offer.Zones {
			p.ordered[zone.Name], p.present[zone.Name] = Count{OnDemand: 800}, Count{OnDemand: 800}
		}
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		before := map[string]Count{}
		for zone, count := range p.ordered {
			before[zone] = count
		}
		maxRate := DefaultSettings().MaxChangeRate
		for i := range int(20 * time.Second / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
			changed := 0
			for zone, count := range p.ordered {
				changed += distance(count.OnDemand, before[zone].OnDemand) + distance(count.Spot, before[zone].Spot)
			}
			if limit := maxRate * (1 + tick.Seconds()*float64(i+1)); float64(changed) > limit {
				t.Fatalf("%d workers changed in %s, want at most %.0f", changed, time.Duration(i+1)*tick, limit)
			}
		}
		if p.ordered["z1"].Spot == 0 {
			t.Fatal("no spot workers were ordered in zone z1")
		}
	})
}

// TestRestartOrdersNothingBeforeTheDemandIsKnown guards against orders of a holder that knows no demand yet, after all gateways were killed and
// zones had lost their spot workers: unknown demand is not high demand, and what is there stays.
func TestRestartOrdersNothingBeforeTheDemandIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable, p.newFleet = true, false
		for _, zone := range p.offer.Zones {
			count := Count{OnDemand: rapid.IntRange(0, 3).Draw(t, "on-demand"), Spot: rapid.IntRange(0, 25).Draw(t, "spot")}
			p.ordered[zone.Name], p.present[zone.Name] = count, count
		}
		e := newTestExecutor(p, func() (int64, bool) { return 2, true })
		for range int(40 * time.Second / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
		}
		if p.calls != 0 {
			t.Fatalf("%d orders without any demand, want 0", p.calls)
		}
		p.busy = 10
		for range int(5 * time.Second / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
		}
		if p.calls != 0 {
			t.Fatalf("%d orders within 5 s of the first demand, want 0", p.calls)
		}
		before := Plan{}
		for zone, count := range p.present {
			before[zone] = count
		}
		for range int(6 * time.Second / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
			for zone, count := range p.ordered {
				if count.Spot < before[zone].Spot || count.OnDemand < before[zone].OnDemand {
					t.Fatalf("%+v are ordered in zone %s before the demand was watched, want at least %+v", count, zone, before[zone])
				}
			}
		}
		for range int(20 * time.Second / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
		}
		if status := e.Status()[0]; p.present.Total() < 17 || fmt.Sprint(p.present) != fmt.Sprint(status.Plan) {
			t.Fatalf("present %v for a demand of 10, want the plan %v with at least 17 workers", p.present, status.Plan)
		}
	})
}

// TestReclaimedZoneIsReplacedBySpotWorkersOfOthers guards against fewer workers than planned, and against on-demand workers in their place,
// while one zone has no spot workers for a while, and against giving back those of the other zones before it has them again.
func TestReclaimedZoneIsReplacedBySpotWorkersOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable, p.busy = true, 24
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		step := func() {
			p.advance()
			e.Step(context.Background(), p.now)
		}
		for range int(40 * time.Second / tick) {
			step()
		}
		planned, onDemand := p.present.Total(), p.present.OnDemand()
		zone := rapid.SampledFrom(p.offer.Zones).Draw(t, "zone").Name
		p.reclaim(zone, 10*time.Second)
		for range int(6 * time.Second / tick) {
			step()
		}
		for i := range int(30 * time.Second / tick) {
			step()
			if total := p.present.Total(); total < planned*9/10 {
				t.Fatalf("%d workers are present %s after zone %s was reclaimed, want at least 9 in 10 of %d", total, 6*time.Second+time.Duration(i)*tick, zone, planned)
			}
			if p.present.OnDemand() > onDemand {
				t.Fatalf("%d on-demand workers are present, want at most %d", p.present.OnDemand(), onDemand)
			}
		}
		if p.present[zone].Spot == 0 || p.present.Total() != planned {
			t.Fatalf("present: %v, want spot workers in zone %s again, and %d workers in all", p.present, zone, planned)
		}
	})
}

// TestNothingIsReleasedRightAfterTheLossOfAZone guards against spot workers that are given back in the moment in which another zone loses its
// own, and are ordered again a second later.
func TestNothingIsReleasedRightAfterTheLossOfAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable, p.busy = true, 24
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		step := func() {
			p.advance()
			e.Step(context.Background(), p.now)
		}
		// Until the next step would release workers.
		for e.estimators["g"] == nil || !e.estimators["g"].mayRemoveSurplus(p.now.Add(tick)) {
			step()
		}
		zone := rapid.SampledFrom(p.offer.Zones).Draw(t, "zone").Name
		p.reclaim(zone, 10*time.Second)
		remaining := p.present.Total()
		for range int(4 * time.Second / tick) {
			step()
			if total := p.present.Total(); total < remaining {
				t.Fatalf("%d workers are present within 4 s after the loss of zone %s, want at least %d", total, zone, remaining)
			}
		}
	})
}

// TestSwingsCauseFewOrders guards against orders that follow kinds of requests which take turns within the boot time.
func TestSwingsCauseFewOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable = true
		period := time.Duration(rapid.IntRange(8, 60).Draw(t, "period in ticks")) * tick
		low, high := rapid.Float64Range(5, 20).Draw(t, "low"), rapid.Float64Range(20, 40).Draw(t, "high")
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		calls := 0
		for i := range int(3 * time.Minute / tick) {
			p.busy = low
			if (time.Duration(i)*tick/(period/2))%2 == 1 {
				p.busy = high
			}
			p.advance()
			e.Step(context.Background(), p.now)
			if time.Duration(i)*tick == time.Minute {
				calls = p.calls
			}
		}
		// Half of the longest period, 7.5 s, is shorter than the retention time of peaks.
		if p.calls-calls > 16 {
			t.Fatalf("%d orders in 2 minutes of a demand that swings between %.0f and %.0f every %s, want at most 16", p.calls-calls, low, high, period)
		}
	})
}

// TestLoweredMaximumAppliesToBootingWorkers guards against workers beyond the maximum of a zone that go on booting after it was lowered, while
// others of the plan are missing.
func TestLoweredMaximumAppliesToBootingWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform(t)
		p.reliable, p.busy = true, 24
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		step := func() {
			p.advance()
			e.Step(context.Background(), p.now)
		}
		for range int(40 * time.Second / tick) {
			step()
		}
		// A zone is lost while the demand rises, so that others boot spot workers in its place.
		p.reclaim(rapid.SampledFrom(p.offer.Zones).Draw(t, "zone").Name, time.Minute)
		p.busy = 60
		for range int(time.Second / tick) {
			step()
		}
		p.offer.MaxPerZone = rapid.IntRange(8, 20).Draw(t, "maximum")
		// The time that MaxChangeRate leaves for the orders, less than the boot time.
		for range int(2 * time.Second / tick) {
			step()
		}
		for zone, count := range p.ordered {
			if present := p.present[zone]; count.Spot > max(p.offer.MaxPerZone-present.OnDemand, present.Spot) {
				t.Fatalf("%d spot workers are ordered in zone %s, where %+v are present, want at most %d in all", count.Spot, zone, present, p.offer.MaxPerZone)
			}
		}
	})
}
