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

	"github.com/granitebay/granitebay/internal/callers"
	"github.com/granitebay/granitebay/internal/capacity"
	"github.com/granitebay/granitebay/internal/changefeed"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/store"
	"github.com/granitebay/granitebay/internal/streamversion"
	"github.com/granitebay/granitebay/internal/usage"
)

// Names of request metrics.
const (
	metricRequests  = "granitebay_requests_total"
	metricFirstByte = "granitebay_first_byte_seconds"
	metricAttempts  = "granitebay_tries_total"
	// metricRefusals counts the refusals of workers by what shows that they belong to their requests. metricRepeats counts the requests that were sent
	// to a worker after one that had received them.
	metricRefusals = "granitebay_worker_refusals_total"
	metricRepeats  = "granitebay_requests_sent_again_total"
	// metricDeferred counts requests that were deferred because they were expected to miss their objective.
	metricDeferred = "granitebay_deferred_total"
	// metricUrgency counts attempts that did not have the default urgency at the engine, because there was contention. metricHeldBack counts
	// requests that waited at the gateway or were refused for lack of room.
	metricUrgency  = "granitebay_urgency_total"
	metricHeldBack = "granitebay_held_back_total"
	// metricLinesLeftOut counts log lines about requests that were dropped by rate limiting.
	metricLinesLeftOut = "granitebay_log_lines_left_out_total"
	// metricWorkerEnds counts workers that terminated while running requests of this gateway. metricBarred is the number
	// of barred requests.
	metricWorkerEnds = "granitebay_worker_ends_total"
	metricBarred     = "granitebay_barred_requests"
	// metricBarredParts is the number of barred parts of prompts.
	metricBarredParts = "granitebay_barred_parts"
	// metricUnanswered counts requests whose connections ended before a complete response was sent. metricIdleTimeouts
	// counts caller connections that were closed by the idle timeout, metricPastIdle requests that came after the timeout and before the close, and
	// metricAfterClose those that came after such a close or that of a stop while a response was on its way.
	metricUnanswered   = "granitebay_requests_unanswered_total"
	metricIdleTimeouts = "granitebay_connections_rested_out_total"
	// metricUnread counts connections on which bytes had arrived that nobody read.
	metricUnread = "granitebay_connections_unread_total"
	// metricHeaderRefused counts requests that were refused before their headers were parsed, by reason and status.
	metricHeaderRefused = "granitebay_heads_refused_total"
	// metricEvicted counts connections that lost their places, by the bound that was reached and what they waited for. metricIntakeBytes is how many bytes
	// requests hold beyond the exempt ones, and metricIntakeLimit their limit.
	metricEvicted     = "granitebay_connections_evicted_total"
	metricIntakeBytes = "granitebay_request_bytes"
	metricIntakeLimit = "granitebay_request_bytes_limit"
	metricPastIdle    = "granitebay_requests_past_rest_total"
	metricAfterClose  = "granitebay_requests_after_close_total"
)

// gatewayMetrics counts request outcomes and serves the metrics in text format. It implements forward.Observer and
// callers.Observer.
type gatewayMetrics struct {
	set       *metrics.Set
	decisions *decisionlog.Log
	logger    *logrus.Entry
	// choice and candidates observe the duration of worker choices and the number of candidates.
	choice, candidates *metrics.Histogram
	// pace observes the pace of engines.
	pace *paceMetrics
	// budgets returns the retry budgets; may be nil.
	budgets func() []forward.BudgetView
	// notices tells which attempts were made on workers that had asked for no requests; may be nil.
	notices *noticeTracker
	// workerLimits counts attempts on workers with rate limits. It is nil if and only if notices is.
	workerLimits *workerLimitTracker
	// workersByVersion returns the number of workers of each group and software version; may be nil.
	workersByVersion func() map[streamversion.Version]int
	// writeFleetTasks writes the metrics of usage reporting and capacity orders; may be nil.
	writeFleetTasks func(w io.Writer)

	// mu guards logLimiters.
	mu          sync.Mutex
	logLimiters map[forward.Reason]*rate.Limiter
}

