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

var epoch = time.Unix(1000, 0)

const tick = 250 * time.Millisecond

func TestNeed(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/need.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			need := NewNeed(DefaultNeedSettings())
			now, busy, present, got, known := epoch, 0.0, 0, 0, false
			for line := range strings.Lines(string(file.Data)) {
				words := strings.Fields(line)
				switch words[0] {
				case "at":
					until := epoch.Add(time.Duration(number(t, words[1]) * float64(time.Second)))
					for ; now.Before(until); now = now.Add(tick) {
						got, known = need.Update(now, Group{Busy: busy, Present: Plan{"z": {Kept: present}}, Certain: true, New: true})
					}
					busy, present = number(t, words[3]), int(number(t, words[5]))
					got, known = need.Update(now, Group{Busy: busy, Present: Plan{"z": {Kept: present}}, Certain: true, New: true})
				case "unknown":
					if known {
						t.Errorf("%d are needed, want unknown", got)
					}
				case "need":
					if want := int(number(t, words[1])); got != want || !known {
						t.Errorf("%d are needed, known %v, want %d at %s", got, known, want, now.Sub(epoch))
					}
				default:
					t.Fatalf("%q is no step", line)
				}
			}
		})
	}
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// platform is what orders workers, with workers that boot and leave. Calls may be lost, or carried out late.
type platform struct {
	t     *rapid.T
	now   time.Time
	offer Offer
	// ordered holds the numbers in force, and present the workers that are there.
	ordered, present Plan
	// boots are workers that are on their way.
	boots []boot
	late  []Order
	dry   map[string]time.Time
	busy  float64
	calls int
	// standsBy is set while the executors hear of a part of the demand only.
	standsBy bool
	// isNew is set in the first moments of the fleet.
	isNew bool
	// unsure is set while records may be missing.
	unsure bool
	// healthy is set once calls are carried out at once.
	healthy bool
}

type boot struct {
	zone string
	spot bool
	at   time.Time
}

const bootTime = 4 * time.Second

func (p *platform) CapacityGroups() []Group {
	if p.standsBy {
		return nil
	}
	present := Plan{}
	for zone, count := range p.present {
		present[zone] = count
	}
	return []Group{{Name: "g", Offer: p.offer, Boot: bootTime, Present: present, Busy: p.busy, Shown: true, Certain: !p.unsure, New: p.isNew && p.now.Sub(epoch) < 5*time.Second}}
}

func (p *platform) OrderWorkers(_ context.Context, order Order) error {
	p.calls++
	if p.healthy {
		return p.take(order)
	}
	switch rapid.SampledFrom([]string{"done", "done", "done", "lost", "late", "unanswered"}).Draw(p.t, "call") {
	case "done":
		return p.take(order)
	case "late":
		p.late = append(p.late, order)
	case "unanswered":
		_ = p.take(order)
	}
	return errors.New("no answer")
}

// take carries out an order.
func (p *platform) take(order Order) error {
	count := p.ordered[order.Zone]
	if order.Spot {
		if p.now.Before(p.dry[order.Zone]) && order.Workers > count.Spot {
			return ErrRefused
		}
		count.Spot = order.Workers
	} else {
		count.Kept = order.Workers
	}
	p.ordered[order.Zone] = count
	return nil
}

// advance has workers boot and leave.
func (p *platform) advance() {
	p.now = p.now.Add(tick)
	for _, zone := range p.offer.Zones {
		p.advanceKind(zone.Name, false)
		p.advanceKind(zone.Name, true)
	}
	var waiting []boot
	for _, each := range p.boots {
		if each.at.After(p.now) {
			waiting = append(waiting, each)
			continue
		}
		p.add(each.zone, each.spot, 1)
	}
	p.boots = waiting
}

// add changes how many workers are present.
func (p *platform) add(zone string, spot bool, n int) {
	count := p.present[zone]
	if spot {
		count.Spot += n
	} else {
		count.Kept += n
	}
	p.present[zone] = count
}

// advanceKind starts or ends workers of one kind.
func (p *platform) advanceKind(zone string, spot bool) {
	have, want := p.present[zone].Kept, p.ordered[zone].Kept
	if spot {
		have, want = p.present[zone].Spot, p.ordered[zone].Spot
	}
	for _, each := range p.boots {
		if each.zone == zone && each.spot == spot {
			have++
		}
	}
	if want < have {
		p.add(zone, spot, max(want-have, -p.kindPresent(zone, spot)))
	}
	total := p.present[zone].Total()
	for _, each := range p.boots {
		if each.zone == zone {
			total++
		}
	}
	for range min(want-have, p.offer.Most-total) {
		p.boots = append(p.boots, boot{zone, spot, p.now.Add(bootTime)})
	}
}

