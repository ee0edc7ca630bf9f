package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// maxPartIDBytes is the length of the longest part id that is kept as it is. Longer ones are replaced by a hash, because callers choose them.
const maxPartIDBytes = 64

// Part is a part of prompts that requests to a group share. The zero Part is no part.
type Part struct {
	Group string
	// ID is the canonical id; see NewPart.
	ID string
	// Version is the software version of the workers to which the evidence and the bar are limited; empty for all workers.
	Version string
}

// AtVersion returns the part limited to the workers of a software version.
func (p Part) AtVersion(version string) Part {
	p.Version = version
	return p
}

// NewPart returns the part of a group with an id as a caller wrote it. Ids are hexadecimal numbers, so neither case nor leading zeros
// distinguish them.
func NewPart(group, id string) Part {
	id = strings.ToLower(strings.TrimSpace(id))
	if trimmed := strings.TrimLeft(id, "0"); trimmed != "" || id == "" {
		id = trimmed
	} else {
		id = "0"
	}
	if len(id) > maxPartIDBytes {
		sum := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(sum[:])
	}
	return Part{Group: group, ID: id}
}

// Digest returns the digest by which the store and operators name a barred part. It differs from the digests of requests, which cover five
// fields.
func (p Part) Digest() Digest {
	sum := sha256.New()
	fields := []string{"prompt part", p.Group, p.ID}
	if p.Version != "" {
		fields = append(fields, p.Version)
	}
	for _, field := range fields {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		sum.Write(size[:])
		sum.Write([]byte(field))
	}
	return Digest(sum.Sum(nil)[:digestBytes])
}

// isSamePart reports whether the parts are the same, whatever versions they are limited to.
func (p Part) isSamePart(other Part) bool { return p.Group == other.Group && p.ID == other.ID }

// IsZero reports whether p is no part.
func (p Part) IsZero() bool { return p == Part{} }

// String returns the part for logs.
func (p Part) String() string {
	text := p.ID + " of group " + p.Group
	if p.Version != "" {
		text += " at workers of version " + p.Version
	}
	return text
}

// compareParts orders parts.
func compareParts(a, b Part) int {
	return cmp.Or(strings.Compare(a.Group, b.Group), strings.Compare(a.ID, b.ID), strings.Compare(a.Version, b.Version))
}
