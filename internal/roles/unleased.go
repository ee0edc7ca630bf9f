package roles

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/store"
)

// unleasedKey is a controller key without a lease. It would stand forever, and no process could acquire the key.
type unleasedKey struct {
	revision store.Revision
	value    []byte
	// deleteAfter is when this process may next try to delete the key.
	deleteAfter time.Time
	// reported is the last logged reason why the key is kept.
	reported string
}

// maxLoggedValueBytes bounds the part of the value of a key that is logged.
const maxLoggedValueBytes = 64

// fields returns the fields of log lines about the key.
func (u *unleasedKey) fields() logrus.Fields {
	return logrus.Fields{"key": ControllerKey, "value": string(u.value[:min(len(u.value), maxLoggedValueBytes)]), "revision": u.revision.Number()}
}

// noteUnleased records whether the controller key has a lease. Each write of the key starts the delay again. The caller holds the mutex.
func (c *Controller) noteUnleased(from time.Time, key *store.Item) {
	if key == nil || key.Lease != 0 {
		c.unleased = nil
		return
	}
	if c.unleased != nil && c.unleased.revision == key.Revision {
		return
	}
	isNew := c.unleased == nil
	c.unleased = &unleasedKey{revision: key.Revision, value: key.Value, deleteAfter: from.Add(c.settings.UnleasedKeyDelay)}
	if isNew {
		c.logger.WithFields(c.unleased.fields()).WithField("delay", c.settings.UnleasedKeyDelay).Warn(
			"The controller key has no lease, so no gateway wrote it, and none gives orders. It is deleted if it stands unchanged for the delay and its last holder is not registered.")
	}
}

// errLastHolderRegistered is returned if the last holder of the controller key is registered.
var errLastHolderRegistered = errors.New("the last holder of the controller key is registered and may not know yet that it has lost the key")

// deleteUnleased deletes the controller key if it has had no lease for UnleasedKeyDelay, so that processes may acquire it. Processes without
// a lease, which can't, leave that to the others at first.
func (c *Controller) deleteUnleased(ctx context.Context, now time.Time) {
	c.mutex.Lock()
	key, deleteAfter := c.unleased, time.Time{}
	if key != nil {
		deleteAfter = key.deleteAfter
		if c.lease == 0 {
			deleteAfter = deleteAfter.Add(c.settings.UnleasedKeyDelay)
		}
	}
	isDue := key != nil && !now.Before(deleteAfter)
	if isDue {
		key.deleteAfter = now.Add(c.settings.UnleasedKeyDelay)
	}
	c.mutex.Unlock()
	if !isDue {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	transaction, err := c.deletion(ctx, key.revision)
	if err == nil {
		_, err = c.store.Commit(ctx, transaction)
	}
	switch {
	case errors.Is(err, store.ErrConflict):
		// The watch reports what the key is now.
	case err != nil && err.Error() != key.reported:
		key.reported = err.Error()
		c.logger.WithError(err).WithFields(key.fields()).Warn("The controller key has no lease and is kept for now.")
	case err == nil:
		c.logger.WithFields(key.fields()).Warn("The controller key without a lease was deleted.")
		c.recordDecision(decision.Record{
			Kind: decision.KindAuthority, Subject: ControllerKey, Outcome: "deleted",
			Reason: "The controller key had no lease, so it would have kept all gateways from giving orders.",
		})
	}
}

// deletion returns the transaction that deletes the controller key at a revision. The last holder may be unaware that its key was overwritten:
// its lease is valid, but no longer deletes the key. So any other process deletes the key only after the registration of the last holder, which
// is bound to the same lease, has gone.
func (c *Controller) deletion(ctx context.Context, revision store.Revision) (store.Transaction, error) {
	// The prefix also lists the history.
	items, err := c.listCurrent(ctx, ControllerKey)
	if err != nil {
		return store.Transaction{}, err
	}
	if items[ControllerKey].Lease != 0 {
		// The gateway that passed the key on, perhaps of another version, left out the lease.
		return store.Transaction{}, store.ErrConflict
	}
	var previous history
	if stored, found := items[ControllerHistoryKey]; found {
		if err := json.Unmarshal(stored.Value, &previous); err != nil {
			return store.Transaction{}, errors.Wrap(err, "decode the history of controller key holders")
		}
	}
	if len(previous.Holders) > 0 && previous.Holders[0] != c.settings.Holder {
		registration := member.KeyPrefix + previous.Holders[0]
		registered, err := c.listCurrent(ctx, registration)
		if err != nil {
			return store.Transaction{}, err
		}
		if _, found := registered[registration]; found {
			return store.Transaction{}, errors.Wrap(errLastHolderRegistered, previous.Holders[0])
		}
	}
	return deletionAt(revision), nil
}

// listCurrent returns the items below a prefix by key, or an error if they may be outdated.
func (c *Controller) listCurrent(ctx context.Context, prefix string) (map[string]store.Item, error) {
	listing, err := c.store.ListUntil(ctx, prefix, nil)
	if err != nil {
		return nil, err
	}
	if listing.Stale {
		return nil, store.ErrBusy
	}
	items := make(map[string]store.Item, len(listing.Items))
	for _, item := range listing.Items {
		items[item.Key] = item
	}
	return items, nil
}
