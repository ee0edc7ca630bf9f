package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// maxSegmentIDBytes is the length of the longest segment id that is kept as it is.
const maxSegmentIDBytes = 64

// maxHeldBytes is the length up to which a text may stay in memory for the sake of an id that is a piece of it.
const maxHeldBytes = 512

// SegmentID returns the id by which a segment is known to the tables of a gateway, given the id that a caller chose and the text of which it may be a
// piece. The tables keep ids for long after their requests have ended, so a long id is replaced by its hash, and one from a long text is copied.
func SegmentID(id, text string) string {
	switch {
	case len(id) > maxSegmentIDBytes:
		sum := sha256.Sum256([]byte(id))
		return hex.EncodeToString(sum[:])
	case len(text) > maxHeldBytes:
		return strings.Clone(id)
	default:
		return id
	}
}
