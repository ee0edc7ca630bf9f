// Package streamversion keeps which software version began each stream that may be taken up again. Events of workers of different versions
// don't fit together, and callers take up a stream at any gateway, so the gateways tell each other.
//
// The types of this package are pure state machines: they have no clock, no goroutine and no socket.
package streamversion

import (
	"strings"
	"time"
)

// Version is the service of workers and the version of their software.
type Version struct {
	// Service is the group that the workers registered for.
	Service string
	// Software is the version as the workers registered it; empty if they named none.
	Software string
	// Incarnation is set while the version is not known: it is the id of the worker whose record will tell, or UnknownIncarnation. Software is
	// empty then.
	Incarnation string
}

// UnknownIncarnation stands for an incarnation of a worker that is not known, or not yet.
const UnknownIncarnation = "?"

// IsTold reports whether the version itself is known, rather than the incarnation of a worker whose record will tell.
func (v Version) IsTold() bool { return v.Incarnation == "" }

// rank orders versions by how much they tell: nothing, an incarnation, or the version.
func (v Version) rank() int {
	switch v.Incarnation {
	case UnknownIncarnation:
		return 0
	case "":
		return 2
	default:
		return 1
	}
}

// incarnationPrefix marks an incarnation in the place of a version, where gateways tell each other. No worker registers such a version, so that a
// build which does not know the mark finds no worker that may go on with the stream.
const incarnationPrefix = "\x00incarnation "

// Encode returns what stands for the version in messages between gateways.
func (v Version) Encode() string {
	if v.IsTold() {
		return v.Software
	}
	return incarnationPrefix + v.Incarnation
}

// DecodeVersion returns the version of a service that Encode encoded.
func DecodeVersion(service, encoded string) Version {
	if id, found := strings.CutPrefix(encoded, incarnationPrefix); found && id != "" {
		return Version{Service: service, Incarnation: id}
	}
	return Version{Service: service, Software: encoded}
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
