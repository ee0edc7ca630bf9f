package streamversion

import "time"

// Stream is a stream that callers may take up again.
type Stream struct {
	// Key names the stream; zero if the caller that takes it up named none.
	Key Key
	// Services are those whose workers may have begun the stream.
	Services []string
	// Lifetime is how long the stream may be taken up again after the last event.
	Lifetime time.Duration
}

// MaxLifetime is the longest time for which a stream may be taken up again.
const MaxLifetime = 10 * time.Minute

// Bounds on the age of what a gateway knows of the workers.
const (
	// shareFrom is the age of the list of workers from which on a gateway tells others of every stream that it begins.
	shareFrom = 5 * time.Second
	// horizonSlack is how much further than the lifetime of a stream gateways look back. It exceeds shareFrom, so that two gateways that both
	// know one version, and different ones, can't both be complete.
	horizonSlack = 6 * time.Second
)

// Horizon returns how far back a gateway must have watched the workers to conclude from them which version began a stream.
func (s Stream) Horizon() time.Duration { return s.Lifetime + horizonSlack }

// NeedsRecord reports whether other gateways must be told which version begins a stream, because they can't conclude it. Own is the outlook of
// this gateway over the horizon, and staleness the age of its list of workers.
func NeedsRecord(own Outlook, staleness time.Duration) bool {
	return !own.IsSole() || !own.IsComplete || staleness >= shareFrom
}

// Evidence is what is known about a stream of which no gateway that was asked has a record.
type Evidence struct {
	// Own is the outlook of this gateway over the horizon, and Staleness the age of its list of workers.
	Own       Outlook
	Staleness time.Duration
	Horizon   time.Duration
	// Peers are the outlooks of the other gateways that answered, and PeerCount is the number of those that are registered, also if they can't be
	// reached: a gateway that is cut off hears of none, as one whose peers have ended does.
	Peers     []Outlook
	PeerCount int
}

// minWitnesses is the number of other gateways that must have no record of a stream before its version is deduced.
const minWitnesses = 2

// Deduce returns the only version that can have begun the stream, or false if there may be several.
//
// A gateway that begins a stream tells others unless it has known no second version for the horizon. So a stream without a record is of the
// version that this gateway knows alone, if its own list of workers is younger than the horizon.
func (e Evidence) Deduce() (Version, bool) {
	if !e.Own.IsSole() || e.Staleness >= e.Horizon {
		return Version{}, false
	}
	isWatched, witnesses := e.Own.IsComplete, 0
	for _, peer := range e.Peers {
		if peer.Versions > 1 || (peer.IsSole() && peer.Only != e.Own.Only) {
			return Version{}, false
		}
		if peer.IsSole() {
			witnesses++
			isWatched = isWatched || peer.IsComplete
		}
	}
	return e.Own.Only, isWatched && witnesses >= min(minWitnesses, e.PeerCount)
}
