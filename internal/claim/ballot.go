package claim

import (
	"cmp"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// compareBallots orders ballots by round, then proposer, then incarnation. A missing ballot is the lowest.
func compareBallots(a, b *granitebayv1.Ballot) int {
	return cmp.Or(
		cmp.Compare(a.GetRound(), b.GetRound()),
		cmp.Compare(a.GetProposer(), b.GetProposer()),
		cmp.Compare(a.GetProposerIncarnation(), b.GetProposerIncarnation()),
	)
}

// sameValue tells whether two values are equal.
func sameValue(a, b *granitebayv1.ClaimValue) bool {
	return a.GetEngine() == b.GetEngine() &&
		a.GetEngineIncarnation() == b.GetEngineIncarnation() &&
		a.GetWithdrawn() == b.GetWithdrawn()
}
