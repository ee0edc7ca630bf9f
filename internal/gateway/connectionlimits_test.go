package gateway

import (
	"testing"

	"github.com/granitebay/granitebay/internal/intake"
)

// TestConnectionLimitsLeaveDescriptors guards against ports that hold so many connections that requests in progress lack descriptors, or memory.
func TestConnectionLimitsLeaveDescriptors(t *testing.T) {
	for _, machine := range []struct{ descriptors, memoryMB int }{
		{300, 128}, {3075, 144}, {4100, 184}, {4100, 284}, {8192, 536}, {10250, 256}, {1 << 20, 128}, {1 << 20, 64 << 10},
	} {
		settings := DefaultSettings()
		settings.Descriptors, settings.MemoryBytes = machine.descriptors, int64(machine.memoryMB)<<20
		limits := settings.connectionLimits()
		// Each caller may need a connection to a worker, too.
		taken := 2*limits.callers + limits.directory + limits.ready + limits.admin
		if files := min(machine.descriptors/10, 200); taken+files > machine.descriptors+minConnections {
			t.Errorf("%+v: %d descriptors are taken by %+v", machine, taken+files, limits)
		}
		if limits.callers < minConnections || limits.directory < minConnections || limits.ready < minConnections || limits.control < settings.MaxRelayed() {
			t.Errorf("%+v: %+v is too little", machine, limits)
		}
		// The goroutine and the buffers of a connection, what it holds of requests without asking, and what lies unread.
		const buffers = 12 << 10
		connections := (limits.callers + limits.directory) * (buffers + intake.ExemptBytes + settings.receiveBuffer())
		if held := connections + settings.MaxRequestBytes(); int64(held) > settings.CollectorLimit() {
			t.Errorf("%+v: connections and requests may hold %d MB", machine, held>>20)
		}
	}
	settings := DefaultSettings()
	settings.CallerConnections, settings.DirectoryConnections, settings.ReceiveBytes = 11, 12, 13
	if limits := settings.connectionLimits(); limits.callers != 11 || limits.directory != 12 || settings.receiveBuffer() != 13 {
		t.Errorf("the settings are overridden by %+v and %d", limits, settings.receiveBuffer())
	}
}
