package demo

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/deployment"
)

// class is one kind of requests of a deployment.
type class struct {
	// name is the label that the rules of the configuration select on, and title what people call it.
	name  string
	title string
	// promptTokens and answerTokens are the mean lengths. The first sharedTokens of a prompt are the same for all
	// requests of a tenant.
	promptTokens int
	sharedTokens int
	answerTokens int
	// wanted is the time after which an answer counts as late, and deadline the one after which nobody waits for it.
	wanted   time.Duration
	deadline time.Duration
	// once is set for work that may not be repeated.
	once bool
	// base is the number of requests a second at any time, and rush what comes on top at the height of a rush.
	base float64
	rush float64
	// season is the rush in which the class has its own.
	season season
}

// season is one of the two rushes that take turns.
type season int

// The seasons.
const (
	// always is the season of classes without a rush.
	always season = iota
	// writing is the rush of long answers, and reading that of long prompts.
	writing
	reading
)

// workload is the live load of a deployment.
type workload struct {
	classes []class
	// tenants are the callers' organisations.
	tenants []string
	// period is the time in which the rushes take one turn each.
	period time.Duration
}

const (
	// turnPeriod is the time in which the rushes take one turn each.
	turnPeriod = 40 * time.Second
	// rushSharpness makes a rush stay at its height for most of its time: 1 would be half of a plain sine.
	rushSharpness = 2
	// lengthSpread is how far lengths are from their mean, at most.
	lengthSpread = 0.2
)

// fesWorkload is the load of Fès Roasters. Whole blend histories with a complaint get a short verdict, letters are long
// answers to short prompts, quick questions and billing go on all day.
func fesWorkload() workload {
	return workload{
		classes: []class{
			{
				name: "history", title: "histories", promptTokens: 12000, sharedTokens: 1024, answerTokens: 24,
				wanted: 5 * time.Second, deadline: 30 * time.Second, base: 2, rush: 26, season: reading,
			},
			{
				name: "letter", title: "letters", promptTokens: 100, answerTokens: 280,
				wanted: 6 * time.Second, deadline: 8 * time.Second, rush: 22, season: writing,
			},
			{
				name: "quick", title: "quick", promptTokens: 60, answerTokens: 80,
				wanted: 5 * time.Second, deadline: 15 * time.Second, base: 8, season: always,
			},
			{
				name: "billing", title: "billing", promptTokens: 200, answerTokens: 40,
				wanted: 5 * time.Second, deadline: 10 * time.Second, base: 1.5, season: always, once: true,
			},
		},
		tenants: []string{
			"cafe-atlas", "cafe-batha", "cafe-cedre", "cafe-dar", "cafe-jdid", "cafe-medina", "cafe-rcif", "cafe-sebou",
			"roaster-ain", "roaster-bab", "roaster-fennec", "roaster-karim", "roaster-moulay", "roaster-seffarine",
			"roaster-tala", "municipal-office",
		},
		period: turnPeriod,
	}
}

// magnoliaWorkload is the load of Magnolia: long manifests, rate checks and pickup confirmations.
func magnoliaWorkload() workload {
	return workload{
		classes: []class{
			{
				name: "manifest", title: "manifests", promptTokens: 12000, sharedTokens: 1024, answerTokens: 120,
				wanted: 30 * time.Second, deadline: time.Minute, base: 2, rush: 36, season: reading,
			},
			{
				name: "rate-check", title: "rate checks", promptTokens: 60, answerTokens: 120,
				wanted: 4 * time.Second, deadline: 8 * time.Second, base: 5, rush: 25, season: writing,
			},
			{
				name: "pickup", title: "pickups", promptTokens: 200, answerTokens: 40,
				wanted: 5 * time.Second, deadline: 15 * time.Second, base: 1.5, season: always, once: true,
			},
		},
		tenants: []string{
			"farm-alder", "farm-birch", "farm-clay", "farm-dell", "food-bank", "grower-co-op", "mill-ford", "mill-hill",
			"pantry-east", "pantry-north", "pantry-south", "pantry-west", "shipper-ames", "shipper-boyd", "shipper-cole",
		},
		period: turnPeriod,
	}
}

// workloadOf returns the load of a deployment.
func workloadOf(name string) (workload, error) {
	switch name {
	case deployment.NameFes:
		return fesWorkload(), nil
	case deployment.NameMagnolia:
		return magnoliaWorkload(), nil
	}
	return workload{}, errors.Newf("deployment %q has no demo workload", name)
}

// height returns how far a rush is, from 0 (over) to 1 (at its height). The writing rush comes first.
func (w workload) height(of season, elapsed time.Duration) float64 {
	turn := 2 * math.Pi * elapsed.Seconds() / w.period.Seconds()
	wave := rushSharpness * math.Sin(turn)
	switch of {
	case writing:
		return min(1, max(0, wave))
	case reading:
		return min(1, max(0, -wave))
	}
	return 0
}

// rates returns the requests a second of each class.
func (w workload) rates(elapsed time.Duration) []float64 {
	return lo.Map(w.classes, func(each class, _ int) float64 {
		return each.base + each.rush*w.height(each.season, elapsed)
	})
}

// draw chooses a class in proportion to the rates, with the total rate of all.
func (w workload) draw(elapsed time.Duration, random *rand.Rand) (chosen class, total float64) {
	rates := w.rates(elapsed)
	total = lo.Sum(rates)
	left := random.Float64() * total
	for index, rate := range rates {
		if left < rate || index == len(rates)-1 {
			return w.classes[index], total
		}
		left -= rate
	}
	return w.classes[0], total
}

// spread returns a length near its mean.
func spread(mean int, random *rand.Rand) int {
	return int(float64(mean) * (1 + lengthSpread*(2*random.Float64()-1)))
}
