// Package excerpt shortens texts that callers choose, for what is kept or logged after their requests have ended.
package excerpt

import (
	"fmt"
	"unicode/utf8"
)

// IDBytes is the length to which ids, targets and values of headers are shortened. Those of ordinary requests are shorter.
const IDBytes = 256

// Of returns a text of at most maxBytes as it is, and the beginning of a longer one with its length. A text that is shortened is not kept in memory by the
// result.
func Of(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	end := maxBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return fmt.Sprintf("%s… (%d bytes)", text[:end], len(text))
}
