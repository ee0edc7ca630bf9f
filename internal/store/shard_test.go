package store

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// divided is a key that is divided into shards.
func divided(key string) bool { return strings.HasPrefix(key, "workers/") }

// newSharded returns a replica whose keys are divided, and what it told.
func newSharded(store Store, seat uint64) (*Replica, *recorder) {
	settings := DefaultReplicaSettings()
	settings.FeedPause, settings.Settle, settings.Sharded, settings.Seat = 0, time.Millisecond, divided, seat
	recorded := &recorder{}
	return NewReplica(store, "", settings, recorded, nil), recorded
}

// TestOneThatStandsByHoldsItsShardAndAllThatIsNotDivided plays changes, lists and restarts of two tellers, and one that learns from them by
// turns, stands by, takes requests and stands by again. It ends with its shard of what the store holds and with all of the rest, and with
// everything while it takes requests. The numbers of records make the number of shards change.
//
// Once in some thousands of draws, one of which is kept, it went on holding records that were gone. It had learned from one teller, taken the
// whole of another that knew less, and so asked the next time from an early revision, while it still held what the first had told. The teller
// had listed the store meanwhile, and named the time that its list hides only to those that asked from within it.
func TestOneThatStandsByHoldsItsShardAndAllThatIsNotDivided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		present := map[string]Item{}
		var history []Event
		change := func(key string, deleted bool) {
			event := Event{Item: item(key, Revision(len(history)+1)), Deleted: deleted}
			history = append(history, event)
			if delete(present, key); !deleted {
				present[key] = event.Item
			}
		}
		items := func() []Item {
			var all []Item
			for _, each := range present {
				all = append(all, each)
			}
			slices.SortFunc(all, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
			return all
		}
		list := func(r *Replica) { r.replace(Snapshot{Items: items(), Revision: Revision(len(history))}) }
		newTeller := func() *Replica {
			teller, _ := newSharded(nil, 0)
			return teller
		}
		tellers := []*Replica{newTeller(), newTeller()}
		seat := rapid.Uint64().Draw(t, "seat")
		told, recorded := newSharded(nil, seat)
		told.begin(nil, 0, "")
		told.SetCalm(true)
		learn := func(teller *Replica) {
			told.feed = askedFeed(teller.Changes)
			if err := told.follow(context.Background(), 0); err != nil && teller.known != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			number := rapid.IntRange(0, 1).Draw(t, "teller")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				first := rapid.IntRange(0, 900).Draw(t, "first")
				for i := range rapid.SampledFrom([]int{1, 300, 700}).Draw(t, "records") {
					change(fmt.Sprint("workers/", first+i), false)
				}
			case 1:
				for _, each := range items() {
					if divided(each.Key) && rapid.IntRange(0, 2).Draw(t, "stays") == 0 {
						change(each.Key, true)
					}
				}
			case 2:
				change(rapid.SampledFrom([]string{"a", "z"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case 3:
				if teller := tellers[number]; teller.known != nil {
					teller.fresh(history[teller.after:], Revision(len(history)))
				}
			case 4:
				list(tellers[number])
			case 5:
				tellers[number] = newTeller()
			case 6:
				learn(tellers[number])
			case 7:
				told.SetCalm(!told.calm.Load())
			}
		}
		list(tellers[0])
		list(tellers[1])
		learn(tellers[0])
		learn(tellers[1])
		wanted := slices.DeleteFunc(items(), func(each Item) bool {
			return divided(each.Key) && !inShard(each.Key, seat, told.shards)
		})
		if told.shards == 0 || (!told.calm.Load() && told.shards != 1) {
			t.Fatalf("it holds one of %d shards, and stands by: %t", told.shards, told.calm.Load())
		}
		expected := &recorder{}
		expected.Reset(wanted)
		if recorded.String() != expected.String() {
			t.Fatalf("of %d shards told %q, expected %q", told.shards, recorded, expected)
		}
		if records := len(wanted); told.calm.Load() && records > 4*mostOfShard {
			t.Fatalf("a shard has %d records", records)
		}
	})
}

// askedFeed answers each question by a function.
type askedFeed func(question Question) (Changes, bool)

