package configuration

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/store"
)

// ErrDiverged is returned by Restore when the store holds an edit that the known document does not have.
var ErrDiverged = errors.New("the store holds an edit that is not in the document known here")

// Restore writes a document that was in force again if the store holds an earlier revision of it, as one does that has come back from an
// older copy: nobody else has the edits that it lost. It tells whether something was written.
func Restore(ctx context.Context, target store.Store, lastKnown Document) (bool, error) {
	current, revision, err := Read(ctx, target)
	if err != nil || current.Revision >= lastKnown.Revision {
		return false, err
	}
	if !lastKnown.descendsFrom(current) {
		return false, ErrDiverged
	}
	snapshot, err := Compile(lastKnown)
	if err != nil {
		return false, err
	}
	_, err = target.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: StoreKey, Revision: revision}}, Puts: []store.Put{{Key: StoreKey, Value: snapshot.encoded}},
	})
	return err == nil, errors.Wrap(err, "step write the configuration again")
}

// follows tells whether another document is an earlier revision of this one, as far as the history reaches.
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
