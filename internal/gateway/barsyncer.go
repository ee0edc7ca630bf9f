package gateway

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/store"
)

// barSyncer synchronizes bars with the store. A bar rejects requests with one digest, or with one part in their prompts,
// which crashed workers, until it expires. In the store, bars outlive the gateways that created them and reach gateways
// that receive no updates from those or start later.
type barSyncer struct {
	gateway *Gateway
	guard   *poison.Guard
	logger  logrus.FieldLogger

	mu sync.Mutex
	// stored holds the bars in the store, and pending the changes to be made there.
	stored  map[poison.Digest]storedBar
	pending map[poison.Digest]pendingBar
	wake    chan struct{}
}

// storedBar is a bar that the store holds.
type storedBar struct {
	revision store.Revision
	until    time.Time
}

// pendingBar is a change to be written to the store.
type pendingBar struct {
	bar poison.Bar
	// remove is set when the bar is to be deleted.
	remove bool
	due    time.Time
}

// Timing of store updates.
const (
	// barRetryDelay is the delay before a failed change is retried.
	barRetryDelay = 500 * time.Millisecond
	// remoteBarDelay is how long a gateway waits before it writes a bar reported by another one, in case that one has
	// terminated or is cut off from the store.
	remoteBarDelay = 1500 * time.Millisecond
	// barCommitTimeout bounds one change.
	barCommitTimeout = time.Second
	// barCleanupInterval is how often the leader removes old bars, and barRetention how long expired bars are kept:
	// until then, one more worker crash under the request, or under one with the part, bars it again.
	barCleanupInterval = time.Minute
	barRetention       = 24 * time.Hour
)

// newBarSyncer returns a syncer with its guard.
func newBarSyncer(g *Gateway, prober poison.Prober) *barSyncer {
	b := &barSyncer{
		gateway: g, logger: logging.Component(g.logger, "poison"), stored: map[poison.Digest]storedBar{}, pending: map[poison.Digest]pendingBar{},
		wake: make(chan struct{}, 1),
	}
	b.guard = poison.NewGuard(poison.DefaultSettings(), prober, boottime.Now, b.handleEvent)
	return b
}

// handleEvent logs and records an event of the guard and schedules the resulting change of the store.
func (b *barSyncer) handleEvent(event poison.Event) {
	switch e := event.(type) {
	case poison.WorkerCrashed:
		b.gateway.dispatcher.RecordCrash(e.Worker.ID, e.Age)
		digests := strings.Join(lo.Map(e.Requests, func(d poison.Digest, _ int) string { return d.String() }), ",")
		b.logger.WithFields(logrus.Fields{"worker": e.Worker.ID, "peer": e.Worker.Address, "by": e.Evidence, "requests": len(e.Requests), "ms_ago": e.Age.Milliseconds()}).
			Warn("A worker ended under requests.")
		b.gateway.metrics.countWorkerEnd(e.Worker.Group)
		inputs := map[string]string{"asked": digests}
		if len(e.Parts) > 0 {
			inputs["parts"] = strings.Join(lo.Map(e.Parts, func(part poison.Part, _ int) string { return part.ID }), ",")
		}
		b.gateway.dispatcher.RecordRefused(e.Worker.ID)
		b.gateway.recordDecision(decision.Record{
			Kind: decision.KindBar, Subject: e.Worker.ID, Outcome: "suspected",
			Reason: fmt.Sprintf("The worker crashed: %s. Any of the requests running there may be the cause.", e.Evidence),
			Inputs: inputs,
		})
	case poison.CrashReceived:
		b.gateway.dispatcher.RecordCrash(e.Worker, e.Age)
	case poison.BarCreated:
		b.handleCreated(e.Bar)
	case poison.BarReceived:
		b.logger.WithFields(barFields(e.Bar)).Info("Bar received from the store or another gateway.")
		b.recordDecision(e.Bar, "told", "The store or another gateway reported the bar.")
		b.schedule(pendingBar{bar: e.Bar, due: time.Now().Add(remoteBarDelay)})
	case poison.Cleared:
		bar := poison.Bar{Digest: e.Digest, Part: e.Part}
		b.recordDecision(bar, "cleared", "The request, or one with the part, was answered without crashing the worker.")
		if e.WasBarred {
			b.logger.WithFields(barFields(bar)).Info("Bar lifted: an answer refutes it.")
			b.schedule(pendingBar{bar: bar, remove: true, due: time.Now()})
		}
	}
}

