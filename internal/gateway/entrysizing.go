package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/store"
)

// sizeInterval is how often the need for entries is looked at: as often as gateways tell all that they do.
const sizingInterval = time.Second

// idleSizeInterval is how often a gateway that gives no orders looks whether it does by now.
const idleSizingInterval = 5 * time.Second

// sizeEntries says how many cores the entries are to have together, while this gateway gives orders, until the context ends. The need
// lies in the store, so that all gateways pick the same entries.
func (g *Gateway) sizeEntries(ctx context.Context) {
	sizer := member.NewSizer(member.DefaultSizerSettings())
	timer := time.NewTimer(idleSizingInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !g.controller.GivesOrders() {
			timer.Reset(idleSizingInterval)
			continue
		}
		timer.Reset(sizingInterval)
		need, revision := g.view.EntryNeed()
		if cores, changed := sizer.Next(time.Now(), g.entryUtilization(), need); changed {
			g.writeNeed(ctx, cores, revision)
		} else if need > 0 && revision == 0 {
			// The store has lost it.
			g.writeNeed(ctx, need, revision)
		}
	}
}

// entriesBusy returns what the entries use of their limits.
func (g *Gateway) entryUtilization() []member.Busy {
	utilization := g.dispatcher.PeersBusy()
	utilization[g.settings.Name] = g.utilization.peak()
	var busy []member.Busy
	for _, entry := range g.Entries() {
		busy = append(busy, member.Busy{Cores: entry.Cores, Share: utilization[entry.Name]})
	}
	return busy
}

// writeNeed writes the need, unless somebody else has written one meanwhile.
func (g *Gateway) writeNeed(ctx context.Context, cores float64, revision store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, sizingInterval)
	defer cancel()
	log := logging.Part(g.logger, "member").WithFields(logrus.Fields{"cores": fmt.Sprintf("%.1f", cores)})
	value, err := json.Marshal(member.Need{Cores: cores})
	if err == nil {
		_, err = g.ports.Store.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: member.NeedKey, Revision: revision}},
			Puts:       []store.Put{{Key: member.NeedKey, Value: value}},
		})
	}
	if err != nil {
		log.WithError(errors.Wrap(err, "step write the need for entries")).Warn("The number of entries stays as it is.")
		return
	}
	log.Info("The entries are to have other cores together.")
	g.recordDecision(decision.Record{
		Kind: decision.KindEntry, Subject: member.NeedKey, Outcome: fmt.Sprintf("%.1f cores", cores),
		Reason: "What the entries use of their processors, links and descriptors asks for that many cores.",
	})
}
