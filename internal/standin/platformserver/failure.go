package platformserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/granitebay/granitebay/internal/platform"
)

// failure is the body of an answer to a request that the platform did not carry out.
type failure struct {
	huma.ErrorModel
	Failure platform.Failure `json:"failure"`
	// RetryAfterMilliseconds is set with rate-limited.
	RetryAfterMilliseconds int64 `json:"retryAfterMilliseconds,omitempty"`
	// Revision of the key-value service.
	Revision uint64 `json:"revision,omitempty"`
}

// failureStatus maps failures to HTTP status codes.
var failureStatus = map[platform.Failure]int{
	platform.FailureUnknown:     http.StatusGatewayTimeout,
	platform.FailureRateLimited: http.StatusTooManyRequests,
	platform.FailureUnavailable: http.StatusServiceUnavailable,
	platform.FailureNoLease:     http.StatusNotFound,
	platform.FailureCompacted:   http.StatusGone,
}

// failureDetail explains the failures.
var failureDetail = map[platform.Failure]string{
	platform.FailureUnknown:     "The service broke off; the request may or may not have taken effect.",
	platform.FailureRateLimited: "Too many requests; ask again after the given time.",
	platform.FailureUnavailable: "The service is down; the request has not taken effect.",
	platform.FailureNoLease:     "The lease does not exist or has expired.",
	platform.FailureCompacted:   "The watch starts before the oldest kept revision; list the keys and watch from there.",
}

func newFailure(response platform.Response) error {
	status := failureStatus[response.Failure]
	body := &failure{
		ErrorModel: huma.ErrorModel{
			Status: status,
			Title:  http.StatusText(status),
			Detail: failureDetail[response.Failure],
		},
		Failure:                response.Failure,
		RetryAfterMilliseconds: milliseconds(response.RetryAfter),
		Revision:               response.Revision,
	}
	if response.Failure != platform.FailureRateLimited {
		return body
	}
	seconds := int64((response.RetryAfter + time.Second - 1) / time.Second)
	return huma.ErrorWithHeaders(body, http.Header{"Retry-After": {strconv.FormatInt(seconds, 10)}})
}

// milliseconds rounds up, so that whoever waits for so long does not come too early.
func milliseconds(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}
