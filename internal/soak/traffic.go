package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// callers sends requests in open loop until the context ends.
func (s *system) callers(ctx context.Context, seed uint64, perSecond int) {
	random := rand.New(rand.NewPCG(seed, 99))
	crashing := rand.New(rand.NewPCG(seed, crashingStream))
	habits := rand.New(rand.NewPCG(seed, seriesStream))
	fresh, keeper := fleet.NewCaller(false), fleet.NewPoolingCaller(s.front.dial)
	defer keeper.Close()
	addresses := &directory{system: s, caller: fleet.NewCaller(true)}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			s.calling.Wait()
			return
		case <-ticker.C:
		}
		if s.crowd.Load() {
			ticker.Reset(time.Second / time.Duration(2*perSecond))
		} else {
			ticker.Reset(time.Second / time.Duration(perSecond))
		}
		closes := random.IntN(3) == 0
		request := drawRequest(random, number, s.longPrompts.Load())
		s.maybeCrashing(crashing, &request)
		known := addresses.get(ctx)
		if len(known) == 0 {
			continue
		}
		request.Gateway = known[random.IntN(len(known))]
		habit := drawHabit(habits, &request)
		if closes {
			s.calling.Go(func() { s.call(request, habit.leave, fresh.Do) })
			continue
		}
		if old := keeper.IdleGateways(); habit.stays && len(old) > 0 {
			request.Gateway = old[habits.IntN(len(old))]
		}
		s.calling.Go(func() {
			s.call(request, habit.leave, func(ctx context.Context, gateway string, asked fleet.Request) fleet.Response {
				return keeper.Do(ctx, gateway, asked, habit.pick, s.mayRest)
			})
		})
	}
}

// habit is what a caller does besides asking.
type habit struct {
	// pick says which connection it takes, and stays whether it goes to a gateway to which it has one, whatever the directory tells.
	pick  fleet.ConnChoice
	stays bool
	// leave is after what time it leaves; zero when it waits for the answer.
	leave time.Duration
}

// How often callers do what: one in so many.
const (
	staysEvery = 4
	leaveEvery = 14
	longEvery  = 20
	// earlyLeave bounds the time after which callers leave whose request is not long.
	earlyLeave = 40 * time.Millisecond
)

// drawHabit draws what a caller does, and makes some of the streams long; half of the callers of these leave.
func drawHabit(random *rand.Rand, request *Request) habit {
	drawn := habit{
		pick:  []fleet.ConnChoice{fleet.ConnNew, fleet.ConnMostRecent, fleet.ConnLeastRecent, fleet.ConnLeastRecent}[random.IntN(4)],
		stays: random.IntN(staysEvery) == 0,
	}
	leaves, long, late := random.IntN(leaveEvery) == 0, random.IntN(longEvery) == 0, random.IntN(2) == 0
	early := 1 + time.Duration(random.Int64N(int64(earlyLeave)))
	switch {
	case request.Crashing > 0:
	case long && request.Kind == KindStream:
		request.Long = true
		request.Asked.Body += " " + fleet.LongBody
		if late {
			drawn.leave = fleet.LongWork/12 + 2*early
		}
	case leaves:
		drawn.leave = early
	}
	return drawn
}

// Sizes of prompts in tokens: the part that many requests share, and the whole.
const (
	shortShared, shortTokens   = 90, 300
	middleShared, middleTokens = 3000, 4000
	longShared, longTokens     = 1000, 10_000
)

// drawRequest draws a request, with a long prompt if it is to stream and long is set.
func drawRequest(random *rand.Rand, number int, long bool) Request {
	id := fmt.Sprintf("r%d", number)
	kind := []Kind{KindOnce, KindAgain, KindStream, KindStream}[random.IntN(4)]
	asked := fleet.Request{
		ID: id, Path: "/" + string(kind) + "/x", Body: "body of " + id, Deadline: time.Duration(1500+random.IntN(1500)) * time.Millisecond,
	}
	want := fleet.PlainAnswer(id, []byte(asked.Body))
	if kind == KindStream {
		want = fleet.StreamAnswer(id, streamEvents)
		asked.SharedPrefix = fmt.Sprintf("a%x", random.IntN(8))
		asked.SharedTokens, asked.PromptTokens = shortShared, shortTokens
		if random.IntN(4) == 0 {
			asked.SharedTokens, asked.PromptTokens = middleShared, middleTokens
		}
		if long {
			asked.SharedTokens, asked.PromptTokens = longShared, longTokens
		}
	}
	return Request{Asked: asked, Kind: kind, Want: want}
}

