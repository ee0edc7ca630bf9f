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

// ErrSuperseded is returned by a Sender when a call with a higher fence was seen: the holder has lost its authority.
var ErrSuperseded = errors.New("another holder has a higher fence")

// Sender carries reports to the platform.
type Sender interface {
	// SendUsage returns nil once the report was taken. After other errors it may be taken later.
	SendUsage(ctx context.Context, holder string, fence int64, report Report) error
}

// Settings of a reporter.
type Settings struct {
	// Holder is the name of the process, unique in the fleet.
	Holder string
	// Window is the length of the windows, and Due how long after its end the report of a window is wanted.
	Window, Due time.Duration
	// Settle is how long after its end a window is agreed on: until then all have told what they counted.
	Settle time.Duration
	// Hear is how long after it got the authority a process agrees on windows: until then the others have learnt of it and told it
	// what they counted.
	Hear time.Duration
	// Tick is how often windows are looked at, and LongestPause bounds the pause after failed calls, which doubles.
	Tick, LongestPause time.Duration
	// CallTimeout bounds one call.
	CallTimeout time.Duration
}

// DefaultSettings returns settings without a holder and windows.
func DefaultSettings() Settings {
	return Settings{
		// A message that tells everything each second, and its way.
		Settle: 1200 * time.Millisecond,
		// Those that stand by hear of the new holder within a question to the feed (0.7 s), and then tell everything within a second.
		Hear:         1900 * time.Millisecond,
		Tick:         250 * time.Millisecond,
		LongestPause: 2 * time.Second,
		CallTimeout:  1500 * time.Millisecond,
	}
}

// Reporter reports windows while this process has the authority.
type Reporter struct {
	settings Settings
	store    store.Store
	sender   Sender
	tally    *Tally
	now      func() time.Time
	// authority tells whether this process may call, and its fence.
	authority      func() (int64, bool)
	logger         logrus.FieldLogger
	recordDecision func(decision.Record)

	// What follows is used by one goroutine, but for what mu guards.
	fence           int64
	authoritySince  time.Time
	supersededFence int64
	// known is set once the ledger was read under the fence.
	ledgerKnown bool
	ledger      Ledger
	revision    store.Revision
	backoff     time.Duration
	retryAt     time.Time

	mu sync.Mutex
	// taken are the windows whose reports the platform has taken from this process, with the time; those that the ledger still has.
	acceptedAt map[int64]time.Time
	// heard is the newest ledger that the store is known to have held. It may hold an older one, after it has come back from a copy.
	newestLedger Ledger
	figures      Figures
}

// Figures of a reporter.
type Figures struct {
	Agreed, Sent, Late, Failed, Refused int
}

// NewReporter returns a reporter that does nothing before Run. Now is the time of day.
func NewReporter(
	settings Settings, store store.Store, sender Sender, tally *Tally, now func() time.Time, authority func() (int64, bool),
	logger logrus.FieldLogger, recordDecision func(decision.Record),
) *Reporter {
	return &Reporter{
		settings: settings, store: store, sender: sender, tally: tally, now: now, authority: authority, logger: logger, recordDecision: recordDecision,
		acceptedAt: map[int64]time.Time{},
	}
}

// Figures returns what was done so far.
func (r *Reporter) Figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.figures
}

// count changes the figures.
func (r *Reporter) updateFigures(update func(*Figures)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.figures)
}

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(r.settings.Tick)
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

// Step agrees on the windows that are over, and reports those that are agreed on. The moment is one of the steady clock.
func (r *Reporter) Step(ctx context.Context, now time.Time) {
	fence, allowed := r.authority()
	if !allowed || fence == r.supersededFence || now.Before(r.retryAt) {
		return
	}
	if fence != r.fence {
		r.fence, r.authoritySince, r.ledgerKnown = fence, now, false
	}
	if err := r.process(ctx, now.Sub(r.authoritySince) >= r.settings.Hear); err != nil {
		r.handleError(now, err)
		return
	}
	r.backoff = 0
}

// failed notes a failure and puts off the next call.
func (r *Reporter) handleError(now time.Time, err error) {
	if errors.Is(err, ErrSuperseded) {
		r.supersededFence = r.fence
		r.updateFigures(func(f *Figures) { f.Refused++ })
		r.logger.WithField("fence", r.fence).Warn("Another gateway reports the usage. This one stops.")
		return
	}
	r.updateFigures(func(f *Figures) { f.Failed++ })
	r.backoff = min(max(2*r.backoff, r.settings.Tick), r.settings.LongestPause)
	r.retryAt = now.Add(r.backoff)
	r.logger.WithError(err).WithField("pause", r.backoff).Warn("The usage was not reported. It is tried again.")
}

// work does what is due. Before all were heard it sends what others have agreed on.
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
		// The ledger may have changed, or may yet.
		r.ledgerKnown = false
		return err
	}
	return r.sendReports(ctx)
}

