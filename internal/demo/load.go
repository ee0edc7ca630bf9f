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

// loadGenerator sends requests to the gateways in an open loop: it does not wait for earlier answers.
type loadGenerator struct {
	workload workload
	model    string
	// gateways are the addresses for client requests.
	gateways []string
	stats    *stats
	random   *rand.Rand
	// rateFactor scales the request rate.
	rateFactor float64
	caller     caller
	pending    sync.WaitGroup
}

// maxIdleConnsPerGateway bounds the idle connections to one gateway.
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

// run sends requests until the context ends. Pending requests outlive it.
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

// newRequest generates a request of a class. The gateway is chosen at random, as by clients that use the directory.
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

// newID returns a request ID that encodes the time.
func newID(now time.Time, random *rand.Rand) string {
	var key ulid.ULID
	// SetTime fails only for times after the year 10889.
	_ = key.SetTime(ulid.Timestamp(now))
	for index := 6; index < len(key); index++ {
		key[index] = byte(random.Uint32())
	}
	return key.String()
}

// send sends a request in the background.
func (l *loadGenerator) send(req request) {
	l.stats.recordSent(req)
	l.pending.Go(func() {
		res := l.caller.call(context.Background(), req)
		l.stats.recordResult(res)
	})
}

// wait waits for the pending requests. Each ends soon after its deadline.
func (l *loadGenerator) wait() {
	l.pending.Wait()
	l.caller.client.CloseIdleConnections()
}
