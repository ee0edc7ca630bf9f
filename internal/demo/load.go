package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/gateway"
)

// load sends requests to the gateways in open loop: it sends the next one whether or not the earlier ones were answered.
type load struct {
	workload workload
	model    string
	// gateways are the addresses for callers.
	gateways []string
	tally    *tally
	random   *rand.Rand
	// factor scales the requests a second.
	factor  float64
	caller  caller
	calling sync.WaitGroup
}

// idleConnections is how many idle connections to one gateway are kept.
const idleConnections = 256

func newLoad(seed uint64, factor float64, work workload, model string, running *system, counts *tally) *load {
	return &load{
		workload: work,
		model:    model,
		gateways: lo.Map(running.settings, func(each gateway.Settings, _ int) string { return each.ListenCallers }),
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

// newOrder makes a request of a class. Callers choose a gateway at random, as those do that ask the directory.
func (l *load) newOrder(now time.Time, kind class) order {
	tenant := l.workload.tenants[l.random.IntN(len(l.workload.tenants))]
	return order{
		kind:         kind,
		tenant:       tenant,
		id:           newID(now, l.random),
		model:        l.model,
		prompt:       prompt(kind, tenant, l.random),
		answerTokens: max(1, spread(kind.answerTokens, l.random)),
		gateway:      l.gateways[l.random.IntN(len(l.gateways))],
	}
}

// newID returns a request id that carries the time.
func newID(now time.Time, random *rand.Rand) string {
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
	l.tally.sent(asked)
	l.calling.Go(func() {
		got := l.caller.call(context.Background(), asked)
		l.tally.ended(got)
	})
}

// wait waits for the calls that are under way. Each ends by itself soon after its deadline.
func (l *load) wait() {
	l.calling.Wait()
	l.caller.client.CloseIdleConnections()
}
