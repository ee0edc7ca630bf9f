package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// StreamVersions knows which software version began each stream that callers may take up again, also at another gateway. It is safe for
// concurrent use.
type StreamVersions interface {
	// Began records that a worker of a version has the first event of a stream, or goes on with it, before the caller gets the event.
	Began(stream streamversion.Stream, version streamversion.Version)
	// Find returns the version that began a stream; its source is SourceUnknown if it is not known.
	Find(ctx context.Context, stream streamversion.Stream) streamversion.Finding
}

// lifetimeFactor is how many times the timeout of a rule a stream may be taken up again: during the run that began it and a further one.
const lifetimeFactor = 2

// streamOf returns how other gateways are told of the stream of a request.
func streamOf(table *routing.Table, rule *routing.Rule, request *Request) streamversion.Stream {
	id := request.ID
	if request.ResumeAfter != "" {
		id = request.Resumes
	}
	stream := streamversion.Stream{
		Key: streamversion.KeyOf(request.Tenant, id), Lifetime: min(lifetimeFactor*rule.Timeout, streamversion.MaxLifetime),
	}
	for _, share := range rule.Shares {
		if group := table.Group(share.Group); group != nil && !slices.Contains(stream.Services, group.Service()) {
			stream.Services = append(stream.Services, group.Service())
		}
	}
	return stream
}

// findStream finds the version that began the stream which a request takes up, and changes the group of the match to one of its service. It
// returns false if the version is not known. The finding is zero if the request takes up no stream.
func (h *Handler) findStream(ctx context.Context, table *routing.Table, match *routing.Match, request *Request) (streamversion.Finding, bool) {
	if request.ResumeAfter == "" || h.streams == nil || match.Rule.Kind != routing.KindStream || request.Unstreamed {
		return streamversion.Finding{}, true
	}
	stream := streamOf(table, match.Rule, request)
	finding := h.streams.Find(ctx, stream)
	if !finding.IsKnown() {
		return finding, false
	}
	if match.Group.Service() != finding.Version.Service {
		match.Group = groupOfService(table, *match, finding.Version.Service)
	}
	if stream.Key != 0 {
		// The record lasts until the lifetime is over after this run, too.
		h.streams.Began(stream, finding.Version)
	}
	return finding, true
}

// groupOfService returns the group of a service among the shares of a rule, or that of the match if there is none.
func groupOfService(table *routing.Table, match routing.Match, service string) *routing.Group {
	for _, share := range match.Rule.Shares {
		if group := table.Group(share.Group); group != nil && group.Service() == service {
			return group
		}
	}
	return match.Group
}

// versionOf returns the software version of a worker.
func versionOf(worker *backend.Worker) streamversion.Version {
	return streamversion.Version{Service: worker.Group, Software: worker.SoftwareVersion}
}

// versionFilter selects workers by the versions of their software. The zero value accepts all.
type versionFilter struct {
	// bound is the version of the workers that may run the request; nil allows all.
	bound *streamversion.Version
	// barred are the software versions at which a part of the prompt is barred, for runs and prefill calls.
	barred []string
	// trial is the software version at which the request is the trial of a barred part; empty if it is none.
	trial string
}

// isZero reports whether the filter accepts all workers.
func (f versionFilter) isZero() bool { return f.bound == nil && len(f.barred) == 0 && f.trial == "" }

// accepts reports whether a worker may run the request.
func (f versionFilter) accepts(worker *backend.Worker) bool {
	return (f.bound == nil || versionOf(worker) == *f.bound) && f.acceptsSoftware(worker)
}

// acceptsSoftware reports whether no bar keeps the request from the software version of a worker, whatever stream it continues.
func (f versionFilter) acceptsSoftware(worker *backend.Worker) bool {
	return !slices.Contains(f.barred, worker.SoftwareVersion) && (f.trial == "" || worker.SoftwareVersion == f.trial)
}

// eligible returns the function that accepts the workers that may run the request, or nil for all.
func (f versionFilter) eligible() func(worker *backend.Worker) bool {
	if f.isZero() {
		return nil
	}
	return f.accepts
}

