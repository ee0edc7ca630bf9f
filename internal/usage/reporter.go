package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/store"
)

// ErrSuperseded is returned by a Sender when the platform has seen a higher fence, the fencing token of the leader's
// authority: another gateway has become the leader.
var ErrSuperseded = errors.New("another holder has a higher fence")

// Sender sends reports to the platform.
type Sender interface {
	// SendUsage returns nil once the report was accepted. After any other error than ErrSuperseded it may still be
	// accepted.
	SendUsage(ctx context.Context, holder string, fence int64, report Report) error
}

// Settings configures a reporter.
type Settings struct {
	// Holder is the name of the process, unique in the fleet.
	Holder string
	// Window is the length of a window, and LateAfter the time after its end from which on a report counts as late.
	Window, LateAfter time.Duration
	// SettleDelay is how long after its end a window is finalized. By then all gateways have sent their counts.
	SettleDelay time.Duration
	// CollectDelay is how long after it acquired the authority a process starts to finalize windows. By then the other
	// gateways know the new leader and have sent it their counts.
	CollectDelay time.Duration
	// StepInterval is the interval between steps, and MaxBackoff bounds the exponential backoff after failed calls.
	StepInterval, MaxBackoff time.Duration
	// CallTimeout is the timeout of one call.
	CallTimeout time.Duration
}

// DefaultSettings returns settings without a holder and windows.
func DefaultSettings() Settings {
	return Settings{
		// The interval of full messages (peersync.Settings.FullEvery), and time for their delivery.
		SettleDelay: 1200 * time.Millisecond,
		// Standby gateways learn of the new leader with their next poll of the change feed and then send all counts with
		// their next full message.
		CollectDelay: 1900 * time.Millisecond,
		StepInterval: 250 * time.Millisecond,
		MaxBackoff:   2 * time.Second,
		CallTimeout:  1500 * time.Millisecond,
	}
}

// Reporter finalizes and reports windows while this process has the authority.
type Reporter struct {
	settings Settings
	store    store.Store
	sender   Sender
	tally    *Tally
	now      func() time.Time
	// authority returns the fence of this process, and whether it may make calls.
	authority      func() (int64, bool)
	logger         logrus.FieldLogger
	recordDecision func(decision.Record)

	// The following fields are used only by the goroutine that calls Step.
	fence           int64
	authoritySince  time.Time
	supersededFence int64
	// ledgerKnown is set once the ledger was read under the current fence.
	ledgerKnown bool
	// ledger is the ledger as last read or written, and revision its revision in the store.
	ledger   Ledger
	revision store.Revision
	backoff  time.Duration
	retryAt  time.Time

	// mu guards the following fields.
	mu sync.Mutex
	// acceptedAt holds when the platform accepted reports from this process, by window, for those that are still in
	// the ledger.
	acceptedAt map[int64]time.Time
	// newestLedger is the newest ledger known to have been stored. After a restore from a backup the store may hold an
	// older one.
	newestLedger Ledger
	stats        Stats
}

// Stats counts the results of a reporter.
type Stats struct {
	// Finalized and Sent count windows. Late counts those that were sent late.
	Finalized, Sent, Late int
	// Failed counts steps that failed, and Superseded the losses of authority that the platform reported.
	Failed, Superseded int
}

// NewReporter returns a reporter. It does nothing until Run or Step is called. now returns the time of day.
func NewReporter(
	settings Settings, store store.Store, sender Sender, tally *Tally, now func() time.Time, authority func() (int64, bool),
	logger logrus.FieldLogger, recordDecision func(decision.Record),
) *Reporter {
	return &Reporter{
		settings: settings, store: store, sender: sender, tally: tally, now: now, authority: authority, logger: logger, recordDecision: recordDecision,
		acceptedAt: map[int64]time.Time{},
	}
}

// Stats returns the counts so far.
func (r *Reporter) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// updateStats updates the counts under the mutex.
func (r *Reporter) updateStats(update func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.stats)
}

// Run performs steps until the context is canceled.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(r.settings.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Step(ctx, time.Now())
		}
	}
}

