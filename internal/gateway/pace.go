package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/granitebay/granitebay/internal/forward"
)

// Names of metrics about the pace of engines.
const (
	metricInterval = "granitebay_event_interval_seconds"
	// metricPausesExpected sums the risks of a pause over its objective with which engines were picked, and metricPausesSeen counts the
	// responses that had one.
	metricPausesExpected = "granitebay_pauses_expected_total"
	metricPausesSeen     = "granitebay_pauses_seen_total"
)

// paceMetrics observes the pace of engines.
type paceMetrics struct {
	set *metrics.Set
	// intervals holds the histogram of each group, as looking it up in the set by its name would take longer than updating it.
	intervals sync.Map
}

// observeInterval observes the time between two events of an engine's response.
func (p *paceMetrics) observeInterval(group string, interval time.Duration) {
	histogram, found := p.intervals.Load(group)
	if !found {
		histogram, _ = p.intervals.LoadOrStore(group, p.set.GetOrCreateHistogram(fmt.Sprintf(`%s{group=%q}`, metricInterval, group)))
	}
	histogram.(*metrics.Histogram).Update(interval.Seconds())
}

// observeCourse observes the pauses of a response, and those that were expected.
func (p *paceMetrics) observeCourse(group string, course forward.Course) {
	if course.Events == 0 || course.PauseObjective == 0 {
		return
	}
	p.set.GetOrCreateFloatCounter(fmt.Sprintf(`%s{group=%q}`, metricPausesExpected, group)).Add(course.Expected.PauseRisk)
	if course.LongestPause > course.PauseObjective {
		p.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q}`, metricPausesSeen, group)).Inc()
	}
}
