package store

import (
	"encoding/json"
)

// Revision orders the changes of a store: by its era, which rises each time that the store comes back from an older copy and gives numbers
// out again, and within an era by the number. Zero comes before all, and is the revision of what is absent. As JSON it is the number alone,
// as it was before there were eras; what tells revisions to another process tells the era beside them.
type Revision int64

const (
	// numberBits leave room for a thousand changes a second for thirty years.
	numberBits = 40
	// MostEras keeps revisions below 2^53, up to which all readers of JSON keep numbers exact.
	MostEras = 1 << 13
)

// NewRevision returns the revision of a number in an era. The era is less than MostEras.
func NewRevision(era, number int64) Revision { return Revision(era<<numberBits | number) }

// Era returns the era.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number within the era, as the store gives it.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// in returns the revision of the same number in another era.
func (r Revision) withEra(era int64) Revision { return NewRevision(era, r.Number()) }

// Fence returns a fencing token that rises with the revision, across eras too. In a first era, which is counted as zero or one, it is the
// number itself, so that gateways of the build before, which know no eras, give fences of the same order.
func (r Revision) Fence() int64 { return max(r.Era()-1, 0)<<numberBits | r.Number() }

// MarshalJSON is part of json.Marshaler.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.Number()) }