// Step finalizes the windows that are over and reports those that are finalized. now is the
// time of the process, for timeouts; windows are determined by the time of day given to NewReporter.
func (r *Reporter) Step(ctx context.Context, now time.Time) {
	fence, allowed := r.authority()
	if !allowed || fence == r.supersededFence || now.Before(r.retryAt) {
		return
	}
	if fence != r.fence {
		r.fence, r.authoritySince, r.ledgerKnown = fence, now, false
	}
	if err := r.process(ctx, now.Sub(r.authoritySince) >= r.settings.CollectDelay); err != nil {
		r.handleError(now, err)
		return
	}
	r.backoff = 0
}

// handleError logs an error and delays the next step, or stops under the current fence if it is superseded.
func (r *Reporter) handleError(now time.Time, err error) {
	if errors.Is(err, ErrSuperseded) {
		r.supersededFence = r.fence
		r.updateStats(func(f *Stats) { f.Superseded++ })
		r.logger.WithField("fence", r.fence).Warn("Another gateway has taken over usage reporting.")
		return
	}
	r.updateStats(func(f *Stats) { f.Failed++ })
	r.backoff = min(max(2*r.backoff, r.settings.StepInterval), r.settings.MaxBackoff)
	r.retryAt = now.Add(r.backoff)
	r.logger.WithError(err).WithField("retry_in", r.backoff).Warn("Cannot report usage. Retrying.")
}

// process reads the ledger if needed, finalizes windows if the counts of all gateways are complete, and sends the reports
// in the ledger.
func (r *Reporter) process(ctx context.Context, countsComplete bool) error {
	if !r.ledgerKnown {
		if err := r.readLedger(ctx); err != nil {
			return err
		}
	}
	if !countsComplete {
		return r.sendReports(ctx)
	}
	if err := r.finalizeWindows(ctx); err != nil {
		// The ledger may have changed, or a late commit may still change it.
		r.ledgerKnown = false
		return err
	}
	return r.sendReports(ctx)
}

// readLedger reads the ledger, and writes the newest known one again if the store holds an older one.
func (r *Reporter) readLedger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	items, _, err := r.store.List(ctx, Key)
	if err != nil {
		return errors.Wrap(err, "read usage ledger")
	}
	r.ledger, r.revision = Ledger{Next: WindowAt(r.now(), r.settings.Window)}, 0
	for _, item := range items {
		if item.Key != Key {
			continue
		}
		r.revision = item.Revision
		ledger, err := DecodeLedger(item.Value)
		if err != nil {
			ledger = r.lastKnownLedger()
			r.logger.WithError(err).WithFields(logrus.Fields{
				"key": Key, "value": string(item.Value[:min(len(item.Value), maxLoggedValueBytes)]), "revision": item.Revision.Number(), "next": ledger.Next,
			}).Warn(
				"The usage ledger can't be read, so no gateway wrote it. It is replaced by the newest known one.")
		}
		r.ledger = ledger
	}
	r.ledgerKnown = true
	return r.restoreLedger(ctx)
}

// maxLoggedValueBytes bounds the part of an unreadable ledger that is logged.
const maxLoggedValueBytes = 64

// lastKnownLedger returns the newest ledger known to have been stored. Without one, reports begin with the present window, as in a new fleet.
func (r *Reporter) lastKnownLedger() Ledger {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newestLedger.Next > 0 {
		return r.newestLedger
	}
	return Ledger{Next: WindowAt(r.now(), r.settings.Window)}
}

// ObserveLedger records a ledger that the store holds.
func (r *Reporter) ObserveLedger(ledger Ledger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ledger.Next > r.newestLedger.Next {
		r.newestLedger = ledger
	}
}

// restoreLedger writes the newest known ledger again if the store holds an older one, since its windows are final and
// may have been reported.
func (r *Reporter) restoreLedger(ctx context.Context) error {
	r.mu.Lock()
	newest := r.newestLedger
	r.mu.Unlock()
	if newest.Next <= r.ledger.Next {
		return nil
	}
	r.logger.WithFields(logrus.Fields{"stored_next": r.ledger.Next, "known_next": newest.Next}).Warn("The store holds an older usage ledger. Writing the newest one again.")
	r.ledgerKnown = false
	if err := r.writeLedger(ctx, newest); err != nil {
		return err
	}
	r.ledgerKnown = true
	return nil
}