// eligiblePrefill returns the function that accepts the workers that may prefill the prompt, or nil for all.
func (f versionFilter) eligiblePrefill() func(worker *backend.Worker) bool {
	if len(f.barred) == 0 && f.trial == "" {
		return nil
	}
	return f.acceptsSoftware
}

// identification tells which incarnation of a worker sends a response.
type identification struct {
	worker   *backend.Worker
	identify func(ctx context.Context) (string, error)
}

// version returns the version of the incarnation, or how it is known if its record is not there yet. It waits until ctx ends at most.
func (i *identification) version(ctx context.Context) streamversion.Version {
	id, err := i.identify(ctx)
	switch {
	case err != nil:
		return streamversion.Version{Service: i.worker.Group, Incarnation: streamversion.UnknownIncarnation}
	case id == i.worker.ID:
		return versionOf(i.worker)
	default:
		return streamversion.Version{Service: i.worker.Group, Incarnation: id}
	}
}

const (
	// identifyPatience bounds how long the first event of a stream waits for the worker to say which incarnation it is. The worker is asked as the
	// request is sent, so that the answer is mostly there.
	identifyPatience = 50 * time.Millisecond
	// identifyTimeout bounds how long an answer is awaited beside the stream.
	identifyTimeout = 2 * time.Second
)

// identifyIncarnation reports whether it matters which incarnation of a worker sends the response, because another worker may go on with it, and
// the id of the request does not tell. Held is the copy that the run gets, or nil.
func (c *call) identifyIncarnation(worker *backend.Worker, held *runCopy) bool {
	return worker.ID != worker.RecordName() && c.isStream() && (c.resumable() || held != nil || c.stream.IsKnown())
}

// streamBegins records which version sends the first event of the stream. An attempt that failed before its first event leaves the stream free
// to begin at any version.
func (c *call) streamBegins(ctx context.Context, worker *backend.Worker, identify func(ctx context.Context) (string, error)) {
	version := versionOf(worker)
	if identify != nil {
		c.begunBy = &identification{worker: worker, identify: identify}
		version = c.identifyWithin(ctx, identifyPatience)
	}
	c.bindTo(version)
	if c.handler.streams == nil || !c.resumable() {
		return
	}
	c.handler.streams.Began(c.streamRef, version)
	if version.Incarnation == streamversion.UnknownIncarnation {
		// The context of the attempt ends with it, but the caller may take the stream up again.
		go c.handler.tellLate(context.WithoutCancel(ctx), c.streamRef, c.begunBy)
	}
}

// tellLate records which version began a stream once its worker has told.
func (h *Handler) tellLate(ctx context.Context, stream streamversion.Stream, begunBy *identification) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	if version := begunBy.version(ctx); version.Incarnation != streamversion.UnknownIncarnation {
		h.streams.Began(stream, version)
	}
}

// identifyWithin returns the version of the incarnation that began the stream. It waits for a duration at most.
func (c *call) identifyWithin(ctx context.Context, patience time.Duration) streamversion.Version {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return c.begunBy.version(ctx)
}

// bindTo binds the stream to a version.
func (c *call) bindTo(version streamversion.Version) {
	c.stream = streamversion.Finding{Version: version, Source: streamversion.SourceOwnRun}
	c.report.Stream = c.stream
}

// boundVersion returns the version at which the stream must go on; nil while it has not begun. No worker is of a version that is not known.
func (c *call) boundVersion() *streamversion.Version {
	if !c.stream.IsKnown() {
		return nil
	}
	return &c.stream.Version
}

// versions returns the versions of the workers at which the request may run now.
func (c *call) versions() versionFilter {
	barred, _ := c.guarded.barredVersions()
	return versionFilter{bound: c.boundVersion(), barred: barred, trial: c.guarded.trialVersion()}
}

