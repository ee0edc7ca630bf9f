package roles

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/authority"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/store"
)

// ControllerHistoryKey is the store key of the recent holders of ControllerKey. Its entry has no lease.
const ControllerHistoryKey = "controllers"

// maxHistory is the maximum number of holders in the history.
const maxHistory = 4

// HolderOf returns the name of the holder from the value of the controller key, or an empty string if the key is free.
func HolderOf(value []byte) string {
	var holder keyHolder
	if value == nil || json.Unmarshal(value, &holder) != nil {
		return ""
	}
	return holder.Holder
}

// history lists the recent holders of the controller key, latest first.
type history struct {
	Holders []string `json:"holders"`
	// Era is the era of the store in which the entry was written. An entry of an earlier era may lack the last holders, because the store
	// was restored.
	Era int64 `json:"era,omitempty"`
	// isUnknown is set if another writer has overwritten the history.
	isUnknown bool
}

// maxHistoryBytes is more than a history needs.
const maxHistoryBytes = 4 << 10

// decodeHistory decodes a stored history. Processes write none without holders.
func decodeHistory(value []byte) history {
	var decoded history
	if len(value) > maxHistoryBytes || json.Unmarshal(value, &decoded) != nil || len(decoded.Holders) == 0 {
		return history{isUnknown: true}
	}
	return decoded
}

// maxInitialEra is the highest era of a store that was never restored, which is 0 or 1.
const maxInitialEra = 1

// succession classifies a process relative to the previous holders. It is a returning holder if another process has held the key since,
// or if the store was restored and the history was written in an earlier era, or if the previous holders are unknown.
func (h history) succession(name string, era int64) authority.Succession {
	switch {
	case h.isUnknown:
		return authority.Returning
	case era > maxInitialEra && h.Era != era:
		return authority.Returning
	case len(h.Holders) == 0:
		return authority.First
	case slices.Contains(h.Holders[1:], name):
		return authority.Returning
	default:
		return authority.NewHolder
	}
}

// with returns the history with a new holder in front.
func (h history) with(name string, era int64) history {
	holders := slices.DeleteFunc(slices.Clone(h.Holders), func(holder string) bool { return holder == name })
	holders = slices.Insert(holders, 0, name)
	return history{Holders: holders[:min(len(holders), maxHistory)], Era: era}
}

// acquire tries to acquire the controller key.
func (c *Controller) acquire(ctx context.Context, lease int64) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	previous, transaction, err := c.claim(ctx, lease)
	if err != nil {
		c.logger.WithError(err).Warn("The transaction that acquires the controller key could not be prepared.")
		return
	}
	revision, err := c.store.Commit(ctx, transaction)
	if err != nil {
		// If only the response was lost, the watch on the key reports the holder.
		c.logger.WithError(err).Debug("The controller key was not acquired.")
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keyFree = false
	fence := revision.Fence()
	c.authority.Acquired(c.settings.Now(), lease, fence, previous.succession(c.settings.Holder, revision.Era()))
	c.keyRevision = revision
	c.logger.WithField("fence", fence).Info("This gateway gives the orders.")
	c.recordDecision(decision.Record{
		Kind: decision.KindAuthority, Subject: ControllerKey, Outcome: c.settings.Holder, Fence: fence,
		Reason: "The controller key was free, and this gateway acquired it.",
	})
}

// claim returns the previous holders, and the transaction that acquires the controller key.
func (c *Controller) claim(ctx context.Context, lease int64) (history, store.Transaction, error) {
	var previous history
	items, listed, err := c.store.List(ctx, ControllerHistoryKey)
	if err != nil {
		return previous, store.Transaction{}, errors.Wrap(err, "read the history of controller key holders")
	}
	revision := store.Revision(0)
	for _, item := range items {
		if item.Key != ControllerHistoryKey {
			continue
		}
		revision, previous = item.Revision, decodeHistory(item.Value)
		if previous.isUnknown {
			c.logger.WithFields(logrus.Fields{"key": item.Key, "value": loggedValue(item.Value), "revision": item.Revision.Number()}).Warn(
				"The history of controller key holders can't be read, so no gateway wrote it. It is replaced, and the next holder waits as one that held the key before.")
		}
	}
	holder, holderErr := json.Marshal(keyHolder{Holder: c.settings.Holder, Lease: lease})
	current, currentErr := json.Marshal(previous.with(c.settings.Holder, listed.Era()))
	return previous, store.Transaction{
		Conditions: []store.Condition{{Key: ControllerKey}, {Key: ControllerHistoryKey, Revision: revision}},
		Puts:       []store.Put{{Key: ControllerKey, Value: holder, Lease: lease}, {Key: ControllerHistoryKey, Value: current}},
	}, errors.Join(holderErr, currentErr)
}

// Resign makes the controller release the controller key after its current step, so that the next holder need not wait for the lease to expire.
func (c *Controller) Resign() {
	c.resigned.Store(true)
	c.Wake()
}

// maxHandoverPause is the longest pause between two attempts to hand the controller key over.
const maxHandoverPause = 2 * time.Second

// handOver deletes the controller key, so that a process that reaches the engines acquires it. Unlike at the end of the process, the lease is
// renewed meanwhile, so a failure is followed by another attempt, with longer pauses each time.
func (c *Controller) handOver(ctx context.Context, now time.Time) {
	c.mutex.Lock()
	c.authority.Tick(now)
	revision, isHolder := c.keyRevision, c.authority.Holds()
	c.mutex.Unlock()
	if !isHolder || now.Before(c.handoverAt) {
		return
	}
	c.handoverPause = min(max(2*c.handoverPause, c.settings.Authority.TickInterval), maxHandoverPause)
	c.handoverAt = now.Add(c.handoverPause)
	if err := c.deleteKey(ctx, revision); err != nil {
		c.logger.WithError(err).Warn("This gateway reaches too few engines, and the controller key was not handed over.")
		return
	}
	c.mutex.Lock()
	c.authority.Lost()
	c.mutex.Unlock()
	c.logger.Warn("The controller key was released, since this gateway reaches too few engines.")
	c.recordDecision(decision.Record{
		Kind: decision.KindAuthority, Subject: ControllerKey, Outcome: "released",
		Reason: "This gateway reaches too few engines to give orders, so it has released the controller key.",
	})
}

// deleteKey deletes the controller key if it still has a revision.
func (c *Controller) deleteKey(ctx context.Context, revision store.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	_, err := c.store.Commit(ctx, deletionAt(revision))
	return err
}

// deletionAt returns the transaction that deletes the controller key if it still has a revision.
func deletionAt(revision store.Revision) store.Transaction {
	return store.Transaction{Conditions: []store.Condition{{Key: ControllerKey, Revision: revision}}, Deletes: []string{ControllerKey}}
}

// release deletes the controller key. If that fails, the key expires with its lease.
func (c *Controller) release(ctx context.Context) {
	c.mutex.Lock()
	revision, isHolder := c.keyRevision, c.authority.Holds()
	c.authority.Lost()
	c.mutex.Unlock()
	if !isHolder {
		return
	}
	if err := c.deleteKey(ctx, revision); err != nil {
		c.logger.WithError(err).Warn("The controller key was not released; it expires with its lease.")
		return
	}
	c.logger.Info("The controller key was released.")
}
