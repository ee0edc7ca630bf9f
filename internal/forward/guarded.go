package forward

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/completeness"
	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
)

// guardedRequest connects a request to the guard, which detects requests that crash workers. Its digest is computed on first use, since
// most requests never need it.
type guardedRequest struct {
	// guard is nil if requests are not guarded.
	guard   *poison.Guard
	request *Request
	rule    string
	// service is the service whose workers run the request.
	service string
	// parts are the parts of the prompt that other requests may share.
	parts []poison.Part

	digest    poison.Digest
	hasDigest bool
	// probeDone is closed once the guard knows whether the last worker whose connection broke has crashed; nil if no probe is pending.
	probeDone <-chan struct{}
	// connectionBroke is set once a connection to a worker broke during the request.
	connectionBroke bool
	// trialOf is the barred part whose trial the request is; zero if it is none, or has failed. wasSent is set once it was sent to a worker.
	trialOf poison.Part
	wasSent bool
	// isOwnTrial is set while the request is the trial of its own bar.
	isOwnTrial bool
	// worker is the worker of the current attempt; nil before the first.
	worker *backend.Worker
	// sentAt is when the request was sent to the worker; zero before.
	sentAt time.Time
	// answerBegan is when the worker of the current attempt began to answer; zero before. outlived is set once it has gone on for longer
	// than crashOnset.
	answerBegan time.Time
	outlived    bool
	// answerEnded is when the response of the current attempt had been read to its end; zero before.
	answerEnded time.Time
}

// crashOnset is the longest time from the beginning of an answer to the crash of its worker that is attributed to a part of the prompt.
const crashOnset = time.Second

