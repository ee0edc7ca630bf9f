package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/pause"
	"github.com/granitebay/granitebay/internal/store"
)

// eraHeard takes the word of the store, with the answer to any call, that it has come back from an older copy. Nothing is done by the
// authority of a key from here on until the store has told who holds it, and that is asked at once.
func (g *Gateway) handleEra(era int64) {
	g.editsMayBeLost.Store(true)
	g.controller.Restored(boottime.Now(), era)
	g.replica.Renew()
}

// StoreRestored is part of cluster.Listener.
func (g *Gateway) StoreRestored(era int64) {
	logging.Part(g.logger, "cluster").WithField("era", era).Warn("The store has come back from an older copy.")
	g.metrics.countStoreRestore()
	g.recordDecision(decision.Record{
		Kind: decision.KindStore, Subject: "store", Outcome: fmt.Sprintf("era %d", era),
		Reason: "The store has come back from an older copy. What it lost is written again by those who know it.",
	})
	g.controller.Restored(boottime.Now(), era)
	g.barSyncer.rewriteAll()
	select {
	case g.restoreTrigger <- struct{}{}:
	default:
	}
}

// Times of writing the operators' groups and rules again.
const (
	// restoreTurn is by how much later the next of those that take requests writes: the first one is done by then.
	restoreStagger = 300 * time.Millisecond
	// restorePause is the pause after a failure, and restoreTimeout bounds one try.
	restoreRetryDelay = 500 * time.Millisecond
	restoreTimeout    = 2 * time.Second
)

// restoreDocuments writes the operators' groups and rules again whenever the store may have lost some, until the context ends.
func (g *Gateway) runDocumentRestore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.restoreTrigger:
		}
		if !g.isEntry() || !pause.For(ctx, time.Duration(g.entryRank())*restoreStagger) {
			continue
		}
		for !g.restoreDocument(ctx) {
			if !pause.For(ctx, restoreRetryDelay) {
				return
			}
		}
	}
}

// turn returns the place of this gateway among those that take requests.
func (g *Gateway) entryRank() int {
	for i, entry := range g.Entries() {
		if entry.Name == g.settings.Name {
			return i
		}
	}
	return 0
}

// restoreDocument writes the document that is in force again if the store has lost its last edits, and tells whether that is settled.
func (g *Gateway) restoreDocument(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	g.editsMayBeLost.Store(false)
	known := g.view.Document()
	if known.Revision == 0 {
		return true
	}
	log := logging.Part(g.logger, "cluster").WithFields(logrus.Fields{"revision": known.Revision})
	written, err := configuration.Restore(ctx, g.ports.Store, known)
	switch {
	case errors.Is(err, configuration.ErrDiverged):
		log.WithError(err).Error("Edits of the groups and rules are lost: another edit was made since the store came back. Make them anew.")
		return true
	case errors.Is(err, store.ErrConflict):
		return false
	case err != nil:
		log.WithError(err).Warn("The groups and rules are not written again yet. It is tried again.")
		return false
	case written:
		log.Info("The groups and rules are written again.")
	}
	return true
}

// propose brings an edit into the store. One that comes just after the store has come back waits until it holds the edits before it again.
func (g *Gateway) propose(ctx context.Context, request configuration.EditRequest) configuration.ProposeResult {
	for {
		if g.editsMayBeLost.Load() && !g.restoreDocument(ctx) {
			g.editsMayBeLost.Store(true)
			if !pause.For(ctx, restoreRetryDelay) {
				return configuration.ProposeResult{Err: ctx.Err()}
			}
			continue
		}
		result := configuration.Propose(ctx, g.ports.Store, request)
		if result.Accepted || !g.editsMayBeLost.Load() {
			return result
		}
	}
}
