package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// generateTraffic sends requests in an open loop until the context ends.
func (s *system) generateTraffic(ctx context.Context, seed uint64, perSecond int) {
	random := rand.New(rand.NewPCG(seed, 99))
	crashingRandom := rand.New(rand.NewPCG(seed, crashingStream))
	behaviorRandom := rand.New(rand.NewPCG(seed, seriesStream))
	versionRandom := rand.New(rand.NewPCG(seed, versionStream))
	refusalRandom := rand.New(rand.NewPCG(seed, refusalTrafficStream))
	stopRandom := rand.New(rand.NewPCG(seed, stopTrafficStream))
	partRandom := rand.New(rand.NewPCG(seed, partTrafficStream))
	unpooled, pooling := fleet.NewCaller(false), fleet.NewPoolingCaller(s.dialer.dial)
	defer pooling.Close()
	directory := &cachedDirectory{system: s, caller: fleet.NewCaller(true)}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			s.pendingCalls.Wait()
			return
		case <-ticker.C:
		}
		if s.doubleLoad.Load() {
			ticker.Reset(time.Second / time.Duration(2*perSecond))
		} else {
			ticker.Reset(time.Second / time.Duration(perSecond))
		}
		newConn := random.IntN(3) == 0
		request := drawRequest(random, number, s.longPrompts.Load())
		s.maybeMakeCrashing(crashingRandom, &request)
		if seed >= firstRefusalSeed {
			makeRunOnce(refusalRandom, &request)
		}
		if seed >= firstPartSeed {
			s.addParts(partRandom, &request)
		}
		gateways := directory.get(ctx)
		if len(gateways) == 0 {
			continue
		}
		request.Gateway = gateways[random.IntN(len(gateways))]
		behavior := drawBehavior(behaviorRandom, &request)
		if seed >= firstStopSeed {
			s.makeLasting(stopRandom, &request, &behavior)
		}
		call := s.call
		if seed >= firstVersionSeed {
			persists := drawPersistence(versionRandom, &request)
			call = func(request RequestRecord, abandonAfter time.Duration, do sendFunc) {
				s.callPersistently(request, abandonAfter, persists, directory.current, do)
			}
		}
		if newConn {
			s.pendingCalls.Go(func() { call(request, behavior.abandonAfter, unpooled.Do) })
			continue
		}
		if idle := pooling.IdleGateways(); behavior.sticky && len(idle) > 0 {
			request.Gateway = idle[behaviorRandom.IntN(len(idle))]
		}
		s.pendingCalls.Go(func() {
			call(request, behavior.abandonAfter, func(ctx context.Context, gateway string, call fleet.Request) fleet.Response {
				return pooling.Do(ctx, gateway, call, behavior.conn, s.mayReuse)
			})
		})
	}
}

// callBehavior is how a client sends a request.
type callBehavior struct {
	// conn selects the connection. sticky makes the client prefer a gateway to which it has an idle connection over those that
	// the directory returns.
	conn   fleet.ConnChoice
	sticky bool
	// abandonAfter is the time after which the client disconnects; zero if it waits for the response.
	abandonAfter time.Duration
}

// Frequencies of client behaviors, as one in N requests.
const (
	stickyOneIn      = 4
	abandonOneIn     = 14
	longRunningOneIn = 20
	// maxEarlyAbandon bounds the time after which clients disconnect from requests that are not long-running.
	maxEarlyAbandon = 40 * time.Millisecond
)

// drawBehavior draws the behavior of a client. It also makes some of the streams long-running; half of their clients disconnect.
func drawBehavior(random *rand.Rand, request *RequestRecord) callBehavior {
	behavior := callBehavior{
		conn:   []fleet.ConnChoice{fleet.ConnNew, fleet.ConnMostRecent, fleet.ConnLeastRecent, fleet.ConnLeastRecent}[random.IntN(4)],
		sticky: random.IntN(stickyOneIn) == 0,
	}
	abandons, long, abandonsLong := random.IntN(abandonOneIn) == 0, random.IntN(longRunningOneIn) == 0, random.IntN(2) == 0
	delay := 1 + time.Duration(random.Int64N(int64(maxEarlyAbandon)))
	switch {
	case request.crashesWorkers():
	case long && request.Kind == KindStream:
		request.LongRunning = true
		request.Request.Body += " " + fleet.LongBody
		if abandonsLong {
			behavior.abandonAfter = fleet.LongWork/12 + 2*delay
		}
	case abandons:
		behavior.abandonAfter = delay
	}
	return behavior
}

// Prompt lengths in tokens: the shared prefix and the total.
const (
	shortShared, shortTokens   = 90, 300
	middleShared, middleTokens = 3000, 4000
	longShared, longTokens     = 1000, 10_000
)

// drawRequest draws a request. If long is set, streams have long prompts.
func drawRequest(random *rand.Rand, number int, long bool) RequestRecord {
	id := fmt.Sprintf("r%d", number)
	kind := []Kind{KindNonIdempotent, KindIdempotent, KindStream, KindStream}[random.IntN(4)]
	call := fleet.Request{
		ID: id, Path: "/" + string(kind) + "/x", Body: "body of " + id, Deadline: time.Duration(1500+random.IntN(1500)) * time.Millisecond,
	}
	wantBody := fleet.PlainAnswer(id, []byte(call.Body))
	if kind == KindStream {
		wantBody = fleet.StreamAnswer(id, streamEvents)
		call.SharedPrefix = fmt.Sprintf("a%x", random.IntN(8))
		call.SharedTokens, call.PromptTokens = shortShared, shortTokens
		if random.IntN(4) == 0 {
			call.SharedTokens, call.PromptTokens = middleShared, middleTokens
		}
		if long {
			call.SharedTokens, call.PromptTokens = longShared, longTokens
		}
	}
	return RequestRecord{Request: call, Kind: kind, WantBody: wantBody}
}

