package backend

import "time"

// Notice is what a worker says of itself in an answer, whatever the answer is about.
type Notice struct {
	// Leaving is set by a worker that takes no new work any more, and ends soon.
	Leaving bool
	// BackOff is for how long the worker wants no more requests of the gateway to which it answered; zero when it does not say.
	BackOff time.Duration
}

// Empty tells whether the worker says nothing.
func (n Notice) Empty() bool { return n == Notice{} }
