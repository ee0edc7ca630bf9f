package enginemodel

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// loadReports holds the last load report that can be read and those after it.
type loadReports struct {
	taken []engine.Status
	// next is when the next one is taken.
	next time.Time
}

// takeReport takes a load report. The first one, of an engine that just started, can be read at once.
func (m *Model) takeReport(now time.Time) {
	m.batch.sync(now)
	m.reports.next = now.Add(m.settings.LoadReportInterval)
	m.reports.taken = append(m.reports.taken, engine.Status{
		Engine:        m.settings.Name,
		Incarnation:   m.settings.Incarnation,
		AsOf:          now,
		Fence:         m.fence,
		Configuration: m.configuration,
		Changing:      !m.change.none(),
		Running:       m.batch.size(),
		Waiting:       m.waiting.len(),
		MemoryUsed:    m.batch.reserved,
		MemoryTotal:   m.settings.MemoryTokens,
	})
	m.dropOldReports(now)
}

// dropOldReports drops the reports before the newest one that can be read.
func (m *Model) dropOldReports(now time.Time) {
	readable := 0
	for i, report := range m.reports.taken {
		if !report.AsOf.Add(m.settings.LoadReportLag).After(now) {
			readable = i
		}
	}
	m.reports.taken = m.reports.taken[readable:]
}

// Status returns the latest load report that can be read.
func (m *Model) Status(now time.Time) engine.Status {
	m.advance(now)
	m.dropOldReports(now)
	return m.reports.taken[0]
}
