package claim

import (
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/rendezvous"
)

// intendedAcceptors is the number of acceptors of one request id.
const intendedAcceptors = 3

// Holder is a router that may be an acceptor.
type Holder struct {
	Name string
	Zone string
}

// View is a set of routers from which acceptors are chosen. Views of one version must be the same everywhere.
type View struct {
	Version uint64
	Holders []Holder
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
