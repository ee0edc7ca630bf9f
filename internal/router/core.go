package router

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/ingress"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/poolspread"
	"github.com/granitebay/granitebay/internal/rolecontrol"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// requestOwner marks the platform requests of the router itself. The other cores have 1 to 3 and 5.
const requestOwner = 4

// Owner numbers of the platform requests of the joined cores.
const (
	ownerOwnership     = ownership.RequestOwner
	ownerConfiguration = 2
	ownerRoleControl   = rolecontrol.RequestOwner
)

// Core is the state machine of one router. It is not safe for use by several goroutines.
type Core struct {
	settings Settings
	random   *rand.Rand

	members       *membership.Core
	configuration *configuration.Core
	ownership     *ownership.Core
	roles         *rolecontrol.Core
	acceptor      *claim.Acceptor
	proposer      *claim.Proposer
	claimViews    *claim.ViewControl
	dispatch      *dispatch.Core
	owners        *ingress.Table
	spread        *poolspread.Core
	capacity      *roleplan.Capacity

	engines      map[string]*engineInfo
	engineNames  []string
	forwarded    map[string]*forward
	forwardOrder []string
	list         listPoll

	memberVersion    uint64
	ownershipVersion uint64
	// selection is the hash of the selection of engines at selectionRevision; dispatch knows appliedSelection.
	selection         uint64
	selectionRevision uint64
	appliedSelection  uint64
	// enginesChanged is set when the views that dispatch has are out of date.
	enginesChanged bool
	// changedEngines are single engines whose views are out of date.
	changedEngines []string

	digestSequence uint64
	recordHashes   recordHashes
	planSequence   uint64
	planSeen       map[string]planMark
	changedAt      map[string]time.Time
	// lastPlan is the latest plan that this router made, by group.
	lastPlan map[string]Plan
	// seen are the label sets of requests that came to this router.
	seen        labelSets
	nextMembers time.Time
	nextDigest  time.Time
	nextProbe   time.Time
	// probedLast is the engine in order that was probed last.
	probedLast  string
	nextPlan    time.Time
	nextRecords time.Time

	stopping  bool
	stoppedAt time.Time
	// lastStep is when the core was last called.
	lastStep time.Time
}

// New returns the core of a router.
func New(settings Settings, random *rand.Rand) *Core {
	settings = settings.withDefaults()
	c := &Core{
		settings:  settings,
		random:    random,
		engines:   make(map[string]*engineInfo),
		forwarded: make(map[string]*forward),
		planSeen:  make(map[string]planMark),
		changedAt: make(map[string]time.Time),
		lastPlan:  make(map[string]Plan),
		capacity:  roleplan.NewCapacity(planSpeeds(settings.Placement.Speeds)),
	}
	c.newCores()
	return c
}

// newCores makes the joined cores. Each gets a random source of its own, so that they do not disturb each other.
func (c *Core) newCores() {
	self := c.settings.Self
	member := c.settings.Membership
	member.Self = membership.Member{Name: self.GetName(), Address: self.GetAddress(), Zone: self.GetZone(), Incarnation: self.GetIncarnation(), State: membership.StateAlive}
	member.Seeds = c.settings.Seeds
	c.members = membership.New(member, c.newRandom())
	c.configuration = configuration.NewCore(configuration.DefaultSettings(self.GetName(), self.GetIncarnation()), c.newRandom())
	authority := c.settings.Ownership
	authority.Self = self.GetName()
	authority.Incarnation = self.GetIncarnation()
	c.ownership = ownership.New(authority, c.newRandom())
	roles := c.settings.RoleControl
	roles.Self = self.GetName()
	roles.Authority = c.ownership.Authority
	roles.ShardKey = c.ownership.ShardKey
	roles.InitialTarget = c.initialTarget
	c.roles = rolecontrol.New(roles, c.newRandom())
	c.dispatch = dispatch.New(c.dispatchSettings(), c, c.newRandom())
	c.spread = poolspread.New(poolspread.Settings{Self: self, Interval: c.settings.DigestInterval})
	c.owners = ingress.NewTable(ingress.Settings{Zone: self.GetZone(), Placement: c.settings.Placement}, c.newRandom())
	c.newClaims()
}

// newRandom derives a random source.
func (c *Core) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}

