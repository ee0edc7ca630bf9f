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

// handleEra handles a store response that reports a restore from a backup. The gateway gives no orders until the store
// has confirmed who holds the controller key, which the restarted watch requests at once.
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
		Reason: "The store was restored from a backup. Gateways and workers write lost data again.",
	})
	g.controller.StoreRestored(boottime.Now(), era)
	g.barSyncer.rewriteAll()
	select {
	case g.restoreTrigger <- struct{}{}:
	default:
	}
}

// Timing of writing the configuration document, which holds the operators' groups and rules, again.
const (
	// restoreStagger is the delay between successive entries, so that later entries usually find the document written.
	restoreStagger = 300 * time.Millisecond
	// restoreRetryDelay is the delay after a failure, and restoreTimeout bounds one attempt.
	restoreRetryDelay = 500 * time.Millisecond
	restoreTimeout    = 2 * time.Second
)

// runDocumentRestore writes the configuration document again whenever the store may have lost edits, until ctx is done.
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

// entryRank returns the position of this gateway among the entries, or 0 if it is not an entry.
func (g *Gateway) entryRank() int {
	for i, entry := range g.Entries() {
		if entry.Name == g.settings.Name {
			return i
		}
	}
	return 0
}

// restoreDocument writes the configuration document in force again if the store has lost its last edits. It returns false
// if it must be retried.
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

// propose submits an edit to the store. After a restore of the store, it first writes earlier edits again. If a restore
// is noticed while the edit is submitted, it is submitted again.
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
