package roles

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/authority"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/store"
)

// HistoryKey holds who held the key of late. It goes with no lease.
const HistoryKey = "controllers"

// keptHolders is how many holders the history names: more than can take turns within a lease.
const maxHistory = 4

// HolderOf returns the name of the process that holds the key, from its value; empty when nobody does.
func HolderOf(value []byte) string {
	var holder keyHolder
	if value == nil || json.Unmarshal(value, &holder) != nil {
		return ""
	}
	return holder.Holder
}

// history names the last holders of the key, the newest first.
type history struct {
	Holders []string `json:"holders"`
	// Era of the store in which it was written. One of an earlier era may lack the last holders: the store has come back from an older copy.
	Era int64 `json:"era,omitempty"`
}

// firstEra is the last era that may be that of a store which never came back from a copy: eras are counted from zero or one.
const maxInitialEra = 1

// succession says what a process is to those before it, in an era of the store. One that follows itself takes no turn.
func (h history) succession(name string, era int64) authority.Succession {
	switch {
	case era > maxInitialEra && h.Era != era:
		return authority.Returning
	case len(h.Holders) == 0:
		return authority.First
	case slices.Contains(h.Holders[1:], name):
		return authority.Returning
	default:
		return authority.Following
	}
}

// with returns the history with one more holder, as it is written in an era.
func (h history) with(name string, era int64) history {
	holders := slices.DeleteFunc(slices.Clone(h.Holders), func(holder string) bool { return holder == name })
	holders = slices.Insert(holders, 0, name)
	return history{Holders: holders[:min(len(holders), maxHistory)], Era: era}
}

// acquire asks for the key.
func (c *Controller) acquire(ctx context.Context, lease int64) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	previous, transaction, err := c.claim(ctx, lease)
	if err != nil {
		c.logger.WithError(err).Warn("The key of the controller can't be asked for.")
		return
	}
	revision, err := c.store.Commit(ctx, transaction)
	if err != nil {
		// A lost answer is settled by the watch, which tells who holds the key.
		c.logger.WithError(err).Debug("The key of the controller was not got.")
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
		Kind: decision.KindAuthority, Subject: Key, Outcome: c.settings.Holder, Fence: fence,
		Reason: "Nobody held the key of the controller, and this gateway wrote it.",
	})
}

// claim returns who held the key of late, and the transaction that takes it.
func (c *Controller) claim(ctx context.Context, lease int64) (history, store.Transaction, error) {
	var previous history
	items, listed, err := c.store.List(ctx, HistoryKey)
	if err != nil {
		return previous, store.Transaction{}, errors.Wrap(err, "step read the history of holders")
	}
	revision := store.Revision(0)
	for _, item := range items {
		if item.Key != HistoryKey {
			continue
		}
		revision = item.Revision
		if err := json.Unmarshal(item.Value, &previous); err != nil {
			return previous, store.Transaction{}, errors.Wrap(err, "step decode the history of holders")
		}
	}
	holder, holderErr := json.Marshal(keyHolder{Holder: c.settings.Holder, Lease: lease})
	current, currentErr := json.Marshal(previous.with(c.settings.Holder, listed.Era()))
	return previous, store.Transaction{
		Conditions: []store.Condition{{Key: Key}, {Key: HistoryKey, Revision: revision}},
		Puts:       []store.Put{{Key: Key, Value: holder, Lease: lease}, {Key: HistoryKey, Value: current}},
	}, errors.Join(holderErr, currentErr)
}

// Resign has the key given up before the process leaves, after the order that is under way, so that the next holder need not wait for
// the end of a lease.
func (c *Controller) Resign() {
	c.resigned.Store(true)
	c.Wake()
}

// release gives the key up. Without an answer it goes with its lease.
func (c *Controller) release(ctx context.Context) {
	c.mutex.Lock()
	revision, isHolder := c.keyRevision, c.authority.Holds()
	c.authority.Lost()
	c.mutex.Unlock()
	if !isHolder {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	_, err := c.store.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: Key, Revision: revision}}, Deletes: []string{Key}})
	if err != nil {
		c.logger.WithError(err).Warn("The key of the controller was not given up; it goes with its lease.")
		return
	}
	c.logger.Info("The key of the controller was given up.")
}
