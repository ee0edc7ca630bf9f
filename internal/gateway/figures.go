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
type figures struct {
	set       *metrics.Set
	decisions *decisionlog.Log
	logger    *logrus.Entry
	// choice and candidates are those of choices of workers.
	choice, candidates *metrics.Histogram
	// budgets returns the budgets of repeats; nil returns none.
	budgets func() []forward.BudgetView
	// notices tells which tries went to workers against what these had said; nil tells none.
	notices *notices
	// workerLimits counts the tries that went to workers with limits; nil counts none.
	workerLimits *workerLimits
	// duties writes the figures of what this gateway does for all; nil writes none.
	duties func(w io.Writer)

	// mu guards the bounds of log lines.
	mu     sync.Mutex
	bounds map[forward.Reason]*rate.Limiter
}

// newFigures returns figures that are all zero.
func newFigures(decisions *decisionlog.Log, logger *logrus.Logger) *figures {
	set := metrics.NewSet()
	return &figures{
		set: set, decisions: decisions, logger: logging.Part(logger, "request"), bounds: map[forward.Reason]*rate.Limiter{},
		choice: set.NewHistogram(metricChoice), candidates: set.NewHistogram(metricCandidates),
	}
}

// watch adds figures that are read when they are asked for.
func (f *figures) watch(g *Gateway) {
	f.set.NewGauge("granitebay_store_age_seconds", func() float64 { return g.view.Staleness().Seconds() })
	f.set.NewGauge("granitebay_gateways", func() float64 { return float64(len(g.view.Serving())) })
	f.set.NewGauge("granitebay_gateways_reachable", func() float64 { return float64(len(g.view.Reachable())) })
	f.set.NewGauge("granitebay_workers_known", func() float64 { return float64(g.knownWorkers()) })
	f.set.NewGauge("granitebay_unreadable_items_total", func() float64 { return float64(g.view.Unreadable()) })
	f.set.NewGauge(metricBarred, func() float64 { return float64(len(g.bars.guard.Bars())) })
	f.set.NewGauge("granitebay_requests_in_hand", func() float64 { return float64(g.handler.Active()) })
	f.budgets = g.dispatcher.Budgets
}

// Names of the figures of what grows with the fleet.
const (
	metricStoreCalls = "granitebay_store_calls_total"
	metricChoice     = "granitebay_choice_seconds"
	metricCandidates = "granitebay_choice_candidates"
	// metricRestored counts returns of the store from an older copy, and metricOutdated answers of before that came after one.
	metricRestored = "granitebay_store_restored_total"
	metricOutdated = "granitebay_store_answers_outdated_total"
)

// storeRestored counts a return of the store.
func (f *figures) storeRestored() { f.set.GetOrCreateCounter(metricRestored).Inc() }

// storeCalled counts a call to the store.
func (f *figures) storeCalled(call store.Call, _ time.Duration, err error) {
	f.set.GetOrCreateCounter(fmt.Sprintf(`%s{call=%q,failed="%t"}`, metricStoreCalls, call, err != nil)).Inc()
	if !errors.Is(err, store.ErrRestored) {
		return
	}
	f.set.GetOrCreateCounter(metricOutdated).Inc()
	if f.mayLog(outdatedReason) {
		f.logger.WithError(err).WithField("call", call).Warn("An answer of the store is of before it came back from an older copy, and is not taken.")
	}
}

// outdatedReason is the reason under which the lines about such answers are bounded.
const outdatedReason forward.Reason = "outdated answer of the store"

// chosen notes how long the choice of workers for a request took, and how many were looked at last.
func (f *figures) chosen(took time.Duration, candidates int) {
	f.choice.Update(took.Seconds())
	f.candidates.Update(float64(candidates))
}

