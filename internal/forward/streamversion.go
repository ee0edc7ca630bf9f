package forward

import (
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// versionOf returns the software version of a worker for a request of a group.
func (c *call) versionOf(worker *backend.Worker) streamversion.Version {
	return streamversion.Version{Group: c.match.Group.Name, Software: worker.SoftwareVersion}
}

// streamBegins records which version sends the first event of the stream. An attempt that failed before its first event leaves the stream free
// to begin at any version.
func (c *call) streamBegins(worker *backend.Worker) {
	c.report.Stream = streamversion.Finding{Version: c.versionOf(worker), Source: streamversion.SourceOwnRun}
}

// WorkersByVersion returns the number of workers of each group by the version of their software.
func (d *Dispatcher) WorkersByVersion() map[streamversion.Version]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := map[streamversion.Version]int{}
	for _, id := range d.balancer.IDs() {
		worker, _ := d.balancer.Worker(id)
		for _, group := range worker.Groups() {
			counts[streamversion.Version{Group: group, Software: worker.SoftwareVersion}]++
		}
	}
	return counts
}