// writeLedger replaces the ledger, unless it has changed in the store since it was last read or written.
func (r *Reporter) writeLedger(ctx context.Context, updated Ledger) error {
	value, err := json.Marshal(updated)
	if err != nil {
		return errors.Wrap(err, "encode usage ledger")
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	revision, err := r.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: Key, Revision: r.revision}}, Puts: []store.Put{{Key: Key, Value: value}},
	})
	if err != nil {
		return errors.Wrap(err, "write usage ledger")
	}
	r.ledger, r.revision = updated, revision
	r.ObserveLedger(updated)
	return nil
}

// maxWindowsPerStep bounds the windows that are finalized in one step.
const maxWindowsPerStep = 24

// finalizeWindows stores the reports of settled windows, at most maxWindowsPerStep.
func (r *Reporter) finalizeWindows(ctx context.Context) error {
	reports := r.settledReports()
	if len(reports) == 0 {
		return nil
	}
	updated := r.ledger.withReports(reports, r.isAccepted)
	if err := r.writeLedger(ctx, updated); err != nil {
		return err
	}
	r.pruneAccepted()
	r.tally.Finalized(updated.Next)
	r.updateStats(func(f *Stats) { f.Finalized += len(reports) })
	return nil
}

// pruneAccepted removes the windows that are no longer in the ledger from acceptedAt.
func (r *Reporter) pruneAccepted() {
	pending := lo.SliceToMap(r.ledger.Reports, func(report Report) (int64, bool) { return report.Window, true })
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.acceptedAt, func(window int64, _ time.Time) bool { return !pending[window] })
}

// settledReports returns the reports of the next windows that ended at least SettleDelay ago, at most maxWindowsPerStep.
func (r *Reporter) settledReports() []Report {
	var reports []Report
	settled := r.now().Add(-r.settings.SettleDelay)
	first := max(r.ledger.Next, WindowAt(settled, r.settings.Window)-maxOpenWindows)
	if missed := first - r.ledger.Next; missed > 0 {
		r.logger.WithFields(logrus.Fields{"windows": missed, "first": r.ledger.Next}).Error("Windows are too old to report: no gateway has kept their counts.")
	}
	for window := first; len(reports) < maxWindowsPerStep && !windowEnd(window, r.settings.Window).After(settled); window++ {
		reports = append(reports, Report{Window: window, Requests: r.tally.Sum(window)})
	}
	return reports
}

// sendReports sends the reports of the finalized windows, oldest first. A failed one does not block the others.
func (r *Reporter) sendReports(ctx context.Context) error {
	var failures error
	for _, report := range r.ledger.Reports {
		if r.isAccepted(report.Window) {
			continue
		}
		if fence, allowed := r.authority(); !allowed || fence != r.fence {
			break
		}
		err := r.sendReport(ctx, report)
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		failures = errors.CombineErrors(failures, err)
	}
	return failures
}

// sendReport sends the report of one window.
func (r *Reporter) sendReport(ctx context.Context, report Report) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	if err := r.sender.SendUsage(ctx, r.settings.Holder, r.fence, report); err != nil {
		return errors.Wrapf(err, "report window %d", report.Window)
	}
	now := r.now()
	delay := now.Sub(windowEnd(report.Window, r.settings.Window))
	r.mu.Lock()
	r.acceptedAt[report.Window] = now
	r.stats.Sent++
	if delay > r.settings.LateAfter {
		r.stats.Late++
	}
	r.mu.Unlock()
	r.recordReport(report, delay)
	return nil
}

// isAccepted reports whether the platform accepted the report of a window from this process.
func (r *Reporter) isAccepted(window int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, accepted := r.acceptedAt[window]
	return accepted
}

// recordReport records a report as a decision.
func (r *Reporter) recordReport(report Report, delay time.Duration) {
	total := lo.Sum(lo.Values(report.Requests))
	r.recordDecision(decision.Record{
		Kind: decision.KindUsage, Subject: fmt.Sprint("window ", report.Window), Outcome: "reported", Fence: r.fence,
		Reason: "The window is finalized in the store.",
		Inputs: map[string]string{
			"requests": fmt.Sprint(total), "tenants": fmt.Sprint(len(report.Requests)), "after_ms": fmt.Sprint(delay.Milliseconds()),
		},
	})
}