// newGatewayMetrics returns metrics that are all zero.
func newGatewayMetrics(decisions *decisionlog.Log, logger *logrus.Logger) *gatewayMetrics {
	set := metrics.NewSet()
	return &gatewayMetrics{
		set: set, decisions: decisions, logger: logging.Component(logger, "request"), logLimiters: map[forward.Reason]*rate.Limiter{},
		choice: set.NewHistogram(metricChoice), candidates: set.NewHistogram(metricCandidates), pace: &paceMetrics{set: set},
	}
}

// registerGauges adds the metrics that are read from the gateway on demand.
func (m *gatewayMetrics) registerGauges(g *Gateway) {
	m.set.NewGauge("granitebay_store_age_seconds", func() float64 { return g.view.Staleness().Seconds() })
	m.set.NewGauge("granitebay_gateways", func() float64 { return float64(len(g.view.Serving())) })
	m.set.NewGauge("granitebay_gateways_reachable", func() float64 { return float64(len(g.view.Reachable())) })
	m.set.NewGauge("granitebay_workers_known", func() float64 { return float64(g.knownWorkers()) })
	m.set.NewGauge("granitebay_unreadable_items_total", func() float64 { return float64(g.view.Unreadable()) })
	m.set.NewGauge(metricBarred, func() float64 { return float64(g.barSyncer.countBars(false)) })
	m.set.NewGauge(metricBarredParts, func() float64 { return float64(g.barSyncer.countBars(true)) })
	m.set.NewGauge("granitebay_requests_in_hand", func() float64 { return float64(g.handler.Active()) })
	m.set.NewGauge(metricCopies, func() float64 { return float64(g.dispatcher.MigrationTotals().Copies) })
	m.set.NewGauge(metricCopyBytes, func() float64 { return float64(g.dispatcher.MigrationTotals().CopyBytes) })
	m.set.NewGauge(metricCopiesOverLimit, func() float64 { return float64(g.dispatcher.MigrationTotals().CopiesOverLimit) })
	m.set.NewGauge(metricLostPaths, func() float64 { return float64(g.lostPaths()) })
	m.set.NewGauge(metricIntakeBytes, func() float64 { held, _ := g.intake.Held(); return float64(held) })
	m.set.NewGauge(metricIntakeLimit, func() float64 { _, limit := g.intake.Held(); return float64(limit) })
	m.budgets, m.workersByVersion = g.dispatcher.Budgets, g.dispatcher.WorkersByVersion
}

// Names of metrics about the store and the choice of workers.
const (
	metricStoreCalls = "granitebay_store_calls_total"
	metricChoice     = "granitebay_choice_seconds"
	metricCandidates = "granitebay_choice_candidates"
	// metricStoreRestores counts restores of the store from a backup. metricOutdatedAnswers counts responses from before
	// a restore that arrived after it.
	metricStoreRestores   = "granitebay_store_restored_total"
	metricOutdatedAnswers = "granitebay_store_answers_outdated_total"
)

// metricEngineReports counts the engines that were asked for their load after a start of all gateways.
const metricEngineReports = "granitebay_engine_reports_total"

// countEngineReport counts an engine that was asked for its load, and whether it failed to answer.
func (m *gatewayMetrics) countEngineReport(failed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{failed="%t"}`, metricEngineReports, failed)).Inc()
}

// countStoreRestore counts a restore of the store.
func (m *gatewayMetrics) countStoreRestore() { m.set.GetOrCreateCounter(metricStoreRestores).Inc() }

// countStoreCall counts a call to the store and whether it failed, and logs a response that was discarded because it is
// from before a restore.
func (m *gatewayMetrics) countStoreCall(call store.Call, _ time.Duration, err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{call=%q,failed="%t"}`, metricStoreCalls, call, err != nil)).Inc()
	if !errors.Is(err, store.ErrRestored) {
		return
	}
	m.set.GetOrCreateCounter(metricOutdatedAnswers).Inc()
	if m.allowLog(outdatedAnswerReason) {
		m.logger.WithError(err).WithField("call", call).Warn("Discarded a store answer from before the store was restored from a backup.")
	}
}

