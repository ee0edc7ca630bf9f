package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// TestResumptionsAreCounted guards against resumptions and attempts at a wrong version that no counter and no line tells.
func TestResumptionsAreCounted(t *testing.T) {
	var output bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&output)
	m := newGatewayMetrics(decisionlog.New("g", 10), logger)
	version := streamversion.Version{Service: "s", Software: "v1"}
	request := &forward.Request{ID: "r2", ResumeAfter: "5", Resumes: "r1"}
	m.RequestEnded(&forward.Report{
		Request: request, Group: "s", Rule: "chat", Status: 200, Reason: forward.ReasonServed,
		Stream:   streamversion.Finding{Version: version, Source: streamversion.SourcePeer},
		Attempts: []forward.Attempt{{Worker: "w", SoftwareVersion: "v1"}},
	})
	m.RequestEnded(&forward.Report{
		Request: request, Group: "s", Status: 503, Reason: forward.ReasonVersionUnknown, Stream: streamversion.Finding{Source: streamversion.SourceUnknown},
	})
	m.RequestEnded(&forward.Report{
		Request: &forward.Request{ID: "r3"}, Group: "s", Status: 200, Reason: forward.ReasonServed,
		Stream:   streamversion.Finding{Version: version, Source: streamversion.SourceOwnRun},
		Attempts: []forward.Attempt{{Worker: "w", SoftwareVersion: "v1"}, {Worker: "x", SoftwareVersion: "v2", Continues: forward.ContinuesLastEvent}},
	})
	var metrics bytes.Buffer
	m.set.WritePrometheus(&metrics)
	for _, want := range []string{
		`granitebay_stream_resumptions_total{group="s",known="peer",reason="served"} 1`,
		`granitebay_stream_resumptions_total{group="s",known="unknown",reason="the software version that began the stream is not known"} 1`,
		`granitebay_stream_mixed_attempts_total{group="s"} 1`,
	} {
		if !strings.Contains(metrics.String(), want) {
			t.Errorf("no metric %s", want)
		}
	}
	for _, want := range []string{"resumes=r1", "after_event=5", "stream_version=v1", "version_known=peer", "worker w of version v1"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("no line with %s:\n%s", want, output.String())
		}
	}
}
