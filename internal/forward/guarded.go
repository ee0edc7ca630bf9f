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

// identity is a request as the guard of the workers knows it. Its digest is reckoned only once it is needed: on most days never.
type guardedRequest struct {
	// guard is nil where none keeps requests from workers.
	guard   *poison.Guard
	request *Request
	rule    string

	digest    poison.Digest
	hasDigest bool
	// probed is closed once it is known whether the worker has ended whose connection broke last; nil when that is known.
	probeDone <-chan struct{}
	// broke is set once a connection broke under the request.
	connectionBroke bool
}

// tellTime is how long the failure of a suspect is kept from its caller, who may send it to another gateway at once: by then that one has
// been told of the end. A datagram is gathered for 2 ms and takes some 20 ms between regions.
const peerNotifyDelay = 30 * time.Millisecond

// asked returns the digest of the request.
func (i *guardedRequest) requestDigest() poison.Digest {
	if !i.hasDigest {
		i.digest, i.hasDigest = i.request.digest(), true
	}
	return i.digest
}

// standing returns what the guard holds of the request, with its bar if it is barred.
func (i *guardedRequest) status() (poison.Standing, poison.Bar) {
	if i.guard == nil || !i.guard.Watches() {
		return poison.Clear, poison.Bar{}
	}
	return i.guard.Standing(i.requestDigest())
}

// is tells whether the guard holds one of some things of the request.
func (i *guardedRequest) hasStatus(statuses ...poison.Standing) bool {
	status, _ := i.status()
	return slices.Contains(statuses, status)
}

// failed tells the guard of a try that failed: of a connection to a worker that broke under the request, or of a worker that was given up
// for its silence. An answer that is not valid shows a worker that lives.
func (i *guardedRequest) reportFailure(worker *backend.Worker, failed failure, err error) {
	if i.guard == nil {
		return
	}
	var transport *httpclient.Error
	switch {
	case failed == failureBroken && errors.As(err, &transport):
		i.connectionBroke = true
		i.probeDone = i.guard.Broke(worker, i.requestDigest(), i.rule, i.request.Tenant)
	case failed == failureSilent:
		i.guard.Left(worker, i.requestDigest(), i.rule, i.request.Tenant)
	}
}

// awaitProbe waits until it is known whether the last worker has ended, which the guard bounds. A repeat before would go to any worker.
func (i *guardedRequest) awaitProbe(ctx context.Context) {
	if i.probeDone == nil {
		return
	}
	select {
	case <-i.probeDone:
	case <-ctx.Done():
	}
	i.probeDone = nil
}

// awaitTold waits until other gateways are told of the end of a worker under the request, if there was one.
func (i *guardedRequest) awaitPeersNotified(ctx context.Context) {
	if !i.connectionBroke || i.hasStatus(poison.Clear, poison.Excused) {
		return
	}
	timer := time.NewTimer(peerNotifyDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endedWell tells the guard of a good end of the request.
func (i *guardedRequest) reportSuccess() {
	if !i.hasStatus(poison.Clear) {
		i.guard.EndedWell(i.requestDigest())
	}
}
