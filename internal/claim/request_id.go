package claim

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// InstanceSeparator stands between a request id and the number of a further claim instance of the same request.
const InstanceSeparator = "#"

// CreatedAt returns the time in a request id of the form TENANT/ULID, in whole milliseconds. The number of an instance
// behind it does not count.
func CreatedAt(requestID string) (time.Time, error) {
	requestID, _, _ = strings.Cut(requestID, InstanceSeparator)
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