// workerEnded counts a worker of a group that ended under requests.
func (f *figures) workerEnded(group string) {
	f.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q}`, metricWorkerEnds, group)).Inc()
}

// Names of the figures of what workers say of themselves in their answers.
const (
	metricNotices           = "granitebay_worker_notices_total"
	metricNoticesUnreadable = "granitebay_worker_notices_unreadable_total"
	// metricAgainstNotice counts tries that were sent to workers which had said that they want none.
	metricAgainstNotice = "granitebay_tries_against_notice_total"
	// metricUnderLimit counts tries that were sent to workers while these named limits.
	metricUnderLimit = "granitebay_tries_under_limit_total"
)

// noticeHeard counts what a worker of a group said of itself.
func (f *figures) noticeHeard(group, what string) {
	f.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q,notice=%q}`, metricNotices, group, what)).Inc()
}

// noticeUnreadable counts an answer in which a worker said of itself what can't be read.
func (f *figures) noticeUnreadable() { f.set.GetOrCreateCounter(metricNoticesUnreadable).Inc() }

// countAgainstNotices counts the tries of a request that went to workers which had said that they want none.
func (f *figures) countAgainstNotices(report *forward.Report) {
	if f.notices == nil {
		return
	}
	for _, try := range report.Tries {
		for _, sent := range []struct {
			worker string
			at     time.Time
		}{{try.Reader, try.Begun}, {try.Worker, try.Begun.Add(try.ReadIn)}} {
			if f.workerLimits.count(sent.worker, sent.at) {
				f.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q}`, metricUnderLimit, report.Group)).Inc()
			}
			if what := f.notices.against(sent.worker, sent.at); what != "" {
				f.set.GetOrCreateCounter(fmt.Sprintf(`%s{group=%q,notice=%q}`, metricAgainstNotice, report.Group, what)).Inc()
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
	for _, each := range budgets {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{group=%q,outcome="granted"}`, metricRepeats, each.Group), uint64(each.Granted))
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{group=%q,outcome="denied"}`, metricRepeats, each.Group), uint64(each.Denied))
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`%s{group=%q}`, metricRepeatsLeft, each.Group), each.Left)
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`%s{group=%q}`, metricRepeatsSharers, each.Group), uint64(each.Sharers))
	}
}

// Names of the figures of duties.
const (
	metricWindows = "granitebay_usage_windows_total"
	metricWorkers = "granitebay_workers"
	metricBusy    = "granitebay_workers_busy"
)

// watchDuties adds the figures of what this gateway does for all.
func (f *figures) watchDuties(reporter *usage.Reporter, executor *capacity.Executor) {
	f.duties = func(w io.Writer) {
		if reporter != nil {
			writeWindows(w, reporter.Figures())
		}
		if executor != nil {
			writeWorkers(w, executor.Status())
		}
	}
}

// writeWindows writes what became of windows of usage.
func writeWindows(w io.Writer, counted usage.Figures) {
	for _, each := range []struct {
		outcome string
		n       int
	}{
		{"agreed", counted.Agreed}, {"sent", counted.Sent}, {"late", counted.Late}, {"failed", counted.Failed},
		{"superseded", counted.Refused},
	} {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%s{outcome=%q}`, metricWindows, each.outcome), uint64(each.n))
	}
}