// outdatedAnswerReason is the rate limiting key of log lines about outdated responses.
const outdatedAnswerReason forward.Reason = "outdated answer of the store"

// observeChoice records the duration of a worker choice and its number of candidates.
func (m *gatewayMetrics) observeChoice(elapsed time.Duration, candidates int) {
	m.choice.Update(elapsed.Seconds())
	m.candidates.Update(float64(candidates))
}

// countWorkerEnd counts a worker of a group that terminated while running requests.
func (m *gatewayMetrics) countWorkerEnd(group string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q}`, metricWorkerEnds, group)).Inc()
}

// Names of metrics about requests for changes to other gateways.
const (
	metricFeedRequests = "granitebay_feed_requests_total"
	metricFeedSeconds  = "granitebay_feed_request_seconds"
)

// countFeedRequest counts a request for changes to another gateway.
func (m *gatewayMetrics) countFeedRequest(outcome changefeed.Outcome, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{outcome=%q}`, metricFeedRequests, string(outcome))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{outcome=%q}`, metricFeedSeconds, string(outcome))).Update(took.Seconds())
}

// Names of metrics about worker notices.
const (
	metricNotices           = "granitebay_worker_notices_total"
	metricNoticesUnreadable = "granitebay_worker_notices_unreadable_total"
	// metricAttemptsAgainstNotice counts attempts on workers that had asked for no requests.
	metricAttemptsAgainstNotice = "granitebay_tries_against_notice_total"
	// metricAttemptsUnderLimit counts attempts on workers that had a rate limit in force.
	metricAttemptsUnderLimit = "granitebay_tries_under_limit_total"
)

// countNotice counts a notice of a worker.
func (m *gatewayMetrics) countNotice(group, kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q,notice=%q}`, metricNotices, group, kind)).Inc()
}

// countUnreadableNotice counts a notice that could not be parsed.
func (m *gatewayMetrics) countUnreadableNotice() {
	m.set.GetOrCreateCounter(metricNoticesUnreadable).Inc()
}

// countAttemptsByNotice counts the attempts of a request on workers that had asked for no requests or had a rate limit
// in force. An attempt uses the prefill engine, if any, first and the worker once the prompt is processed.
func (m *gatewayMetrics) countAttemptsByNotice(report *forward.Report) {
	if m.notices == nil {
		return
	}
	for _, attempt := range report.Attempts {
		for _, send := range []struct {
			worker string
			at     time.Time
		}{{attempt.PrefillEngine, attempt.Start}, {attempt.Worker, attempt.Start.Add(attempt.PrefillTime)}} {
			if m.workerLimits.countAttempt(send.worker, send.at) {
				m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q}`, metricAttemptsUnderLimit, report.Group)).Inc()
			}
			if kind := m.notices.noticeAgainst(send.worker, send.at); kind != "" {
				m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q,notice=%q}`, metricAttemptsAgainstNotice, report.Group, kind)).Inc()
			}
		}
	}
}

// Names of retry budget metrics.
const (
	metricRetries          = "granitebay_repeats_total"
	metricRetriesLeft      = "granitebay_repeats_left"
	metricRetriesDividedBy = "granitebay_repeats_divided_by"
)

// writeBudgets writes the granted, denied and remaining retries of each budget.
func writeBudgets(w io.Writer, budgets []forward.BudgetView) {
	for _, budget := range budgets {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{group=%q,outcome="granted"}`, metricRetries, budget.Group), uint64(budget.Granted))
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{group=%q,outcome="denied"}`, metricRetries, budget.Group), uint64(budget.Denied))
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`%s{group=%q}`, metricRetriesLeft, budget.Group), budget.Left)
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`%s{group=%q}`, metricRetriesDividedBy, budget.Group), uint64(budget.GatewayCount))
	}
}