// One in crashingOneIn requests repeats the crashing request of the current round. One in blockedOneIn repeats any earlier one
// that the store lists as blocked.
const (
	crashingOneIn = 12
	blockedOneIn  = 150
)

// maybeMakeCrashing turns some requests into repeats of worker-crashing requests. They differ from each other only in the request
// ID.
func (s *system) maybeMakeCrashing(random *rand.Rand, request *RequestRecord) {
	crashingCount := int(s.crashingCount.Load())
	repeatCurrent, repeatBlocked := random.IntN(crashingOneIn) == 0, random.IntN(blockedOneIn) == 0
	switch {
	case crashingCount == 0 || request.Kind == KindNonIdempotent:
		return
	case s.sendCrashing.Load() && repeatCurrent:
		request.CrashID = crashingCount
	case repeatBlocked:
		request.CrashID = 1 + random.IntN(crashingCount)
	default:
		return
	}
	body := crashingBody(request.CrashID)
	// All repeats of a request have the same kind.
	kind := KindStream
	if request.CrashID%2 == 0 {
		kind = KindIdempotent
	}
	path := "/" + string(kind) + "/x"
	if !s.sendCrashing.Load() && !s.isBlocked(path, body) {
		// Without a block in the store, it would crash further workers: all gateways that knew of it may have been killed.
		request.CrashID = 0
		return
	}
	request.Kind, request.WantBody = kind, ""
	request.Request.Path, request.Request.Body = path, body
	if kind == KindIdempotent {
		request.Request.PromptTokens = 0
	} else if request.Request.PromptTokens == 0 {
		request.Request.SharedPrefix, request.Request.SharedTokens, request.Request.PromptTokens = "a0", shortShared, shortTokens
	}
}

// crashingBody returns the body of a worker-crashing request.
func crashingBody(number int) string { return fmt.Sprintf("number %d %s", number, fleet.CrashingBody) }

// isBlocked reports whether the store holds a bar of a request that stays in force while the request runs. Each expiry of a bar may cost a
// worker, and the store keeps expired bars.
func (s *system) isBlocked(path, body string) bool {
	key := poison.BarKey(poison.Request{Method: http.MethodPost, Host: fleet.Host, Target: path, Body: []byte(body)}.Digest())
	value, found := s.fleet.Store.Value(key)
	if !found {
		return false
	}
	bar, err := poison.DecodeBar(key, value)
	return err == nil && bar.Until.After(time.Now().Add(maxDeadline+callSlack))
}

// maxDeadline bounds the deadlines of requests.
const maxDeadline = 3 * time.Second

// callSlack is how long after its deadline a client still waits.
const callSlack = 2 * time.Second

// sendFunc sends a request to a gateway and returns its response.
type sendFunc func(ctx context.Context, gateway string, call fleet.Request) fleet.Response

// call sends a request and records the result.
func (s *system) call(request RequestRecord, abandonAfter time.Duration, do sendFunc) {
	s.recordRequest(s.send(request, abandonAfter, do))
}

// send sends a request and returns it with the result. If abandonAfter is positive, the client disconnects after that time.
func (s *system) send(request RequestRecord, abandonAfter time.Duration, do sendFunc) RequestRecord {
	ctx, cancel := context.WithTimeout(context.Background(), request.Request.Deadline+callSlack)
	defer cancel()
	if s.variable != nil {
		request.Request.APIKey = callersKey
	}
	request.Sent = time.Now()
	if abandonAfter > 0 {
		timer := time.AfterFunc(abandonAfter, cancel)
		defer timer.Stop()
	}
	request.Response = do(ctx, request.Gateway, request.Request)
	request.Ended = time.Now()
	leftOnPurpose := errors.Is(ctx.Err(), context.Canceled) && request.Response.Err != nil
	if leftOnPurpose || errors.Is(request.Response.Err, fleet.ErrAborted) {
		request.AbandonedAt = request.Ended
	}
	return request
}

// recordRequest records a request with its result.
func (s *system) recordRequest(request RequestRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
}

// cachedDirectory caches the addresses returned by the directory.
type cachedDirectory struct {
	system    *system
	caller    *fleet.Caller
	fetchedAt time.Time
	next      int

	mu        sync.Mutex
	addresses []string
}

// directoryTTL is the lifetime of cached addresses.
const directoryTTL = time.Second

// get returns the cached addresses and refreshes them when they have expired. It keeps them if no gateway answers.
func (d *cachedDirectory) get(ctx context.Context) []string {
	if time.Since(d.fetchedAt) < directoryTTL {
		return d.current()
	}
	d.fetchedAt = time.Now()
	for range 3 {
		d.next++
		found, err := d.caller.Resolve(ctx, d.system.gateways[d.next%len(d.system.gateways)].directory)
		if err == nil && len(found) > 0 {
			d.mu.Lock()
			d.addresses = found
			d.mu.Unlock()
			break
		}
	}
	return d.current()
}

// current returns the cached addresses. Unlike get, it may be called while get runs.
func (d *cachedDirectory) current() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses
}
