package claim

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// CreatedAt returns the time in a request id of the form TENANT/ULID, in whole milliseconds.
func CreatedAt(requestID string) (time.Time, error) {
	separator := strings.LastIndexByte(requestID, '/')
	if separator < 0 {
		return time.Time{}, errors.Newf("read time of request id %q: no tenant", requestID)
	}
	id, err := ulid.ParseStrict(requestID[separator+1:])
	if err != nil {
		return time.Time{}, errors.Wrapf(err, "read time of request id %q", requestID)
	}
	return ulid.Time(id.Time()), nil
}
