package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/granitebay/granitebay/internal/fleet"
)

// load sends requests to a fleet in open loop: it sends the next one whether or not the earlier ones were answered.
type load struct {
	workload workload
	model    string
	agents   []fleet.Process
	ledger   *fleet.Ledger
	tally    *tally
	random   *rand.Rand
	// factor scales the requests a second.
	factor  float64
	caller  caller
	calling sync.WaitGroup
}

// idleConnections is how many idle connections to one agent are kept.
const idleConnections = 256

func newLoad(seed uint64, factor float64, work workload, model string, running *fleet.Fleet, counts *tally) *load {
	return &load{
		workload: work,
		model:    model,
		agents:   running.Agents(),
		ledger:   running.Ledger(),
		tally:    counts,
		random:   rand.New(rand.NewPCG(seed, seed)),
		factor:   factor,
		caller: caller{
			client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
			onFirstToken: func(wait time.Duration) { counts.began(time.Now(), wait) },
		},
	}
}

// run sends until the context ends. The calls outlive it.
func (l *load) run(ctx context.Context, started time.Time) {
	next := started
	for {
		kind, total := l.workload.draw(next.Sub(started), l.random)
		next = next.Add(time.Duration(l.random.ExpFloat64() / (total * l.factor) * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
			l.send(l.newOrder(time.Now(), kind))
		}
	}
}

// newOrder makes a request of a class. A tenant always calls the agent beside it.
func (l *load) newOrder(now time.Time, kind class) order {
	index := l.random.IntN(len(l.workload.tenants))
	tenant := l.workload.tenants[index]
	return order{
		kind:         kind,
		tenant:       tenant,
		key:          newKey(now, l.random),
		model:        l.model,
		prompt:       prompt(kind, tenant, l.random),
		answerTokens: max(1, spread(kind.answerTokens, l.random)),
		agent:        l.agents[index%len(l.agents)].Address,
	}
}

// newKey returns an idempotency key that carries the time.
func newKey(now time.Time, random *rand.Rand) string {
	var key ulid.ULID
	// The error is for times after the year 10889.
	_ = key.SetTime(ulid.Timestamp(now))
	for index := 6; index < len(key); index++ {
		key[index] = byte(random.Uint32())
	}
	return key.String()
}

// send makes a call in the background.
func (l *load) send(asked order) {
	if asked.kind.once {
		l.ledger.ExpectOnce(time.Now(), asked.requestID())
	}
	l.tally.sent(asked)
	l.calling.Go(func() {
		got := l.caller.call(context.Background(), asked)
		l.tally.ended(got, l.ledger.Runs(asked.requestID()))
	})
}

// wait waits for the calls that are under way. Each ends by itself soon after its deadline.
func (l *load) wait() {
	l.calling.Wait()
	l.caller.client.CloseIdleConnections()
}
