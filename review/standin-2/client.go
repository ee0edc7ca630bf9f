package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to gateways chosen at random, and try once more as the users' pages say.
type clients struct {
	record   *record
	gateways []*gateway
	client   *http.Client
	nextID   atomic.Int64
	wait     sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// outcome is the answer to one try.
type outcome struct {
	at     time.Duration
	id     string
	path   string
	status int
	// signed is set if the answer has a worker's signature, so that it is not one of the gateway's own.
	signed bool
}

func newClients(record *record, gateways []*gateway) *clients {
	return &clients{record: record, gateways: gateways, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second}}}
}

// send sends a request that may be repeated, in the background.
func (c *clients) send(path string, limit time.Duration) {
	c.wait.Go(func() {
		deadline := time.Now().Add(limit)
		for try := range 2 {
			status, retryAfter := c.try(path, deadline)
			switch {
			case status >= 200 && status < 300, status == 400, status == 401, status == 404, status == 413, status == 431:
				return
			case try > 0:
				return
			}
			remaining := time.Until(deadline)
			time.Sleep(min(retryAfter, remaining/3))
			if time.Until(deadline) < 50*time.Millisecond {
				return
			}
		}
	})
}

// try makes one attempt and returns its status, zero without an answer, and the time of Retry-After.
func (c *clients) try(path string, deadline time.Time) (int, time.Duration) {
	id := fmt.Sprintf("%08x", c.nextID.Add(1))
	to := c.gateways[rand.Intn(len(c.gateways))]
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.ports["callers"]+path, nil)
	if err != nil {
		return 0, 0
	}
	request.Host = host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	c.record.note("sent %s GET %s to %s", id, path, to.name)
	result := outcome{id: id, path: path}
	response, err := c.client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			result.status, result.signed = response.StatusCode, response.Header.Get(wire.Signature) != ""
			c.record.note("answered %s with %d signed=%v %.60q", id, result.status, result.signed, body)
		}
	}
	if err != nil {
		c.record.note("not answered %s: %v", id, err)
	}
	result.at = time.Since(c.record.begun)
	c.mu.Lock()
	c.outcomes = append(c.outcomes, result)
	c.mu.Unlock()
	after := time.Duration(0)
	if response != nil {
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			after = time.Duration(seconds * float64(time.Second))
		}
	}
	return result.status, after
}
