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

// sizingInterval is how often the leader updates the required entry capacity. It equals the interval of full updates,
// which carry the utilization.
const sizingInterval = time.Second

// idleSizingInterval is how often other gateways check whether they have become the leader.
const idleSizingInterval = 5 * time.Second

// sizeEntries determines how many cores the entries need in total while this gateway is the leader, until ctx is done.
// The result is kept in the store, so that all gateways select the same entries.
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
		if !g.controller.HasAuthority() {
			timer.Reset(idleSizingInterval)
			continue
		}
		timer.Reset(sizingInterval)
		need, revision, isStored := g.view.EntryNeed()
		if cores, changed := sizer.Next(time.Now(), g.entryUtilization(), need); changed {
			g.writeNeed(ctx, cores, revision)
		} else if need > 0 && !isStored {
			// The store was restored from a backup without the value, or another writer has overwritten it.
			g.writeNeed(ctx, need, revision)
		}
	}
}

// entryUtilization returns the utilization of each entry.
func (g *Gateway) entryUtilization() []member.EntryLoad {
	utilization := g.dispatcher.PeerUtilization()
	utilization[g.settings.Name] = g.utilization.peak()
	var loads []member.EntryLoad
	for _, entry := range g.Entries() {
		loads = append(loads, member.EntryLoad{Cores: entry.Cores, Utilization: utilization[entry.Name]})
	}
	return loads
}

// writeNeed stores the required cores, unless the stored value has changed since the given revision.
func (g *Gateway) writeNeed(ctx context.Context, cores float64, revision store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, sizingInterval)
	defer cancel()
	log := logging.Component(g.logger, "member").WithFields(logrus.Fields{"cores": fmt.Sprintf("%.1f", cores)})
	value, err := json.Marshal(member.EntryNeed{Cores: cores})
	if err == nil {
		_, err = g.dependencies.Store.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: member.EntryNeedKey, Revision: revision}},
			Puts:       []store.Put{{Key: member.EntryNeedKey, Value: value}},
		})
	}
	if err != nil {
		log.WithError(errors.Wrap(err, "write required entry capacity")).Warn("Cannot store the required entry capacity.")
		return
	}
	log.Info("Changed the required entry capacity.")
	g.recordDecision(decision.Record{
		Kind: decision.KindEntry, Subject: member.EntryNeedKey, Outcome: fmt.Sprintf("%.1f cores", cores),
		Reason: "The CPU, network and descriptor utilization of the entries requires this capacity.",
	})
}
