package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// boundCaller is a client that uses its connections when they are about to reach a bound, or closes their sending half early. It has one
// request at a time.
type boundCaller struct {
	system    *system
	number    int
	random    *rand.Rand
	directory *cachedDirectory
	// requests is the number of requests so far.
	requests int
}

const (
	// boundCallers is the number of such clients, and boundStream the first of their random streams.
	boundCallers = 16
	boundStream  = 1 << 40
)

// runBoundCallers runs the clients of a seed until the context ends.
func (s *system) runBoundCallers(ctx context.Context, seed uint64) {
	for number := range boundCallers {
		c := &boundCaller{
			system: s, number: number, random: rand.New(rand.NewPCG(seed, boundStream+uint64(number))),
			directory: &cachedDirectory{system: s, caller: fleet.NewCaller(true), next: number},
		}
		s.pendingCalls.Go(func() { c.run(ctx) })
	}
}

// boundBehavior is what a client does with its next connection.
type boundBehavior int

// The behaviors.
const (
	// useAtIdleBound sends a second request after a rest near the bound on resting connections.
	useAtIdleBound boundBehavior = iota
	// useAtHeaderBound sends the first request at a time near the bound on heads.
	useAtHeaderBound
	// halfClose closes the sending half after a whole request.
	halfClose
)

// drawBound draws a behavior and the share of the bound after which the connection is used. Half of the shares are close to one.
func drawBound(random *rand.Rand) (boundBehavior, float64) {
	behavior := []boundBehavior{useAtIdleBound, useAtIdleBound, useAtHeaderBound, halfClose}[random.IntN(4)]
	spread := 0.1
	if random.IntN(2) == 0 {
		spread = 0.01
	}
	return behavior, 1 + spread*(2*random.Float64()-1)
}

// run uses one connection after the other until the context ends.
func (c *boundCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		behavior, share := drawBound(c.random)
		gateways := c.directory.get(ctx)
		if len(gateways) == 0 {
			sleep(ctx, directoryTTL)
			continue
		}
		c.useConn(ctx, gateways[c.random.IntN(len(gateways))], behavior, share)
		// A pause keeps refused connections from being repeated at once.
		sleep(ctx, time.Duration(c.random.IntN(100))*time.Millisecond)
	}
}

// useConn opens a connection and uses it as the behavior says.
func (c *boundCaller) useConn(ctx context.Context, gateway string, behavior boundBehavior, share float64) {
	opened := time.Now()
	conn, err := fleet.OpenCallerConn(ctx, gateway, c.system.dialer.dial)
	if err != nil {
		return
	}
	defer conn.Close()
	switch behavior {
	case useAtIdleBound:
		if !c.call(conn, gateway, false, fleet.NoHalfClose) {
			return
		}
		sleep(ctx, time.Duration(share*float64(c.system.idleBound())))
	case useAtHeaderBound:
		sleep(ctx, time.Until(opened.Add(time.Duration(share*float64(c.system.headerBound())))))
	case halfClose:
		c.call(conn, gateway, false, time.Duration(c.random.Int64N(int64(maxEarlyAbandon))))
		return
	}
	if ctx.Err() == nil {
		c.call(conn, gateway, true, fleet.NoHalfClose)
	}
}

// call sends a request on a connection and reports whether the connection may be reused.
func (c *boundCaller) call(conn *fleet.CallerConn, gateway string, atBound bool, halfCloseAfter time.Duration) (reusable bool) {
	c.requests++
	request := drawRequest(c.random, c.requests, false)
	c.rename(&request)
	request.Gateway, request.AtBound = gateway, atBound
	record := c.system.send(request, 0, func(ctx context.Context, _ string, call fleet.Request) fleet.Response {
		var response fleet.Response
		response, reusable = conn.Do(ctx, call, halfCloseAfter)
		return response
	})
	record.HalfClosedAt = conn.HalfClosedAt()
	c.system.recordRequest(record)
	return reusable
}

// rename gives a request an ID of this client, and sends half of the requests on routes that come and go.
func (c *boundCaller) rename(request *RequestRecord) {
	id := fmt.Sprintf("b%d-%s", c.number, request.Request.ID)
	request.Request.ID, request.Request.Body = id, "body of "+id
	if c.random.IntN(4) == 0 && request.Kind == KindStream {
		request.LongRunning = true
		request.Request.Body += " " + fleet.LongBody
	}
	if c.random.IntN(2) == 0 {
		request.Request.Path = fmt.Sprintf("/%s/extra-%d/x", request.Kind, c.random.IntN(maxExtraRoutes))
	}
	request.WantBody = fleet.StreamAnswer(id, streamEvents)
	if request.Kind != KindStream {
		request.WantBody = fleet.PlainAnswer(id, []byte(request.Request.Body))
	}
}