// dispatchSettings joins the given settings with the policy of the configuration.
func (c *Core) dispatchSettings() dispatch.Settings {
	settings := c.settings.Dispatch
	settings.Self = c.settings.Self.GetName()
	settings.Placement = c.settings.Placement
	settings.PolicyFor = c.policyFor
	settings.Reroute = c.reroute
	settings.ConfigRevision = c.configuration.Revision
	return settings
}

// Bounds of a pause of the process.
const (
	// pauseBound is the time without a step after which the process was surely paused: the digest alone is due sooner.
	pauseBound = 1500 * time.Millisecond
	// resumeHold is how long a process that was paused sends no new work to engines: what arrived meanwhile, such as word of
	// engines that leave, is read first.
	resumeHold = 300 * time.Millisecond
)

// noteStep notices that the process was paused, and reads again what may have changed.
func (c *Core) noteStep(now time.Time) {
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) >= pauseBound {
		c.dispatch.Hold(now.Add(resumeHold))
		c.nextMembers = now
	}
	c.lastStep = now
}

// HandleEnvelope takes a message from a peer.
func (c *Core) HandleEnvelope(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	c.noteStep(now)
	switch body := envelope.GetBody().(type) {
	case *granitebayv1.Envelope_Generate:
		c.handleGenerate(now, body.Generate, effects)
	case *granitebayv1.Envelope_Cancel:
		c.handleCancel(now, envelope.GetFrom(), body.Cancel, effects)
	case *granitebayv1.Envelope_Progressed:
		c.dispatch.HandleProgressed(now, body.Progressed, effects)
	case *granitebayv1.Envelope_Ping, *granitebayv1.Envelope_PingAck, *granitebayv1.Envelope_PingRequest:
		c.members.HandleEnvelope(now, envelope, effects)
	case *granitebayv1.Envelope_ClaimPrepare, *granitebayv1.Envelope_ClaimAccept, *granitebayv1.Envelope_ClaimPromise,
		*granitebayv1.Envelope_ClaimAccepted, *granitebayv1.Envelope_ClaimRefused, *granitebayv1.Envelope_ClaimSeal,
		*granitebayv1.Envelope_ClaimSealed, *granitebayv1.Envelope_ClaimViews:
		c.handleClaims(now, envelope, effects)
	case *granitebayv1.Envelope_ConfigurationDigest, *granitebayv1.Envelope_ConfigurationFetch, *granitebayv1.Envelope_ConfigurationSnapshot:
		c.configuration.HandleEnvelope(now, envelope, effects)
	case *granitebayv1.Envelope_PoolDigest:
		c.handleDigest(now, envelope.GetFrom(), body.PoolDigest)
		c.noteLeaving(now)
	case *granitebayv1.Envelope_RecordsDigest:
		c.handleRecordsDigest(envelope.GetFrom(), body.RecordsDigest, effects)
	case *granitebayv1.Envelope_MemberNews:
		c.handleNews(now, body.MemberNews)
	case *granitebayv1.Envelope_PoolSums:
		c.handleSums(now, body.PoolSums, effects)
	case *granitebayv1.Envelope_EngineRecords:
		c.roles.LearnRecords(now, body.EngineRecords.GetRecords())
	case *granitebayv1.Envelope_RoleTargets:
		c.handleTargets(now, envelope.GetFrom(), body.RoleTargets, effects)
	}
	c.settle(now, effects)
}

// HandlePeerUnreachable takes word that messages to a peer were lost.
func (c *Core) HandlePeerUnreachable(now time.Time, peer string, effects *core.Effects) {
	c.noteStep(now)
	c.members.HandlePeerUnreachable(now, peer, effects)
	c.configuration.HandlePeerUnreachable(now, peer, effects)
	c.settle(now, effects)
}

// HandleEngineEvent takes an event from an engine.
func (c *Core) HandleEngineEvent(now time.Time, event engine.Event, effects *core.Effects) {
	c.noteStep(now)
	c.noteEngine(now, event)
	c.roles.HandleEngineEvent(now, event, effects)
	c.dispatch.HandleEngineEvent(now, event, effects)
	c.settle(now, effects)
}

// HandlePlatformResponse takes the answer to a request to the platform.
func (c *Core) HandlePlatformResponse(now time.Time, response platform.Response, effects *core.Effects) {
	c.noteStep(now)
	switch core.Owner(response.ID) {
	case ownerOwnership:
		c.ownership.HandlePlatformResponse(now, response, effects)
	case ownerConfiguration:
		c.configuration.HandlePlatformResponse(now, response, effects)
	case ownerRoleControl:
		c.roles.HandlePlatformResponse(now, response, effects)
	case claim.ViewRequestOwner:
		c.claimViews.HandlePlatformResponse(now, response, effects)
	case requestOwner:
		c.handleMemberList(now, response, effects)
	}
	c.settle(now, effects)
}

