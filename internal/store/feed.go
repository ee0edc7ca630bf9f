package store

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/boottime"
)

// Changes are what a process that follows the store tells one that does not.
type Changes struct {
	// Full is set when the changes are all items there are, because the teller does not know what happened since the revision.
	Full bool `json:"full,omitempty"`
	// Changed items, each with its latest change, in the order of the changes.
	Changed []Event `json:"changed,omitempty"`
	// Revision up to which everything is told.
	Revision Revision `json:"revision"`
	// Era is that of all revisions, which are told without it; nil when the teller does not say.
	Era *int64 `json:"era,omitempty"`
	// StoreLost is set while the teller can't reach the store itself.
	StoreLost bool `json:"storeLost,omitempty"`
	// After and Until are set when lists of the teller may have hidden items that came and went between these revisions: the changes are all
	// after the first one, and what the one that asks knows of a revision between both and is not told is gone.
	After Revision `json:"after,omitempty"`
	Until Revision `json:"until,omitempty"`
	// Shards is of how many shards the items that are divided are those of one, and Whole is set when all of that shard are told, because
	// the one that asked held another.
	Shards int  `json:"shards,omitempty"`
	Whole  bool `json:"whole,omitempty"`
	// Unhurried is set when all that has changed may be told late: nobody waits for records and registrations that were not there before.
	Unhurried bool `json:"-"`
	// Unanswered is for how long the store has answered no call of the teller, in milliseconds; nil when it never did or does not say. A
	// teller that was cut off finds out only when a call has run into its time-out.
	Unanswered *int64 `json:"unansweredMs,omitempty"`
	// Age is how long ago the teller knew all changes for sure, in milliseconds; nil when it never did or does not say.
	Age *int64 `json:"ageMs,omitempty"`
	// Entries are the names of the gateways to which the teller sends callers.
	Entries []string `json:"entries"`
	// Sound are those among them that the teller has heard.
	Sound []string `json:"sound"`
}

// Question is what a process asks a feed.
type Question struct {
	// After is the revision up to which everything is known.
	After Revision
	// AnyEra is set when the one that asks does not say of which era that is: then it is that of the one that answers.
	AnyEra bool
	// Wait is how long an answer may be held until there is something to tell.
	Wait time.Duration
	// Shards is of how many shards the one of the Seat is known; zero is none, and then only the keys up to Upto are known of the rest.
	Shards int
	Seat   uint64
	Upto   string
	// All is set when all shards are wanted.
	All bool
	// Teller is the name of the process that is to be asked; empty is any.
	Teller string
}

// Feed tells what other processes know of the store.
type Feed interface {
	// Next returns what has changed as soon as there is something, or after the wait. ErrNobody means that no process that can be asked
	// follows the store.
	Next(ctx context.Context, question Question) (Changes, error)
}

// ErrNobody is returned by a feed when nobody tells anything.
var ErrNobody = errors.New("step follow other gateways: nobody that follows the store answered")

// errToldLost is what the consumer is told when the teller has lost the store.
var errToldLost = errors.New("step follow other gateways: they have lost the store")

// Waits of a replica that follows a feed.
const (
	// feedWait bounds one question, so that a teller that dies or freezes is noticed within a second and a half; a third of the
	// least bound within which configurations are in force. It is shorter than the silence after which a gateway is suspected: each
	// answer tells those that stand by who was heard, and without it they take the places of those that take requests.
	feedWait = 700 * time.Millisecond
	// directWait bounds a watch of the store by a process that would rather follow a feed, and so the time until it asks again.
	directWait = 2 * time.Second
	// tryWait bounds a watch of the store by one that was told something of late, and only finds out whether the store serves it.
	tryWait = 300 * time.Millisecond
)

// SetFeed makes the replica learn from other processes while it is calm, and while the store does not answer. It is called before
// Run.
func (r *Replica) SetFeed(feed Feed) { r.feed = feed }

