package roleplan

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Arrival is a request as the meter counts it.
type Arrival struct {
	// Class is a name of the requests of like shape; ShapeClass makes one.
	Class string
	// PromptTokens without those that are probably cached, and the expected OutputTokens.
	PromptTokens int
	OutputTokens int
	Deadline     time.Duration
	Worth        float64
	// Share is the part of the request that counts as demand, less than 1 for a tenant above its share. Zero counts as 1.
	Share float64
}

// Meter measures demand by class. The zero time of the first Tick starts it.
type Meter struct {
	settings MeterSettings
	last     time.Time
	started  time.Time
	classes  map[string]*classMeter
}

// classMeter counts one class since the last tick.
type classMeter struct {
	demand       ClassDemand
	requests     float64
	promptTokens float64
	outputTokens float64
	lastArrival  time.Time
}

// NewMeter returns a meter that starts now.
func NewMeter(now time.Time, settings MeterSettings) *Meter {
	return &Meter{settings: settings, last: now, started: now, classes: map[string]*classMeter{}}
}

// ShapeClass names the class of requests of about the same size, by powers of four, and the same deadline.
func ShapeClass(promptTokens, outputTokens int, deadline time.Duration) string {
	return fmt.Sprintf("p%d-o%d-%s", sizeStep(promptTokens), sizeStep(outputTokens), deadline)
}

// sizeStep returns the upper end of the power of four that holds a size.
func sizeStep(size int) int {
	steps := (bits.Len(uint(max(0, size))) + 1) / 2
	return 1 << (2 * steps)
}

// Record counts a request that arrived.
func (m *Meter) Record(now time.Time, arrival Arrival) {
	class, known := m.classes[arrival.Class]
	if !known {
		class = &classMeter{demand: ClassDemand{Name: arrival.Class}}
		m.classes[arrival.Class] = class
	}
	class.demand.Deadline = arrival.Deadline
	class.demand.Worth = arrival.Worth
	share := cmp.Or(arrival.Share, 1)
	class.requests += share
	class.promptTokens += share * float64(arrival.PromptTokens)
	class.outputTokens += share * float64(arrival.OutputTokens)
	class.lastArrival = now
}

// Tick folds what was counted since the last tick into the averages.
func (m *Meter) Tick(now time.Time) {
	elapsed := now.Sub(m.last)
	if elapsed <= 0 {
		return
	}
	m.last = now
	for name, class := range m.classes {
		if now.Sub(class.lastArrival) > m.settings.Forget {
			delete(m.classes, name)
			continue
		}
		class.fold(elapsed, now.Sub(m.started), m.settings)
	}
}

func (c *classMeter) fold(elapsed, age time.Duration, settings MeterSettings) {
	seconds := elapsed.Seconds()
	c.demand.Requests.observe(c.requests/seconds, elapsed, age, settings)
	c.demand.PromptTokens.observe(c.promptTokens/seconds, elapsed, age, settings)
	c.demand.OutputTokens.observe(c.outputTokens/seconds, elapsed, age, settings)
	c.requests, c.promptTokens, c.outputTokens = 0, 0, 0
}

// Demand returns the demand as of the last tick, by name of class. The caller adds the queues.
func (m *Meter) Demand() Demand {
	names := lo.Keys(m.classes)
	slices.Sort(names)
	return Demand{Classes: lo.Map(names, func(name string, _ int) ClassDemand { return m.classes[name].demand })}
}
