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

// guardedRequest is a request as seen by the guard. Its digest is computed on first use, since most requests never need it.
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

// peerNotifyDelay is how long the failure of a suspect request is withheld from its caller. By then other gateways have heard of the crash,
// so that an immediate retry through one of them is recognized.
const peerNotifyDelay = 30 * time.Millisecond

// requestDigest returns the digest of the request.
func (g *guardedRequest) requestDigest() poison.Digest {
	if !g.hasDigest {
		g.digest, g.hasDigest = g.request.digest(), true
	}
	return g.digest
}

// status returns the guard's status of the request, and its bar if it is barred.
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

// reportFailure tells the guard that a connection to a worker broke during the request, or that a silent worker was given up. An invalid
// response is not reported, since its worker is up.
func (g *guardedRequest) reportFailure(worker *backend.Worker, failed failure, err error) {
	if g.guard == nil {
		return
	}
	var transport *httpclient.Error
	switch {
	case failed == failureBroken && errors.As(err, &transport):
		g.connectionBroke = true
		g.probeDone = g.guard.ConnectionBroke(worker, g.requestDigest(), g.rule, g.request.Tenant)
	case failed == failureSilent:
		g.guard.Abandoned(worker, g.requestDigest(), g.rule, g.request.Tenant)
	}
}

// awaitProbe waits until the guard knows whether the last worker has crashed. The guard bounds the wait. Only then can the retry avoid
// workers that must not be put at risk.
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

// awaitPeersNotified waits until other gateways have heard of a worker crash during the request, if there was one.
func (g *guardedRequest) awaitPeersNotified(ctx context.Context) {
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

// reportSuccess tells the guard that the request completed.
func (g *guardedRequest) reportSuccess() {
	if !g.hasStatus(poison.Clear) {
		g.guard.RecordSuccess(g.requestDigest())
	}
}
