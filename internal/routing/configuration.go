// Package routing holds the dynamic configuration of the request path: which rule a request falls under, which group of
// workers serves it and under which limits. A configuration is a whole validated snapshot and is never changed.
package routing

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/tenant"
)

// Kind says how often a request may run.
type Kind int

// The kinds of requests.
const (
	// KindRunOnce requests run at most once.
	KindRunOnce Kind = iota
	// KindRepeatable requests may run again after any failure.
	KindRepeatable
	// KindStream requests are answered by events. They run at most once unless their rule is resumable.
	KindStream
)

// Share is one part of the traffic of a rule.
type Share struct {
	// Group that serves the part.
	Group string
	// Weight of the part among all parts, at least 0.
	Weight int
}

// Matcher says which requests a rule is for. It is a PathMatch or a LabelMatch.
type Matcher interface{ isMatcher() }

// PathMatch selects the requests of one host below one path. Among several the longest path wins.
type PathMatch struct {
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
}

// LabelMatch selects requests by their labels. Among several the highest precedence wins, then the first name.
type LabelMatch struct {
	Selector   Selector
	Precedence int
}

func (PathMatch) isMatcher()  {}
func (LabelMatch) isMatcher() {}

// Selector selects what has certain labels.
type Selector interface {
	MatchesLabels(labels map[string]string) bool
}

// Rule says how the requests that it matches are served.
type Rule struct {
	Name  string
	Match Matcher
	Kind  Kind
	// Timeout bounds a request from its arrival to its end.
	Timeout time.Duration
	// Objective is the time within which the first byte of an answer is wanted.
	Objective time.Duration
	// GapObjective is the longest pause wanted between two events of a stream.
	GapObjective time.Duration
	// Priority is the rank of the rule, 0 the most urgent.
	Priority int
	// MaxAttempts is the largest number of workers on which one request may run.
	MaxAttempts int
	// Resumable streams may go on at another worker after the last event that was passed on.
	Resumable bool
	// Shares of the traffic, at least one.
	Shares []Share
	// Public rules serve callers without a key.
	Public bool
	// TenantInFlight is the most requests of one tenant that all gateways together have in hand; zero is no limit.
	TenantInFlight int
}

// Repeatable tells whether a request of the rule may run more than once.
func (r *Rule) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Engine describes the model engines of a group.
type Engine struct {
	// MemoryTokens is the number of tokens for which one engine has KV cache.
	MemoryTokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int
	// LinkMbps is the speed of the links between engines in Mbit/s.
	LinkMbps float64
	// TokensPerEvent is the number of tokens that one event of a stream carries.
	TokensPerEvent int
	// HandleTTL is how long the KV cache of a read prompt is kept for the engine that goes on with it.
	HandleTTL time.Duration
	// RoleChange is how long a change of role takes.
	RoleChange time.Duration
}

// Group is a set of interchangeable workers: those that record themselves as its members, or those of another group that its
// selector selects.
type Group struct {
	Name string
	// Of is the group whose workers the selector selects from; empty for a group without a selector.
	Of       string
	Selector Selector
	// HealthPath is the path at which a worker tells who it is; empty when it does not.
	HealthPath string
	// LeastOfRole is the number of engines that each role keeps at the least.
	LeastOfRole map[backend.Role]int
	// MaxConnections is the number of connections that one worker accepts from all callers together.
	MaxConnections int
	// Engine is nil for groups of plain application workers.
	Engine *Engine
	// Scaling says what workers may be ordered; nil is none.
	Scaling *Scaling
}

// Scaling says what workers of a group may be ordered.
type Scaling struct {
	// Least and Most workers of a zone.
	Least, Most int
	// Boot is how long an ordered worker takes until it serves.
	Boot time.Duration
	// SpotPrice is the price of a worker that may be taken away, as a part of that of others; zero when there are none.
	SpotPrice float64
	// ZonePrices are the prices of a worker for a second, by zone.
	ZonePrices map[string]float64
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// HeaderTimeout bounds how long the head of a request may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may rest between two requests.
	IdleTimeout time.Duration
}

// Configuration is one revision of everything that an operator decides about the request path.
type Configuration struct {
	// Version of the routes and services, and Revision of the groups and rules by labels. Each rises with each change.
	Version  int64
	Revision int64
	Rules    []Rule
	Groups   []Group
	Limits   Limits
	// Tenants says whose key is whose. Without it callers need no key.
	Tenants *tenant.Table
	// WorkerLabels are put on workers by operators, by address of the worker and key of the label.
	WorkerLabels map[string]map[string]string
}

// WithLabels returns the configuration with groups and rules by labels besides its own. Groups take the engines of those from
// which they select. Either part may be nil; nil is returned when both are.
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

// selectedFrom gives a group what it takes over from the one from which it selects.
func (c *Configuration) withBaseSettings(group Group) Group {
	for _, base := range c.Groups {
		if base.Name == group.Of {
			group.Engine, group.MaxConnections = base.Engine, base.MaxConnections
			return group
		}
	}
	return group
}

// Select returns the workers with the labels of the operators and the groups that select them. Workers are not changed.
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

// selects tells whether workers get labels or groups besides their own.
func (c *Configuration) changesWorkers() bool {
	return c != nil && (len(c.WorkerLabels) > 0 || slices.ContainsFunc(c.Groups, func(g Group) bool { return g.Of != "" }))
}

// SelectChanges is Select for workers that have changed.
func (c *Configuration) SelectChanges(changes backend.Changes) backend.Changes {
	if c.changesWorkers() {
		changes.Put = lo.Map(changes.Put, func(worker *backend.Worker, _ int) *backend.Worker { return c.applyLabelsAndGroups(worker) })
	}
	return changes
}

// selectWorker returns one worker with its labels and groups.
func (c *Configuration) applyLabelsAndGroups(worker *backend.Worker) *backend.Worker {
	labelled := *worker
	labelled.Labels = lo.Assign(worker.Labels, c.WorkerLabels[worker.Address])
	labelled.Selected = nil
	for _, group := range c.Groups {
		if group.Of == worker.Group && group.Selector != nil && group.Selector.MatchesLabels(labelled.Labels) {
			labelled.Selected = append(labelled.Selected, group.Name)
		}
	}
	return &labelled
}