// follow takes the next changes from the feed.
func (r *Replica) follow(ctx context.Context, wait time.Duration) error {
	sleep(ctx, time.Until(r.followed.Add(r.settings.FeedPause)))
	begun := boottime.Now()
	changes, err := r.feed.Next(ctx, r.question(wait))
	r.followed = time.Now()
	if err != nil {
		return err
	}
	if !r.take(begun, changes) {
		return ErrNobody
	}
	return nil
}

// question asks for what came after what is known.
func (r *Replica) question(wait time.Duration) Question {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return Question{After: r.after, Wait: wait, Shards: r.shards, Seat: r.settings.Seat, Upto: r.listed, All: !r.calm.Load()}
}

// take takes what a feed told, to a question that was begun at a moment. It tells whether that was of the era that is known, or a later one.
func (r *Replica) take(begun time.Time, changes Changes) bool {
	r.mutex.Lock()
	behind := r.behind(changes.Revision)
	r.mutex.Unlock()
	if behind {
		return false
	}
	r.toldAt = boottime.Now()
	if changes.StoreLost {
		r.consumer.Lost(errToldLost)
	}
	if changes.Full || changes.Whole {
		r.replace(r.told(changes))
	} else if fresh := r.fresh(slices.Concat(r.hidden(changes), changes.Changed), changes.Revision); len(fresh) > 0 {
		r.consumer.Apply(fresh)
	}
	if !changes.StoreLost {
		// The teller has told all that came after what was known here, whatever an own watch has missed.
		r.doubted = false
		r.consumer.Current(r.knownSince(changes.knownAt(begun)))
	}
	return true
}

