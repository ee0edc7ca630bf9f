// Package backend describes the workers that process requests, their load and the changes to them. An engine is a worker
// with a role.
package backend

import (
	"maps"
	"slices"
	"sort"
)

// Role is the phase of disaggregated serving that an inference engine runs.
type Role string

// The roles of workers.
const (
	// RoleNone is the role of plain application workers.
	RoleNone Role = ""
	// RolePrefill engines process prompts.
	RolePrefill Role = "prefill"
	// RoleDecode engines generate responses. They also process short prompts themselves.
	RoleDecode Role = "decode"
)

// Worker is one incarnation of a process that runs requests.
type Worker struct {
	// ID differs for every start of the worker.
	ID string
	// Record is the name of the worker's record in the store, which may stay the same across restarts; the ID if empty.
	// Requests to the worker carry this name.
	Record string
	// Group is the service that the worker registered for.
	Group string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the number of requests that the worker processes concurrently.
	Slots int
	Role  Role
	// Draining workers receive no new requests.
	Draining bool
	// Spot workers cost less and may be preempted.
	Spot bool
	// SoftwareVersion is the version of the worker's software as it registered; empty if unknown. Unlike a label, it can't be overridden.
	SoftwareVersion string
	// Labels are those reported by the worker, overridden by those that operators set.
	Labels map[string]string
	// Selected are the names of the groups whose selectors match the worker, in addition to Group.
	Selected []string
}

// RecordName returns the name of the worker's record in the store.
func (w *Worker) RecordName() string {
	if w.Record == "" {
		return w.ID
	}
	return w.Record
}

// AsDraining returns a copy of the worker that is draining, or the worker itself if it already is.
func (w *Worker) AsDraining() *Worker {
	if w.Draining {
		return w
	}
	draining := *w
	draining.Draining = true
	return &draining
}

// Equal reports whether two descriptions of a worker are equal.
func (w *Worker) Equal(other *Worker) bool {
	return w == other || (w.ID == other.ID && w.Record == other.Record && w.Group == other.Group && w.Address == other.Address &&
		w.Zone == other.Zone && w.Slots == other.Slots && w.Role == other.Role && w.Draining == other.Draining && w.Spot == other.Spot &&
		w.SoftwareVersion == other.SoftwareVersion && maps.Equal(w.Labels, other.Labels) && slices.Equal(w.Selected, other.Selected))
}

// Groups returns all groups that the worker belongs to.
func (w *Worker) Groups() []string { return append([]string{w.Group}, w.Selected...) }

// RoleGroup returns the group for which the role of the worker is planned: the first selected one, else Group.
func (w *Worker) RoleGroup() string {
	if len(w.Selected) > 0 {
		return w.Selected[0]
	}
	return w.Group
}

// Set holds workers by ID.
type Set map[string]*Worker

// Available returns the workers of a group that are not draining, ordered by ID.
func (s Set) Available(group string) []*Worker {
	var workers []*Worker
	for _, worker := range s {
		if worker.Group == group && !worker.Draining {
			workers = append(workers, worker)
		}
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].ID < workers[b].ID })
	return workers
}

// Segment is a segment of a prompt that other prompts may share.
type Segment struct {
	ID     string
	Tokens int
}

// Demand is what a request needs from a worker.
type Demand struct {
	// Model is the requested model; empty if the request does not name it, or names it in a header.
	Model string
	// PromptTokens and OutputTokens are zero for requests to plain workers.
	PromptTokens int
	OutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the number of tokens of the response; zero if unknown. OutputTokens is their limit.
	ExpectedOutputTokens int
	// Segments are the segments of the prompt in order. Only later requests of the same session may share the last one.
	Segments []Segment
}

// SharedSegments returns the segments that other requests may share.
func (d Demand) SharedSegments() []Segment {
	if len(d.Segments) == 0 {
		return nil
	}
	return d.Segments[:len(d.Segments)-1]
}

// AffinityKey identifies prompts that benefit from running on the same worker: it is the last shared segment, or the
// request's own one if there is no other. It is empty for requests without segments.
func (d Demand) AffinityKey() string {
	switch len(d.Segments) {
	case 0:
		return ""
	case 1:
		return d.Segments[0].ID
	default:
		return d.Segments[len(d.Segments)-2].ID
	}
}

// Clone returns a copy of the set. The workers are shared, as they are immutable.
func (s Set) Clone() Set { return maps.Clone(s) }
