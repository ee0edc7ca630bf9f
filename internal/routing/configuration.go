// Package routing holds the dynamic configuration of the request path: which rule applies to a request, which group
// of workers serves it, and with which limits. A Configuration is a complete snapshot and is immutable;
// callers validate it before they use it.
package routing

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/tenant"
)

// Kind tells whether a request may be retried, and whether its response is a stream.
type Kind int

// Kinds of requests.
const (
	// KindAtMostOnce requests are executed at most once.
	KindAtMostOnce Kind = iota
	// KindRepeatable requests may be executed again after any failure.
	KindRepeatable
	// KindStream requests are answered with a stream of events. They are executed at most once unless their rule is
	// resumable.
	KindStream
)

// Share is a group's share of the traffic of a rule.
type Share struct {
	// Group serves the share.
	Group string
	// Weight is relative to the weights of the other shares of the rule, at least 0.
	Weight int
}

// Matcher selects the requests of a rule. It is a PathMatch or a LabelMatch.
type Matcher interface{ isMatcher() }

// PathMatch selects the requests of one host by path prefix. The longest matching prefix wins.
type PathMatch struct {
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
}

// LabelMatch selects requests by labels. Among several matching rules the highest precedence wins, then the name that
// sorts first.
type LabelMatch struct {
	Selector   Selector
	Precedence int
}

func (PathMatch) isMatcher()  {}
func (LabelMatch) isMatcher() {}

// Selector reports whether a set of labels matches.
type Selector interface {
	MatchesLabels(labels map[string]string) bool
}

// Rule defines how matching requests are served.
type Rule struct {
	Name  string
	Match Matcher
	Kind  Kind
	// Timeout limits the total time of a request.
	Timeout time.Duration
	// Objective is the latency objective of the rule: the target for the time to the first byte of the response.
	Objective time.Duration
	// EventGapObjective is the target for the longest pause between two events of a stream.
	EventGapObjective time.Duration
	// Patience is the time without an event after which callers give up a stream; zero if unknown.
	Patience time.Duration
	// Priority is the priority class of the rule, 0 being the most urgent.
	Priority int
	// MaxAttempts is the maximum number of workers that may execute one request.
	MaxAttempts int
	// Resumable streams may continue on another worker after the last forwarded event.
	Resumable bool
	// Shares are the shares of the groups in the traffic of the rule, at least one.
	Shares []Share
	// Public rules require no API key.
	Public bool
	// MaxTenantInFlight limits the concurrent requests of one tenant over all gateways; zero means no limit.
	MaxTenantInFlight int
}

// Repeatable reports whether a request of the rule may be executed more than once.
func (r *Rule) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Engine describes the inference engines of a group.
type Engine struct {
	// KVCacheTokens is the capacity of the KV cache of one engine.
	KVCacheTokens int
	// BytesPerToken is the size of one token in the KV cache.
	BytesPerToken int
	// LinkMbps is the bandwidth between engines in Mbit/s.
	LinkMbps float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// HandleTTL is how long the KV cache of a prefilled prompt is kept for the decode engine.
	HandleTTL time.Duration
	// KeepsCopies is set if an engine sends the state of a run to another one while it runs, if a request asks for it.
	KeepsCopies bool
	// RoleChangeTime is how long a role change takes.
	RoleChangeTime time.Duration
}

// Group is a set of interchangeable workers: those that register as its members, or those of another group that its
// selector matches.
type Group struct {
	Name string
	// SelectFrom is the group from which the selector selects workers; empty for a group without a selector.
	SelectFrom string
	Selector   Selector
	// HealthPath is the path at which a worker reports its identity; empty if it does not.
	HealthPath string
	// MinPerRole is the minimum number of engines of each role.
	MinPerRole map[backend.Role]int
	// MaxConnections is the number of connections that one worker accepts from all callers together.
	MaxConnections int
	// Engine is nil for groups of plain application workers.
	Engine *Engine
	// Scaling limits the workers that may be provisioned; nil means none.
	Scaling *Scaling
}

// Service returns the group that the workers of the group register for.
func (g *Group) Service() string {
	if g.SelectFrom != "" {
		return g.SelectFrom
	}
	return g.Name
}