// Names of the metrics of usage reporting and capacity orders.
const (
	metricWindows = "granitebay_usage_windows_total"
	metricWorkers = "granitebay_workers"
	metricBusy    = "granitebay_workers_busy"
	metricAverage = "granitebay_workers_busy_average"
	metricNeeded  = "granitebay_workers_needed"
)

// registerFleetTasks adds the metrics of usage reporting and capacity orders.
func (m *gatewayMetrics) registerFleetTasks(reporter *usage.Reporter, executor *capacity.Executor) {
	m.writeFleetTasks = func(w io.Writer) {
		if reporter != nil {
			writeUsageWindows(w, reporter.Stats())
		}
		if executor != nil {
			writeCapacity(w, executor.Status())
		}
	}
}

// writeUsageWindows writes the outcomes of usage windows.
func writeUsageWindows(w io.Writer, counts usage.Stats) {
	for _, window := range []struct {
		outcome string
		n       int
	}{
		{"agreed", counts.Finalized}, {"sent", counts.Sent}, {"late", counts.Late}, {"failed", counts.Failed},
		{"superseded", counts.Superseded},
	} {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{outcome=%q}`, metricWindows, window.outcome), uint64(window.n))
	}
}

// writeCapacity writes the present and the planned numbers of workers.
func writeCapacity(w io.Writer, groups []capacity.Status) {
	for _, group := range groups {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`%s{group=%q}`, metricBusy, group.Group), group.Busy)
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`%s{group=%q}`, metricAverage, group.Group), group.Average)
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`%s{group=%q}`, metricNeeded, group.Group), uint64(group.Need))
		for _, zone := range group.Offer.Zones {
			for state, count := range map[string]capacity.Count{"present": group.Present[zone.Name], "wanted": group.Plan[zone.Name]} {
				name := func(kind string) string {
					return fmt.Sprintf(`%s{group=%q,zone=%q,kind=%q,state=%q}`, metricWorkers, group.Group, zone.Name, kind, state)
				}
				metrics.WriteGaugeUint64(w, name("kept"), uint64(count.OnDemand))
				metrics.WriteGaugeUint64(w, name("spot"), uint64(count.Spot))
			}
		}
	}
}

// Names of metrics about runs that continue at another worker.
const (
	// metricContinuations counts attempts that continued a response which another worker began.
	metricContinuations = "granitebay_continuations_total"
	// metricCopies counts the copies of runs that engines were asked to keep, metricCopyBytes their expected size, and metricCopiesOverLimit
	// those that the limit on the size of all copies prevented.
	metricCopies          = "granitebay_run_copies_total"
	metricCopyBytes       = "granitebay_run_copy_bytes_total"
	metricCopiesOverLimit = "granitebay_run_copies_over_limit_total"
)

// countContinuation counts an attempt that continued a response.
func (m *gatewayMetrics) countContinuation(group string, attempt forward.Attempt) {
	outcome := "ended"
	if attempt.Failure != "" {
		outcome = attempt.Failure
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q,from=%q,outcome=%q}`, metricContinuations, group, attempt.Continues, outcome)).Inc()
}

