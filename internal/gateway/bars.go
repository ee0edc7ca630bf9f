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
type bars struct {
	gateway *Gateway
	guard   *poison.Guard
	logger  logrus.FieldLogger

	mu sync.Mutex
	// stored are the bars that the store holds, and wanted what it is to hold or not.
	stored map[poison.Digest]storedBar
	wanted map[poison.Digest]wantedBar
	wake   chan struct{}
}

// storedBar is a bar that the store holds.
type storedBar struct {
	revision store.Revision
	until    time.Time
}

// wantedBar is a change of the store that is due.
type wantedBar struct {
	bar poison.Bar
	// remove is set when the bar is to go.
	remove bool
	due    time.Time
}

// Times of the changes of bars in the store.
const (
	// barRetry is the pause after a change that failed.
	barRetry = 500 * time.Millisecond
	// barHearsay is after how long a gateway writes a bar that another one has told: that one may be gone, or cut off from the store.
	barHearsay = 1500 * time.Millisecond
	// barTimeout bounds one change.
	barTimeout = time.Second
	// barTidy is how often bars that have been over for long are removed, by the gateway that gives orders, and barKept for how long they
	// are kept: a request that comes again within it is barred at the next end of a worker.
	barTidy = time.Minute
	barKept = 24 * time.Hour
)

// newBars returns the bars of a gateway with their guard.
func newBars(g *Gateway, prober poison.Prober) *bars {
	b := &bars{
		gateway: g, logger: logging.Part(g.logger, "poison"), stored: map[poison.Digest]storedBar{}, wanted: map[poison.Digest]wantedBar{},
		wake: make(chan struct{}, 1),
	}
	b.guard = poison.NewGuard(poison.DefaultSettings(), prober, boottime.Now, b.note)
	return b
}

// note logs and records an event of the guard, and has the store follow it.
func (b *bars) note(event poison.Event) {
	switch e := event.(type) {
	case poison.WorkerEnded:
		b.gateway.dispatcher.WorkerEnded(e.Worker.ID, e.Ago)
		asked := strings.Join(lo.Map(e.Asked, func(d poison.Digest, _ int) string { return d.String() }), ",")
		b.logger.WithFields(logrus.Fields{"worker": e.Worker.ID, "peer": e.Worker.Address, "by": e.By, "requests": len(e.Asked)}).
			Warn("A worker ended under requests.")
		b.gateway.metrics.workerEnded(e.Worker.Group)
		b.gateway.dispatcher.EngineRefuses(e.Worker.ID)
		b.gateway.decide(decision.Record{
			Kind: decision.KindBar, Subject: e.Worker.ID, Outcome: "suspected",
			Reason: fmt.Sprintf("The worker ended, because %s. Any of the requests that it ran may have ended it.", e.By),
			Inputs: map[string]string{"asked": asked},
		})
	case poison.EndHeard:
		b.gateway.dispatcher.WorkerEnded(e.Worker, e.Ago)
	case poison.Made:
		b.logger.WithFields(fieldsOf(e.Bar)).Warn("A request is barred: workers ended under it.")
		b.decide(e.Bar, "barred", "Workers ended under the request, one after the other, and it never ended well.")
		due := time.Now()
		if e.Bar.Rule == "" {
			// One that has seen the request itself knows more of it, and writes first.
			due = due.Add(barHearsay)
		}
		b.want(wantedBar{bar: e.Bar, due: due})
	case poison.Heard:
		b.logger.WithFields(fieldsOf(e.Bar)).Info("A request is barred, as the store or another gateway tells.")
		b.decide(e.Bar, "told", "The store or another gateway tells that the request is barred.")
		b.want(wantedBar{bar: e.Bar, due: time.Now().Add(barHearsay)})
	case poison.Cleared:
		bar := poison.Bar{Asked: e.Asked}
		b.decide(bar, "cleared", "The request ran to a good end: it ends no workers.")
		if e.WasBarred {
			b.want(wantedBar{bar: bar, remove: true, due: time.Now()})
		}
	}
}

// fieldsOf returns a bar as fields of a log line.
func fieldsOf(bar poison.Bar) logrus.Fields {
	return logrus.Fields{
		"asked": bar.Asked, "rule": bar.Rule, "tenant": bar.Tenant, "workers": strings.Join(bar.Workers, ","), "times": bar.Times,
		"until": bar.Until.UTC().Format(time.RFC3339),
	}
}

// decide records one step of what is held of a request.
func (b *bars) decide(bar poison.Bar, outcome, reason string) {
	record := decision.Record{Kind: decision.KindBar, Subject: bar.Asked.String(), Outcome: outcome, Reason: reason}
	if len(bar.Workers) > 0 {
		record.Inputs = map[string]string{
			"workers": strings.Join(bar.Workers, ","), "times": fmt.Sprint(bar.Times), "until": bar.Until.UTC().Format(time.RFC3339),
			"rule": bar.Rule, "tenant": bar.Tenant,
		}
	}
	b.gateway.decide(record)
}

