package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case DENIED: a plain service, one path of which answers 500 until it is repaired, while a quarter of its workers crashes each few
// seconds.
const (
	deniedTime        = 112 * time.Second
	deniedRepair      = 86 * time.Second
	deniedWorkers     = 8
	deniedSlots       = 6
	deniedCrashPause  = 4 * time.Second
	deniedRack        = 2
	deniedDownTime    = 2 * time.Second
	deniedFirstCrash  = 3 * time.Second
	deniedLastCrash   = 79 * time.Second
	deniedRecordTime  = 3600 * time.Millisecond
	deniedDeadline    = 3 * time.Second
	deniedFailingPath = "/lookup/2f"
)

// deniedCounts are the tries of all clients.
type deniedCounts struct {
	// tries are all tries, and own those that ended with a 4xx that no worker gave; ownRepaired are those of them after the repair.
	tries, own, ownRepaired, served, failed, refused atomic.Int64
}

// runDenied plays the case and reports whether the rule held.
func runDenied(run *caseRun) (bool, error) {
	repairedAt := run.record.start.Add(deniedRepair)
	answerTo := func(request *http.Request) answer {
		if request.URL.Path == deniedFailingPath && time.Now().Before(repairedAt) {
			return answer{status: http.StatusInternalServerError, work: 900 * time.Millisecond}
		}
		return answer{status: http.StatusOK, work: 30 * time.Millisecond}
	}
	ctx, cancel := context.WithTimeout(context.Background(), deniedTime)
	defer cancel()
	workers := make([]*worker, deniedWorkers)
	for i := range workers {
		var err error
		if workers[i], err = startWorker(run.store, "dock-api", deniedSlots, run.record, answerTo); err != nil {
			return false, err
		}
	}
	run.store.put(names.ConfigurationKey, json.RawMessage(deniedConfiguration))
	gateways, err := run.startGateways(3)
	if err != nil {
		return false, err
	}
	counts := &deniedCounts{}
	var clients sync.WaitGroup
	for i := range 12 {
		path := fmt.Sprintf("/lookup/%x", 0x100+i)
		if i < 4 {
			path = deniedFailingPath
		}
		clients.Go(func() { counts.askRepeatedly(ctx, run.record, gateways, i, path, repairedAt) })
	}
	if run.trouble {
		err = crashInTurn(ctx, run, workers, answerTo)
	}
	clients.Wait()
	if err != nil {
		return false, err
	}
	tries, own := counts.tries.Load(), counts.own.Load()
	allowed := 5 + tries/500
	run.record.add("%d tries: %d served, %d failed, %d refused (503), %d ended with a 4xx of the gateways' own, of which %d after the repair; %d are allowed",
		tries, counts.served.Load(), counts.failed.Load(), counts.refused.Load(), own, counts.ownRepaired.Load(), allowed)
	if counts.served.Load() == 0 {
		return false, errors.New("no request was served")
	}
	for _, g := range gateways {
		if g.hasEnded() {
			return false, fmt.Errorf("%s has ended by itself", g.name)
		}
	}
	return own <= allowed, nil
}

// crashInTurn crashes the workers of one rack after the other. Each is replaced after deniedDownTime, and its record goes after three heartbeats.
func crashInTurn(ctx context.Context, run *caseRun, workers []*worker, answerTo func(request *http.Request) answer) error {
	for number, at := 0, run.record.start.Add(deniedFirstCrash); at.Before(run.record.start.Add(deniedLastCrash)); number, at = number+1, at.Add(deniedCrashPause) {
		if !sleep(ctx, time.Until(at)) {
			return nil
		}
		first := number * deniedRack % len(workers)
		rack := workers[first : first+deniedRack]
		for _, ended := range rack {
			ended.crash()
			run.record.add("%s crashes", ended.id)
			time.AfterFunc(deniedRecordTime, func() { run.store.remove(names.WorkerPrefix + ended.id) })
		}
		if !sleep(ctx, deniedDownTime) {
			return nil
		}
		for i := range rack {
			started, err := startWorker(run.store, "dock-api", deniedSlots, run.record, answerTo)
			if err != nil {
				return fmt.Errorf("a worker does not start: %w", err)
			}
			rack[i] = started
		}
	}
	return nil
}

// askRepeatedly sends a request each quarter of a second until the context ends. It doesn't wait for answers, as the users of a service are many.
func (c *deniedCounts) askRepeatedly(ctx context.Context, record *recorder, gateways []*gatewayProcess, client int, path string, repairedAt time.Time) {
	const pause = 250 * time.Millisecond
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var users sync.WaitGroup
	defer users.Wait()
	for number := 0; sleep(ctx, pause); number++ {
		users.Go(func() {
			deadline := time.Now().Add(deniedDeadline)
			id := fmt.Sprintf("%04x%06x", client, number)
			status, header := c.ask(transport, record, gateways[(client+number)%len(gateways)], id+"00", path, deadline, repairedAt)
			// One more try after a failure, within the deadline, on a new connection, when the answer says so. A 4xx is final.
			if status >= http.StatusInternalServerError && sleep(ctx, retryTime(header, time.Until(deadline))) {
				anew := &http.Transport{DisableKeepAlives: true}
				c.ask(anew, record, gateways[(client+number+1)%len(gateways)], id+"01", path, deadline, repairedAt)
			}
		})
	}
}

// retryTime returns how long a client waits before the next try: as an answer asks, up to a third of its remaining time.
func retryTime(header http.Header, remaining time.Duration) time.Duration {
	const usual = 100 * time.Millisecond
	wait := usual
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	return min(wait, remaining/3)
}

// ask sends one request and counts its end. It returns the status, or a status of a failure if there was none, and the head of the answer.
func (c *deniedCounts) ask(transport *http.Transport, record *recorder, gateway *gatewayProcess, id, path string, deadline, repairedAt time.Time) (int, http.Header) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway.callers+path, http.NoBody)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header = http.Header{"Request-Id": {id}, names.Deadline: {fmt.Sprint(time.Until(deadline).Milliseconds())}}
	if ctx.Err() != nil {
		return http.StatusGatewayTimeout, nil
	}
	c.tries.Add(1)
	response, err := transport.RoundTrip(request)
	if err != nil {
		record.add("%s %s at %s: no answer: %v", id, path, gateway.name, err)
		c.failed.Add(1)
		return http.StatusGatewayTimeout, nil
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	signature := response.Header.Get(names.Signature)
	record.add("%s %s at %s: %d signed %q %s", id, path, gateway.name, response.StatusCode, signature, strings.TrimSpace(string(body)))
	switch status := response.StatusCode; {
	case status < http.StatusMultipleChoices:
		c.served.Add(1)
	case status == http.StatusServiceUnavailable:
		c.refused.Add(1)
	case signature == "" && isOwnDenial(status):
		c.own.Add(1)
		if time.Now().After(repairedAt) {
			c.ownRepaired.Add(1)
		}
	default:
		c.failed.Add(1)
	}
	return response.StatusCode, response.Header
}

// isOwnDenial reports whether the rule DENIED counts a status that no worker gave.
func isOwnDenial(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	default:
		return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
	}
}
