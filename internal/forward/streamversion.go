package forward

import (
	"net/http"
	"slices"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// versionOf returns the software version of a worker.
func versionOf(worker *backend.Worker) streamversion.Version {
	return streamversion.Version{Service: worker.Group, Software: worker.SoftwareVersion}
}

// isOfVersion reports whether a worker has a software version; nil stands for any.
func isOfVersion(worker *backend.Worker, version *streamversion.Version) bool {
	return version == nil || versionOf(worker) == *version
}

// ofVersion returns the function that accepts the workers of a software version, or nil if the version is nil.
func ofVersion(version *streamversion.Version) func(worker *backend.Worker) bool {
	if version == nil {
		return nil
	}
	return func(worker *backend.Worker) bool { return isOfVersion(worker, version) }
}

// streamBegins records which version sends the first event of the stream. An attempt that failed before its first event leaves the stream free
// to begin at any version.
func (c *call) streamBegins(worker *backend.Worker) {
	c.stream = streamversion.Finding{Version: versionOf(worker), Source: streamversion.SourceOwnRun}
	c.report.Stream = c.stream
}

// boundVersion returns the version at which the stream must go on; nil while it has not begun.
func (c *call) boundVersion() *streamversion.Version {
	if !c.stream.IsKnown() {
		return nil
	}
	return &c.stream.Version
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

// hasVersion reports whether a worker of a version, which may be nil for any, other than those at which the request failed can run requests of
// a group, now or later.
func (d *Dispatcher) hasVersion(group *routing.Group, version *streamversion.Version, failed []string) bool {
	if version == nil {
		return true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for worker := range d.balancer.OfGroup(group.Name) {
		if worker.Role == runnerRole(group) && !worker.Draining && isOfVersion(worker, version) && !slices.Contains(failed, worker.ID) {
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
