package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/poison"
)

// guardedRequest connects a request to the guard, which detects requests that crash workers. Its digest is computed on first use, since
// most requests never need it.
type guardedRequest struct {
	// guard is nil if requests are not guarded.
	guard   *poison.Guard
	request *Request
	rule    string

	digest    poison.Digest
	hasDigest bool
	// probeDone is closed once the guard knows whether the last worker whose connection broke has crashed; nil if no probe is pending.
	probeDone <-chan struct{}
	// connectionBroke is set once a connection to a worker broke during the request.
	connectionBroke bool
}

// peerNotifyDelay is how long the failure of a request that crashed a worker is withheld from its caller. Within that time the other
// gateways receive the crash, so that they recognize an immediate retry: a datagram is delayed by 2 ms to be batched, and takes some 20 ms
// between regions.
const peerNotifyDelay = 30 * time.Millisecond

// requestDigest returns the digest of the request.
func (g *guardedRequest) requestDigest() poison.Digest {
	if !g.hasDigest {
		g.digest, g.hasDigest = g.request.digest(), true
	}
	return g.digest
}

// status returns the guard's status of the request, and the crashes recorded for it, which are empty for clear requests.
func (g *guardedRequest) status() (poison.Status, poison.Bar) {
	if g.guard == nil || !g.guard.HasSuspects() {
		return poison.Clear, poison.Bar{}
	}
	return g.guard.Status(g.requestDigest())
}

// hasStatus reports whether the request has one of the statuses.
func (g *guardedRequest) hasStatus(statuses ...poison.Status) bool {
	status, _ := g.status()
	return slices.Contains(statuses, status)
}

// reportFailure reports to the guard that a connection to a worker broke during the request, or that a silent worker was abandoned. A
// malformed response is not reported, since its worker is up.
func (g *guardedRequest) reportFailure(worker *backend.Worker, failure failureKind, err error) {
	if g.guard == nil {
		return
	}
	var transport *httpclient.Error
	switch {
	case failure == failureBroken && errors.As(err, &transport):
		g.connectionBroke = true
		g.probeDone = g.guard.ConnectionBroke(worker, g.requestDigest(), g.rule, g.request.Tenant)
	case failure == failureSilent:
		g.guard.Abandoned(worker, g.requestDigest(), g.rule, g.request.Tenant)
	}
}

// awaitProbe waits until the guard knows whether the last worker has crashed, because the retry of a suspect request may not use all
// workers. The guard limits the duration of the probe.
func (g *guardedRequest) awaitProbe(ctx context.Context) {
	if g.probeDone == nil {
		return
	}
	select {
	case <-g.probeDone:
	case <-ctx.Done():
	}
	g.probeDone = nil
}

// delayFailure delays the failure of a request that crashed a worker, so that the other gateways learn of the crash before the caller
// retries.
func (g *guardedRequest) delayFailure(ctx context.Context) {
	if !g.connectionBroke || g.hasStatus(poison.Clear, poison.Excused) {
		return
	}
	timer := time.NewTimer(peerNotifyDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reportSuccess reports to the guard that the request completed.
func (g *guardedRequest) reportSuccess() {
	if !g.hasStatus(poison.Clear) {
		g.guard.RecordSuccess(g.requestDigest())
	}
}
