package claim

import (
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/rendezvous"
)

// intendedAcceptors is the number of acceptors of one request id.
const intendedAcceptors = 3

// Holder is a router that may be an acceptor.
type Holder struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// View is a set of routers from which acceptors are chosen. Views of one version must be the same everywhere.
type View struct {
	Version uint64 `json:"version"`
	// StartMilliseconds is the time of the first request id that the view decides, in milliseconds since 1970.
	StartMilliseconds int64    `json:"startMilliseconds"`
	Holders           []Holder `json:"holders"`
}

// Acceptors returns the routers that decide a request id: three, in different zones where there are that many. With one
// or two holders it returns one, because two acceptors would both have to answer and so bear no failure either.
func (v View) Acceptors(requestID string) []Holder {
	count := intendedAcceptors
	if len(v.Holders) < intendedAcceptors {
		count = min(1, len(v.Holders))
	}
	nodes := lo.Map(v.Holders, func(holder Holder, _ int) rendezvous.Node { return rendezvous.Node(holder) })
	chosen := rendezvous.TopAcrossZones(requestID, nodes, count)
	return lo.Map(chosen, func(node rendezvous.Node, _ int) Holder { return Holder(node) })
}

// quorum is the number of votes that decide. It counts against all acceptors of the view, not only those that live.
func quorum(acceptors []Holder) int { return len(acceptors)/2 + 1 }

// startsBy tells whether the view starts at or before a time, at the resolution of request ids.
func (v View) startsBy(moment time.Time) bool { return v.StartMilliseconds <= moment.UnixMilli() }

// sealSuffices tells whether the holders that are not sealed can make up a quorum for no request id, whichever id it is.
// See docs/design/claims.md for the cases.
func (v View) sealSuffices(sealed map[string]bool) bool {
	open := lo.Reject(v.Holders, func(holder Holder, _ int) bool { return sealed[holder.Name] })
	switch {
	case len(open) == 0:
		return true
	case len(v.Holders) < intendedAcceptors:
		return false // the one acceptor of an id is a quorum
	case countZones(v.Holders) < intendedAcceptors:
		return len(open) == 1 // any two holders may share the acceptors of an id, also of one zone
	default:
		return countZones(open) == 1 // the acceptors of an id are in different zones
	}
}

// countZones counts the different zones.
func countZones(holders []Holder) int {
	return len(lo.UniqBy(holders, func(holder Holder) string { return holder.Zone }))
}
