package experiment

import (
	"fmt"
	"time"

	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// Names of policies in tables and JSON.
const (
	PolicyGranitebay = "granitebay"
	// PolicyDispatchCore is granitebay with the dispatch core of the routers in place of the front of the experiment.
	PolicyDispatchCore = "dispatch_core"
	PolicyReactive     = "reactive"
	PolicyBestStatic   = "best_static"
	PolicyClairvoyant  = "clairvoyant"
	PolicyRandom       = "random_placement"
	PolicyByReport     = "least_load_by_report"
)

// variant is a named policy of a family. Of a family, the variant with the highest goodput counts.
type variant struct {
	family string
	policy policy
}

// granitebayPolicy is the system as it is: role plan, placement and front with all their parts.
func granitebayPolicy(workload *Workload) policy {
	return policy{
		name:    PolicyGranitebay,
		prefill: workload.Engines / 2,
		control: newPlanController(workload.Policy, planSettings()),
		front:   fullFront,
	}
}

// dispatchCorePolicy is granitebay with the very code of the routers: queue, admission, placement and demand.
func dispatchCorePolicy(workload *Workload) policy {
	result := granitebayPolicy(workload)
	result.name = PolicyDispatchCore
	result.dispatchCore = true
	return result
}

// staticPolicies is every split that leaves an engine to both roles.
func staticPolicies(workload *Workload) []variant {
	var result []variant
	for prefill := 1; prefill < workload.Engines; prefill++ {
		result = append(result, variant{family: PolicyBestStatic, policy: policy{
			name:    fmt.Sprintf("static_%02d", prefill),
			prefill: prefill,
			control: staticController{},
			front:   fullFront,
		}})
	}
	return result
}

// reactivePolicies is the threshold controller with several thresholds, of which the best counts.
func reactivePolicies(workload *Workload) []variant {
	var result []variant
	for _, backlog := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, slots := range []float64{0.6, 0.8} {
			result = append(result, variant{family: PolicyReactive, policy: policy{
				name:    fmt.Sprintf("reactive_%s_%.0f%%", backlog, slots*100),
				prefill: workload.Engines / 2,
				control: &thresholdController{backlog: backlog, slots: slots, cooldown: reactiveCooldown},
				front:   fullFront,
			}})
		}
	}
	return result
}

// reactiveCooldown is the time between two changes of the threshold controller.
const reactiveCooldown = 3 * time.Second

// clairvoyantPolicies follow schedules that were made with knowledge of all arrivals, of which the best counts. They
// differ in how smooth the schedule is, when changes begin, and how much of the shared prefixes counts as cached.
func clairvoyantPolicies(workload *Workload) []variant {
	var result []variant
	for _, window := range []time.Duration{10 * time.Second, 30 * time.Second} {
		for _, lead := range []time.Duration{0, scheduleStep} {
			for _, cached := range []float64{0, 0.5, 1} {
				result = append(result, clairvoyantVariant(workload, window, lead, cached))
			}
		}
	}
	return result
}

// scheduleStep is the length of the steps of a clairvoyant schedule.
const scheduleStep = 5 * time.Second

func clairvoyantVariant(workload *Workload, window, lead time.Duration, cached float64) variant {
	plan := foresight{
		workload: workload,
		capacity: roleplan.NewCapacity(roleSpeeds()),
		settings: planSettings(),
		step:     scheduleStep,
		window:   window,
		lead:     lead,
		cached:   cached,
	}
	schedule := plan.schedule()
	return variant{family: PolicyClairvoyant, policy: policy{
		name:    fmt.Sprintf("clairvoyant_%s_%s_%.1f", window, lead, cached),
		prefill: schedule[0],
		control: &scheduledController{prefill: schedule, step: scheduleStep, out: workload.Engines / 2},
		front:   fullFront,
	}}
}

// placementBaselines have the roles of granitebay with other placements.
func placementBaselines(workload *Workload) []variant {
	random := granitebayPolicy(workload)
	random.name = PolicyRandom
	random.placer = func(*front) placer { return randomPlacer{settings: placement.DefaultSettings()} }
	byReport := granitebayPolicy(workload)
	byReport.name = PolicyByReport
	byReport.placer = func(f *front) placer {
		return &reportPlacer{settings: placement.DefaultSettings(), front: f}
	}
	return []variant{{family: random.name, policy: random}, {family: byReport.name, policy: byReport}}
}

// ablations are granitebay without one part each.
func ablations(workload *Workload) []variant {
	var result []variant
	add := func(name string, change func(p *policy)) {
		changed := granitebayPolicy(workload)
		changed.name = name
		change(&changed)
		result = append(result, variant{family: name, policy: changed})
	}
	for _, score := range []string{placement.ScoreRole, placement.ScoreOthers, placement.ScoreOutput} {
		add("without_"+score+"_score", func(p *policy) { p.placement = withoutScore(score) })
	}
	add("without_hold_up_limit", func(p *policy) {
		p.placement = placement.DefaultSettings()
		p.placement.HoldUpLimitSeconds = 0
	})
	add("without_admission", func(p *policy) { p.front.admission = false })
	add("without_prefixes", func(p *policy) { p.front.prefixes = false })
	add("without_fairness", func(p *policy) { p.front.fair = false })
	add("without_priorities", func(p *policy) { p.front.priorities = false })
	add("without_hysteresis", func(p *policy) { p.control = planWith(workload, func(s *roleplan.Settings) { s.Hysteresis = 0 }) })
	add("without_learning", func(p *policy) {
		control := newPlanController(workload.Policy, planSettings())
		control.learn = false
		p.control = control
	})
	add("without_queue_in_plan", func(p *policy) { p.control = planWith(workload, func(s *roleplan.Settings) { s.QueueClear = 0 }) })
	return result
}

func withoutScore(score string) placement.Settings {
	settings := placement.DefaultSettings()
	weights := map[string]float64{score: 0}
	for name, weight := range settings.Weights {
		if name != score {
			weights[name] = weight
		}
	}
	settings.Weights = weights
	return settings
}

func planWith(workload *Workload, change func(settings *roleplan.Settings)) controller {
	settings := planSettings()
	change(&settings)
	return newPlanController(workload.Policy, settings)
}
