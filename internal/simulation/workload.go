package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/granitebay/granitebay/internal/agent"
	"github.com/granitebay/granitebay/internal/engine"
)

// Shape of the workload.
const (
	// Shares of calls in a thousand: work that may not be repeated, calls with a key among the others, calls that are
	// asked again with the same key, callers that go away, callers that hardly wait.
	oncePerMille  = 300
	keyedPerMille = 250
	againPerMille = 400
	leavePerMille = 40
	hastyPerMille = 120
	// Deadlines from the moment of the call.
	shortestDeadline = 8 * time.Second
	longestDeadline  = 20 * time.Second
	// Deadlines of callers that hardly wait, whose requests are often given up just before or after they start.
	shortestHaste = 60 * time.Millisecond
	longestHaste  = 1500 * time.Millisecond
	// longestAgain is the longest time until a call is asked again.
	longestAgain = 6 * time.Second
)

// tenants of the workload.
var tenants = []string{"medina", "harbour", "north-farms"}

// plannedCall is a call that a caller will make.
type plannedCall struct {
	at      time.Duration
	agent   string
	request agent.CallerRequest
	// patience is the time until the deadline, leaves the time until the caller goes away; zero when it does not.
	patience time.Duration
	leaves   time.Duration
	// again is the time after which the call is made again with the same key through againAgent; zero when it is not.
	again      time.Duration
	againAgent string
}

// drawCalls draws all first calls of a run in order of time.
func drawCalls(seed uint64, deployment Deployment, times phases) []plannedCall {
	random := newRandom(seed, streamWorkload)
	interval := (times.callsEnd - times.callsBegin) / time.Duration(times.calls)
	calls := make([]plannedCall, 0, times.calls)
	for index := range times.calls {
		at := times.callsBegin + time.Duration(index)*interval + between(random, 0, interval)
		calls = append(calls, drawCall(at, at > times.shift(), deployment, random))
	}
	return calls
}

// drawCall draws one call.
func drawCall(at time.Duration, shifted bool, deployment Deployment, random *rand.Rand) plannedCall {
	planned := plannedCall{at: at, agent: pick(random, names(deployment.Agents)...),
		patience: between(random, shortestDeadline, longestDeadline)}
	if random.IntN(perMille) < hastyPerMille {
		planned.patience = between(random, shortestHaste, longestHaste)
	}
	planned.request = drawRequest(shifted, deployment, random)
	keyed := !planned.request.Repeatable || random.IntN(perMille) < keyedPerMille
	if keyed {
		planned.request.IdempotencyKey = drawKey(at, random)
	}
	if keyed && random.IntN(perMille) < againPerMille {
		planned.again = between(random, 10*time.Millisecond, longestAgain)
		planned.againAgent = pick(random, names(deployment.Agents)...)
	}
	if random.IntN(perMille) < leavePerMille {
		planned.leaves = between(random, 50*time.Millisecond, 3*time.Second)
	}
	return planned
}

// drawRequest draws what is asked for. Before the shift, prompts are long and answers short, afterwards the reverse.
func drawRequest(shifted bool, deployment Deployment, random *rand.Rand) agent.CallerRequest {
	prompt, output, class := 1500+random.IntN(4000), 10+random.IntN(30), "history"
	if shifted {
		prompt, output, class = 50+random.IntN(300), 60+random.IntN(160), "quick"
	}
	blocks := make([]uint64, prompt/engine.PrefixBlockTokens)
	family := random.Uint64N(8)
	for index := range blocks {
		blocks[index] = family<<32 | uint64(index)
	}
	return agent.CallerRequest{
		Tenant:       tenants[random.IntN(len(tenants))],
		Labels:       map[string]string{"class": class},
		Model:        deployment.Model,
		PromptDigest: random.Uint64(),
		PromptTokens: uint32(prompt),
		PrefixBlocks: blocks,
		MaxTokens:    uint32(output),
		Repeatable:   random.IntN(perMille) >= oncePerMille,
	}
}

// drawKey draws an idempotency key that carries the time of the call, by the clock of the caller.
func drawKey(at time.Duration, random *rand.Rand) string {
	var key ulid.ULID
	_ = key.SetTime(ulid.Timestamp(newProcessClock(random).read(at)))
	for index := 6; index < len(key); index++ {
		key[index] = byte(random.Uint32())
	}
	return key.String()
}