// Next is part of Feed.
func (f askedFeed) Next(_ context.Context, question Question) (Changes, error) {
	changes, known := f(question)
	if !known {
		return Changes{}, ErrNobody
	}
	return changes, nil
}

// TestTheNumberOfShardsFollowsTheRecords asks for the number at sizes of fleets, and from a number that was known.
func TestTheNumberOfShardsFollowsTheRecords(t *testing.T) {
	for _, test := range []struct{ records, known, want int }{
		{0, 0, 1}, {177, 0, 1}, {300, 1, 1}, {300, 0, 2}, {385, 1, 2}, {10_004, 0, 64}, {10_004, 64, 64}, {20_008, 64, 64}, {20_008, 0, 128},
		{3_000, 64, 16}, {10, 16, 1},
	} {
		if got := shardsFor(test.records, test.known); got != test.want {
			t.Errorf("%d records, %d shards known: %d, want %d", test.records, test.known, got, test.want)
		}
	}
}

// pagedStore lists by pages of two items, and counts them.
type pagedStore struct {
	fakeStore
	pages int
}

func (p *pagedStore) ListUntil(_ context.Context, _ string, enough func([]Item) bool) ([]Item, Revision, bool, error) {
	all := []Item{
		item("configuration", 1), item("gateways/a", 2), item("gateways/b", 3), item("workers/1", 4), item("workers/2", 5), item("workers/3", 6),
		item("workers/4", 7), item("z", 8),
	}
	for first := 0; ; first += 2 {
		p.pages++
		switch {
		case first+2 >= len(all):
			return all, 8, true, nil
		case enough != nil && enough(all[:first+2]):
			return all[:first+2], 8, false, nil
		}
	}
}

// standsByOnceToldOf tells a replica that it stands by as soon as it hears of a gateway.
type standsByOnceToldOf struct {
	recorder
	replica *Replica
}

func (s *standsByOnceToldOf) Apply(events []Event) {
	s.recorder.Apply(events)
	s.replica.SetCalm(true)
}

// TestWhoStandsByListsNoWorkers starts a process that learns from the first pages of the list that others take requests, while those that
// tell it changes start, too. It lists nothing more, waits for them, and gets its shard and what it has not listed from them.
func TestWhoStandsByListsNoWorkers(t *testing.T) {
	paged := &pagedStore{}
	paged.events = make(chan func(Revision) ([]Event, Revision, error))
	replica, _ := newSharded(paged, 7)
	told := &standsByOnceToldOf{replica: replica, recorder: recorder{items: map[string]string{}}}
	replica.consumer = told
	teller, _ := newSharded(nil, 0)
	started := time.Now()
	replica.SetFeed(askedFeed(func(question Question) (Changes, bool) {
		if time.Since(started) < 300*time.Millisecond {
			return Changes{}, false
		}
		return teller.Changes(question)
	}))
	all, at, _, _ := (&pagedStore{}).ListUntil(t.Context(), "", nil)
	teller.replace(Snapshot{Items: all, Revision: at})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		replica.Run(ctx)
		close(done)
	}()
	told.eventually(t, "configuration=1 gateways/a=2 gateways/b=3 workers/1=4 workers/2=5 workers/3=6 workers/4=7 z=8")
	cancel()
	<-done
	if paged.pages != 2 {
		t.Errorf("%d pages were listed", paged.pages)
	}
}

// BenchmarkOneChangeTold has one record of a fleet change, and a gateway that stands by ask what is new, as hundreds do at each entry.
func BenchmarkOneChangeTold(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			teller, _ := newSharded(nil, 0)
			var items []Item
			for i := range size {
				items = append(items, item(fmt.Sprint("workers/", i), Revision(i+1)))
			}
			teller.replace(Snapshot{Items: items, Revision: Revision(size)})
			shards := shardsFor(size, 0)
			b.ResetTimer()
			for i := range b.N {
				revision := Revision(size + i + 1)
				teller.fresh([]Event{{Item: item(items[i%size].Key, revision)}}, revision)
				teller.Changes(Question{After: revision - 1, Shards: shards, Seat: 5})
			}
		})
	}
}

