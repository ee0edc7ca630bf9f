package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/forward"
)

// TestClosedConnectionsCountedByCloser guards against closed connections that are not counted, or are counted for the
// wrong side.
func TestClosedConnectionsCountedByCloser(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := newGatewayMetrics(decisionlog.New("a", 16), logger)
	m.IdleTimeout()
	for _, closer := range []forward.Closer{forward.CloserCaller, forward.CloserHeaderTimeout, forward.CloserShutdown} {
		m.RequestNotHandled(closer, "127.0.0.1:1", time.Second)
	}
	var text strings.Builder
	m.set.WritePrometheus(&text)
	for _, want := range []string{metricIdleTimeouts + " 1", `closed_by="caller"} 1`, `closed_by="bound on heads"} 1`, `closed_by="stop"} 1`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%s is missing in %s", want, text.String())
		}
	}
}
