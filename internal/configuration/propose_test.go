package configuration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

// ask lets a lone router propose one edit and returns it with its core.
func ask(t *testing.T) (*Core, *platformScript) {
	t.Helper()
	script := &platformScript{now: time.Unix(1_700_000_000, 0)}
	lone := NewCore(DefaultSettings("router-a-1", 1), rand.New(rand.NewPCG(1, 1)))
	lone.Propose(script.now, EditRequest{ChangeID: "mine", Edits: []Edit{SetLabel("engine-a-1", "pool", "x")}}, &script.effects)
	return lone, script
}

// platformScript answers the requests of one core.
type platformScript struct {
	now     time.Time
	effects core.Effects
}

// answer answers the latest request of the kind that matches.
func (s *platformScript) answer(t *testing.T, c *Core, matches func(platform.Request) bool, response platform.Response) {
	t.Helper()
	for i := len(s.effects.Platform) - 1; i >= 0; i-- {
		if matches(s.effects.Platform[i].Request) {
			response.ID = s.effects.Platform[i].ID
			c.HandlePlatformResponse(s.now, response, &s.effects)
			return
		}
	}
	t.Fatal("the core did not ask")
}

// pass lets time pass in which the store gives no answer.
func (s *platformScript) pass(c *Core, wait time.Duration) {
	for end := s.now.Add(wait); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		c.Tick(s.now, &s.effects)
	}
}

func isRead(request platform.Request) bool  { _, is := request.(platform.Get); return is }
func isWrite(request platform.Request) bool { _, is := request.(platform.Transaction); return is }

func TestProposeWithoutAnswers(t *testing.T) {
	tests := []struct {
		desc string
		play func(t *testing.T, c *Core, script *platformScript)
		want error
	}{
		{
			desc: "the store never answers a read: surely not accepted",
			play: func(*testing.T, *Core, *platformScript) {},
			want: ErrStoreUnavailable,
		},
		{
			desc: "the answer to the write is lost and the store is down from then on: unknown",
			play: func(t *testing.T, c *Core, script *platformScript) {
				script.answer(t, c, isRead, platform.Response{Revision: 4})
				script.answer(t, c, isWrite, platform.Response{Failure: platform.FailureUnknown})
			},
			want: ErrOutcomeUnknown,
		},
		{
			desc: "the write gets no answer until the edit is given up: unknown",
			play: func(t *testing.T, c *Core, script *platformScript) {
				script.pass(c, 19*time.Second)
				script.answer(t, c, isRead, platform.Response{Revision: 4})
			},
			want: ErrOutcomeUnknown,
		},
		{
			desc: "the store refuses the write and is down from then on: surely not accepted",
			play: func(t *testing.T, c *Core, script *platformScript) {
				script.answer(t, c, isRead, platform.Response{Revision: 4})
				script.answer(t, c, isWrite, platform.Response{Failure: platform.FailureRateLimited, RetryAfter: time.Second})
			},
			want: ErrStoreUnavailable,
		},
		{
			desc: "a write in doubt, then another writer came first: surely not accepted",
			play: func(t *testing.T, c *Core, script *platformScript) {
				script.answer(t, c, isRead, platform.Response{Revision: 4})
				script.answer(t, c, isWrite, platform.Response{Failure: platform.FailureUnknown})
				script.pass(c, time.Second)
				theirs, _, err := Preview(Document{}, EditRequest{ChangeID: "theirs", Edits: []Edit{SetLabel("engine-b-1", "pool", "x")}}, script.now)
				if err != nil {
					t.Fatal(err)
				}
				value, err := Encode(theirs)
				if err != nil {
					t.Fatal(err)
				}
				script.answer(t, c, isRead, platform.Response{
					Revision: 5, Entries: []platform.Entry{{Key: StoreKey, Value: value, ModRevision: 5}},
				})
				script.answer(t, c, isWrite, platform.Response{Failure: platform.FailureUnavailable})
			},
			want: ErrStoreUnavailable,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			lone, script := ask(t)
			test.play(t, lone, script)
			script.pass(lone, 25*time.Second)
			results := lone.TakeResults()
			if len(results) != 1 || results[0].Accepted || !errors.Is(results[0].Err, test.want) {
				t.Errorf("results %+v, want the error %q", results, test.want)
			}
		})
	}
}
