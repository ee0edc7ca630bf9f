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
	authority func() (int64, bool)
	logger    logrus.FieldLogger
	decide    func(decision.Record)

	// What follows is used by one goroutine, but for what mu guards.
	fence   int64
	since   time.Time
	refused int64
	// known is set once the ledger was read under the fence.
	known    bool
	ledger   Ledger
	revision store.Revision
	pause    time.Duration
	callFrom time.Time

	mu sync.Mutex
	// taken are the windows whose reports the platform has taken from this process, with the time; those that the ledger still has.
	taken map[int64]time.Time
	// heard is the newest ledger that the store is known to have held. It may hold an older one, after it has come back from a copy.
	heard   Ledger
	figures Figures
}

// Figures of a reporter.
type Figures struct {
	Agreed, Sent, Late, Failed, Refused int
}

// NewReporter returns a reporter that does nothing before Run. Now is the time of day.
func NewReporter(
	settings Settings, store store.Store, sender Sender, tally *Tally, now func() time.Time, authority func() (int64, bool),
	logger logrus.FieldLogger, decide func(decision.Record),
) *Reporter {
	return &Reporter{
		settings: settings, store: store, sender: sender, tally: tally, now: now, authority: authority, logger: logger, decide: decide,
		taken: map[int64]time.Time{},
	}
}

// Figures returns what was done so far.
func (r *Reporter) Figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.figures
}

// count changes the figures.
func (r *Reporter) count(change func(*Figures)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.figures)
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
func (r *Reporter) Step(ctx context.Context, moment time.Time) {
	fence, may := r.authority()
	if !may || fence == r.refused || moment.Before(r.callFrom) {
		return
	}
	if fence != r.fence {
		r.fence, r.since, r.known = fence, moment, false
	}
	if err := r.work(ctx, moment.Sub(r.since) >= r.settings.Hear); err != nil {
		r.failed(moment, err)
		return
	}
	r.pause = 0
}

// failed notes a failure and puts off the next call.
func (r *Reporter) failed(moment time.Time, err error) {
	if errors.Is(err, ErrSuperseded) {
		r.refused = r.fence
		r.count(func(f *Figures) { f.Refused++ })
		r.logger.WithField("fence", r.fence).Warn("Another gateway reports the usage. This one stops.")
		return
	}
	r.count(func(f *Figures) { f.Failed++ })
	r.pause = min(max(2*r.pause, r.settings.Tick), r.settings.LongestPause)
	r.callFrom = moment.Add(r.pause)
	r.logger.WithError(err).WithField("pause", r.pause).Warn("The usage was not reported. It is tried again.")
}

// work does what is due. Before all were heard it sends what others have agreed on.
func (r *Reporter) work(ctx context.Context, heard bool) error {
	if !r.known {
		if err := r.read(ctx); err != nil {
			return err
		}
	}
	if !heard {
		return r.send(ctx)
	}
	if err := r.agree(ctx); err != nil {
		// The ledger may have changed, or may yet.
		r.known = false
		return err
	}
	return r.send(ctx)
}

// read reads the ledger.
func (r *Reporter) read(ctx context.Context) error {
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
	r.known = true
	return r.restore(ctx)
}

// Heard takes a ledger that the store holds.
func (r *Reporter) Heard(ledger Ledger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ledger.Next > r.heard.Next {
		r.heard = ledger
	}
}

// restore writes the newest ledger again if the store holds an older one: its windows are agreed on, and may be reported.
func (r *Reporter) restore(ctx context.Context) error {
	r.mu.Lock()
	heard := r.heard
	r.mu.Unlock()
	if heard.Next <= r.ledger.Next {
		return nil
	}
	r.logger.WithFields(logrus.Fields{"held": r.ledger.Next, "known": heard.Next}).Warn("The store holds an older ledger of the usage. It is written again.")
	r.known = false
	if err := r.write(ctx, heard); err != nil {
		return err
	}
	r.known = true
	return nil
}

// write writes a ledger in place of the one that was read.
func (r *Reporter) write(ctx context.Context, next Ledger) error {
	value, err := json.Marshal(next)
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
	r.ledger, r.revision = next, revision
	r.Heard(next)
	return nil
}

// mostAtOnce bounds the windows that are agreed on in one step.
const mostAtOnce = 24

// agree writes the windows that are over into the store.
func (r *Reporter) agree(ctx context.Context) error {
	added := r.due()
	if len(added) == 0 {
		return nil
	}
	next := r.ledger.with(added, r.isTaken)
	if err := r.write(ctx, next); err != nil {
		return err
	}
	r.forgetTaken()
	r.tally.Agreed(next.Next)
	r.count(func(f *Figures) { f.Agreed += len(added) })
	return nil
}

// forgetTaken drops the windows that the ledger does not have any more.
func (r *Reporter) forgetTaken() {
	listed := lo.SliceToMap(r.ledger.Reports, func(report Report) (int64, bool) { return report.Window, true })
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.taken, func(window int64, _ time.Time) bool { return !listed[window] })
}

// due returns the sums of the windows that are over and settled.
func (r *Reporter) due() []Report {
	var due []Report
	settled := r.now().Add(-r.settings.Settle)
	first := max(r.ledger.Next, WindowAt(settled, r.settings.Window)-keptWindows)
	if missed := first - r.ledger.Next; missed > 0 {
		r.logger.WithField("windows", missed).Error("Windows are too long ago: nobody has kept their counts.")
	}
	for window := first; len(due) < mostAtOnce && !endOf(window, r.settings.Window).After(settled); window++ {
		due = append(due, Report{Window: window, Requests: r.tally.Sum(window)})
	}
	return due
}

// send reports the windows that are agreed on, the oldest first. One that gets no answer does not hold up the others.
func (r *Reporter) send(ctx context.Context) error {
	var failed error
	for _, report := range r.ledger.Reports {
		if r.isTaken(report.Window) {
			continue
		}
		if fence, may := r.authority(); !may || fence != r.fence {
			break
		}
		err := r.sendOne(ctx, report)
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		failed = errors.CombineErrors(failed, err)
	}
	return failed
}

// sendOne reports one window.
func (r *Reporter) sendOne(ctx context.Context, report Report) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	if err := r.sender.SendUsage(ctx, r.settings.Holder, r.fence, report); err != nil {
		return errors.Wrapf(err, "step report window %d", report.Window)
	}
	now := r.now()
	late := now.Sub(endOf(report.Window, r.settings.Window))
	r.mu.Lock()
	r.taken[report.Window] = now
	r.figures.Sent++
	if late > r.settings.Due {
		r.figures.Late++
	}
	r.mu.Unlock()
	r.note(report, late)
	return nil
}

// isTaken tells whether the platform has taken the report of a window from this process.
func (r *Reporter) isTaken(window int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, taken := r.taken[window]
	return taken
}

// note records a report as a decision.
func (r *Reporter) note(report Report, after time.Duration) {
	total := lo.Sum(lo.Values(report.Requests))
	r.decide(decision.Record{
		Kind: decision.KindUsage, Subject: fmt.Sprint("window ", report.Window), Outcome: "reported", Fence: r.fence,
		Reason: "The window is over, and the store holds its counts.",
		Inputs: map[string]string{
			"requests": fmt.Sprint(total), "tenants": fmt.Sprint(len(report.Requests)), "after_ms": fmt.Sprint(after.Milliseconds()),
		},
	})
}
