package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/forward"
)

// slowCourse is the course of a response with a pause over its objective.
var slowCourse = forward.Course{
	Expected: enginemodel.Forecast{Interval: 107 * time.Millisecond, PauseRisk: 0.25, DeadlineRisk: 0.5},
	Events:   24, LongestPause: 268 * time.Millisecond, PauseObjective: 200 * time.Millisecond,
}

// TestDescribePace guards against decision records that do not tell that an engine was avoided for its pace, or how the response went.
func TestDescribePace(t *testing.T) {
	attempt := forward.Attempt{
		Worker: "w", Candidates: 3, Score: balance.Score{PauseRisk: 0.05, LateEnd: 0.1, LateStart: 0.02}, Course: slowCourse,
	}
	text := describeAttempt(attempt)
	for _, fragment := range []string{
		"pause risk 50.0", "late end 100.0", "late start 20.0", "24 events, longest pause 268 ms", "expected one every 107 ms, pause risk 0.25",
	} {
		if !strings.Contains(text, fragment) {
			t.Errorf("%q does not contain %q", text, fragment)
		}
	}
	if text := describeAttempt(forward.Attempt{Worker: "w"}); strings.Contains(text, "pause") {
		t.Errorf("description of an attempt without events: %q", text)
	}
}

// TestPaceMetrics guards against pauses that are not counted beside those that were expected, and against intervals of the wrong group.
func TestPaceMetrics(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := newGatewayMetrics(decisionlog.New("a", 16), logger)
	m.pace.observeInterval("g", 44*time.Millisecond)
	m.pace.observeInterval("g", 107*time.Millisecond)
	smooth := slowCourse
	smooth.LongestPause = 100 * time.Millisecond
	m.RequestEnded(&forward.Report{Group: "g", Attempts: []forward.Attempt{{Course: slowCourse}, {Course: smooth}, {}}})
	var text strings.Builder
	m.set.WritePrometheus(&text)
	for _, want := range []string{metricInterval + `_count{group="g"} 2`, metricPausesExpected + `{group="g"} 0.5`, metricPausesSeen + `{group="g"} 1`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%s is missing in %s", want, text.String())
		}
	}
}
