package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/poolspread"
)

// hollowNode is a router without engines: real membership and configuration, and messages to the real routers like those
// of a router whose engines are in use.
type hollowNode struct {
	self          *granitebayv1.Peer
	members       *membership.Core
	configuration *configuration.Core
	version       uint64
	random        *rand.Rand

	pools  []*granitebayv1.Pool
	demand []*granitebayv1.DemandClass
	// records is the hash over all engine records.
	records uint64
	// counted tells which routers are real: records are compared with no others.
	counted     func(name string) bool
	spread      *poolspread.Core
	sequence    uint64
	nextDigest  time.Time
	nextRecords time.Time
}

// What hollow routers do as routers do.
const (
	recordsInterval = 2 * time.Second
)

// newHollowNode returns the node of a hollow router that owns some engines.
func newHollowNode(self *granitebayv1.Peer, seeds []membership.Member, owned []*granitebayv1.EngineRecord, records uint64, random *rand.Rand) *hollowNode {
	return &hollowNode{
		self: self,
		members: membership.New(membership.Settings{
			Self:  membership.Member{Name: self.GetName(), Address: self.GetAddress(), Zone: self.GetZone(), Incarnation: self.GetIncarnation()},
			Seeds: seeds,
		}, newRandom(random)),
		spread:        poolspread.New(poolspread.Settings{Self: self}),
		configuration: configuration.NewCore(configuration.DefaultSettings(self.GetName(), self.GetIncarnation()), newRandom(random)),
		random:        random,
		pools:         poolsOf(owned),
		demand:        demandOf(owned),
		records:       records,
	}
}

func newRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// poolsOf sums engines up, half used.
func poolsOf(owned []*granitebayv1.EngineRecord) []*granitebayv1.Pool {
	type key struct{ model, role string }
	pools := make(map[key]*granitebayv1.Pool)
	var ordered []*granitebayv1.Pool
	for _, record := range owned {
		at := key{record.GetModel(), record.GetRole()}
		if pools[at] == nil {
			pools[at] = &granitebayv1.Pool{Group: record.GetModel(), Model: record.GetModel(), Role: record.GetRole()}
			ordered = append(ordered, pools[at])
		}
		slots := uint32(lo.Ternary(record.GetRole() == string(engine.RolePrefill), 4, 32))
		pools[at].Engines++
		pools[at].Slots += slots
		pools[at].Running += slots / 2
		pools[at].PendingPromptTokens += 700
		pools[at].PendingOutputTokens += 5000
	}
	return ordered
}

// demandOf is a class of demand for each model of the engines.
func demandOf(owned []*granitebayv1.EngineRecord) []*granitebayv1.DemandClass {
	models := lo.CountValues(lo.Map(owned, func(record *granitebayv1.EngineRecord, _ int) string { return record.GetModel() }))
	var classes []*granitebayv1.DemandClass
	for index := range modelCount {
		model := modelName(index)
		if engines := float64(models[model]); engines > 0 {
			classes = append(classes, &granitebayv1.DemandClass{
				Group: model, Model: model, Name: "prompt 1024, output 256, deadline 30s",
				RequestsFast: engines, RequestsSlow: engines,
				PromptTokensFast: 900 * engines, PromptTokensSlow: 900 * engines,
				OutputTokensFast: 300 * engines, OutputTokensSlow: 300 * engines,
				DeadlineMillis: 30_000,
			})
		}
	}
	return classes
}

// HandleEnvelope implements core.Node.
func (n *hollowNode) HandleEnvelope(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	switch envelope.GetBody().(type) {
	case *granitebayv1.Envelope_Ping, *granitebayv1.Envelope_PingAck, *granitebayv1.Envelope_PingRequest:
		n.members.HandleEnvelope(now, envelope, effects)
	case *granitebayv1.Envelope_ConfigurationDigest, *granitebayv1.Envelope_ConfigurationFetch, *granitebayv1.Envelope_ConfigurationSnapshot:
		n.configuration.HandleEnvelope(now, envelope, effects)
	case *granitebayv1.Envelope_PoolDigest:
		n.spread.HandleDigest(now, envelope.GetFrom(), envelope.GetPoolDigest())
	case *granitebayv1.Envelope_PoolSums:
		n.spread.HandleSums(now, envelope.GetPoolSums(), effects)
	}
	n.settle(now)
}

// HandlePeerUnreachable implements core.Node.
func (n *hollowNode) HandlePeerUnreachable(time.Time, string, *core.Effects) {}

// HandleEngineEvent implements core.Node.
func (n *hollowNode) HandleEngineEvent(time.Time, engine.Event, *core.Effects) {}

// HandlePlatformResponse implements core.Node.
func (n *hollowNode) HandlePlatformResponse(now time.Time, response platform.Response, effects *core.Effects) {
	n.configuration.HandlePlatformResponse(now, response, effects)
}

// HandlePlatformWatch implements core.Node.
func (n *hollowNode) HandlePlatformWatch(now time.Time, event platform.WatchEvent, effects *core.Effects) {
	n.configuration.HandlePlatformWatch(now, event, effects)
}

// Tick implements core.Node.
func (n *hollowNode) Tick(now time.Time, effects *core.Effects) {
	n.members.Tick(now, effects)
	n.configuration.Tick(now, effects)
	n.settle(now)
	if !now.Before(n.nextDigest) {
		n.nextDigest = now.Add(n.spread.Interval())
		n.sendDigest(now, effects)
	}
	if !now.Before(n.nextRecords) {
		n.nextRecords = now.Add(recordsInterval)
		n.sendRecords(effects)
	}
}

// NextWake implements core.Node.
func (n *hollowNode) NextWake() time.Time {
	wake := core.Earliest(n.members.NextWake(), n.configuration.NextWake())
	return core.Earliest(wake, core.Earliest(n.nextDigest, n.nextRecords))
}

// settle hands the live routers to the configuration.
func (n *hollowNode) settle(now time.Time) {
	if n.members.Version() == n.version {
		return
	}
	n.version = n.members.Version()
	n.configuration.SetPeers(now, lo.FilterMap(n.members.Live(), func(member membership.Member, _ int) (configuration.Peer, bool) {
		return configuration.Peer{Name: member.Name, Address: member.Address, Incarnation: member.Incarnation}, member.Name != n.self.GetName()
	}))
	n.spread.SetRouters(lo.Map(n.members.Live(), func(member membership.Member, _ int) poolspread.Router {
		return poolspread.Router{Name: member.Name, Address: member.Address, Zone: member.Zone, Live: true}
	}))
}

// sendDigest tells how much room the engines of this router have.
func (n *hollowNode) sendDigest(now time.Time, effects *core.Effects) {
	n.sequence++
	n.spread.Send(now, &granitebayv1.PoolDigest{Sequence: n.sequence, Pools: n.pools, Demand: n.demand}, effects)
}

// sendRecords compares the records with those of a random router, which has the same.
func (n *hollowNode) sendRecords(effects *core.Effects) {
	live := n.members.Live()
	peer := live[n.random.IntN(len(live))]
	if !n.counted(peer.Name) {
		return
	}
	digest := &granitebayv1.RecordsDigest{Whole: n.records}
	effects.Send(peer.Name, peer.Address, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_RecordsDigest{RecordsDigest: digest}})
}
