package store

import (
	"encoding/json"
)

// Revision orders the changes of a store, first by era and then by number. The era increases each time the store is
// restored from a backup, because a restored store reuses numbers. Zero precedes all revisions and is the revision of an
// absent key. Only the number is encoded as JSON, for compatibility with builds without eras; messages carry the era
// separately.
type Revision int64

const (
	// numberBits is the size of the number: enough for a thousand changes per second for thirty years.
	numberBits = 40
	// MaxEras keeps revisions below 2^53, the range of exact integers in common JSON implementations.
	MaxEras = 1 << 13
)

// NewRevision returns the revision with a number in an era, which must be less than MaxEras.
func NewRevision(era, number int64) Revision { return Revision(era<<numberBits | number) }

// Era returns the era of the revision.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number that the store assigned within the era.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// withEra returns the revision with the same number in another era.
func (r Revision) withEra(era int64) Revision { return NewRevision(era, r.Number()) }

// Fence returns a fencing token that increases with the revision. In eras zero and one, it equals the
// number, so that tokens are comparable with those of builds without eras.
func (r Revision) Fence() int64 { return max(r.Era()-1, 0)<<numberBits | r.Number() }

// MarshalJSON implements json.Marshaler.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.Number()) }