// writeWorkers writes how many workers there are and should be.
func writeWorkers(w io.Writer, groups []capacity.Status) {
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
func (f *figures) RequestEnded(report *forward.Report) {
	name := fmt.Sprintf(`%s{rule=%q,status="%d",reason=%q}`, metricRequests, report.Rule, report.Status, report.Reason)
	f.set.GetOrCreateCounter(name).Inc()
	if !report.FirstByte.IsZero() {
		name = fmt.Sprintf(`%s{rule=%q}`, metricFirstByte, report.Rule)
		f.set.GetOrCreateHistogram(name).Update(report.FirstByte.Sub(report.Arrived).Seconds())
	}
	for _, try := range report.Tries {
		name = fmt.Sprintf(`%s{group=%q,failure=%q}`, metricTries, report.Group, try.Failure)
		f.set.GetOrCreateCounter(name).Inc()
		if try.Deferred {
			f.set.GetOrCreateCounter(fmt.Sprintf(`%s{rule=%q}`, metricDeferred, report.Rule)).Inc()
		}
	}
	f.countAgainstNotices(report)
	entry := entryOf(report)
	f.decisions.Append(report.Ended, entry)
	if report.Unanswered {
		f.unanswered(report, entry)
		return
	}
	if !entry.smooth() && f.mayLog(report.Reason) {
		f.log(entry)
	}
}

// Bounds of the lines about requests with one reason.
const (
	linesPerSecond = 20
	linesAtOnce    = 200
)

// mayLog takes a line from the bound of a reason. What is left out is counted; decisions have it all the same.
func (f *figures) mayLog(reason forward.Reason) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	bound, known := f.bounds[reason]
	if !known {
		bound = rate.NewLimiter(linesPerSecond, linesAtOnce)
		f.bounds[reason] = bound
	}
	if bound.Allow() {
		return true
	}
	f.set.GetOrCreateCounter(fmt.Sprintf(`%s{reason=%q}`, metricLinesLeftOut, reason)).Inc()
	return false
}

// log writes one line about a request that did not go smoothly.
func (f *figures) log(entry requestEntry) {
	if !f.logger.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	f.logger.WithFields(requestFields(entry)).Info("A request did not go smoothly.")
}

// requestFields returns what a line tells of a request.
func requestFields(entry requestEntry) logrus.Fields {
	fields := logrus.Fields{"id": entry.id, "status": entry.status, "reason": entry.reason, "version": entry.version}
	for name, value := range entry.inputs() {
		fields[name] = value
	}
	return fields
}

// RestedOut is part of callers.Observer.
func (f *figures) RestedOut() { f.set.GetOrCreateCounter(metricRestedOut).Inc() }

// countUnanswered counts a request whose caller got no whole answer.
func (f *figures) countUnanswered(closedBy forward.Closer) {
	f.set.GetOrCreateCounter(fmt.Sprintf(`%s{closed_by=%q}`, metricUnanswered, closedBy)).Inc()
}

// unanswered counts a request whose connection ended before its caller had a whole answer, and writes a line about it. Callers that leave
// are told at the level of other requests that did not go smoothly; what this side did is a warning.
func (f *figures) unanswered(report *forward.Report, entry requestEntry) {
	f.countUnanswered(report.ClosedBy)
	if !f.mayLog(unansweredReason(report.ClosedBy)) {
		return
	}
	level := logrus.InfoLevel
	if report.ClosedBy != forward.CloserCaller {
		level = logrus.WarnLevel
	}
	if !f.logger.Logger.IsLevelEnabled(level) {
		return
	}
	fields := requestFields(entry)
	if fault := new(forward.PanicError); errors.As(report.Err, &fault) {
		fields["stack"] = string(fault.Stack)
	}
	f.logger.WithFields(fields).Log(level, "A connection ended with its request unanswered.")
}

// unansweredReason is the reason under which the lines about unanswered requests are bounded, apart from others.
func unansweredReason(closedBy forward.Closer) forward.Reason {
	return forward.Reason("unanswered: " + closedBy.String())
}

// HeadUnanswered is part of callers.Observer. It counts the request, and writes a line.
func (f *figures) HeadUnanswered(closedBy forward.Closer, peer string, inHand time.Duration) {
	f.countUnanswered(closedBy)
	if !f.mayLog(unansweredReason(closedBy)) {
		return
	}
	f.logger.WithFields(logrus.Fields{
		"closed_by": closedBy.String(), "step": "read the head", "peer": peer, "took_ms": inHand.Milliseconds(), "passed_on_to": "",
	}).Info("A connection ended with its request unanswered.")
}

// ServeHTTP is part of http.Handler.
func (f *figures) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	f.set.WritePrometheus(writer)
	if f.budgets != nil {
		writeBudgets(writer, f.budgets())
	}
	if f.duties != nil {
		f.duties(writer)
	}
}
