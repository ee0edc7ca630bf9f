package httpclient

import "time"

// silenceLookInterval is the time between two looks at what has arrived from a peer that seems silent.
const silenceLookInterval = 10 * time.Millisecond

// Silence confirms that a peer is silent whose time to send something has passed. It is not safe for concurrent use.
//
// Invariant: a peer is silent only if two successive looks found nothing that has arrived, and the same read in progress.
type Silence struct {
	arrivals *Arrivals
	// seen is set if the last look found nothing, and reads is the number of reads at that look.
	seen  bool
	reads uint32
}

// NewSilence returns a Silence of the peer whose response arrives at arrivals, which may be nil.
func NewSilence(arrivals *Arrivals) Silence { return Silence{arrivals: arrivals} }

// Confirm looks at what has arrived. It returns zero if the peer is silent, and else when to look again.
func (s *Silence) Confirm() time.Duration {
	reads, quiet := s.arrivals.Quiet()
	confirmed := quiet && s.seen && reads == s.reads
	s.seen, s.reads = quiet, reads
	if confirmed {
		return 0
	}
	return silenceLookInterval
}
