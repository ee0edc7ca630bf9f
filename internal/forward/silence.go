package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/httpclient"
)

// silenceLookInterval is the time between two looks at what has arrived from a worker that seems silent.
const silenceLookInterval = 10 * time.Millisecond

// silence confirms that a worker is silent whose time to send something has passed. It is not safe for concurrent use.
//
// Invariant: a worker is silent only if two successive looks found nothing that has arrived, and the same read in progress.
type silence struct {
	// arrivals is what has arrived of the response; may be nil.
	arrivals *httpclient.Arrivals
	// seen is set if the last look found nothing, and reads is the number of reads at that look.
	seen  bool
	reads uint32
}

// confirm looks at what has arrived. It returns zero if the worker is silent, and else when to look again.
func (s *silence) confirm() time.Duration {
	reads, quiet := s.arrivals.Quiet()
	confirmed := quiet && s.seen && reads == s.reads
	s.seen, s.reads = quiet, reads
	if confirmed {
		return 0
	}
	return silenceLookInterval
}
