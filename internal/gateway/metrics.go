package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/granitebay/granitebay/internal/capacity"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/store"
	"github.com/granitebay/granitebay/internal/usage"
)

// Names of the figures.
const (
	metricRequests  = "granitebay_requests_total"
	metricFirstByte = "granitebay_first_byte_seconds"
	metricTries     = "granitebay_tries_total"
	// metricDeferred counts requests that gave way to others because they were expected too late.
	metricDeferred = "granitebay_deferred_total"
	// metricLinesLeftOut counts log lines about requests that were left out because there were too many.
	metricLinesLeftOut = "granitebay_log_lines_left_out_total"
	// metricWorkerEnds counts workers that ended under requests of this gateway, and metricBarred is how many requests are barred.
	metricWorkerEnds = "granitebay_worker_ends_total"
	metricBarred     = "granitebay_barred_requests"
	// metricUnanswered counts requests whose connection ended before their callers had a whole answer, and metricRestedOut connections of
	// callers that the bound on resting connections closed.
	metricUnanswered = "granitebay_requests_unanswered_total"
	metricRestedOut  = "granitebay_connections_rested_out_total"
)

// figures counts what becomes of requests and serves the counts as text. It implements forward.Observer.
type gatewayMetrics struct {
	set       *metrics.Set
	decisions *decisionlog.Log
	logger    *logrus.Entry
	// choice and candidates are those of choices of workers.
	choice, candidates *metrics.Histogram
	// budgets returns the budgets of repeats; nil returns none.
	budgets func() []forward.BudgetView
	// notices tells which tries went to workers against what these had said; nil tells none.
	notices *noticeTracker
	// workerLimits counts the tries that went to workers with limits; nil counts none.
	workerLimits *limitTracker
	// duties writes the figures of what this gateway does for all; nil writes none.
	writeFleetTasks func(w io.Writer)

	// mu guards the bounds of log lines.
	mu          sync.Mutex
	logLimiters map[forward.Reason]*rate.Limiter
}

// newFigures returns figures that are all zero.
func newGatewayMetrics(decisions *decisionlog.Log, logger *logrus.Logger) *gatewayMetrics {
	set := metrics.NewSet()
	return &gatewayMetrics{
		set: set, decisions: decisions, logger: logging.Part(logger, "request"), logLimiters: map[forward.Reason]*rate.Limiter{},
		choice: set.NewHistogram(metricChoice), candidates: set.NewHistogram(metricCandidates),
	}
}

// watch adds figures that are read when they are asked for.
func (m *gatewayMetrics) registerGauges(g *Gateway) {
	m.set.NewGauge("granitebay_store_age_seconds", func() float64 { return g.view.Staleness().Seconds() })
	m.set.NewGauge("granitebay_gateways", func() float64 { return float64(len(g.view.Serving())) })
	m.set.NewGauge("granitebay_gateways_reachable", func() float64 { return float64(len(g.view.Reachable())) })
	m.set.NewGauge("granitebay_workers_known", func() float64 { return float64(g.knownWorkers()) })
	m.set.NewGauge("granitebay_unreadable_items_total", func() float64 { return float64(g.view.Unreadable()) })
	m.set.NewGauge(metricBarred, func() float64 { return float64(len(g.barSyncer.guard.Bars())) })
	m.set.NewGauge("granitebay_requests_in_hand", func() float64 { return float64(g.handler.Active()) })
	m.budgets = g.dispatcher.Budgets
}

// Names of the figures of what grows with the fleet.
const (
	metricStoreCalls = "granitebay_store_calls_total"
	metricChoice     = "granitebay_choice_seconds"
	metricCandidates = "granitebay_choice_candidates"
	// metricRestored counts returns of the store from an older copy, and metricOutdated answers of before that came after one.
	metricStoreRestores   = "granitebay_store_restored_total"
	metricOutdatedAnswers = "granitebay_store_answers_outdated_total"
)

// storeRestored counts a return of the store.
func (m *gatewayMetrics) countStoreRestore() { m.set.GetOrCreateCounter(metricStoreRestores).Inc() }

// storeCalled counts a call to the store.
func (m *gatewayMetrics) countStoreCall(call store.Call, _ time.Duration, err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{call=%q,failed="%t"}`, metricStoreCalls, call, err != nil)).Inc()
	if !errors.Is(err, store.ErrRestored) {
		return
	}
	m.set.GetOrCreateCounter(metricOutdatedAnswers).Inc()
	if m.allowLog(outdatedResponseReason) {
		m.logger.WithError(err).WithField("call", call).Warn("An answer of the store is of before it came back from an older copy, and is not taken.")
	}
}

// outdatedReason is the reason under which the lines about such answers are bounded.
const outdatedResponseReason forward.Reason = "outdated answer of the store"

// chosen notes how long the choice of workers for a request took, and how many were looked at last.
func (m *gatewayMetrics) observeChoice(elapsed time.Duration, candidates int) {
	m.choice.Update(elapsed.Seconds())
	m.candidates.Update(float64(candidates))
}

// workerEnded counts a worker of a group that ended under requests.
func (m *gatewayMetrics) countWorkerEnd(group string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q}`, metricWorkerEnds, group)).Inc()
}

