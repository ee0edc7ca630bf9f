package poolspread

import (
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

const (
	// loadShare is the change of the load of a pool, as a share of its slots, that is worth a message.
	loadShare = 1.0 / 16
	// tokenShare is the change of its pending prompt tokens, as a share, and tokenChange the least such change.
	tokenShare  = 0.25
	tokenChange = 4096
)

// differs tells whether a digest tells enough news after an earlier one to be sent before its time.
func differs(before, after *granitebayv1.PoolDigest) bool {
	return before == nil || before.GetLeaving() != after.GetLeaving() ||
		!slices.Equal(before.GetUnreadyEngines(), after.GetUnreadyEngines()) ||
		!slices.EqualFunc(before.GetLeavingEngines(), after.GetLeavingEngines(), equalMessages) ||
		!slices.EqualFunc(before.GetPools(), after.GetPools(), alikePools)
}

func equalMessages(a, b *granitebayv1.LeavingEngine) bool { return proto.Equal(a, b) }

// alikePools tells whether two reports of one pool differ by little.
func alikePools(a, b *granitebayv1.Pool) bool {
	same := a.GetGroup() == b.GetGroup() && a.GetModel() == b.GetModel() && a.GetRole() == b.GetRole() &&
		a.GetEngines() == b.GetEngines() && a.GetSlots() == b.GetSlots()
	load := distance(a.GetRunning()+a.GetQueued(), b.GetRunning()+b.GetQueued())
	tokens := distance(a.GetPendingPromptTokens(), b.GetPendingPromptTokens())
	return same && load <= max(1, loadShare*float64(a.GetSlots())) &&
		tokens <= max(tokenChange, tokenShare*float64(a.GetPendingPromptTokens()))
}

func distance[T uint32 | uint64](a, b T) float64 {
	return lo.Ternary(a > b, float64(a)-float64(b), float64(b)-float64(a))
}