// RequestEnded implements forward.Observer.
func (m *gatewayMetrics) RequestEnded(report *forward.Report) {
	name := fmt.Sprintf(`%s{rule=%q,status="%d",reason=%q}`, metricRequests, report.Rule, report.Status, report.Reason)
	m.set.GetOrCreateCounter(name).Inc()
	if !report.FirstByte.IsZero() {
		name = fmt.Sprintf(`%s{rule=%q}`, metricFirstByte, report.Rule)
		m.set.GetOrCreateHistogram(name).Update(report.FirstByte.Sub(report.Arrived).Seconds())
	}
	for _, attempt := range report.Attempts {
		m.pace.observeCourse(report.Group, attempt.Course)
		name = fmt.Sprintf(`%s{group=%q,failure=%q}`, metricAttempts, report.Group, attempt.Failure)
		m.set.GetOrCreateCounter(name).Inc()
		if refusal := attempt.Refusal; refusal != nil {
			name = fmt.Sprintf(`%s{group=%q,named="%t",shared="%t"}`, metricRefusals, report.Group, refusal.Named, refusal.Shared)
			m.set.GetOrCreateCounter(name).Inc()
		}
		if attempt.Continues != forward.ContinuesNothing {
			m.countContinuation(report.Group, attempt)
		}
		if attempt.UrgencyReason != "" {
			m.set.GetOrCreateCounter(fmt.Sprintf(`%s{rule=%q,urgency="%d"}`, metricUrgency, report.Rule, attempt.Urgency)).Inc()
		}
		if attempt.Deferred {
			m.set.GetOrCreateCounter(fmt.Sprintf(`%s{rule=%q}`, metricDeferred, report.Rule)).Inc()
		}
	}
	if report.IsRepeat() {
		m.set.GetOrCreateCounter(fmt.Sprintf(`%s{rule=%q}`, metricRepeats, report.Rule)).Inc()
	}
	if report.HeldBack != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf(`%s{rule=%q,refused="%t"}`, metricHeldBack, report.Rule, report.Reason == forward.ReasonNoRoom)).Inc()
	}
	m.countAttemptsByNotice(report)
	m.countStream(report)
	request := newRequestDecision(report)
	m.decisions.Append(report.Ended, request)
	if report.Unanswered {
		m.recordUnanswered(report, request)
		return
	}
	if !request.isUneventful() && m.allowLog(report.Reason) {
		m.logRequest(report, request)
	}
}

// Rate limit of repeated log lines, for each reason.
const (
	logLinesPerSecond = 20
	logLinesBurst     = 200
)

// allowLog reports whether a line with a reason may be logged. Suppressed lines are counted.
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

// logRequest logs a request that was not served at the first attempt. The line is an error if the request caused a panic.
func (m *gatewayMetrics) logRequest(report *forward.Report, request requestDecision) {
	level := logrus.InfoLevel
	if report.Reason == forward.ReasonPanic {
		level = logrus.ErrorLevel
	}
	if !m.logger.Logger.IsLevelEnabled(level) {
		return
	}
	m.logger.WithFields(requestFields(report, request)).Log(level, "A request did not go smoothly.")
}

// requestFields returns the log fields of a request, with the stack trace if it caused a panic.
func requestFields(report *forward.Report, request requestDecision) logrus.Fields {
	fields := logrus.Fields{"id": request.id, "status": request.status, "reason": request.reason, "version": request.version}
	for name, value := range request.inputs() {
		fields[name] = value
	}
	if panicErr := new(forward.PanicError); errors.As(report.Err, &panicErr) {
		fields["stack"] = string(panicErr.Stack)
	}
	return fields
}

// IdleTimeout implements callers.Observer.
func (m *gatewayMetrics) IdleTimeout() { m.set.GetOrCreateCounter(metricIdleTimeouts).Inc() }

// RequestPastIdleTimeout implements callers.Observer.
func (m *gatewayMetrics) RequestPastIdleTimeout() { m.set.GetOrCreateCounter(metricPastIdle).Inc() }

// recentChange is the time after a change of the configuration within which requests count as ended beside it: the time that gateways may take
// to apply a change, and a second.
const recentChange = 3 * time.Second

// countUnanswered counts a request whose caller got no complete response.
func (m *gatewayMetrics) countUnanswered(report *forward.Report) {
	name := fmt.Sprintf(`%s{reason=%q,recent_change="%t",closed_by=%q}`, metricUnanswered, report.Reason, report.ConfigurationAge < recentChange,
		report.ClosedBy)
	m.set.GetOrCreateCounter(name).Inc()
}

