package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/store"
)

// handleEra handles a store response that reports a restore from an older copy. From here on no authority is exercised
// until the store has confirmed the key holder, which is requested at once.
func (g *Gateway) handleEra(era int64) {
	g.editsMayBeLost.Store(true)
	g.controller.StoreRestored(boottime.Now(), era)
	g.replica.RestartWatch()
}

// StoreRestored implements cluster.Listener.
func (g *Gateway) StoreRestored(era int64) {
	logging.Component(g.logger, "cluster").WithField("era", era).Warn("The store has come back from an older copy.")
	g.metrics.countStoreRestore()
	g.recordDecision(decision.Record{
		Kind: decision.KindStore, Subject: "store", Outcome: fmt.Sprintf("era %d", era),
		Reason: "The store was restored from an older copy. Gateways and workers write lost data again.",
	})
	g.controller.StoreRestored(boottime.Now(), era)
	g.barSyncer.rewriteAll()
	select {
	case g.restoreTrigger <- struct{}{}:
	default:
	}
}

// Timing of writing the operators' groups and rules again.
const (
	// restoreStagger is the delay between successive entries, so that usually only the first one has to write.
	restoreStagger = 300 * time.Millisecond
	// restoreRetryDelay is the delay after a failure, and restoreTimeout bounds one attempt.
	restoreRetryDelay = 500 * time.Millisecond
	restoreTimeout    = 2 * time.Second
)

// runDocumentRestore writes the operators' groups and rules again whenever the store may have lost edits, until ctx is
// done.
func (g *Gateway) runDocumentRestore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.restoreTrigger:
		}
		if !g.isEntry() || !ctxsleep.Sleep(ctx, time.Duration(g.entryRank())*restoreStagger) {
			continue
		}
		for !g.restoreDocument(ctx) {
			if !ctxsleep.Sleep(ctx, restoreRetryDelay) {
				return
			}
		}
	}
}

// entryRank returns the position of this gateway among the entries.
func (g *Gateway) entryRank() int {
	for i, entry := range g.Entries() {
		if entry.Name == g.settings.Name {
			return i
		}
	}
	return 0
}

// restoreDocument writes the document in force again if the store has lost its last edits, and reports whether no retry
// is needed.
func (g *Gateway) restoreDocument(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	g.editsMayBeLost.Store(false)
	known := g.view.Document()
	if known.Revision == 0 {
		return true
	}
	log := logging.Component(g.logger, "cluster").WithFields(logrus.Fields{"revision": known.Revision})
	written, err := configuration.Restore(ctx, g.dependencies.Store, known)
	switch {
	case errors.Is(err, configuration.ErrDiverged):
		log.WithError(err).Error("Edits of the groups and rules are lost, because another edit was made after the store was restored. Apply them again.")
		return true
	case errors.Is(err, store.ErrConflict):
		return false
	case err != nil:
		log.WithError(err).Warn("Writing the groups and rules again failed; retrying.")
		return false
	case written:
		log.Info("The groups and rules are written again.")
	}
	return true
}

// propose submits an edit to the store. After a restore of the store, it first waits until earlier edits are written
// again.
func (g *Gateway) propose(ctx context.Context, request configuration.EditRequest) configuration.ProposalResult {
	for {
		if g.editsMayBeLost.Load() && !g.restoreDocument(ctx) {
			g.editsMayBeLost.Store(true)
			if !ctxsleep.Sleep(ctx, restoreRetryDelay) {
				return configuration.ProposalResult{Err: ctx.Err()}
			}
			continue
		}
		result := configuration.Propose(ctx, g.dependencies.Store, request)
		if result.Accepted || !g.editsMayBeLost.Load() {
			return result
		}
	}
}