// handleCreated logs and records a bar that this gateway created and schedules its write to the store.
func (b *barSyncer) handleCreated(bar poison.Bar) {
	due := time.Now()
	if bar.Part.IsZero() {
		b.logger.WithFields(barFields(bar)).Warn("Request barred: workers crashed while running it.")
		b.recordDecision(bar, "barred", "Several workers crashed while running the request, one after another, and it never completed.")
	} else {
		b.logger.WithFields(barFields(bar)).Warn("Part of prompts barred: workers crashed while running requests with it.")
		b.recordDecision(bar, "barred", "Several workers crashed while running requests with the part, one after another, and none was answered since.")
	}
	if bar.Rule == "" && !bar.ReportedHere {
		// A gateway that forwarded a request under which a worker crashed writes the bar first. It knows the rule and the
		// tenant of a barred request.
		due = due.Add(remoteBarDelay)
	}
	b.schedule(pendingBar{bar: bar, due: due})
}

// barFields returns the log fields of a bar.
func barFields(bar poison.Bar) logrus.Fields {
	fields := logrus.Fields{
		"asked": bar.Digest, "workers": strings.Join(bar.Workers, ","), "times": bar.Times, "until": bar.Until.UTC().Format(time.RFC3339),
	}
	if bar.Part.IsZero() {
		fields["rule"], fields["tenant"] = bar.Rule, bar.Tenant
	} else {
		fields["prompt_part"], fields["group"] = bar.Part.ID, bar.Part.Group
	}
	if bar.Part.Version != "" {
		fields["software_version"] = bar.Part.Version
	}
	if bar.Basis != nil {
		maps.Copy(fields, basisFields(*bar.Basis))
	}
	return fields
}

// basisFields returns the log fields of what this gateway knew of a barred part.
func basisFields(basis poison.Basis) logrus.Fields {
	fields := logrus.Fields{
		"distinct": basis.DistinctCrashes, "first_ended_ms_ago": basis.FirstCrash.Milliseconds(), "last_ended_ms_ago": basis.LastCrash.Milliseconds(),
		"known_answers": basis.Answers, "running_ms": basis.Running.Milliseconds(), "knows_answers": basis.KnowsAnswers, "told_in_use": basis.ToldInUse,
	}
	if basis.Answered >= 0 {
		fields["answered_ms_ago"] = basis.Answered.Milliseconds()
	}
	return fields
}

// recordDecision records a decision about a bar.
func (b *barSyncer) recordDecision(bar poison.Bar, outcome, reason string) {
	record := decision.Record{Kind: decision.KindBar, Subject: bar.Digest.String(), Outcome: outcome, Reason: reason}
	if len(bar.Workers) > 0 {
		record.Inputs = map[string]string{
			"workers": strings.Join(bar.Workers, ","), "times": fmt.Sprint(bar.Times), "until": bar.Until.UTC().Format(time.RFC3339),
			"rule": bar.Rule, "tenant": bar.Tenant,
		}
	}
	if !bar.Part.IsZero() {
		record.Inputs = lo.Assign(record.Inputs, map[string]string{"part": bar.Part.ID, adminapi.InputGroup: bar.Part.Group})
	}
	if bar.Part.Version != "" {
		record.Inputs = lo.Assign(record.Inputs, map[string]string{"softwareVersion": bar.Part.Version})
	}
	b.gateway.recordDecision(record)
}