// recordUnanswered counts and logs a request whose connection ended before a complete response. The line is a warning
// unless the caller closed the connection.
func (m *gatewayMetrics) recordUnanswered(report *forward.Report, request requestDecision) {
	m.countUnanswered(report)
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
	m.logger.WithFields(requestFields(report, request)).Log(level, "A connection ended with its request unanswered.")
}

// unansweredReason returns the rate limiting key of log lines about unanswered requests.
func unansweredReason(closedBy forward.Closer) forward.Reason {
	return forward.Reason("unanswered: " + closedBy.String())
}

// RequestNotHandled implements callers.Observer.
func (m *gatewayMetrics) RequestNotHandled(closedBy forward.Closer, peer string, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{closed_by=%q}`, metricUnanswered, closedBy)).Inc()
	if !m.allowLog(unansweredReason(closedBy)) {
		return
	}
	m.logger.WithFields(logrus.Fields{
		"closed_by": closedBy.String(), "step": "read the head", "peer": peer, "took_ms": elapsed.Milliseconds(), "passed_on_to": "",
	}).Info("A connection ended with its request unanswered.")
}

// HeaderRefused implements callers.Observer.
func (m *gatewayMetrics) HeaderRefused(refusal callers.HeaderRefusal, status int, peer string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{reason=%q,status="%d"}`, metricHeaderRefused, refusal, status)).Inc()
	if !m.allowLog(forward.Reason(refusal)) {
		return
	}
	m.logger.WithFields(logrus.Fields{"reason": string(refusal), "status": status, "peer": peer}).Info("A request was refused before its head was read.")
}

// Evicted implements callers.Observer.
func (m *gatewayMetrics) Evicted(eviction callers.Eviction) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{reason=%q,awaits=%q}`, metricEvicted, eviction.Reason, eviction.Phase)).Inc()
	if !m.allowLog(forward.Reason("eviction: " + eviction.Reason)) {
		return
	}
	m.logger.WithFields(logrus.Fields{
		"reason": string(eviction.Reason), "peer": eviction.Peer, "awaits": eviction.Phase, "waited_ms": eviction.Waited.Milliseconds(),
	}).Info("A connection lost its place, because it waited longest for its caller.")
}

// unreadReason is the rate limiting key of log lines about unread bytes.
const unreadReason forward.Reason = "unread bytes"

// Unread implements callers.Observer.
func (m *gatewayMetrics) Unread(bytes callers.UnreadBytes) {
	m.set.GetOrCreateCounter(metricUnread).Inc()
	if !m.allowLog(unreadReason) {
		return
	}
	m.logger.WithFields(logrus.Fields{
		"peer": bytes.Peer, "awaits": bytes.Phase, "bytes": bytes.Count, "waited_ms": bytes.Waited.Milliseconds(),
	}).Warn("Bytes of a caller have arrived and are not read.")
}

// RequestAfterClose implements callers.Observer.
func (m *gatewayMetrics) RequestAfterClose(closedBy forward.Closer, peer string, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{closed_by=%q}`, metricAfterClose, closedBy)).Inc()
	if !m.allowLog(forward.Reason("after close: " + closedBy.String())) {
		return
	}
	m.logger.WithFields(logrus.Fields{
		"closed_by": closedBy.String(), "peer": peer, "after_ms": elapsed.Milliseconds(),
	}).Info("A request came after the close of its connection.")
}

// ServeHTTP implements http.Handler.
func (m *gatewayMetrics) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(writer)
	if m.budgets != nil {
		writeBudgets(writer, m.budgets())
	}
	if m.writeFleetTasks != nil {
		m.writeFleetTasks(writer)
	}
	if m.workersByVersion != nil {
		writeWorkerVersions(writer, m.workersByVersion())
	}
}
