package gateway

import (
	"context"
	"fmt"
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

// bars keeps the bars of requests that end workers in the store, so that they outlast all gateways and reach those that stand by, are
// cut off from the others, or start later.
type barSyncer struct {
	gateway *Gateway
	guard   *poison.Guard
	logger  logrus.FieldLogger

	mu sync.Mutex
	// stored are the bars that the store holds, and wanted what it is to hold or not.
	stored  map[poison.Digest]storedBar
	pending map[poison.Digest]pendingBar
	wake    chan struct{}
}

// storedBar is a bar that the store holds.
type storedBar struct {
	revision store.Revision
	until    time.Time
}

// wantedBar is a change of the store that is due.
type pendingBar struct {
	bar poison.Bar
	// remove is set when the bar is to go.
	remove bool
	due    time.Time
}

// Times of the changes of bars in the store.
const (
	// barRetry is the pause after a change that failed.
	barRetryDelay = 500 * time.Millisecond
	// barHearsay is after how long a gateway writes a bar that another one has told: that one may be gone, or cut off from the store.
	remoteBarDelay = 1500 * time.Millisecond
	// barTimeout bounds one change.
	barCommitTimeout = time.Second
	// barTidy is how often bars that have been over for long are removed, by the gateway that gives orders, and barKept for how long they
	// are kept: a request that comes again within it is barred at the next end of a worker.
	barCleanupInterval = time.Minute
	barRetention       = 24 * time.Hour
)

// newBars returns the bars of a gateway with their guard.
func newBarSyncer(g *Gateway, prober poison.Prober) *barSyncer {
	b := &barSyncer{
		gateway: g, logger: logging.Part(g.logger, "poison"), stored: map[poison.Digest]storedBar{}, pending: map[poison.Digest]pendingBar{},
		wake: make(chan struct{}, 1),
	}
	b.guard = poison.NewGuard(poison.DefaultSettings(), prober, boottime.Now, b.handleEvent)
	return b
}

// note logs and records an event of the guard, and has the store follow it.
func (b *barSyncer) handleEvent(event poison.Event) {
	switch e := event.(type) {
	case poison.WorkerEnded:
		b.gateway.dispatcher.WorkerEnded(e.Worker.ID, e.Ago)
		digests := strings.Join(lo.Map(e.Asked, func(d poison.Digest, _ int) string { return d.String() }), ",")
		b.logger.WithFields(logrus.Fields{"worker": e.Worker.ID, "peer": e.Worker.Address, "by": e.By, "requests": len(e.Asked)}).
			Warn("A worker ended under requests.")
		b.gateway.metrics.countWorkerEnd(e.Worker.Group)
		b.gateway.dispatcher.EngineRefuses(e.Worker.ID)
		b.gateway.recordDecision(decision.Record{
			Kind: decision.KindBar, Subject: e.Worker.ID, Outcome: "suspected",
			Reason: fmt.Sprintf("The worker ended, because %s. Any of the requests that it ran may have ended it.", e.By),
			Inputs: map[string]string{"asked": digests},
		})
	case poison.EndHeard:
		b.gateway.dispatcher.WorkerEnded(e.Worker, e.Ago)
	case poison.Made:
		b.logger.WithFields(barFields(e.Bar)).Warn("A request is barred: workers ended under it.")
		b.recordDecision(e.Bar, "barred", "Workers ended under the request, one after the other, and it never ended well.")
		due := time.Now()
		if e.Bar.Rule == "" {
			// One that has seen the request itself knows more of it, and writes first.
			due = due.Add(remoteBarDelay)
		}
		b.schedule(pendingBar{bar: e.Bar, due: due})
	case poison.Heard:
		b.logger.WithFields(barFields(e.Bar)).Info("A request is barred, as the store or another gateway tells.")
		b.recordDecision(e.Bar, "told", "The store or another gateway tells that the request is barred.")
		b.schedule(pendingBar{bar: e.Bar, due: time.Now().Add(remoteBarDelay)})
	case poison.Cleared:
		bar := poison.Bar{Asked: e.Asked}
		b.recordDecision(bar, "cleared", "The request ran to a good end: it ends no workers.")
		if e.WasBarred {
			b.schedule(pendingBar{bar: bar, remove: true, due: time.Now()})
		}
	}
}

// fieldsOf returns a bar as fields of a log line.
func barFields(bar poison.Bar) logrus.Fields {
	return logrus.Fields{
		"asked": bar.Asked, "rule": bar.Rule, "tenant": bar.Tenant, "workers": strings.Join(bar.Workers, ","), "times": bar.Times,
		"until": bar.Until.UTC().Format(time.RFC3339),
	}
}

// decide records one step of what is held of a request.
func (b *barSyncer) recordDecision(bar poison.Bar, outcome, reason string) {
	record := decision.Record{Kind: decision.KindBar, Subject: bar.Asked.String(), Outcome: outcome, Reason: reason}
	if len(bar.Workers) > 0 {
		record.Inputs = map[string]string{
			"workers": strings.Join(bar.Workers, ","), "times": fmt.Sprint(bar.Times), "until": bar.Until.UTC().Format(time.RFC3339),
			"rule": bar.Rule, "tenant": bar.Tenant,
		}
	}
	b.gateway.recordDecision(record)
}

// want has the store follow soon.
func (b *barSyncer) schedule(change pendingBar) {
	b.mu.Lock()
	b.pending[change.bar.Asked] = change
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run has the store follow until the context ends.
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

// nextDue returns how long to wait for the next change.
func (b *barSyncer) nextDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	delay := barCleanupInterval
	for _, change := range b.pending {
		delay = min(delay, max(time.Until(change.due), 0))
	}
	return delay
}

// takeDue takes the changes that are due and not done yet.
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

// change carries out one change. A conflict is the change of another gateway, which the store will tell; after other failures the change
// is tried again. A bar that does not hold any more, because the request ended well or was released, is not written.
func (b *barSyncer) apply(ctx context.Context, change pendingBar) {
	if state, _ := b.guard.Standing(change.bar.Asked); !change.remove && state != poison.Barred {
		return
	}
	err := b.commit(ctx, change)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return
	}
	b.logger.WithError(err).WithField("asked", change.bar.Asked).Warn("The store does not hold the bar of a request yet. It is tried again.")
	change.due = time.Now().Add(barRetryDelay)
	b.schedule(change)
}

