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
type loadGenerator struct {
	workload workload
	model    string
	// gateways are the addresses for callers.
	gateways []string
	stats    *stats
	random   *rand.Rand
	// factor scales the requests a second.
	rateFactor float64
	caller     caller
	pending    sync.WaitGroup
}

// idleConnections is how many idle connections to one gateway are kept.
const maxIdleConnsPerGateway = 256

func newLoadGenerator(seed uint64, rateFactor float64, workload workload, model string, sys *system, stats *stats) *loadGenerator {
	return &loadGenerator{
		workload:   workload,
		model:      model,
		gateways:   lo.Map(sys.settings, func(each gateway.Settings, _ int) string { return each.ListenCallers }),
		stats:      stats,
		random:     rand.New(rand.NewPCG(seed, seed)),
		rateFactor: rateFactor,
		caller: caller{
			client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerGateway}},
			onFirstToken: func(wait time.Duration) { stats.recordFirstToken(time.Now(), wait) },
		},
	}
}

// run sends until the context ends. The calls outlive it.
func (l *loadGenerator) run(ctx context.Context, started time.Time) {
	next := started
	for {
		class, total := l.workload.pickClass(next.Sub(started), l.random)
		next = next.Add(time.Duration(l.random.ExpFloat64() / (total * l.rateFactor) * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
			l.send(l.newRequest(time.Now(), class))
		}
	}
}

// newOrder makes a request of a class. Callers choose a gateway at random, as those do that ask the directory.
func (l *loadGenerator) newRequest(now time.Time, class requestClass) request {
	tenant := l.workload.tenants[l.random.IntN(len(l.workload.tenants))]
	return request{
		class:        class,
		tenant:       tenant,
		id:           newID(now, l.random),
		model:        l.model,
		prompt:       randomPrompt(class, tenant, l.random),
		answerTokens: max(1, randomLength(class.answerTokens, l.random)),
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
func (l *loadGenerator) send(req request) {
	l.stats.recordSent(req)
	l.pending.Go(func() {
		got := l.caller.call(context.Background(), req)
		l.stats.recordResult(got)
	})
}

// wait waits for the calls that are under way. Each ends by itself soon after its deadline.
func (l *loadGenerator) wait() {
	l.pending.Wait()
	l.caller.client.CloseIdleConnections()
}