// schedule queues a change for the store.
func (b *barSyncer) schedule(change pendingBar) {
	b.mu.Lock()
	b.pending[change.bar.Digest] = change
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run writes queued changes to the store until ctx is done.
func (b *barSyncer) run(ctx context.Context) {
	cleanup := time.NewTicker(barCleanupInterval)
	defer cleanup.Stop()
	for {
		timer := time.NewTimer(b.nextDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-cleanup.C:
			b.removeExpired()
		case <-b.wake:
		case <-timer.C:
		}
		timer.Stop()
		for _, change := range b.takeDue(time.Now()) {
			b.apply(ctx, change)
		}
	}
}

// nextDelay returns the time until the next change is due, at most barCleanupInterval.
func (b *barSyncer) nextDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	delay := barCleanupInterval
	for _, change := range b.pending {
		delay = min(delay, max(time.Until(change.due), 0))
	}
	return delay
}

// takeDue removes the due changes from the queue and returns those that the store does not reflect yet. It ignores an
// expiry that is up to a second later than the stored one, as gateways compute slightly different times for one bar.
func (b *barSyncer) takeDue(now time.Time) []pendingBar {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []pendingBar
	for digest, change := range b.pending {
		if now.Before(change.due) {
			continue
		}
		delete(b.pending, digest)
		stored, found := b.stored[digest]
		isDone := found && !stored.until.Add(time.Second).Before(change.bar.Until)
		if change.remove {
			isDone = !found
		}
		if !isDone {
			due = append(due, change)
		}
	}
	return due
}

// apply writes one change. On a conflict another gateway has made a change, which the store will report; after other
// errors the change is retried. A bar that is no longer in force, because a request completed or the bar was released, is
// not written.
func (b *barSyncer) apply(ctx context.Context, change pendingBar) {
	if !change.remove && !b.guard.IsBarred(change.bar) {
		return
	}
	err := b.commit(ctx, change)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return
	}
	b.logger.WithError(err).WithField("asked", change.bar.Digest).Warn("Writing a bar to the store failed; retrying.")
	change.due = time.Now().Add(barRetryDelay)
	b.schedule(change)
}

// commit writes or deletes one bar.
func (b *barSyncer) commit(ctx context.Context, change pendingBar) error {
	ctx, cancel := context.WithTimeout(ctx, barCommitTimeout)
	defer cancel()
	key := poison.BarKey(change.bar.Digest)
	b.mu.Lock()
	transaction := store.Transaction{Conditions: []store.Condition{{Key: key, Revision: b.stored[change.bar.Digest].revision}}}
	b.mu.Unlock()
	if change.remove {
		transaction.Deletes = []string{key}
	} else {
		value, err := change.bar.Encode()
		if err != nil {
			return err
		}
		transaction.Puts = []store.Put{{Key: key, Value: value}}
	}
	revision, err := b.gateway.dependencies.Store.Commit(ctx, transaction)
	if err == nil && !change.remove {
		b.noteStored(change.bar, revision)
	}
	return errors.Wrapf(err, "update bar %s in store", change.bar.Digest)
}

// noteStored records a bar that this gateway has written, so that it can be removed before the store reports it.
func (b *barSyncer) noteStored(bar poison.Bar, revision store.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision > b.stored[bar.Digest].revision {
		b.stored[bar.Digest] = storedBar{revision: revision, until: bar.Until}
	}
}

// removeExpired schedules the removal of old bars if this gateway is the leader.
func (b *barSyncer) removeExpired() {
	if !b.gateway.controller.HasAuthority() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for digest, stored := range b.stored {
		if time.Since(stored.until) > barRetention {
			b.pending[digest] = pendingBar{bar: poison.Bar{Digest: digest}, remove: true}
		}
	}
}