// TestNewRecordsAreToldWithoutHurry asks what may be told late: records and registrations that were not there before, and nothing else.
func TestNewRecordsAreToldWithoutHurry(t *testing.T) {
	teller, _ := newSharded(nil, 0)
	teller.settings.Unhurried = func(key string) bool { return strings.HasPrefix(key, "gateways/") }
	teller.replace(Snapshot{Items: []Item{item("configuration", 1), item("workers/0", 2)}, Revision: 2})
	for i, test := range []struct {
		event Event
		want  bool
	}{
		{Event{Item: item("workers/1", 0)}, true},
		{Event{Item: item("gateways/a", 0)}, true},
		{Event{Item: item("configuration", 0)}, false},
		{Event{Item: item("workers/0", 0)}, false},
		{Event{Item: item("workers/1", 0)}, false},
		{Event{Item: item("gateways/a", 0), Deleted: true}, false},
		{Event{Item: item("gateways/a", 0)}, true},
	} {
		revision := Revision(i + 3)
		test.event.Revision = revision
		teller.fresh([]Event{test.event}, revision)
		if changes, _ := teller.Changes(Question{After: revision - 1, Shards: 1}); changes.Unhurried != test.want || len(changes.Changed) != 1 {
			t.Errorf("change %d, %+v: told late %t", i, changes.Changed, changes.Unhurried)
		}
	}
}

// TestGatheringChangesLeavesTimeToKnowThem bounds the pause of an entry of a fleet of any size.
func TestGatheringChangesLeavesTimeToKnowThem(t *testing.T) {
	for _, test := range []struct {
		readers int
		bound   time.Duration
		want    time.Duration
	}{{12, 5 * time.Second, 40 * time.Millisecond}, {300, 5 * time.Second, 300 * time.Millisecond}, {5000, 5 * time.Second, 500 * time.Millisecond}, {5000, 0, 5 * time.Second}} {
		replica, _ := newSharded(nil, 0)
		replica.SetReaders(test.readers)
		replica.SetKnownWithin(test.bound)
		if got := replica.share(40 * time.Millisecond); got != test.want {
			t.Errorf("%d readers: the pause is %s, want %s", test.readers, got, test.want)
		}
	}
}

// TestOneListsForAllAfterTheHistoryIsGone has the store forget its history. The process that lists it for all does; another one that watches
// it learns from that one, and lists it itself only if that one tells nothing.
func TestOneListsForAllAfterTheHistoryIsGone(t *testing.T) {
	compacted := func(Revision) ([]Event, Revision, error) { return nil, 0, ErrCompacted }
	for _, test := range []struct {
		desc  string
		told  Changes
		err   error
		lists int
	}{
		{"the lister tells", Changes{Changed: []Event{{Item: item("b", 7)}}, Revision: 8, Shards: 1}, nil, 0},
		{"the lister knows no more", Changes{Revision: 5, Shards: 1}, nil, 1},
		{"the lister does not answer", Changes{}, ErrNobody, 1},
	} {
		lists := 0
		store := &fakeStore{events: make(chan func(Revision) ([]Event, Revision, error), 1)}
		store.lists = []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
			lists++
			return []Item{item("a", 3), item("b", 7)}, 8, nil
		}}
		replica, recorded := newSharded(store, 0)
		replica.replace(Snapshot{Items: []Item{item("a", 3)}, Revision: 5})
		asked := ""
		replica.SetFeed(scriptFeed(func(question Question) (Changes, error) {
			asked = question.Teller
			return test.told, test.err
		}))
		replica.SetLister(func() (string, bool) { return "one", false })
		store.events <- compacted
		if err := replica.watch(t.Context()); err != nil || lists != test.lists || asked != "one" || recorded.String() != "a=3 b=7" {
			t.Errorf("%s: %v, %d lists, asked %q, told %s", test.desc, err, lists, asked, recorded)
		}
	}
}

// scriptFeed answers each question by a function.
type scriptFeed func(question Question) (Changes, error)

// Next is part of Feed.
func (f scriptFeed) Next(_ context.Context, question Question) (Changes, error) { return f(question) }