// learnVersion finds out the version of a stream that began at an incarnation whose record was not there, before it goes on at another worker. It
// waits for a duration at most.
func (c *call) learnVersion(ctx context.Context, patience time.Duration) {
	if c.begunBy == nil || c.stream.Version.IsTold() {
		return
	}
	version := c.stream.Version
	if version.Incarnation == streamversion.UnknownIncarnation {
		version = c.identifyWithin(ctx, patience)
	}
	if !version.IsTold() {
		version = c.handler.dispatcher.versionOfIncarnation(version)
	}
	c.bindTo(version)
}

// versionOfIncarnation returns the version of the incarnation that a version names, or the version as it is if the incarnation has no record.
func (d *Dispatcher) versionOfIncarnation(version streamversion.Version) streamversion.Version {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.balancer.Worker(version.Incarnation)
	if !found || worker.Group != version.Service {
		return version
	}
	return versionOf(worker)
}

// checkIncarnation returns an error unless the incarnation of the record sends the response of a worker that goes on with the stream. It was asked
// before the request was sent, and may have been started again since.
func (c *call) checkIncarnation(ctx context.Context, worker *backend.Worker, identify func(ctx context.Context) (string, error)) error {
	if identify == nil || !c.stream.IsKnown() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	id, err := identify(ctx)
	switch {
	case err != nil:
		// The error is that of the question, and must not be taken for one of the request.
		return errors.Newf("identify, peer %s: %s", worker.Address, err.Error())
	case id != worker.ID:
		return &ReplacedError{Peer: worker.Address}
	default:
		return nil
	}
}

// ReplacedError reports that another incarnation of a worker, of unknown version, runs at its address under its id.
type ReplacedError struct {
	// Peer is the address of the worker.
	Peer string
}

// Error implements error.
func (r *ReplacedError) Error() string {
	return "confirm, peer " + r.Peer + ": the worker was started again"
}

// confirmTimeout bounds the question whether a worker is still the same incarnation.
const confirmTimeout = 250 * time.Millisecond

// confirmVersion asks the worker of a stream that is bound to a version whether it is still the incarnation of that version. Workers that don't
// use their ids again check the id of each request themselves. If the worker is not confirmed, the assignment is finished. The request was not
// sent then, so that trying another worker is no repeat.
func (c *call) confirmVersion(ctx context.Context, runner *Assignment) failureKind {
	if c.handler.confirm == nil || !c.stream.IsKnown() || runner.Worker.ID == runner.Worker.RecordName() {
		return failureNone
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := c.handler.confirm(ctx, runner.Worker)
	if err == nil {
		return failureNone
	}
	c.report.Err = err
	outcome := balance.OutcomeNone
	if replaced := new(ReplacedError); errors.As(err, &replaced) {
		// The incarnation of the record has ended, for other requests as well.
		outcome = balance.OutcomeUnreachable
	}
	runner.finish(outcome)
	return failureUnreachable
}

// endWithoutVersion ends a stream that no worker can continue, because none of its software version is left. Waiting would not help: workers
// of an earlier version seldom come back.
func (c *call) endWithoutVersion() connAction {
	c.report.Reason = ReasonVersionGone
	switch {
	case c.relay.started:
		c.writeTruncationEvent()
		return connAbort
	case c.attempts.final() == decisionNotRun:
		return respondError(c.writer, c.report, http.StatusServiceUnavailable, ReasonVersionGone)
	default:
		return respondError(c.writer, c.report, http.StatusBadGateway, ReasonVersionGone)
	}
}

// hasVersion reports whether a worker of certain versions other than those at which the request failed can run requests of a group, now or
// later.
func (d *Dispatcher) hasVersion(group *routing.Group, versions versionFilter, failed []string) bool {
	if versions.isZero() {
		return true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for worker := range d.balancer.OfGroup(group.Name) {
		if worker.Role == runnerRole(group) && !worker.Draining && versions.accepts(worker) && !slices.Contains(failed, worker.ID) {
			return true
		}
	}
	return false
}

// WorkersByVersion returns the number of workers of each service by the version of their software.
func (d *Dispatcher) WorkersByVersion() map[streamversion.Version]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := map[streamversion.Version]int{}
	for _, id := range d.balancer.IDs() {
		worker, _ := d.balancer.Worker(id)
		counts[versionOf(worker)]++
	}
	return counts
}
