package bytebudget

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLong is returned for a body that exceeds its own limit, and ErrExhausted for one that exceeds the budget.
var (
	ErrTooLong   = errors.New("the body exceeds its limit")
	ErrExhausted = errors.New("the bodies of all responses together exceed their limit")
)

// minReadBytes is the size of the first buffer of ReadAll.
const minReadBytes = 512

// ReadAll reads a body of at most limit bytes, which the reservation holds.
func (r *Reservation) ReadAll(body io.Reader, limit int) ([]byte, error) {
	content := make([]byte, 0, minReadBytes)
	for {
		if len(content) == cap(content) {
			grown := min(2*cap(content), limit+1)
			if grown == cap(content) {
				return nil, errors.Wrapf(ErrTooLong, "read %d bytes, at most %d are allowed", len(content), limit)
			}
			if !r.Hold(grown) {
				return nil, ErrExhausted
			}
			content = append(make([]byte, 0, grown), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF && len(content) <= limit {
			return content, nil
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
		if len(content) > limit {
			return nil, errors.Wrapf(ErrTooLong, "at most %d bytes are allowed", limit)
		}
	}
}
