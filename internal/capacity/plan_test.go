package capacity

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// drawOffer returns a random offer.
func drawOffer(t *rapid.T) Offer {
	offer := Offer{SpotPrice: rapid.Float64Range(0.05, 1.2).Draw(t, "spot price")}
	offer.MinPerZone = rapid.IntRange(0, 4).Draw(t, "minimum per zone")
	offer.MaxPerZone = offer.MinPerZone + rapid.IntRange(0, 30).Draw(t, "maximum per zone above the minimum")
	for i := range rapid.IntRange(1, 6).Draw(t, "zones") {
		offer.Zones = append(offer.Zones, Zone{
			Name: fmt.Sprint("z", i), Price: rapid.Float64Range(0.5, 2).Draw(t, "price"), SpotUnavailable: rapid.IntRange(0, 4).Draw(t, "spot unavailable") == 0,
		})
	}
	return offer
}

// TestPlanRespectsOfferAndZoneLoss guards against plans outside the offer, below the need after a loss, or costlier than necessary if the
// minimum covers the need.
func TestPlanRespectsOfferAndZoneLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offer := drawOffer(t)
		need := rapid.IntRange(0, 150).Draw(t, "need")
		plan := NewPlan(offer, Need{need, need})
		possible := offer.MaxPerZone * len(offer.Zones)
		for _, zone := range offer.Zones {
			count := plan[zone.Name]
			if count.Total() < offer.MinPerZone || count.Total() > offer.MaxPerZone || (zone.SpotUnavailable && count.Spot > 0) {
				t.Fatalf("zone %s violates the offer: %+v", zone.Name, count)
			}
		}
		// On-demand workers alone can cover the need as far as the offer allows, so every plan must.
		if remaining := plan.WithoutLargestSpotZone(); remaining < min(need, possible) {
			t.Fatalf("%d workers remain after a loss, of %d needed and %d possible: %v", remaining, need, possible, plan)
		}
		larger := need + rapid.IntRange(1, 20).Draw(t, "more")
		more := NewPlan(offer, Need{larger, larger})
		if more.WithoutLargestSpotZone() < min(plan.WithoutLargestSpotZone(), need) {
			t.Fatalf("a larger need results in fewer workers after a loss: %v, %v", plan, more)
		}
		onDemand := Plan{}
		for _, zone := range offer.Zones {
			onDemand[zone.Name] = Count{OnDemand: offer.MinPerZone}
		}
		if need <= offer.MinPerZone*len(offer.Zones) && plan.Cost(offer) > onDemand.Cost(offer)+1e-9 {
			t.Fatalf("%v costs %g, more than the minimum that covers the need, which costs %g", plan, plan.Cost(offer), onDemand.Cost(offer))
		}
	})
}

// TestSpotWorkersAreUsedWhereCheaper guards against on-demand workers where spot workers are cheaper, and the reverse.
func TestSpotWorkersAreUsedWhereCheaper(t *testing.T) {
	offer := Offer{
		Zones:      []Zone{{Name: "a", Price: 1}, {Name: "b", Price: 0.8}, {Name: "c", Price: 1.25}, {Name: "d", Price: 0.9}},
		MinPerZone: 1, MaxPerZone: 36, SpotPrice: 0.22,
	}
	for _, c := range []struct {
		desc           string
		change         func(*Offer)
		need           int
		onDemand, spot int
	}{
		{"one zone may be lost", func(*Offer) {}, 71, 4, 90},
		{"expensive spot workers", func(o *Offer) { o.SpotPrice = 0.9 }, 71, 71, 0},
		{"no spot workers available", func(o *Offer) {
			for i := range o.Zones {
				o.Zones[i].SpotUnavailable = true
			}
		}, 71, 71, 0},
		{"spot workers in two zones only", func(o *Offer) { o.Zones[0].SpotUnavailable, o.Zones[1].SpotUnavailable = true, true }, 40, 5, 70},
	} {
		t.Run(c.desc, func(t *testing.T) {
			changed := offer
			changed.Zones = append([]Zone{}, offer.Zones...)
			c.change(&changed)
			plan := NewPlan(changed, Need{c.need, c.need})
			onDemand, spot := 0, 0
			for _, count := range plan {
				onDemand, spot = onDemand+count.OnDemand, spot+count.Spot
			}
			if onDemand != c.onDemand || spot != c.spot {
				t.Errorf("got %d on-demand and %d spot workers, want %d and %d: %v", onDemand, spot, c.onDemand, c.spot, plan)
			}
		})
	}
}

// TestOnDemandWorkersDoNotReplaceSpotWorkersForTheLossOfAZone guards against on-demand workers that are paid for all the time only to have the
// target utilization after the loss of a zone, and against plans that don't have what is needed before and after one.
func TestOnDemandWorkersDoNotReplaceSpotWorkersForTheLossOfAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offer := drawOffer(t)
		total := rapid.IntRange(0, 150).Draw(t, "need")
		need := Need{Total: total, AfterLoss: rapid.IntRange(0, total).Draw(t, "after a loss")}
		plan, possible := NewPlan(offer, need), offer.MaxPerZone*len(offer.Zones)
		if plan.Total() < min(total, possible) || plan.WithoutLargestSpotZone() < min(need.AfterLoss, possible) {
			t.Fatalf("%v has %d workers, and %d after a loss, want %+v as far as %d allow", plan, plan.Total(), plan.WithoutLargestSpotZone(), need, possible)
		}
		if strict := NewPlan(offer, Need{total, total}); total <= possible && plan.Cost(offer) > strict.Cost(offer)+1e-9 {
			t.Fatalf("%v costs %g, more than %v, which also covers the need and costs %g", plan, plan.Cost(offer), strict, strict.Cost(offer))
		}
	})
}

// TestTolerantPlanAddsNoOnDemandWorkers guards against on-demand workers that are planned only for the target utilization after a loss, and against
// plans that lack spot workers for it although they would suffice.
func TestTolerantPlanAddsNoOnDemandWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offer := drawOffer(t)
		total := rapid.IntRange(0, 150).Draw(t, "need")
		need := Need{Total: total, AfterLoss: rapid.IntRange(0, total).Draw(t, "after a loss")}
		plan, least := newTolerantPlan(offer, need), NewPlan(offer, need)
		if plan.OnDemand() > least.OnDemand() {
			t.Fatalf("%v has %d on-demand workers, want at most %d", plan, plan.OnDemand(), least.OnDemand())
		}
		if plan.WithoutLargestSpotZone() < least.WithoutLargestSpotZone() && plan.WithoutLargestSpotZone() < total {
			t.Fatalf("%d workers of %v remain after a loss, want at least %d", plan.WithoutLargestSpotZone(), plan, least.WithoutLargestSpotZone())
		}
	})
}
