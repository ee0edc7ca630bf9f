package enginemodel

import (
	"math"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Parameters of the pace of an engine.
const (
	// paceSlot is the time over which the intervals of an engine are averaged, so that a transient slowdown counts by its duration and not by the number
	// of responses that it holds up.
	paceSlot = 250 * time.Millisecond
	// paceSlots is the number of slots whose median is the pace. As long as there are fewer than paceFewSlots, the one in progress counts too.
	paceSlots    = 24
	paceFewSlots = 4
	// paceRetention is the age from which a slot no longer counts.
	paceRetention = decayTime
	// typicalWeight is the number of slots as which the typical pace of the class counts at each engine.
	typicalWeight = 0.5
	// alikeFactor is the relative pace up to which an engine counts as alike to its class, because the load alone makes such a difference.
	alikeFactor = 1.2
)

// slot is the mean interval between events in a span of time at one engine.
type slot struct {
	start   time.Time
	seconds float64
}

// pace is the interval between events of the responses at one engine. It is the median of the last slots in which the engine sent events, so
// that a transient slowdown which fills less than half of them does not count.
type pace struct {
	closed []slot
	// start, sum and count describe the slot in progress.
	start      time.Time
	sum, count float64
	// logMedian is the logarithm of the median in seconds, of slots slots.
	logMedian float64
	slots     int
}

// add adds an interval that ended now.
func (p *pace) add(now time.Time, seconds float64) {
	if now.Sub(p.start) >= paceSlot || now.Before(p.start) {
		p.close(now)
		p.start, p.sum, p.count = now, 0, 0
	}
	p.sum += seconds
	p.count++
	if len(p.closed) < paceFewSlots {
		p.update(append(p.closed, slot{start: p.start, seconds: p.sum / p.count}))
	}
}

// close ends the slot in progress and updates the median.
func (p *pace) close(now time.Time) {
	if p.count == 0 {
		return
	}
	p.closed = append(p.closed, slot{start: p.start, seconds: p.sum / p.count})
	oldest := max(len(p.closed)-paceSlots, 0)
	for oldest < len(p.closed) && now.Sub(p.closed[oldest].start) > paceRetention {
		oldest++
	}
	p.closed = slices.Delete(p.closed, 0, oldest)
	p.update(p.closed)
}

// update updates the median.
func (p *pace) update(last []slot) {
	p.slots = len(last)
	if len(last) == 0 {
		return
	}
	var sorted [paceSlots]float64
	for i, each := range last {
		sorted[i] = each.seconds
	}
	values := sorted[:len(last)]
	slices.Sort(values)
	p.logMedian = math.Log(values[(len(values)-1)/2])
}

// known reports whether the engine has sent events recently.
func (p *pace) known(now time.Time) bool {
	return p.slots > 0 && now.Sub(p.start) <= paceRetention
}

// logSeconds returns the logarithm of the interval, given that of the class.
func (p *pace) logSeconds(typical float64) float64 {
	n := float64(p.slots)
	return (n*p.logMedian + typicalWeight*typical) / (n + typicalWeight)
}

// typicalPace is the geometric mean of the paces of all engines of a class whose paces are known.
type typicalPace struct {
	logSeconds float64
	engines    int
	computedAt time.Time
}

// observeInterval records an interval between events at a worker of the class.
func (c *classStats) observeInterval(now time.Time, worker *workerStats, seconds float64) {
	wasKnown := worker.pace.known(now)
	worker.pace.add(now, seconds)
	if !wasKnown && c.typicalPace.engines == 0 {
		// The first known pace counts at once.
		c.typicalPace = typicalPace{}
	}
}

// typical returns the logarithm of the typical interval of the class in seconds, or false if no engine's pace is known. It visits the engines at
// most once per paceSlot and after the first known pace.
func (c *classStats) typical(now time.Time) (float64, bool) {
	cached := &c.typicalPace
	if age := now.Sub(cached.computedAt); age >= paceSlot || age < 0 {
		*cached = typicalPace{computedAt: now}
		sum := 0.0
		for _, worker := range c.workers {
			if worker.pace.known(now) {
				sum += worker.pace.logMedian
				cached.engines++
			}
		}
		if cached.engines > 0 {
			cached.logSeconds = sum / float64(cached.engines)
		}
	}
	return cached.logSeconds, cached.engines > 0
}

// logInterval returns the logarithm of the expected interval between events at an engine in seconds, or false if it is unknown. An engine that
// is not clearly faster or slower than its class has the interval of the class.
func (c *classStats) logInterval(now time.Time, worker *workerStats) (float64, bool) {
	typical, found := c.typical(now)
	if !found || worker == nil || !worker.pace.known(now) {
		return typical, found
	}
	own := worker.pace.logSeconds(typical)
	if math.Abs(own-typical) < math.Log(alikeFactor) {
		return typical, true
	}
	return own, true
}

// workerOf returns the observations of a worker, and creates them if needed.
func (c *classStats) workerOf(id string) *workerStats {
	worker, found := c.workers[id]
	if !found {
		worker = &workerStats{}
		c.workers[id] = worker
	}
	return worker
}

// RelativePace returns the time that a decode engine takes for an event, or a prefill engine for a prompt, relative to what is typical of its
// group and role. It reports false, with a factor of 1, as long as too little has been observed. The factor has an error of about a tenth.
func (m *Model) RelativePace(now time.Time, worker *backend.Worker) (factor float64, known bool) {
	stats, found := m.classes[ClassOf(worker)]
	if !found {
		return 1, false
	}
	observed, found := stats.workers[worker.ID]
	if !found {
		return 1, false
	}
	if worker.Role == backend.RolePrefill {
		if observed.logSlowdown.weightAt(now) < slowdownMinSamples {
			return 1, false
		}
		return math.Exp(observed.logSlowdown.value(now, 0)), true
	}
	typical, found := stats.typical(now)
	if !found || !observed.pace.known(now) {
		return 1, false
	}
	return math.Exp(observed.pace.logSeconds(typical) - typical), true
}
