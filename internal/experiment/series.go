package experiment

import (
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
)

// sample is the state of the fleet at one moment.
type sample struct {
	at       time.Duration
	prefill  int
	decode   int
	changing int
	queued   int
}

// sampleInterval is the time between samples.
const sampleInterval = 2 * time.Second

func (r *run) sample(now time.Time) {
	taken := sample{at: now.Sub(epoch), queued: r.front.queue.length()}
	for _, each := range r.front.engines {
		switch {
		case each.phase != phaseServing:
			taken.changing++
		case each.configuration.Role == engine.RolePrefill:
			taken.prefill++
		default:
			taken.decode++
		}
	}
	r.samples = append(r.samples, taken)
}

// goodputPoint is what became of the requests that arrived in a stretch of time.
type goodputPoint struct {
	at      time.Duration
	offered int
	inTime  int
}

// goodputInterval is the length of these stretches.
const goodputInterval = 10 * time.Second

// goodputSeries splits the requests by time of arrival.
func (r *run) goodputSeries() []goodputPoint {
	result := make([]goodputPoint, int(r.workload.Duration/goodputInterval))
	for index := range result {
		result[index].at = time.Duration(index) * goodputInterval
	}
	for _, each := range r.calls {
		point := &result[min(len(result)-1, int(each.request.At/goodputInterval))]
		point.offered++
		point.inTime += lo.Ternary(each.inTime(), 1, 0)
	}
	return result
}