// commit writes or removes one bar.
func (b *barSyncer) commit(ctx context.Context, change pendingBar) error {
	ctx, cancel := context.WithTimeout(ctx, barCommitTimeout)
	defer cancel()
	key := poison.KeyOf(change.bar.Asked)
	b.mu.Lock()
	transaction := store.Transaction{Conditions: []store.Condition{{Key: key, Revision: b.stored[change.bar.Asked].revision}}}
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
	_, err := b.gateway.ports.Store.Commit(ctx, transaction)
	return errors.Wrap(err, "step change the bar of a request")
}

// removeOld has bars that have been over for long removed, if this gateway gives orders.
func (b *barSyncer) removeExpired() {
	if !b.gateway.controller.GivesOrders() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for digest, stored := range b.stored {
		if time.Since(stored.until) > barRetention {
			b.pending[digest] = pendingBar{bar: poison.Bar{Asked: digest}, remove: true}
		}
	}
}

// release removes the bar of a request by the word of an operator. It fails when the store does not take it.
func (b *barSyncer) release(ctx context.Context, digest poison.Digest) (bool, error) {
	b.mu.Lock()
	_, found := b.stored[digest]
	b.mu.Unlock()
	if !found {
		// It may be on its way to the store: the other entries hear of the release as of a good end.
		return b.handleRemoved(digest), nil
	}
	if err := b.commit(ctx, pendingBar{bar: poison.Bar{Asked: digest}, remove: true}); err != nil {
		return false, err
	}
	b.handleRemoved(digest)
	return true, nil
}

// released takes note that the store does not hold a bar any more, and tells whether it was in force here.
func (b *barSyncer) handleRemoved(digest poison.Digest) bool {
	b.mu.Lock()
	delete(b.stored, digest)
	b.mu.Unlock()
	wasBarred := b.guard.Release(digest)
	if wasBarred {
		b.logger.WithField("asked", digest).Info("A request is released.")
		b.recordDecision(poison.Bar{Asked: digest}, "released", "The store holds no bar of the request any more.")
	}
	return wasBarred
}

// Barred is part of adminapi.Backend.
func (a admin) Barred() []adminapi.BarredStatus {
	return lo.Map(a.barSyncer.guard.Bars(), func(bar poison.Bar, _ int) adminapi.BarredStatus {
		return adminapi.BarredStatus{
			Asked: bar.Asked.String(), Rule: bar.Rule, Tenant: bar.Tenant, Workers: bar.Workers, Times: bar.Times, Until: bar.Until,
		}
	})
}

// Release is part of adminapi.Backend.
func (a admin) Release(ctx context.Context, asked poison.Digest) (bool, error) {
	return a.barSyncer.release(ctx, asked)
}

// BarsListed is part of cluster.Listener.
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

// BarChanged is part of cluster.Listener.
func (g *Gateway) BarChanged(event store.Event) {
	if !event.Deleted {
		g.barSyncer.handleStored(event.Item)
		return
	}
	digest, err := poison.AskedOf(event.Key)
	if err != nil {
		g.barSyncer.logger.WithError(err).Error("A bar that is gone can't be read.")
		return
	}
	g.barSyncer.handleRemoved(digest)
}

// restored has all bars that the store held written again unless it still holds them: it came back from an older copy. None of them is
// released for that.
func (b *barSyncer) rewriteAll() {
	due := time.Now().Add(remoteBarDelay)
	b.mu.Lock()
	clear(b.stored)
	b.mu.Unlock()
	for _, bar := range b.guard.Bars() {
		b.schedule(pendingBar{bar: bar, due: due})
	}
}

// hold takes a bar that the store holds.
func (b *barSyncer) handleStored(item store.Item) (poison.Digest, bool) {
	bar, err := poison.DecodeBar(item.Key, item.Value)
	if err != nil {
		b.logger.WithError(err).Error("A bar of the store can't be read.")
		return poison.Digest{}, false
	}
	b.mu.Lock()
	b.stored[bar.Asked] = storedBar{revision: item.Revision, until: bar.Until}
	b.mu.Unlock()
	b.guard.Bar(bar)
	return bar.Asked, true
}