// release removes the bar with a digest on behalf of an operator and reports whether there was one. It fails if the store
// rejects the change.
func (b *barSyncer) release(ctx context.Context, digest poison.Digest) (bool, error) {
	b.mu.Lock()
	_, found := b.stored[digest]
	b.mu.Unlock()
	if !found {
		// The bar may be about to be written. Releasing it here also clears it on the other gateways, as if a request had
		// completed, which drops their pending writes.
		return b.handleRemoved(digest), nil
	}
	if err := b.commit(ctx, pendingBar{bar: poison.Bar{Digest: digest}, remove: true}); err != nil {
		return false, err
	}
	b.handleRemoved(digest)
	return true, nil
}

// handleRemoved handles the removal of a bar from the store and reports whether it was in force on this
// gateway.
func (b *barSyncer) handleRemoved(digest poison.Digest) bool {
	b.mu.Lock()
	delete(b.stored, digest)
	b.mu.Unlock()
	wasBarred := b.guard.Release(digest)
	if wasBarred {
		b.logger.WithField("asked", digest).Info("Bar removed.")
		b.recordDecision(poison.Bar{Digest: digest}, "released", "The bar was removed from the store.")
	}
	return wasBarred
}

// countBars returns the number of active bars of parts, or of requests.
func (b *barSyncer) countBars(ofParts bool) int {
	return lo.CountBy(b.guard.Bars(), func(bar poison.Bar) bool { return bar.Part.IsZero() != ofParts })
}

// Barred implements adminapi.Backend.
func (a admin) Barred() []adminapi.BarredStatus {
	return lo.Map(a.barSyncer.guard.Bars(), func(bar poison.Bar, _ int) adminapi.BarredStatus {
		return adminapi.BarredStatus{
			Digest: bar.Digest.String(), Part: bar.Part.ID, Group: bar.Part.Group, SoftwareVersion: bar.Part.Version, Rule: bar.Rule,
			Tenant: bar.Tenant, Workers: bar.Workers, Times: bar.Times, Until: bar.Until,
		}
	})
}

// Release implements adminapi.Backend.
func (a admin) Release(ctx context.Context, digest poison.Digest) (bool, error) {
	return a.barSyncer.release(ctx, digest)
}

// BarsListed implements cluster.Listener.
func (g *Gateway) BarsListed(items []store.Item) {
	b := g.barSyncer
	listed := map[poison.Digest]bool{}
	for _, item := range items {
		if digest, valid := b.handleStored(item); valid {
			listed[digest] = true
		}
	}
	b.mu.Lock()
	removed := lo.Filter(lo.Keys(b.stored), func(digest poison.Digest, _ int) bool { return !listed[digest] })
	b.mu.Unlock()
	for _, digest := range removed {
		b.handleRemoved(digest)
	}
}

// BarChanged implements cluster.Listener.
func (g *Gateway) BarChanged(event store.Event) {
	if !event.Deleted {
		g.barSyncer.handleStored(event.Item)
		return
	}
	digest, err := poison.DigestFromKey(event.Key)
	if err != nil {
		g.barSyncer.logger.WithError(err).Error("Cannot decode the key of a removed bar.")
		return
	}
	g.barSyncer.handleRemoved(digest)
}

// rewriteAll handles a restore of the store: it schedules writes of all bars in force. Bars that the store lists again
// before remoteBarDelay are not written.
func (b *barSyncer) rewriteAll() {
	due := time.Now().Add(remoteBarDelay)
	b.mu.Lock()
	clear(b.stored)
	b.mu.Unlock()
	for _, bar := range b.guard.Bars() {
		b.schedule(pendingBar{bar: bar, due: due})
	}
}

// handleStored applies a bar that the store holds and reports whether it is valid.
func (b *barSyncer) handleStored(item store.Item) (poison.Digest, bool) {
	bar, err := poison.DecodeBar(item.Key, item.Value)
	if err != nil {
		b.logger.WithError(err).Error("Cannot decode a bar in the store.")
		return poison.Digest{}, false
	}
	b.mu.Lock()
	b.stored[bar.Digest] = storedBar{revision: item.Revision, until: bar.Until}
	b.mu.Unlock()
	b.guard.ApplyBar(bar)
	return bar.Digest, true
}
