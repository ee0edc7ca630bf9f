package roles

import (
	"context"
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
	// seenAt is when this process first saw the key.
	seenAt time.Time
	// deleteAfter is when this process may next try to delete the key.
	deleteAfter time.Time
	// reported is the last logged reason why the key is kept.
	reported string
}

// maxLoggedValueBytes bounds the part of the value of a key that is logged.
const maxLoggedValueBytes = 64

// loggedValue returns the part of the value of a key that is logged.
func loggedValue(value []byte) string { return string(value[:min(len(value), maxLoggedValueBytes)]) }

// fields returns the fields of log lines about the key.
func (u *unleasedKey) fields() logrus.Fields {
	return logrus.Fields{"key": ControllerKey, "value": loggedValue(u.value), "revision": u.revision.Number()}
}

// noteUnleased records whether the controller key has a lease. Each write of the key starts the delay again. The caller holds the mutex.
func (c *Controller) noteUnleased(now time.Time, stagger time.Duration, key *store.Item) {
	if key == nil || key.Lease != 0 {
		c.unleased = nil
		return
	}
	if c.unleased != nil && c.unleased.revision == key.Revision {
		return
	}
	isNew := c.unleased == nil
	c.unleased = &unleasedKey{revision: key.Revision, value: key.Value, seenAt: now, deleteAfter: now.Add(stagger + c.settings.UnleasedKeyDelay)}
	if isNew {
		c.logger.WithFields(c.unleased.fields()).WithField("delay", c.settings.UnleasedKeyDelay).Warn(
			"The controller key has no lease, so no gateway wrote it, and none gives orders. It is deleted if it stands unchanged for the delay and its last holder is not registered.")
	}
}

// errLastHolderRegistered is returned if the last holder of the controller key is registered.
var errLastHolderRegistered = errors.New("the last holder of the controller key is registered and may not know yet that it has lost the key")

// errLastHolderUnknown is returned if another writer has overwritten the history, too, until unknownHolderDelay has passed.
var errLastHolderUnknown = errors.New("the last holder of the controller key is unknown")

// unknownHolderDelay is longer than a watch of the last holder can be silent until it lists the store.
const unknownHolderDelay = 30 * time.Second

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
	transaction, err := c.deletion(ctx, key.revision, now.Sub(key.seenAt))
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
// is bound to the same lease, has gone, or, if the last holder is unknown, after unknownHolderDelay.
func (c *Controller) deletion(ctx context.Context, revision store.Revision, age time.Duration) (store.Transaction, error) {
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
		previous = decodeHistory(stored.Value)
	}
	if previous.isUnknown && age < unknownHolderDelay {
		return store.Transaction{}, errLastHolderUnknown
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