// want has the store follow soon.
func (b *bars) want(change wantedBar) {
	b.mu.Lock()
	b.wanted[change.bar.Asked] = change
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run has the store follow until the context ends.
func (b *bars) run(ctx context.Context) {
	tidy := time.NewTicker(barTidy)
	defer tidy.Stop()
	for {
		timer := time.NewTimer(b.nextDue())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-tidy.C:
			b.removeOld()
		case <-b.wake:
		case <-timer.C:
		}
		timer.Stop()
		for _, change := range b.takeDue(time.Now()) {
			b.change(ctx, change)
		}
	}
}

// nextDue returns how long to wait for the next change.
func (b *bars) nextDue() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := barTidy
	for _, change := range b.wanted {
		wait = min(wait, max(time.Until(change.due), 0))
	}
	return wait
}

// takeDue takes the changes that are due and not done yet.
func (b *bars) takeDue(now time.Time) []wantedBar {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []wantedBar
	for asked, change := range b.wanted {
		if now.Before(change.due) {
			continue
		}
		delete(b.wanted, asked)
		stored, found := b.stored[asked]
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
func (b *bars) change(ctx context.Context, change wantedBar) {
	if standing, _ := b.guard.Standing(change.bar.Asked); !change.remove && standing != poison.Barred {
		return
	}
	err := b.commit(ctx, change)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return
	}
	b.logger.WithError(err).WithField("asked", change.bar.Asked).Warn("The store does not hold the bar of a request yet. It is tried again.")
	change.due = time.Now().Add(barRetry)
	b.want(change)
}

// commit writes or removes one bar.
func (b *bars) commit(ctx context.Context, change wantedBar) error {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
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
func (b *bars) removeOld() {
	if !b.gateway.controller.GivesOrders() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for asked, stored := range b.stored {
		if time.Since(stored.until) > barKept {
			b.wanted[asked] = wantedBar{bar: poison.Bar{Asked: asked}, remove: true}
		}
	}
}

// release removes the bar of a request by the word of an operator. It fails when the store does not take it.
func (b *bars) release(ctx context.Context, asked poison.Digest) (bool, error) {
	b.mu.Lock()
	_, found := b.stored[asked]
	b.mu.Unlock()
	if !found {
		// It may be on its way to the store: the other entries hear of the release as of a good end.
		return b.released(asked), nil
	}
	if err := b.commit(ctx, wantedBar{bar: poison.Bar{Asked: asked}, remove: true}); err != nil {
		return false, err
	}
	b.released(asked)
	return true, nil
}

// released takes note that the store does not hold a bar any more, and tells whether it was in force here.
func (b *bars) released(asked poison.Digest) bool {
	b.mu.Lock()
	delete(b.stored, asked)
	b.mu.Unlock()
	wasBarred := b.guard.Release(asked)
	if wasBarred {
		b.logger.WithField("asked", asked).Info("A request is released.")
		b.decide(poison.Bar{Asked: asked}, "released", "The store holds no bar of the request any more.")
	}
	return wasBarred
}

// Barred is part of adminapi.Backend.
func (a admin) Barred() []adminapi.BarredStatus {
	return lo.Map(a.bars.guard.Bars(), func(bar poison.Bar, _ int) adminapi.BarredStatus {
		return adminapi.BarredStatus{
			Asked: bar.Asked.String(), Rule: bar.Rule, Tenant: bar.Tenant, Workers: bar.Workers, Times: bar.Times, Until: bar.Until,
		}
	})
}

// Release is part of adminapi.Backend.
func (a admin) Release(ctx context.Context, asked poison.Digest) (bool, error) {
	return a.bars.release(ctx, asked)
}

// BarsListed is part of cluster.Listener.
func (g *Gateway) BarsListed(items []store.Item) {
	b := g.bars
	listed := map[poison.Digest]bool{}
	for _, item := range items {
		if asked, held := b.hold(item); held {
			listed[asked] = true
		}
	}
	b.mu.Lock()
	gone := lo.Filter(lo.Keys(b.stored), func(asked poison.Digest, _ int) bool { return !listed[asked] })
	b.mu.Unlock()
	for _, asked := range gone {
		b.released(asked)
	}
}

// BarChanged is part of cluster.Listener.
func (g *Gateway) BarChanged(event store.Event) {
	if !event.Deleted {
		g.bars.hold(event.Item)
		return
	}
	asked, err := poison.AskedOf(event.Key)
	if err != nil {
		g.bars.logger.WithError(err).Error("A bar that is gone can't be read.")
		return
	}
	g.bars.released(asked)
}

// restored has all bars that the store held written again unless it still holds them: it came back from an older copy. None of them is
// released for that.
func (b *bars) restored() {
	due := time.Now().Add(barHearsay)
	b.mu.Lock()
	clear(b.stored)
	b.mu.Unlock()
	for _, bar := range b.guard.Bars() {
		b.want(wantedBar{bar: bar, due: due})
	}
}

// hold takes a bar that the store holds.
func (b *bars) hold(item store.Item) (poison.Digest, bool) {
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
