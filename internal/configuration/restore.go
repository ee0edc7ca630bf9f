package configuration

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/store"
)

// ErrDiverged is returned by Restore if the store holds an edit that is not in the history of the last known document.
var ErrDiverged = errors.New("the store holds an edit that is missing from the last known configuration")

// Restore writes the last known document back if the store holds an earlier revision of it or none. This recovers the edits
// that were lost when the store was restored from a backup. It reports whether it wrote.
func Restore(ctx context.Context, s store.Store, lastKnown Document) (bool, error) {
	current, revision, err := Read(ctx, s)
	if err != nil || current.Revision >= lastKnown.Revision {
		return false, err
	}
	if !lastKnown.descendsFrom(current) {
		return false, errors.Wrapf(ErrDiverged, "store revision %d, change %s", current.Revision, current.ChangeID)
	}
	snapshot, err := Compile(lastKnown)
	if err != nil {
		return false, err
	}
	_, err = s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: StoreKey, Revision: revision}}, Puts: []store.Put{{Key: StoreKey, Value: snapshot.encoded}},
	})
	return err == nil, errors.Wrap(err, "write last known configuration to the store")
}

// descendsFrom reports whether the other document is an earlier revision of this one that is still in the history, or empty.
func (d Document) descendsFrom(other Document) bool {
	if other.Revision == 0 {
		return true
	}
	for _, change := range d.History {
		if change.Revision == other.Revision {
			return change.ChangeID == other.ChangeID
		}
	}
	return false
}