// TestAListOfATellerCostsThoseThatLearnOnlyWhatHasChanged guards against hundreds of gateways being told everything each time the store forgets
// its history: lists hide what came and went between two of them, and those that learn know revisions in between from others.
func TestAListOfATellerCostsThoseThatLearnOnlyWhatHasChanged(t *testing.T) {
	teller, _ := newSharded(nil, 0)
	var items []Item
	for i := range 1_000 {
		items = append(items, item(fmt.Sprint("gateways/", i), Revision(i+1)))
	}
	teller.replace(Snapshot{Items: items, Revision: 1_000})
	teller.replace(Snapshot{Items: append(items, item("configuration", 1_040)), Revision: 1_050})
	told, recorded := newSharded(nil, 0)
	told.replace(Snapshot{Items: append(items, item("came-and-went", 1_010)), Revision: 1_020})
	told.SetFeed(askedFeed(func(question Question) (Changes, bool) {
		changes, known := teller.Changes(question)
		if changes.Full || len(changes.Changed) > 2 {
			t.Errorf("told %d changes, everything: %t", len(changes.Changed), changes.Full)
		}
		return changes, known
	}))
	if err := told.follow(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if held := recorded.String(); strings.Contains(held, "came-and-went") || !strings.Contains(held, "configuration=1040") || told.after != 1_050 {
		t.Errorf("it holds %s", held)
	}
}

// TestOneThatBeginsToTakeRequestsLearnsAllFromTheOthers has one that stands by with a shard take requests. It lists the store only if nobody
// tells it everything.
func TestOneThatBeginsToTakeRequestsLearnsAllFromTheOthers(t *testing.T) {
	for _, others := range []bool{true, false} {
		teller, _ := newSharded(nil, 0)
		var items []Item
		for i := range 1_000 {
			items = append(items, item(fmt.Sprint("workers/", i), Revision(i+1)))
		}
		teller.replace(Snapshot{Items: items, Revision: 1_000})
		lists := 0
		replica, _ := newSharded(&fakeStore{lists: []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
			lists++
			return items, 1_000, nil
		}}}, 3)
		replica.begin(nil, 0, "")
		replica.SetCalm(true)
		replica.SetFeed(askedFeed(teller.Changes))
		if err := replica.follow(t.Context(), 0); err != nil || replica.shards != 8 {
			t.Fatalf("it holds one of %d shards, %v", replica.shards, err)
		}
		if !others {
			teller.SetCalm(true)
		}
		replica.SetCalm(false)
		if err := replica.step(t.Context()); err != nil || replica.shards != 1 || replica.sharded != 1_000 || (lists == 0) != others {
			t.Errorf("others tell: %t; one of %d shards, %d records, %d lists, %v", others, replica.shards, replica.sharded, lists, err)
		}
	}
}

// TestWhoStandsByLeavesListsToItsTellers has the tellers of one that stands by lose the store, which forgets its history. It tries the store
// and does not list it while it is told something, and does once nobody has told it anything for long.
func TestWhoStandsByLeavesListsToItsTellers(t *testing.T) {
	lists := 0
	store := &fakeStore{events: make(chan func(Revision) ([]Event, Revision, error), 1)}
	store.lists = []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
		lists++
		return []Item{item("a", 3)}, 8, nil
	}}
	replica, _ := newSharded(store, 0)
	replica.SetKnownWithin(250 * time.Millisecond)
	replica.replace(Snapshot{Items: []Item{item("a", 3)}, Revision: 5})
	replica.SetCalm(true)
	lost := Changes{Revision: 5, Shards: 1, StoreLost: true}
	replica.SetFeed(scriptFeed(func(Question) (Changes, error) { return lost, nil }))
	if err := replica.follow(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	for _, want := range []int{0, 1} {
		store.events <- func(Revision) ([]Event, Revision, error) { return nil, 0, ErrCompacted }
		replica.doubted = false
		if err := replica.step(t.Context()); err != nil || lists != want {
			t.Errorf("%d lists, want %d: %v", lists, want, err)
		}
		time.Sleep(replica.patience())
	}
}