func (p *platform) kindPresent(zone string, spot bool) int {
	if spot {
		return p.present[zone].Spot
	}
	return p.present[zone].Kept
}

// reclaim takes the spot workers of a zone away, for a while.
func (p *platform) reclaim(zone string, forTime time.Duration) {
	count := p.ordered[zone]
	count.Spot = 0
	p.ordered[zone] = count
	p.present[zone] = Count{Kept: p.present[zone].Kept}
	p.dry[zone] = p.now.Add(forTime)
}

func newPlatform(t *rapid.T) *platform {
	p := &platform{
		t: t, now: epoch, ordered: Plan{}, present: Plan{}, dry: map[string]time.Time{}, isNew: true,
		offer: Offer{Least: 1, Most: 36, SpotPrice: 0.22},
	}
	for i, price := range []float64{1, 0.8, 1.25, 0.9} {
		name := fmt.Sprint("z", i)
		p.offer.Zones = append(p.offer.Zones, Zone{Name: name, Price: price})
		p.ordered[name], p.present[name] = Count{Kept: 18}, Count{Kept: 18}
	}
	return p
}

func newTestExecutor(p *platform, authority func() (int64, bool)) *Executor {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return NewExecutor(DefaultSettings(), p, p, authority, logger, func(decision.Record) {})
}

// Whatever becomes of calls, whoever holds the authority and whatever is taken away: the workers that are there are never given back
// below the need, and once all is well they are those of the plan, without further calls.
func TestOrdersHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
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
				p.reclaim(zone, time.Duration(rapid.IntRange(0, 12).Draw(t, "dry"))*time.Second)
			case 2:
				p.busy = rapid.Float64Range(0, 45).Draw(t, "busy")
			case 3:
				for _, order := range p.late {
					_ = p.take(order)
				}
				p.late = nil
			}
			step()
		}
		p.healthy = true
		for range int(2 * time.Minute / tick) {
			step()
		}
		calls := p.calls
		for range int(30 * time.Second / tick) {
			step()
		}
		status := executors[holder].Status()[0]
		if fmt.Sprint(p.present) != fmt.Sprint(status.Plan) {
			t.Fatalf("there are %v, planned %v for %d", p.present, status.Plan, status.Need)
		}
		if p.calls != calls {
			t.Fatalf("%d calls although all is as planned", p.calls-calls)
		}
	})
}

func TestWorkersAreGivenBackOnlyOnceOthersAreThere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
		p.healthy = true
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		for range int(20 * time.Second / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
			if total := p.present.Total(); total < 72 {
				t.Fatalf("%d of 72 workers are left after %s", total, p.now.Sub(epoch))
			}
		}
		if spots := p.present["z0"].Spot; spots == 0 || p.present["z0"].Kept != 1 {
			t.Fatalf("there are %v", p.present)
		}
	})
}

func TestZonesWithoutSpotWorkersAreServedByOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
		p.healthy = true
		for _, zone := range p.offer.Zones {
			p.dry[zone.Name] = epoch.Add(time.Hour)
		}
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		for range int(time.Minute / tick) {
			p.busy = 30
			p.advance()
			e.Step(context.Background(), p.now)
		}
		if total := p.present.Total(); total < 50 || p.present["z0"].Spot != 0 {
			t.Fatalf("there are %v", p.present)
		}
	})
}

// TestWorkersThatHaveNotRegisteredYetAreNotTakenAway starts a fleet whose workers show one after another.
func TestWorkersThatHaveNotRegisteredYetAreNotTakenAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
		p.healthy = true
		all := p.present
		p.present = Plan{}
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		for i := range 16 {
			p.unsure = i < 14
			for zone, count := range all {
				shown := count.Kept
				if p.unsure {
					shown = rapid.IntRange(0, count.Kept).Draw(t, "shown")
				}
				if shown > p.present[zone].Kept {
					p.present[zone] = Count{Kept: shown, Spot: p.present[zone].Spot}
				}
			}
			p.now = p.now.Add(tick)
			e.Step(context.Background(), p.now)
			for zone, count := range p.ordered {
				if count.Kept < all[zone].Kept {
					t.Fatalf("%d kept workers of zone %s were ordered before all had shown", count.Kept, zone)
				}
			}
		}
	})
}