// hidden returns the ends of items that are known here and went without being seen by the teller.
func (r *Replica) hidden(changes Changes) []Event {
	if changes.Until == 0 {
		return nil
	}
	told := make(map[string]bool, len(changes.Changed))
	for _, change := range changes.Changed {
		told[change.Key] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var gone []Event
	for event := range r.known.after(changes.After) {
		if event.Revision < changes.Until && !event.Deleted && !told[event.Key] {
			gone = append(gone, Event{Item: Item{Key: event.Key, Revision: changes.Until}, Deleted: true})
		}
	}
	return gone
}

// learnInstead takes from another process what a list would tell, after the store has forgotten the changes that come next. Of all that watch
// the store one lists it, and the others learn from that one: a list of a large fleet is dozens of calls. It tells whether that went well.
func (r *Replica) learnInstead(ctx context.Context) bool {
	if r.feed == nil || r.lister == nil || r.calm.Load() {
		// One that is calm has its own tellers: hundreds of questions at once are more than the one that lists can answer.
		return false
	}
	lister, isOwn := r.lister()
	if isOwn || lister == "" {
		return false
	}
	question := r.question(listWait)
	question.Teller = lister
	begun := boottime.Now()
	changes, err := r.feed.Next(ctx, question)
	if err != nil || changes.StoreLost || changes.Revision <= question.After {
		return false
	}
	return r.take(begun, changes)
}

// listWait is how long the one that lists the store for others is waited for: dozens of calls of some milliseconds.
const listWait = time.Second

// SetLister tells which process lists the store for all that watch it, by its name, and whether it is this one. It is called before Run.
func (r *Replica) SetLister(lister func() (name string, isOwn bool)) { r.lister = lister }

// knownAt returns the moment up to which the changes are all for sure, for a question that was begun at another one: the teller said its
// age later. It is zero when that is not known.
func (c Changes) knownAt(begun time.Time) time.Time {
	if c.Age == nil {
		return time.Time{}
	}
	return begun.Add(-time.Duration(*c.Age) * time.Millisecond)
}

// told returns the items that there are after changes that tell everything, or everything of a shard.
func (r *Replica) told(changes Changes) Snapshot {
	snapshot := Snapshot{Revision: changes.Revision, Shards: changes.Shards}
	latest := map[string]Event{}
	if !changes.Full {
		r.mutex.Lock()
		for key, event := range r.known.latest {
			if !r.isSharded(key) {
				latest[key] = event
			}
		}
		r.mutex.Unlock()
	}
	for _, change := range changes.Changed {
		if change.Revision >= latest[change.Key].Revision {
			latest[change.Key] = change
		}
	}
	for _, event := range latest {
		if !event.Deleted {
			snapshot.Items = append(snapshot.Items, event.Item)
		}
	}
	return snapshot
}

// Changes returns what the replica knows that the one that asks does not, or false when it does not follow the store, or does not know all
// of it, and so must not be learnt from.
func (r *Replica) Changes(question Question) (Changes, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if question.AnyEra {
		question.After = question.After.in(r.after.Era())
	}
	if r.known == nil || r.calm.Load() || r.shards != 1 || question.After.Era() > r.after.Era() {
		return Changes{}, false
	}
	changes := Changes{Revision: r.after, Era: eraOf(r.after), Full: question.After < r.completeFrom, StoreLost: r.storeLost, Shards: 1}
	if !question.All {
		changes.Shards = shardsFor(r.sharded, question.Shards)
	}
	changes.Whole = changes.Shards != question.Shards
	now := boottime.Now()
	changes.Age, changes.Unanswered = millisecondsSince(r.knownAt, now), millisecondsSince(r.answeredAt, now)
	if changes.Full || changes.Whole {
		changes.Changed = r.wholeFor(question, changes)
		return changes, true
	}
	changes.Unhurried = true
	if question.After < r.gapTo {
		// Also one that asks from before the gap may hold what came within: it was told by another one, and what it asks from went back
		// when it took the whole of one that knew less.
		changes.After, changes.Until = r.gapFrom, r.gapTo
	}
	if question.After > r.gapFrom && question.After < r.gapTo {
		changes.Unhurried = false
		question.After = r.gapFrom
	}
	for event := range r.known.after(question.After) {
		if !r.isSharded(event.Key) || inShard(event.Key, question.Seat, changes.Shards) {
			changes.Changed = append(changes.Changed, event)
			changes.Unhurried = changes.Unhurried && r.mayBeLate(event)
		}
	}
	return changes, true
}

// mayBeLate tells whether nobody waits for a change: it is the first of its item, which is a record of a worker or an unhurried one. The
// mutex is held.
func (r *Replica) mayBeLate(event Event) bool {
	isCalm := r.isSharded(event.Key) || (r.settings.Unhurried != nil && r.settings.Unhurried(event.Key))
	return isCalm && !event.Deleted && r.known.isFirst(event.Key)
}

// wholeFor returns the changes for one that is told everything, or everything of a shard. The mutex is held.
func (r *Replica) wholeFor(question Question, changes Changes) []Event {
	var told []Event
	for event := range r.known.after(0) {
		isSharded := r.isSharded(event.Key)
		isNews := changes.Full || event.Revision > question.After || (question.Shards == 0 && event.Key > question.Upto)
		switch {
		case isSharded && !event.Deleted && inShard(event.Key, question.Seat, changes.Shards):
			told = append(told, event)
		case !isSharded && isNews && !(changes.Full && event.Deleted):
			told = append(told, event)
		}
	}
	return told
}

// millisecondsSince returns the time since a moment, rounded up, so that nothing is said to be younger than it is; nil for the zero moment.
func millisecondsSince(moment, now time.Time) *int64 {
	if moment.IsZero() {
		return nil
	}
	since := now.Sub(moment).Milliseconds() + 1
	return &since
}

// Changed returns a channel that is closed when the replica takes the next changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

// Wake makes those that wait for changes look again, because something else has changed that they are told.
func (r *Replica) Wake() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.wake()
}

// wake is Wake with the mutex held.
func (r *Replica) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}
