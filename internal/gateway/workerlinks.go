package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/logging"
)

// linkLogInterval is the minimum time between two lines about failed connections to workers.
const linkLogInterval = time.Second

// linkTracker counts the failed connections of this gateway to workers, by cause, and logs at how many workers they fail: a worker that
// ended fails alone, a lost network path fails at many. It is safe for concurrent use.
type linkTracker struct {
	metrics *gatewayMetrics
	logger  logrus.FieldLogger
	known   func() int

	mu sync.Mutex
	// failed are the causes of the failures since the last line, and addresses those of the workers.
	failed     map[httpclient.FailureCause]int
	addresses  map[string]bool
	lastLogged time.Time
	// lastLost is when a line about a lost path was last logged.
	lastLost time.Time
}

// newLinkTracker returns a tracker without failures.
func newLinkTracker(g *Gateway) *linkTracker {
	return &linkTracker{
		metrics: g.metrics, logger: logging.Component(g.logger, "workers"), known: g.knownWorkers,
		failed: map[httpclient.FailureCause]int{}, addresses: map[string]bool{},
	}
}

// connectionFailed records a failed connection to the worker at an address.
func (t *linkTracker) connectionFailed(address string, err error) {
	var transport *httpclient.Error
	if !errors.As(err, &transport) {
		return
	}
	cause := transport.FailureCause()
	if cause == httpclient.CauseCancelled {
		return
	}
	t.metrics.countLinkFailure(transport.Step, cause)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[cause]++
	t.addresses[address] = true
	now := time.Now()
	if now.Sub(t.lastLogged) < linkLogInterval {
		return
	}
	fields := logrus.Fields{"workers": len(t.addresses), "known": t.known(), "last": err.Error()}
	for cause, count := range t.failed {
		fields[string(cause)] = count
	}
	t.logger.WithFields(fields).Warn("Connections to workers fail.")
	t.lastLogged = now
	clear(t.failed)
	clear(t.addresses)
}

// Names of the metrics about links to workers and orders.
const (
	metricLinkFailures   = "granitebay_worker_connections_failed_total"
	metricDiscards       = "granitebay_worker_responses_discarded_total"
	metricAbsenceReports = "granitebay_absence_reports_total"
	metricOrders         = "granitebay_orders_total"
)

// countLinkFailure counts a failed connection to a worker.
func (m *gatewayMetrics) countLinkFailure(step httpclient.Step, cause httpclient.FailureCause) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{step=%q,cause=%q}`, metricLinkFailures, step, cause)).Inc()
}

// countDiscard counts and logs a response of a worker that belongs to no request that waits.
func (m *gatewayMetrics) countDiscard(address string) {
	m.set.GetOrCreateCounter(metricDiscards).Inc()
	if m.allowLog(discardReason) {
		logging.Component(m.logger.Logger, "workers").WithField("peer", address).Warn("A response belongs to another request than the one that waits.")
	}
}

// discardReason is the rate limiting key of log lines about discarded responses.
const discardReason = "discarded responses"

// countOrder counts a role order by its outcome.
func (m *gatewayMetrics) countOrder(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{outcome=%q}`, metricOrders, outcome)).Inc()
}

// countAbsenceReports counts engines that another gateway reported as ended, and logs the reporter.
func (m *gatewayMetrics) countAbsenceReports(reporter string, engines int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{reporter=%q}`, metricAbsenceReports, reporter)).Add(engines)
	if m.allowLog(absenceReportReason) {
		logging.Component(m.logger.Logger, "engines").WithFields(logrus.Fields{"reporter": reporter, "engines": engines}).
			Info("Another gateway reports that engines have ended.")
	}
}

// absenceReportReason is the rate limiting key of log lines about reports of ended engines.
const absenceReportReason = "reports of ended engines"
