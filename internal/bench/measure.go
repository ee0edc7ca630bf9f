package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/processtest"
)

// pairTokens is the length of the answers when the time to the first token is measured.
const pairTokens = 2

// way is one of the two ways to an engine.
type way int

const (
	wayDirect  way = iota // the engine itself
	wayThrough            // agent and routers
	ways
)

// round holds the figures of one round, by way.
type round struct {
	// first holds the times to the first token of single requests.
	first [ways][]time.Duration
	// token is the median time for a token over streams, throughput the tokens a second of all streams together.
	token      [ways]time.Duration
	throughput [ways]float64
	// agent and router are processor times for one stream that went through them.
	agent, router time.Duration
}

// measurement is a running measurement.
type measurement struct {
	command *BenchCommand
	fleet   *processtest.Fleet
	sent    int
}

// measure runs all rounds. A first one that does not count warms connections and caches up.
func (c *BenchCommand) measure(ctx context.Context, fleet *processtest.Fleet) (Report, error) {
	m := &measurement{command: c, fleet: fleet}
	if _, err := m.round(ctx, wayDirect); err != nil {
		return Report{}, err
	}
	rounds := make([]round, 0, c.Rounds)
	for i := range c.Rounds {
		measured, err := m.round(ctx, way(i%int(ways)))
		if err != nil {
			return Report{}, err
		}
		rounds = append(rounds, measured)
	}
	return newReport(*c, rounds), nil
}

// round measures both ways. The ways take turns in being first.
func (m *measurement) round(ctx context.Context, first way) (round, error) {
	var measured round
	for range m.command.Pairs {
		for _, each := range []way{first, 1 - first} {
			reply := m.call(ctx, each, m.sent, pairTokens)
			if !reply.Answered() {
				return measured, errors.Newf("step measure the first token: %s", reply)
			}
			measured.first[each] = append(measured.first[each], reply.First.Sub(reply.Sent))
		}
		first = 1 - first
	}
	for _, each := range []way{first, 1 - first} {
		if err := m.streams(ctx, each, &measured); err != nil {
			return measured, err
		}
	}
	return measured, m.fleet.Failure()
}

// call sends one request by a way. Direct requests go to the engines in turn.
func (m *measurement) call(ctx context.Context, by way, index int, tokens uint32) processtest.Reply {
	m.sent++
	return processtest.Call(ctx, m.address(by, index), m.request(tokens))
}

func (m *measurement) address(by way, index int) string {
	if by == wayThrough {
		return m.fleet.Agents[0].Address
	}
	return m.fleet.Engines[index%len(m.fleet.Engines)].Address
}

// request makes a request with a prompt of its own.
func (m *measurement) request(tokens uint32) processtest.Request {
	prompt := fmt.Sprintf("Order %d: one bag of beans, ground for a moka pot. Is the roast right for it, and why?", m.sent)
	return processtest.Request{Prompt: prompt, MaxTokens: tokens, Repeatable: true}
}

// streams runs many streams at once by a way and notes throughput and processor time.
func (m *measurement) streams(ctx context.Context, by way, measured *round) error {
	before, err := m.usage()
	if err != nil {
		return err
	}
	begun := time.Now()
	replies := m.replies(ctx, by)
	if wrong, found := lo.Find(replies, func(reply processtest.Reply) bool { return !reply.Answered() }); found {
		return errors.Newf("step measure streams: %s", wrong)
	}
	after, err := m.usage()
	if err != nil {
		return err
	}
	end := lo.MaxBy(replies, func(a, b processtest.Reply) bool { return a.Last.After(b.Last) }).Last
	tokens := lo.SumBy(replies, func(reply processtest.Reply) uint32 { return reply.Tokens })
	measured.throughput[by] = float64(tokens) / end.Sub(begun).Seconds()
	measured.token[by] = quantile(lo.Map(replies, func(reply processtest.Reply, _ int) time.Duration {
		return reply.Last.Sub(reply.First) / time.Duration(reply.Tokens-1)
	}), 0.5)
	if by == wayThrough {
		measured.agent = (after.agent - before.agent) / time.Duration(len(replies))
		measured.router = (after.router - before.router) / time.Duration(len(replies))
	}
	return nil
}

// replies runs the streams and waits for their ends.
func (m *measurement) replies(ctx context.Context, by way) []processtest.Reply {
	var group sync.WaitGroup
	replies := make([]processtest.Reply, m.command.Streams)
	for i := range replies {
		address, request := m.address(by, i), m.request(m.command.Tokens)
		m.sent++
		group.Go(func() { replies[i] = processtest.Call(ctx, address, request) })
	}
	group.Wait()
	return replies
}
