package gateway

import (
	"fmt"
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// Names of metrics about the software versions of workers and streams.
const (
	// metricWorkersByVersion is the number of workers of a group by the version of their software.
	metricWorkersByVersion = "granitebay_workers_by_version"
	// metricResumptions counts requests that take up a stream which an earlier request began, by how the version that began it is known and by
	// how they ended.
	metricResumptions = "granitebay_stream_resumptions_total"
	// metricMixedAttempts counts attempts that continued a stream at another version than the one that began it.
	metricMixedAttempts = "granitebay_stream_mixed_attempts_total"
	// metricStreamRecords counts records of the versions that began streams: sent to others, kept for others, and rejected.
	metricStreamRecords = "granitebay_stream_records_total"
)

// countStreamRecords counts records of the versions that began streams.
func (m *gatewayMetrics) countStreamRecords(kind string, count int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{kind=%q}`, metricStreamRecords, kind)).Add(count)
}

// countStream counts what a request did to the stream that it began or took up.
func (m *gatewayMetrics) countStream(report *forward.Report) {
	if report.IsResumption() {
		known := report.Stream.Source
		if known == "" {
			known = streamversion.SourceUnknown
		}
		m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q,known=%q,reason=%q}`, metricResumptions, report.Group, known, report.Reason)).Inc()
	}
	for _, attempt := range report.Attempts {
		isBound := attempt.Continues != forward.ContinuesNothing || (report.IsResumption() && report.Stream.IsKnown())
		if isBound && attempt.Worker != "" && attempt.SoftwareVersion != report.Stream.Version.Software {
			m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q}`, metricMixedAttempts, report.Group)).Inc()
		}
	}
}

// writeWorkerVersions writes the number of workers of each group and version.
func writeWorkerVersions(w io.Writer, counts map[streamversion.Version]int) {
	for version, count := range counts {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`%s{group=%q,version=%q}`, metricWorkersByVersion, version.Service, version.Software), uint64(count))
	}
}

// streamInputs adds what is known about the stream of a request to its recorded facts.
func (d requestDecision) streamInputs(inputs map[string]string) {
	if d.resumeAfter != "" {
		inputs["after_event"], inputs["resumes"] = d.resumeAfter, d.resumes
	}
	if d.stream.Source == "" {
		return
	}
	inputs["stream_version"], inputs["version_known"] = d.stream.Version.Software, string(d.stream.Source)
	if !d.stream.Version.IsTold() {
		inputs["stream_begun_by"] = d.stream.Version.Incarnation
	}
	if d.stream.Source != streamversion.SourceOwnRun {
		inputs["version_age_ms"] = strconv.FormatInt(d.stream.Age.Milliseconds(), 10)
	}
}