// newGuardedRequest returns a request to a group, connected to the guard.
func newGuardedRequest(guard *poison.Guard, request *Request, match routing.Match) *guardedRequest {
	g := &guardedRequest{guard: guard, request: request, rule: match.Rule.Name, service: match.Group.Service()}
	for _, segment := range request.Demand.SharedSegments() {
		g.parts = append(g.parts, poison.NewPart(match.Group.Name, segment.ID))
	}
	return g
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

// status returns the guard's status of the request or of a part of its prompt, whichever is higher, and the crashes recorded for it, which
// are empty for clear requests.
func (g *guardedRequest) status() (poison.Status, poison.Bar) {
	if g.guard == nil || !g.guard.HasSuspects() {
		return poison.Clear, poison.Bar{}
	}
	status, bar := g.guard.Status(g.requestDigest())
	if g.isOwnTrial {
		status, bar = poison.Clear, poison.Bar{}
	}
	if g.isTrialAtAll() || len(g.parts) == 0 {
		return status, bar
	}
	if partStatus, partBar := g.guard.PartStatus(g.parts); partStatus > status {
		return partStatus, partBar
	}
	return status, bar
}

// barredVersions returns the software versions of workers at which the request may not run, because a part of its prompt is barred or pending
// there, and one of the bars. A nil request is not guarded.
func (g *guardedRequest) barredVersions() ([]string, poison.Bar) {
	if g == nil || g.guard == nil || len(g.parts) == 0 || !g.guard.HasSuspects() {
		return nil, poison.Bar{}
	}
	if g.isTrialAtAll() {
		return nil, poison.Bar{}
	}
	versions, bar := g.guard.BarredVersions(g.service, g.parts)
	if trial := g.trialOf.Version; trial != "" {
		versions = slices.DeleteFunc(versions, func(version string) bool { return version == trial })
	}
	return versions, bar
}

// isTrialAtAll reports whether the request is the trial of a part that is barred at all workers. It may run at any of them.
func (g *guardedRequest) isTrialAtAll() bool { return !g.trialOf.IsZero() && g.trialOf.Version == "" }

// endsWithAttempt reports whether no other worker may run the request if the current attempt fails, because it is the trial of a bar for all workers.
func (g *guardedRequest) endsWithAttempt() bool {
	return g != nil && (g.isOwnTrial || g.isTrialAtAll())
}

// trialVersion returns the software version at which the request is the trial of a part; empty if it is none.
func (g *guardedRequest) trialVersion() string {
	if g == nil {
		return ""
	}
	return g.trialOf.Version
}

// endVersionTrial reports whether the request is the trial of a part at a software version, and makes it an ordinary one that runs at other
// versions.
func (g *guardedRequest) endVersionTrial() bool {
	if g.trialOf.Version == "" {
		return false
	}
	g.end()
	g.trialOf = poison.Part{}
	return true
}

// admit returns the status of a request that has just arrived. One that is barred, or has a part that is barred at all workers or at a software version,
// is let through to them if it is the trial of that bar.
func (g *guardedRequest) admit(exclusive *exclusiveRuns) (poison.Status, poison.Bar) {
	if g.guard == nil || !g.guard.HasSuspects() {
		return poison.Clear, poison.Bar{}
	}
	g.guard.CountRequest(g.service, g.parts)
	status, bar := g.status()
	isBarredPart := status == poison.Barred && !bar.Part.IsZero()
	if status < poison.Pending {
		versions, _ := g.barredVersions()
		isBarredPart = len(versions) > 0
	}
	switch {
	case !exclusive.mayBeginTrials():
		return status, bar
	case isBarredPart:
		g.trialOf = g.guard.BeginTrial(g.service, g.parts, func(part poison.Part, number int) bool { return exclusive.hasTrial(part.Digest(), number) })
	case status == poison.Barred:
		g.beginOwnTrial(exclusive)
	default:
		return status, bar
	}
	return g.status()
}

// beginOwnTrial makes a barred request the trial of its bar if one is due, unless a part of its prompt is barred as well.
func (g *guardedRequest) beginOwnTrial(exclusive *exclusiveRuns) {
	if status, _ := g.guard.PartStatus(g.parts); status >= poison.Pending {
		return
	}
	digest := g.requestDigest()
	g.isOwnTrial = g.guard.BeginRequestTrial(digest, func(number int) bool { return exclusive.hasTrial(digest, number) })
}

// end lets another request be the trial of a bar if this one was sent to no worker.
func (g *guardedRequest) end() {
	if !g.trialOf.IsZero() && !g.wasSent {
		g.guard.ReturnTrial(g.trialOf)
	}
	if g.isOwnTrial && !g.wasSent {
		g.guard.ReturnRequestTrial(g.requestDigest())
	}
}

// beginAttempt notes that a worker has been chosen, which has not answered yet.
func (g *guardedRequest) beginAttempt(worker *backend.Worker) {
	g.worker = worker
	g.sentAt, g.answerBegan, g.answerEnded, g.outlived = time.Time{}, time.Time{}, time.Time{}, false
}

// answerBegins notes that the worker begins to answer. Only the first call of an attempt counts.
func (g *guardedRequest) answerBegins() {
	if g.guard != nil && g.answerBegan.IsZero() {
		g.answerBegan = g.guard.Now()
		g.guard.Responded(g.worker)
	}
}

// eventArrived reports to the guard that the worker still answers, once that shows that no part of the prompt has crashed it.
func (g *guardedRequest) eventArrived() {
	if g.guard == nil || g.outlived || g.answerBegan.IsZero() || len(g.parts) == 0 || !g.hasOutlived() {
		return
	}
	g.outlived = true
	g.guard.RecordAnswer(g.worker, g.answerBegan, g.parts)
}

// hasOutlived reports whether the current answer goes on, or went on, for longer than crashOnset.
func (g *guardedRequest) hasOutlived() bool {
	end := cmp.Or(g.answerEnded, g.guard.Now())
	return !g.answerBegan.IsZero() && end.Sub(g.answerBegan) > crashOnset
}

// suspectParts returns the parts of the prompt that may have crashed the worker of the current attempt.
func (g *guardedRequest) suspectParts() []poison.Part {
	if g.hasOutlived() {
		return nil
	}
	return g.parts
}

// hasStatus reports whether the request has one of the statuses.
func (g *guardedRequest) hasStatus(statuses ...poison.Status) bool {
	status, _ := g.status()
	return slices.Contains(statuses, status)
}

// maySend returns an error if the request must not be sent to any worker now.
func (g *guardedRequest) maySend() error {
	if g.hasStatus(poison.Pending, poison.Barred) {
		return errBarred
	}
	return nil
}

// maySendTo returns an error if the request must not be sent to a worker now.
func (g *guardedRequest) maySendTo(worker *backend.Worker) error {
	barred, _ := g.barredVersions()
	if versions := (versionFilter{barred: barred, trial: g.trialVersion()}); !versions.acceptsSoftware(worker) {
		return errBarred
	}
	return g.maySend()
}

// beginSend is called before the request is sent to a worker. It returns an error if it must not be sent now.
func (g *guardedRequest) beginSend(worker *backend.Worker) error {
	if err := g.maySendTo(worker); err != nil {
		return err
	}
	g.wasSent = true
	if g.guard != nil {
		g.sentAt = g.guard.Now()
	}
	return nil
}

// reportFailure reports to the guard that a connection to a worker broke during the request, or that a silent worker was abandoned. A
// malformed response is not reported, since its worker is up.
func (g *guardedRequest) reportFailure(worker *backend.Worker, failure failureKind, err error) {
	if g.guard == nil {
		return
	}
	if failure != failureNone && g.wasSent {
		g.trialOf, g.isOwnTrial = poison.Part{}, false
	}
	var transport *httpclient.Error
	switch {
	case failure == failureBroken && errors.As(err, &transport):
		g.connectionBroke = true
		if isTimeout(err) {
			g.guard.Abandoned(worker, g.run())
		}
		g.probeDone = g.guard.ConnectionBroke(worker, g.run())
	case failure == failureSilent:
		g.guard.Abandoned(worker, g.run())
	}
}

// run describes the current attempt to the guard.
func (g *guardedRequest) run() poison.Run {
	return poison.Run{Digest: g.requestDigest(), Rule: g.rule, Tenant: g.request.Tenant, Began: g.sentAt, Parts: g.suspectParts()}
}

// isTimeout reports whether a connection broke because nothing arrived for too long, so that its peer may have gone long before.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
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
	ctxsleep.Sleep(ctx, peerNotifyDelay)
}

// confirmEnd returns an error unless a response that was read to its end is whole. Where nobody can tell, it is not.
func (g *guardedRequest) confirmEnd(ctx context.Context, response *Response, settle time.Duration) error {
	result := completeness.Evidence{Framing: completeness.FramingOf(response.EndsWithConnection)}.Judge()
	if result == completeness.Unknown && g.guard != nil {
		g.answerEnded = g.guard.Now()
		result = g.guard.ConfirmEnd(ctx, g.worker, settle)
	}
	if cause := result.Err(); cause != nil {
		return &httpclient.Error{Step: httpclient.StepReceive, Peer: g.worker.Address, Cause: cause}
	}
	return nil
}

// reportSuccess reports to the guard that the request completed.
func (g *guardedRequest) reportSuccess() {
	if g.guard != nil && len(g.parts) > 0 && !g.answerBegan.IsZero() {
		g.guard.RecordAnswer(g.worker, g.answerBegan, g.parts)
	}
	if g.isOwnTrial || !g.hasStatus(poison.Clear) {
		g.guard.RecordSuccess(g.requestDigest())
	}
}
