package capacity

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/router"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

// startTime is when virtual time begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// startSpread is the time over which the routers start.
const startSpread = time.Second

// newWorld builds the hosts, engines and the platform of a size.
func newWorld(options Options) *world {
	w := &world{
		now:        startTime,
		random:     newSource(options.Seed),
		deployment: newDeployment(options.Nodes, options.Workers),
		hosts:      make(map[string]*host),
		engines:    make(map[string]*hollowEngine),
	}
	settings := platformmodel.DefaultSettings()
	settings.KeyValueLimits, settings.MembershipLimits = platformmodel.Limits{}, platformmodel.Limits{}
	settings.MembershipLag, settings.MemberTTL = 0, 0
	w.model = platformmodel.New(settings, newRandom(w.random))
	w.deployment.assignOwners(options.ShardsPerZone)
	w.edits = newEditLog(w.deployment.document(), options.Nodes)
	w.buildEngines()
	w.buildHosts(options)
	return w
}

// buildEngines makes the hollow engines, which have their records already.
func (w *world) buildEngines() {
	for _, member := range w.deployment.engines {
		record := w.deployment.records[member.Name]
		w.engines[member.Name] = &hollowEngine{
			name: member.Name, incarnation: member.Incarnation,
			fence: engine.Fence{Epoch: record.GetEpoch(), Generation: record.GetGeneration()},
			configuration: engine.Configuration{
				Role: engine.Role(record.GetRole()), Model: record.GetModel(), ModelVersion: record.GetModelVersion(),
			},
		}
	}
}

// buildHosts makes the routers.
func (w *world) buildHosts(options Options) {
	real := w.realRouters()
	seeds := lo.Map(w.deployment.routers[:min(seedCount, options.Nodes)], func(peer *granitebayv1.Peer, _ int) membership.Member {
		return membership.Member{Name: peer.GetName(), Address: peer.GetAddress(), Zone: peer.GetZone()}
	})
	records, _ := router.HashRecords(lo.Values(w.deployment.records))
	for _, peer := range w.deployment.routers {
		h := &host{peer: peer, role: real[peer.GetName()]}
		if h.role != "" {
			h.meter = newMeter()
			node := router.New(router.Settings{
				Self: peer, StartedAt: startTime, Seeds: seeds,
				Ownership: ownership.Settings{ShardsPerZone: options.ShardsPerZone},
			}, newRandom(w.random))
			h.node, h.revision = node, node.Configuration().Revision
		} else {
			node := newHollowNode(peer, seeds, w.ownedBy(peer.GetName()), records, newRandom(w.random))
			node.counted = func(name string) bool { return real[name] != "" }
			h.node, h.revision = node, node.configuration.Revision
		}
		w.hosts[peer.GetName()] = h
		w.order = append(w.order, h)
	}
}

// ownedBy lists the records of the engines that a router is first to own.
func (w *world) ownedBy(name string) []*granitebayv1.EngineRecord { return w.deployment.owned[name] }

// assignOwners works out who owns the engines, as the routers do.
func (d *deployment) assignOwners(shardsPerZone int) {
	naming := ownership.New(ownership.Settings{ShardsPerZone: shardsPerZone}, newSource(0))
	inZone := lo.GroupByMap(d.routers, func(peer *granitebayv1.Peer) (string, string) { return peer.GetZone(), peer.GetName() })
	d.holders = make(map[string]string)
	d.owned = make(map[string][]*granitebayv1.EngineRecord)
	for _, member := range d.engines {
		shard := naming.Shard(member.Name, member.Zone)
		if d.holders[shard] == "" {
			d.holders[shard] = rendezvous.First(shard, inZone[member.Zone])
		}
		d.owned[d.holders[shard]] = append(d.owned[d.holders[shard]], d.records[member.Name])
	}
}

// start fills the platform and starts the routers.
func (w *world) start() error {
	for _, peer := range w.deployment.routers {
		w.model.RegisterMember(w.now, platform.Member{
			Name: peer.GetName(), Kind: platform.MemberRouter, Zone: peer.GetZone(), Address: peer.GetAddress(), Incarnation: peer.GetIncarnation(),
		})
	}
	for _, member := range w.deployment.engines {
		w.model.RegisterMember(w.now, member)
	}
	if err := w.storeDocument(); err != nil {
		return err
	}
	puts := w.deployment.recordPuts()
	for shard, holder := range w.deployment.holders {
		if w.hosts[holder].meter != nil {
			continue
		}
		value, err := json.Marshal(ownership.Holder{Router: holder, Incarnation: w.hosts[holder].peer.GetIncarnation()})
		if err != nil {
			return errors.Wrapf(err, "step store the holder of shard %s", shard)
		}
		puts = append(puts, platform.Put{Key: ownership.ShardPrefix + shard, Value: value})
	}
	w.edits.next++
	w.askPlatform(operatorClient, w.edits.next, platform.Transaction{Puts: puts})
	for _, h := range w.order {
		h.wakeAt = w.now.Add(time.Duration(w.random.Int64N(int64(startSpread))))
		first := h.wakeAt
		w.schedule(first, func() { w.tick(h, first) })
	}
	return nil
}