// HandlePlatformWatch takes changes of a watch.
func (c *Core) HandlePlatformWatch(now time.Time, event platform.WatchEvent, effects *core.Effects) {
	c.noteStep(now)
	switch core.Owner(event.ID) {
	case ownerOwnership:
		c.ownership.HandlePlatformWatch(now, event, effects)
	case ownerConfiguration:
		c.configuration.HandlePlatformWatch(now, event, effects)
	case ownerRoleControl:
		c.roles.HandlePlatformWatch(now, event, effects)
	}
	c.settle(now, effects)
}

// Tick runs what is due.
func (c *Core) Tick(now time.Time, effects *core.Effects) {
	c.noteStep(now)
	c.members.Tick(now, effects)
	c.configuration.Tick(now, effects)
	c.ownership.Tick(now, effects)
	c.roles.Tick(now, effects)
	c.tickClaims(now, effects)
	c.dispatch.Tick(now, effects)
	c.settle(now, effects)
	c.tickMembers(now, effects)
	c.tickProbes(now, effects)
	c.tickDigest(now, effects)
	c.tickPlan(now, effects)
	c.tickRecords(now, effects)
	c.settle(now, effects)
}

// NextWake tells when Tick is due next.
func (c *Core) NextWake() time.Time {
	wake := core.Earliest(c.members.NextWake(), c.configuration.NextWake())
	wake = core.Earliest(wake, c.ownership.NextWake())
	wake = core.Earliest(wake, c.roles.NextWake())
	wake = core.Earliest(wake, c.claimsWake())
	wake = core.Earliest(wake, c.dispatch.NextWake())
	for _, own := range []time.Time{c.nextMembers, c.nextProbe, c.nextDigest, c.nextPlan, c.nextRecords} {
		wake = core.Earliest(wake, own)
	}
	return wake
}

// settle hands on what one core learned to those that need it.
func (c *Core) settle(now time.Time, effects *core.Effects) {
	if c.members.Superseded() && !c.stopping {
		// Another process of this name is newer: this one must not vote, own or order anything any more.
		c.Stop(now, effects)
	}
	if version := c.members.Version(); version != c.memberVersion {
		c.memberVersion = version
		c.applyMembers(now)
	}
	if selection := c.engineSelection(); selection != c.appliedSelection {
		c.appliedSelection = selection
		c.enginesChanged = true
	}
	c.applyAuthority(now)
	c.spreadRecords(effects)
	if c.enginesChanged {
		c.enginesChanged = false
		c.changedEngines = c.changedEngines[:0]
		c.applyEngines(now, effects)
	}
	if len(c.changedEngines) > 0 {
		c.applyChangedEngines(now, effects)
	}
}

// applyMembers hands the live routers to the cores that hash over them.
func (c *Core) applyMembers(now time.Time) {
	live := c.members.Live()
	c.ownership.SetMembers(now, lo.Map(live, func(member membership.Member, _ int) ownership.Router {
		return ownership.Router{Name: member.Name, Zone: member.Zone}
	}))
	c.configuration.SetPeers(now, lo.FilterMap(live, func(member membership.Member, _ int) (configuration.Peer, bool) {
		peer := configuration.Peer{Name: member.Name, Address: member.Address, Incarnation: member.Incarnation}
		return peer, member.Name != c.settings.Self.GetName()
	}))
	c.spreadAmong()
	c.applyClaimMembers(now, live)
	for _, member := range c.members.Members() {
		if member.State == membership.StateDead {
			c.owners.Forget(member.Name)
		}
	}
	c.enginesChanged = true
}

// applyAuthority hands gained and lost authority to role control.
func (c *Core) applyAuthority(now time.Time) {
	version := c.ownership.Version()
	if version == c.ownershipVersion {
		return
	}
	c.ownershipVersion = version
	for _, name := range c.engineNames {
		epoch, held := c.ownership.Authority(now, name)
		c.roles.SetAuthority(now, name, epoch, held)
	}
	c.enginesChanged = true
}

// live tells whether a router takes new work.
func (c *Core) live(name string) bool {
	if name == c.settings.Self.GetName() {
		return !c.stopping
	}
	member, ok := c.members.Lookup(name)
	return ok && member.State == membership.StateAlive
}