// One in so many requests repeats the crashing one of the round, and one in so many any of those whose bar the store holds, for good.
const (
	crashingEvery = 12
	againEvery    = 150
)

// maybeCrashing turns some requests into repeats of those that end workers: their id is new, and all else the same.
func (s *system) maybeCrashing(random *rand.Rand, request *Request) {
	known := int(s.crashing.Load())
	now, again := random.IntN(crashingEvery) == 0, random.IntN(againEvery) == 0
	switch {
	case known == 0 || request.Kind == KindOnce:
		return
	case s.crashes.Load() && now:
		request.Crashing = known
	case again:
		request.Crashing = 1 + random.IntN(known)
	default:
		return
	}
	body := crashingBody(request.Crashing)
	// Each of them is of one kind.
	kind := KindStream
	if request.Crashing%2 == 0 {
		kind = KindAgain
	}
	path := "/" + string(kind) + "/x"
	if !s.crashes.Load() && !s.isBarred(path, body) {
		// It may end more workers, which no gateway could know: all that knew of it may have been killed.
		request.Crashing = 0
		return
	}
	request.Kind, request.Want = kind, ""
	request.Asked.Path, request.Asked.Body = path, body
	if kind == KindAgain {
		request.Asked.PromptTokens = 0
	} else if request.Asked.PromptTokens == 0 {
		request.Asked.SharedPrefix, request.Asked.SharedTokens, request.Asked.PromptTokens = "a0", shortShared, shortTokens
	}
}

// crashingBody is the body of a request that ends workers.
func crashingBody(number int) string { return fmt.Sprintf("number %d %s", number, fleet.CrashingBody) }

// isBarred tells whether the store holds the bar of a request.
func (s *system) isBarred(path, body string) bool {
	asked := poison.Asked{Method: http.MethodPost, Host: fleet.Host, Target: path, Body: []byte(body)}.Digest()
	return slices.Contains(s.fleet.Store.Keys(poison.Prefix), poison.KeyOf(asked))
}

// callSlack is how long after its deadline a caller still waits.
const callSlack = 2 * time.Second

// call sends one request and notes what became of it. The caller leaves after a time, or waits for the answer if that is zero.
func (s *system) call(request Request, leave time.Duration, ask func(ctx context.Context, gateway string, asked fleet.Request) fleet.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Asked.Deadline+callSlack)
	defer cancel()
	request.Sent = time.Now()
	if leave > 0 {
		timer := time.AfterFunc(leave, cancel)
		defer timer.Stop()
	}
	request.Answer = ask(ctx, request.Gateway, request.Asked)
	request.Ended = time.Now()
	if errors.Is(ctx.Err(), context.Canceled) && request.Answer.Err != nil {
		request.Left = request.Ended
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
}

// directory keeps the answer of the directory for a while, as callers do.
type directory struct {
	system *system
	caller *fleet.Caller
	known  []string
	asked  time.Time
	next   int
}

// addressTime is how long callers keep addresses.
const addressTime = time.Second

// get returns the addresses of the moment, older ones when no gateway answers.
func (d *directory) get(ctx context.Context) []string {
	if time.Since(d.asked) < addressTime {
		return d.known
	}
	d.asked = time.Now()
	for range 3 {
		d.next++
		found, err := d.caller.Resolve(ctx, d.system.gateways[d.next%len(d.system.gateways)].directory)
		if err == nil && len(found) > 0 {
			d.known = found
			break
		}
	}
	return d.known
}
