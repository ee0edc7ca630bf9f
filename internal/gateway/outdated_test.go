package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/store"
)

// TestOutdatedStoreAnswersCountedAndLogLimited guards against flooding the log when many outdated responses arrive after
// a restore of the store.
func TestOutdatedStoreAnswersCountedAndLogLimited(t *testing.T) {
	var output bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&output)
	m := newGatewayMetrics(decisionlog.New("g", 1), logger)
	const answers = 3 * logLinesBurst
	for range answers {
		m.countStoreCall(store.CallWatch, time.Second, errors.Wrap(store.ErrRestored, "watch"))
	}
	m.countStoreCall(store.CallWatch, time.Second, store.ErrBusy)
	if count := m.set.GetOrCreateCounter(metricOutdatedAnswers).Get(); count != answers {
		t.Errorf("%d outdated responses were counted, want %d", count, answers)
	}
	if lines := strings.Count(output.String(), "Discarded a store answer"); lines == 0 || lines > logLinesBurst+logLinesPerSecond {
		t.Errorf("%d lines were logged, want 1 to %d", lines, logLinesBurst+logLinesPerSecond)
	}
}