// Names of the figures of what workers say of themselves in their answers.
const (
	metricNotices           = "granitebay_worker_notices_total"
	metricNoticesUnreadable = "granitebay_worker_notices_unreadable_total"
	// metricAgainstNotice counts tries that were sent to workers which had said that they want none.
	metricTriesAgainstNotice = "granitebay_tries_against_notice_total"
	// metricUnderLimit counts tries that were sent to workers while these named limits.
	metricTriesUnderLimit = "granitebay_tries_under_limit_total"
)

// noticeHeard counts what a worker of a group said of itself.
func (m *gatewayMetrics) countNotice(group, kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q,notice=%q}`, metricNotices, group, kind)).Inc()
}

// noticeUnreadable counts an answer in which a worker said of itself what can't be read.
func (m *gatewayMetrics) countUnreadableNotice() {
	m.set.GetOrCreateCounter(metricNoticesUnreadable).Inc()
}

// countAgainstNotices counts the tries of a request that went to workers which had said that they want none.
func (m *gatewayMetrics) countNoticeViolations(report *forward.Report) {
	if m.notices == nil {
		return
	}
	for _, try := range report.Tries {
		for _, send := range []struct {
			worker string
			at     time.Time
		}{{try.Reader, try.Begun}, {try.Worker, try.Begun.Add(try.ReadIn)}} {
			if m.workerLimits.countAttempt(send.worker, send.at) {
				m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q}`, metricTriesUnderLimit, report.Group)).Inc()
			}
			if kind := m.notices.violatedNotice(send.worker, send.at); kind != "" {
				m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q,notice=%q}`, metricTriesAgainstNotice, report.Group, kind)).Inc()
			}
		}
	}
}

// Names of the figures of budgets of repeats.
const (
	metricRepeats        = "granitebay_repeats_total"
	metricRepeatsLeft    = "granitebay_repeats_left"
	metricRepeatsSharers = "granitebay_repeats_divided_by"
)

// writeBudgets writes what was granted and denied of the budgets of repeats, and what is left.
func writeBudgets(w io.Writer, budgets []forward.BudgetView) {
	for _, budget := range budgets {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{group=%q,outcome="granted"}`, metricRepeats, budget.Group), uint64(budget.Granted))
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{group=%q,outcome="denied"}`, metricRepeats, budget.Group), uint64(budget.Denied))
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`%s{group=%q}`, metricRepeatsLeft, budget.Group), budget.Left)
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`%s{group=%q}`, metricRepeatsSharers, budget.Group), uint64(budget.Sharers))
	}
}

// Names of the figures of duties.
const (
	metricWindows = "granitebay_usage_windows_total"
	metricWorkers = "granitebay_workers"
	metricBusy    = "granitebay_workers_busy"
)

// watchDuties adds the figures of what this gateway does for all.
func (m *gatewayMetrics) registerFleetTasks(reporter *usage.Reporter, executor *capacity.Executor) {
	m.writeFleetTasks = func(w io.Writer) {
		if reporter != nil {
			writeUsageWindows(w, reporter.Figures())
		}
		if executor != nil {
			writeCapacity(w, executor.Status())
		}
	}
}

// writeWindows writes what became of windows of usage.
func writeUsageWindows(w io.Writer, counts usage.Figures) {
	for _, window := range []struct {
		outcome string
		n       int
	}{
		{"agreed", counts.Agreed}, {"sent", counts.Sent}, {"late", counts.Late}, {"failed", counts.Failed},
		{"superseded", counts.Refused},
	} {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{outcome=%q}`, metricWindows, window.outcome), uint64(window.n))
	}
}

// writeWorkers writes how many workers there are and should be.
func writeCapacity(w io.Writer, groups []capacity.Status) {
	for _, group := range groups {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`%s{group=%q}`, metricBusy, group.Group), group.Busy)
		for _, zone := range group.Offer.Zones {
			for state, count := range map[string]capacity.Count{"present": group.Present[zone.Name], "wanted": group.Plan[zone.Name]} {
				name := func(kind string) string {
					return fmt.Sprintf(`%s{group=%q,zone=%q,kind=%q,state=%q}`, metricWorkers, group.Group, zone.Name, kind, state)
				}
				metrics.WriteGaugeUint64(w, name("kept"), uint64(count.Kept))
				metrics.WriteGaugeUint64(w, name("spot"), uint64(count.Spot))
			}
		}
	}
}

