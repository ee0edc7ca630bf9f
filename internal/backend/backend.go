// Package backend describes the workers that run requests.
package backend

import (
	"maps"
	"slices"
	"sort"
)

// Role is the part that a model engine plays.
type Role string

// The roles of workers.
const (
	// RoleNone is the role of plain application workers.
	RoleNone Role = ""
	// RolePrefill engines read prompts.
	RolePrefill Role = "prefill"
	// RoleDecode engines write answers, and read short prompts.
	RoleDecode Role = "decode"
)

// Worker is one incarnation of a process that runs requests.
type Worker struct {
	// ID is new at every start of the worker.
	ID string
	// Record is the name under which the worker records itself and which requests to it carry. It may keep that when it starts again.
	// Empty is the ID.
	Record string
	Group  string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the number of requests on which the worker works at once.
	Slots int
	Role  Role
	// Draining workers take no new work.
	Draining bool
	// Spot workers cost less, and may be taken away.
	Spot bool
	// Labels that the worker tells of itself, with those of the operators on top.
	Labels map[string]string
	// Selected are the groups whose selectors select the worker, by name; it is a member of Group besides.
	Selected []string
}

// RecordName returns the name under which the worker records itself.
func (w *Worker) RecordName() string {
	if w.Record == "" {
		return w.ID
	}
	return w.Record
}

// AsDraining returns the worker as one that takes no new work.
func (w *Worker) AsDraining() *Worker {
	if w.Draining {
		return w
	}
	draining := *w
	draining.Draining = true
	return &draining
}

// Equal tells whether two descriptions of a worker say the same.
func (w *Worker) Equal(other *Worker) bool {
	return w == other || (w.ID == other.ID && w.Record == other.Record && w.Group == other.Group && w.Address == other.Address &&
		w.Zone == other.Zone && w.Slots == other.Slots && w.Role == other.Role && w.Draining == other.Draining && w.Spot == other.Spot &&
		maps.Equal(w.Labels, other.Labels) && slices.Equal(w.Selected, other.Selected))
}

// Groups returns all groups of which the worker is a member.
func (w *Worker) Groups() []string { return append([]string{w.Group}, w.Selected...) }

// RoleGroup returns the group within which the role of the worker is planned: each worker has one.
func (w *Worker) RoleGroup() string {
	if len(w.Selected) > 0 {
		return w.Selected[0]
	}
	return w.Group
}

// Set is a snapshot of all workers by their ids.
type Set map[string]*Worker

// OfGroup returns the workers of a group that take new work, ordered by id.
func (s Set) OfGroup(group string) []*Worker {
	var workers []*Worker
	for _, worker := range s {
		if worker.Group == group && !worker.Draining {
			workers = append(workers, worker)
		}
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].ID < workers[b].ID })
	return workers
}

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Demand is what a request asks of a worker.
type Demand struct {
	// Model that is to answer; empty when the request does not say, or says it in its header.
	Model string
	// PromptTokens and OutputTokens are zero for requests to plain workers.
	PromptTokens int
	OutputTokens int
	// Parts of the prompt in their order. The last one belongs to the request itself or to its session.
	Parts []Part
}

// SharedParts are the parts that other requests may share.
func (d Demand) SharedParts() []Part {
	if len(d.Parts) == 0 {
		return nil
	}
	return d.Parts[:len(d.Parts)-1]
}

// AffinityKey names the prompts that are worth keeping together: the last shared part, or the own part when nothing is
// shared. It is empty for requests without parts.
func (d Demand) AffinityKey() string {
	switch len(d.Parts) {
	case 0:
		return ""
	case 1:
		return d.Parts[0].ID
	default:
		return d.Parts[len(d.Parts)-2].ID
	}
}

// Clone returns a copy that shares the workers, which are never changed.
func (s Set) Clone() Set { return maps.Clone(s) }
