package backend

import "time"

// Notice is what a worker says of itself in an answer, whatever the answer is about.
type Notice struct {
	// Leaving is set by a worker that takes no new work any more, and ends soon.
	Leaving bool
	// BackOff is for how long the worker wants no more requests of the gateway to which it answered; zero when it does not say.
	BackOff time.Duration
	// Limit is how many requests a second the worker takes of all gateways together, for as long as its answers say so; zero when it
	// names none.
	Limit float64
	// Asked is when the request was sent that this is the answer to, and that the worker ran: that such an answer names no limit ends one
	// that was named before. Zero for answers of another kind, which may name none although there is one.
	Asked time.Time
}

// Empty tells whether the worker says nothing.
func (n Notice) Empty() bool { return !n.Leaving && n.BackOff == 0 && n.Limit == 0 && n.Asked.IsZero() }