// RequestEnded is part of forward.Observer.
func (m *gatewayMetrics) RequestEnded(report *forward.Report) {
	name := fmt.Sprintf(`%s{rule=%q,status="%d",reason=%q}`, metricRequests, report.Rule, report.Status, report.Reason)
	m.set.GetOrCreateCounter(name).Inc()
	if !report.FirstByte.IsZero() {
		name = fmt.Sprintf(`%s{rule=%q}`, metricFirstByte, report.Rule)
		m.set.GetOrCreateHistogram(name).Update(report.FirstByte.Sub(report.Arrived).Seconds())
	}
	for _, try := range report.Tries {
		name = fmt.Sprintf(`%s{group=%q,failure=%q}`, metricTries, report.Group, try.Failure)
		m.set.GetOrCreateCounter(name).Inc()
		if try.Deferred {
			m.set.GetOrCreateCounter(fmt.Sprintf(`%s{rule=%q}`, metricDeferred, report.Rule)).Inc()
		}
	}
	m.countNoticeViolations(report)
	recorded := newRequestDecision(report)
	m.decisions.Append(report.Ended, recorded)
	if report.Unanswered {
		m.recordUnanswered(report, recorded)
		return
	}
	if !recorded.servedFirstTry() && m.allowLog(report.Reason) {
		m.logRequest(recorded)
	}
}

// Bounds of the lines about requests with one reason.
const (
	logLinesPerSecond = 20
	logLinesBurst     = 200
)

// mayLog takes a line from the bound of a reason. What is left out is counted; decisions have it all the same.
func (m *gatewayMetrics) allowLog(reason forward.Reason) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limiter, known := m.logLimiters[reason]
	if !known {
		limiter = rate.NewLimiter(logLinesPerSecond, logLinesBurst)
		m.logLimiters[reason] = limiter
	}
	if limiter.Allow() {
		return true
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{reason=%q}`, metricLinesLeftOut, reason)).Inc()
	return false
}

// log writes one line about a request that did not go smoothly.
func (m *gatewayMetrics) logRequest(request requestDecision) {
	if !m.logger.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	m.logger.WithFields(requestFields(request)).Info("A request did not go smoothly.")
}

// requestFields returns what a line tells of a request.
func requestFields(request requestDecision) logrus.Fields {
	fields := logrus.Fields{"id": request.id, "status": request.status, "reason": request.reason, "version": request.version}
	for name, value := range request.inputs() {
		fields[name] = value
	}
	return fields
}

// RestedOut is part of callers.Observer.
func (m *gatewayMetrics) RestedOut() { m.set.GetOrCreateCounter(metricRestedOut).Inc() }

// countUnanswered counts a request whose caller got no whole answer.
func (m *gatewayMetrics) countUnanswered(closedBy forward.Closer) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{closed_by=%q}`, metricUnanswered, closedBy)).Inc()
}

// unanswered counts a request whose connection ended before its caller had a whole answer, and writes a line about it. Callers that leave
// are told at the level of other requests that did not go smoothly; what this side did is a warning.
func (m *gatewayMetrics) recordUnanswered(report *forward.Report, request requestDecision) {
	m.countUnanswered(report.ClosedBy)
	if !m.allowLog(unansweredReason(report.ClosedBy)) {
		return
	}
	level := logrus.InfoLevel
	if report.ClosedBy != forward.CloserCaller {
		level = logrus.WarnLevel
	}
	if !m.logger.Logger.IsLevelEnabled(level) {
		return
	}
	fields := requestFields(request)
	if panicErr := new(forward.PanicError); errors.As(report.Err, &panicErr) {
		fields["stack"] = string(panicErr.Stack)
	}
	m.logger.WithFields(fields).Log(level, "A connection ended with its request unanswered.")
}

// unansweredReason is the reason under which the lines about unanswered requests are bounded, apart from others.
func unansweredReason(closedBy forward.Closer) forward.Reason {
	return forward.Reason("unanswered: " + closedBy.String())
}

// HeadUnanswered is part of callers.Observer. It counts the request, and writes a line.
func (m *gatewayMetrics) HeadUnanswered(closedBy forward.Closer, peer string, elapsed time.Duration) {
	m.countUnanswered(closedBy)
	if !m.allowLog(unansweredReason(closedBy)) {
		return
	}
	m.logger.WithFields(logrus.Fields{
		"closed_by": closedBy.String(), "step": "read the head", "peer": peer, "took_ms": elapsed.Milliseconds(), "passed_on_to": "",
	}).Info("A connection ended with its request unanswered.")
}

// ServeHTTP is part of http.Handler.
func (m *gatewayMetrics) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(writer)
	if m.budgets != nil {
		writeBudgets(writer, m.budgets())
	}
	if m.writeFleetTasks != nil {
		m.writeFleetTasks(writer)
	}
}
