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
type requestClass struct {
	// name is the label that the rules of the configuration select on, and title what people call it.
	name  string
	title string
	// promptTokens and answerTokens are the mean lengths. The first sharedTokens of a prompt are the same for all
	// requests of a tenant.
	promptTokens int
	sharedTokens int
	answerTokens int
	// wanted is the time after which an answer counts as late, and deadline the one after which nobody waits for it.
	latencyTarget time.Duration
	deadline      time.Duration
	// once is set for work that may not be repeated.
	nonIdempotent bool
	// base is the number of requests a second at any time, and rush what comes on top at the height of a rush.
	baseRate float64
	rushRate float64
	// season is the rush in which the class has its own.
	rush rushKind
}

// season is one of the two rushes that take turns.
type rushKind int

// The seasons.
const (
	// always is the season of classes without a rush.
	noRush rushKind = iota
	// writing is the rush of long answers, and reading that of long prompts.
	decodeRush
	prefillRush
)

// workload is the live load of a deployment.
type workload struct {
	classes []requestClass
	// tenants are the callers' organisations.
	tenants []string
	// period is the time in which the rushes take one turn each.
	period time.Duration
}

const (
	// turnPeriod is the time in which the rushes take one turn each.
	rushCycle = 40 * time.Second
	// rushSharpness makes a rush stay at its height for most of its time: 1 would be half of a plain sine.
	rushSharpness = 2
	// lengthSpread is how far lengths are from their mean, at most.
	lengthVariation = 0.2
)

// fesWorkload is the load of Fès Roasters. Whole blend histories with a complaint get a short verdict, letters are long
// answers to short prompts, quick questions and billing go on all day.
func fesWorkload() workload {
	return workload{
		classes: []requestClass{
			{
				name: "history", title: "histories", promptTokens: 12000, sharedTokens: 1024, answerTokens: 24,
				latencyTarget: 5 * time.Second, deadline: 30 * time.Second, baseRate: 2, rushRate: 26, rush: prefillRush,
			},
			{
				name: "letter", title: "letters", promptTokens: 100, answerTokens: 280,
				latencyTarget: 6 * time.Second, deadline: 8 * time.Second, rushRate: 22, rush: decodeRush,
			},
			{
				name: "quick", title: "quick", promptTokens: 60, answerTokens: 80,
				latencyTarget: 5 * time.Second, deadline: 15 * time.Second, baseRate: 8, rush: noRush,
			},
			{
				name: "billing", title: "billing", promptTokens: 200, answerTokens: 40,
				latencyTarget: 5 * time.Second, deadline: 10 * time.Second, baseRate: 1.5, rush: noRush, nonIdempotent: true,
			},
		},
		tenants: []string{
			"cafe-atlas", "cafe-batha", "cafe-cedre", "cafe-dar", "cafe-jdid", "cafe-medina", "cafe-rcif", "cafe-sebou",
			"roaster-ain", "roaster-bab", "roaster-fennec", "roaster-karim", "roaster-moulay", "roaster-seffarine",
			"roaster-tala", "municipal-office",
		},
		period: rushCycle,
	}
}

// magnoliaWorkload is the load of Magnolia: long manifests, rate checks and pickup confirmations.
func magnoliaWorkload() workload {
	return workload{
		classes: []requestClass{
			{
				name: "manifest", title: "manifests", promptTokens: 12000, sharedTokens: 1024, answerTokens: 120,
				latencyTarget: 30 * time.Second, deadline: time.Minute, baseRate: 2, rushRate: 36, rush: prefillRush,
			},
			{
				name: "rate-check", title: "rate checks", promptTokens: 60, answerTokens: 120,
				latencyTarget: 4 * time.Second, deadline: 8 * time.Second, baseRate: 5, rushRate: 25, rush: decodeRush,
			},
			{
				name: "pickup", title: "pickups", promptTokens: 200, answerTokens: 40,
				latencyTarget: 5 * time.Second, deadline: 15 * time.Second, baseRate: 1.5, rush: noRush, nonIdempotent: true,
			},
		},
		tenants: []string{
			"farm-alder", "farm-birch", "farm-clay", "farm-dell", "food-bank", "grower-co-op", "mill-ford", "mill-hill",
			"pantry-east", "pantry-north", "pantry-south", "pantry-west", "shipper-ames", "shipper-boyd", "shipper-cole",
		},
		period: rushCycle,
	}
}

// workloadOf returns the load of a deployment.
func workloadFor(name string) (workload, error) {
	switch name {
	case deployment.NameFes:
		return fesWorkload(), nil
	case deployment.NameMagnolia:
		return magnoliaWorkload(), nil
	}
	return workload{}, errors.Newf("deployment %q has no demo workload", name)
}

// height returns how far a rush is, from 0 (over) to 1 (at its height). The writing rush comes first.
func (w workload) rushLevel(kind rushKind, elapsed time.Duration) float64 {
	turn := 2 * math.Pi * elapsed.Seconds() / w.period.Seconds()
	wave := rushSharpness * math.Sin(turn)
	switch kind {
	case decodeRush:
		return min(1, max(0, wave))
	case prefillRush:
		return min(1, max(0, -wave))
	}
	return 0
}

// rates returns the requests a second of each class.
func (w workload) rates(elapsed time.Duration) []float64 {
	return lo.Map(w.classes, func(each requestClass, _ int) float64 {
		return each.baseRate + each.rushRate*w.rushLevel(each.rush, elapsed)
	})
}

// draw chooses a class in proportion to the rates, with the total rate of all.
func (w workload) pickClass(elapsed time.Duration, random *rand.Rand) (chosen requestClass, total float64) {
	rates := w.rates(elapsed)
	total = lo.Sum(rates)
	remaining := random.Float64() * total
	for index, rate := range rates {
		if remaining < rate || index == len(rates)-1 {
			return w.classes[index], total
		}
		remaining -= rate
	}
	return w.classes[0], total
}

// spread returns a length near its mean.
func randomLength(mean int, random *rand.Rand) int {
	return int(float64(mean) * (1 + lengthVariation*(2*random.Float64()-1)))
}
