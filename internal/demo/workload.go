package demo

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/deployment"
)

// requestClass is a kind of requests with its rates, lengths and latency target.
type requestClass struct {
	// name is the label that the rules of the configuration match; title is the name shown to users.
	name  string
	title string
	// promptTokens and answerTokens are mean lengths. The first sharedTokens of a prompt are the same for all requests of a
	// tenant.
	promptTokens int
	sharedTokens int
	answerTokens int
	// latencyTarget is the time after which an answer counts as late, and deadline the time after which the request is abandoned.
	latencyTarget time.Duration
	deadline      time.Duration
	// nonIdempotent is set for requests that must not be repeated.
	nonIdempotent bool
	// baseRate is the constant request rate per second; rushRate is added to it at the peak of a rush.
	baseRate float64
	rushRate float64
	// rush selects the rush during which rushRate applies.
	rush rushKind
}

// rushKind is one of two load peaks that alternate.
type rushKind int

// The rush kinds.
const (
	// noRush is used by classes with a constant rate.
	noRush rushKind = iota
	// decodeRush is the peak of long answers, and prefillRush that of long prompts.
	decodeRush
	prefillRush
)

// workload is the generated load of a deployment.
type workload struct {
	classes []requestClass
	tenants []string
	// period is the duration of one cycle of both rushes.
	period time.Duration
}

const (
	// rushCycle is the duration of one cycle of both rushes.
	rushCycle = 40 * time.Second
	// rushSharpness scales the sine wave of a rush before it is capped at 1, so that a rush stays at its peak for most of its
	// time.
	rushSharpness = 2
	// lengthVariation is the maximum relative deviation of lengths from their mean.
	lengthVariation = 0.2
)

// fesWorkload is the load of Fès Roasters: blend histories with short verdicts, letters with short prompts and long answers, and
// a constant rate of quick questions and billing.
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

// workloadFor returns the load of a deployment.
func workloadFor(name string) (workload, error) {
	switch name {
	case deployment.NameFes:
		return fesWorkload(), nil
	case deployment.NameMagnolia:
		return magnoliaWorkload(), nil
	}
	return workload{}, errors.Newf("deployment %q has no demo workload", name)
}

// rushLevel returns the intensity of a rush, from 0 to 1. The decode rush comes first.
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

// rates returns the request rate per second of each class.
func (w workload) rates(elapsed time.Duration) []float64 {
	return lo.Map(w.classes, func(each requestClass, _ int) float64 {
		return each.baseRate + each.rushRate*w.rushLevel(each.rush, elapsed)
	})
}

// pickClass chooses a class at random in proportion to the rates. It also returns the sum of the rates.
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

// randomLength returns a random length near a mean.
func randomLength(mean int, random *rand.Rand) int {
	return int(float64(mean) * (1 + lengthVariation*(2*random.Float64()-1)))
}