// read reads the ledger.
func (r *Reporter) readLedger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	items, _, err := r.store.List(ctx, Key)
	if err != nil {
		return errors.Wrap(err, "step read the ledger of the usage")
	}
	r.ledger, r.revision = Ledger{Next: WindowAt(r.now(), r.settings.Window)}, 0
	for _, item := range items {
		if item.Key != Key {
			continue
		}
		ledger, err := DecodeLedger(item.Value)
		if err != nil {
			return err
		}
		r.ledger, r.revision = ledger, item.Revision
	}
	r.ledgerKnown = true
	return r.restoreLedger(ctx)
}

// Heard takes a ledger that the store holds.
func (r *Reporter) Heard(ledger Ledger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ledger.Next > r.newestLedger.Next {
		r.newestLedger = ledger
	}
}

// restore writes the newest ledger again if the store holds an older one: its windows are agreed on, and may be reported.
func (r *Reporter) restoreLedger(ctx context.Context) error {
	r.mu.Lock()
	newest := r.newestLedger
	r.mu.Unlock()
	if newest.Next <= r.ledger.Next {
		return nil
	}
	r.logger.WithFields(logrus.Fields{"held": r.ledger.Next, "known": newest.Next}).Warn("The store holds an older ledger of the usage. It is written again.")
	r.ledgerKnown = false
	if err := r.writeLedger(ctx, newest); err != nil {
		return err
	}
	r.ledgerKnown = true
	return nil
}

// write writes a ledger in place of the one that was read.
func (r *Reporter) writeLedger(ctx context.Context, updated Ledger) error {
	value, err := json.Marshal(updated)
	if err != nil {
		return errors.Wrap(err, "step write the ledger of the usage")
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	revision, err := r.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: Key, Revision: r.revision}}, Puts: []store.Put{{Key: Key, Value: value}},
	})
	if err != nil {
		return errors.Wrap(err, "step write the ledger of the usage")
	}
	r.ledger, r.revision = updated, revision
	r.Heard(updated)
	return nil
}

// mostAtOnce bounds the windows that are agreed on in one step.
const maxWindowsPerStep = 24

// agree writes the windows that are over into the store.
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
	r.tally.Agreed(updated.Next)
	r.updateFigures(func(f *Figures) { f.Agreed += len(reports) })
	return nil
}

// forgetTaken drops the windows that the ledger does not have any more.
func (r *Reporter) pruneAccepted() {
	pending := lo.SliceToMap(r.ledger.Reports, func(report Report) (int64, bool) { return report.Window, true })
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.acceptedAt, func(window int64, _ time.Time) bool { return !pending[window] })
}

// due returns the sums of the windows that are over and settled.
func (r *Reporter) settledReports() []Report {
	var reports []Report
	settled := r.now().Add(-r.settings.Settle)
	first := max(r.ledger.Next, WindowAt(settled, r.settings.Window)-maxOpenWindows)
	if missed := first - r.ledger.Next; missed > 0 {
		r.logger.WithField("windows", missed).Error("Windows are too long ago: nobody has kept their counts.")
	}
	for window := first; len(reports) < maxWindowsPerStep && !windowEnd(window, r.settings.Window).After(settled); window++ {
		reports = append(reports, Report{Window: window, Requests: r.tally.Sum(window)})
	}
	return reports
}

// send reports the windows that are agreed on, the oldest first. One that gets no answer does not hold up the others.
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

// sendOne reports one window.
func (r *Reporter) sendReport(ctx context.Context, report Report) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	if err := r.sender.SendUsage(ctx, r.settings.Holder, r.fence, report); err != nil {
		return errors.Wrapf(err, "step report window %d", report.Window)
	}
	now := r.now()
	delay := now.Sub(windowEnd(report.Window, r.settings.Window))
	r.mu.Lock()
	r.acceptedAt[report.Window] = now
	r.figures.Sent++
	if delay > r.settings.Due {
		r.figures.Late++
	}
	r.mu.Unlock()
	r.recordReport(report, delay)
	return nil
}

// isTaken tells whether the platform has taken the report of a window from this process.
func (r *Reporter) isAccepted(window int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, accepted := r.acceptedAt[window]
	return accepted
}

// note records a report as a decision.
func (r *Reporter) recordReport(report Report, delay time.Duration) {
	total := lo.Sum(lo.Values(report.Requests))
	r.recordDecision(decision.Record{
		Kind: decision.KindUsage, Subject: fmt.Sprint("window ", report.Window), Outcome: "reported", Fence: r.fence,
		Reason: "The window is over, and the store holds its counts.",
		Inputs: map[string]string{
			"requests": fmt.Sprint(total), "tenants": fmt.Sprint(len(report.Requests)), "after_ms": fmt.Sprint(delay.Milliseconds()),
		},
	})
}