// Scaling limits the workers of a group that may be provisioned.
type Scaling struct {
	// Min and Max limit the number of workers in each zone.
	Min, Max int
	// BootTime is the time from ordering a worker until it serves requests.
	BootTime time.Duration
	// SpotPrice is the price of a spot worker relative to an on-demand one; zero if there are none.
	SpotPrice float64
	// ZonePrices are the prices of an on-demand worker per second, by zone.
	ZonePrices map[string]float64
}

// Limits restricts the requests of clients.
type Limits struct {
	// MaxHeaderBytes limits the size of the request header.
	MaxHeaderBytes int
	// MaxBodyBytes limits the size of the request body.
	MaxBodyBytes int64
	// HeaderTimeout limits the time to receive the request header.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may stay idle between requests.
	IdleTimeout time.Duration
}

// Configuration is one revision of everything that operators configure for the request path.
type Configuration struct {
	// Version is the version of path rules and their groups. It increases with every change.
	Version int64
	// Revision is the version of label-based groups and rules. It increases with every change.
	Revision int64
	Rules    []Rule
	Groups   []Group
	Limits   Limits
	// Tenants maps API keys to tenants. If nil, clients need no key.
	Tenants *tenant.Table
	// WorkerLabels are the labels that operators assign to workers, by worker address and label key.
	WorkerLabels map[string]map[string]string
}

// WithLabels returns the configuration merged with label-based groups and rules. These groups take Engine and
// MaxConnections of the groups that they select from. Either configuration may be nil; the result is nil if both are.
func (c *Configuration) WithLabels(byLabels *Configuration) *Configuration {
	switch {
	case byLabels == nil:
		return c
	case c == nil:
		c = &Configuration{}
	}
	merged := *c
	merged.Revision = byLabels.Revision
	merged.WorkerLabels = byLabels.WorkerLabels
	merged.Groups = slices.Clone(c.Groups)
	for _, group := range byLabels.Groups {
		merged.Groups = append(merged.Groups, c.withBaseSettings(group))
	}
	merged.Rules = slices.Concat(c.Rules, byLabels.Rules)
	return &merged
}

// withBaseSettings returns the group with Engine and MaxConnections of the group that it selects from.
func (c *Configuration) withBaseSettings(group Group) Group {
	for _, base := range c.Groups {
		if base.Name == group.SelectFrom {
			group.Engine, group.MaxConnections = base.Engine, base.MaxConnections
			return group
		}
	}
	return group
}

// Select returns copies of the workers with the labels that operators assigned and the groups that select them filled
// in. If there are neither, it returns the argument, which is never modified.
func (c *Configuration) Select(workers backend.Set) backend.Set {
	if !c.changesWorkers() {
		return workers
	}
	selected := make(backend.Set, len(workers))
	for id, worker := range workers {
		selected[id] = c.applyLabelsAndGroups(worker)
	}
	return selected
}

// changesWorkers reports whether there are operator labels or groups with which Select changes workers.
func (c *Configuration) changesWorkers() bool {
	return c != nil && (len(c.WorkerLabels) > 0 || slices.ContainsFunc(c.Groups, func(g Group) bool { return g.SelectFrom != "" }))
}

// SelectChanges is like Select, for changed workers.
func (c *Configuration) SelectChanges(changes backend.Changes) backend.Changes {
	if c.changesWorkers() {
		changes.Updated = lo.Map(changes.Updated, func(worker *backend.Worker, _ int) *backend.Worker { return c.applyLabelsAndGroups(worker) })
	}
	return changes
}

// applyLabelsAndGroups returns a copy of the worker with its labels and groups.
func (c *Configuration) applyLabelsAndGroups(worker *backend.Worker) *backend.Worker {
	labelled := *worker
	labelled.Labels = lo.Assign(worker.Labels, c.WorkerLabels[worker.Address])
	labelled.Selected = nil
	for _, group := range c.Groups {
		if group.SelectFrom == worker.Group && group.Selector != nil && group.Selector.MatchesLabels(labelled.Labels) {
			labelled.Selected = append(labelled.Selected, group.Name)
		}
	}
	return &labelled
}
