// Package streamversion keeps which software version began each stream that may be taken up again. Events of workers of different versions
// don't fit together, and callers take up a stream at any gateway, so the gateways tell each other.
//
// The types of this package are pure state machines: they have no clock, no goroutine and no socket.
package streamversion

import "time"

// Version is the service of workers and the version of their software.
type Version struct {
	// Service is the group that the workers registered for.
	Service string
	// Software is the version as the workers registered it; empty if they named none.
	Software string
}

// Source says how the version that began a stream is known.
type Source string

// The sources.
const (
	// SourceUnknown means that the version is not known.
	SourceUnknown Source = "unknown"
	// SourceOwnRun is a run of the request itself, and SourceOwnRecord an earlier request of this gateway.
	SourceOwnRun    Source = "own run"
	SourceOwnRecord Source = "own record"
	// SourcePeer is a record that another gateway keeps.
	SourcePeer Source = "peer"
	// SourceDeduced means that workers of one version only have served since the stream can have begun.
	SourceDeduced Source = "deduced"
)

// Finding is the version that began a stream, and how it is known.
type Finding struct {
	Version Version
	Source  Source
	// Age is the age of the knowledge: of the record, or of the last look at the workers.
	Age time.Duration
}

// IsKnown reports whether the version is known.
func (f Finding) IsKnown() bool { return f.Source != SourceUnknown && f.Source != "" }