// TestOneThatStoodByGivesNothingBack guards against a new holder that has seen the demand of its own callers alone: it gave 66 of 118
// workers back, and the rest collapsed.
func TestOneThatStoodByGivesNothingBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
		p.healthy = true
		holder := 0
		first := newTestExecutor(p, func() (int64, bool) { return 1, holder == 0 })
		next := newTestExecutor(p, func() (int64, bool) { return 2, holder == 1 })
		for range int(40 * time.Second / tick) {
			p.advance()
			p.busy, p.standsBy = 43, false
			first.Step(context.Background(), p.now)
			p.busy, p.standsBy = 0.1, true
			next.Step(context.Background(), p.now)
		}
		before := p.present.Total()
		holder, p.busy, p.standsBy = 1, 30, false
		for range int(10 * time.Second / tick) {
			p.advance()
			next.Step(context.Background(), p.now)
			if p.present.Total() < before {
				t.Fatalf("%d workers of %d are left", p.present.Total(), before)
			}
		}
	})
}

// TestWorkersWhoseRecordsHaveLapsedAreNotTakenAway has a process that knows nothing get the authority while the records of most workers are
// gone with an outage of the store.
func TestWorkersWhoseRecordsHaveLapsedAreNotTakenAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
		p.healthy = true
		p.isNew = false
		for _, zone := range p.offer.Zones {
			p.ordered[zone.Name] = Count{Kept: 1, Spot: 25}
			p.present[zone.Name] = Count{Kept: rapid.IntRange(0, 1).Draw(t, "kept"), Spot: rapid.IntRange(0, 25).Draw(t, "spot")}
		}
		e := newTestExecutor(p, func() (int64, bool) { return 2, true })
		for i := range 20 {
			p.unsure = i < 14
			if !p.unsure {
				for _, zone := range p.offer.Zones {
					p.present[zone.Name] = Count{Kept: 1, Spot: 25}
				}
			}
			p.now = p.now.Add(tick)
			e.Step(context.Background(), p.now)
			for zone, count := range p.ordered {
				if count.Total() < 25 {
					t.Fatalf("%+v were ordered in zone %s", count, zone)
				}
			}
		}
	})
}

// TestAllThatArePlannedAreThereSoon starts a fleet whose zones are half full of kept workers: spot workers come in their places.
func TestAllThatArePlannedAreThereSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
		p.healthy = true
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		for range int(11500 * time.Millisecond / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
		}
		if status := e.Status()[0]; p.present.Total() < status.Plan.Total() {
			t.Fatalf("%d workers of %d are there: %v", p.present.Total(), status.Plan.Total(), p.present)
		}
	})
}

// TestSpotWorkersThatHaveJustComeStay starts a fleet with more kept workers than a zone may have, which show one after another: spot workers
// that were ordered meanwhile stay until the demand was watched.
func TestSpotWorkersThatHaveJustComeStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
		p.healthy = true
		p.offer.Most = 30
		shown := 0
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		most := map[string]int{}
		for i := range int(18 * time.Second / tick) {
			p.unsure = i < 14
			shown = min(shown+rapid.IntRange(1, 9).Draw(t, "shown"), 50)
			for _, zone := range p.offer.Zones {
				p.ordered[zone.Name] = Count{Kept: 50, Spot: p.ordered[zone.Name].Spot}
				p.present[zone.Name] = Count{Kept: shown, Spot: p.ordered[zone.Name].Spot}
			}
			p.now = p.now.Add(tick)
			e.Step(context.Background(), p.now)
			for zone, count := range p.ordered {
				if count.Spot < most[zone] {
					t.Fatalf("zone %s has %d of %d spot workers left", zone, count.Spot, most[zone])
				}
				most[zone] = count.Spot
			}
		}
	})
}

// TestALargeFleetIsChangedAtThePaceOfItsLinks replaces the workers of zones of 800.
func TestALargeFleetIsChangedAtThePaceOfItsLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlatform(t)
		p.healthy = true
		p.offer.Most = 1600
		for _, zone := range p.offer.Zones {
			p.ordered[zone.Name], p.present[zone.Name] = Count{Kept: 800}, Count{Kept: 800}
		}
		e := newTestExecutor(p, func() (int64, bool) { return 1, true })
		before := map[string]Count{}
		for zone, count := range p.ordered {
			before[zone] = count
		}
		pace := DefaultSettings().Pace
		for i := range int(20 * time.Second / tick) {
			p.advance()
			e.Step(context.Background(), p.now)
			changed := 0
			for zone, count := range p.ordered {
				changed += distance(count.Kept, before[zone].Kept) + distance(count.Spot, before[zone].Spot)
			}
			if most := pace * (1 + tick.Seconds()*float64(i+1)); float64(changed) > most {
				t.Fatalf("%d workers changed in %s", changed, time.Duration(i+1)*tick)
			}
		}
		if p.ordered["z1"].Spot == 0 {
			t.Fatal("nothing was ordered")
		}
	})
}
