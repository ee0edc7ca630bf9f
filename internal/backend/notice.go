package backend

import "time"

// Notice is what a worker reports about itself in a response, independent of the request.
type Notice struct {
	// Leaving is set by a worker that accepts no new requests and will stop soon.
	Leaving bool
	// BackOff is how long the gateway that receives the response should send no requests; zero if unset.
	BackOff time.Duration
	// Limit is the number of requests per second that the worker accepts from all gateways together, for as long as
	// its responses say so; zero if unset.
	Limit float64
	// RequestedAt is when the request was sent, or zero if the worker did not run it. A response with RequestedAt and
	// without a limit revokes earlier limits; one without RequestedAt may omit a limit that is in force.
	RequestedAt time.Time
}

// Empty reports whether the worker reports nothing.
func (n Notice) Empty() bool {
	return !n.Leaving && n.BackOff == 0 && n.Limit == 0 && n.RequestedAt.IsZero()
}
