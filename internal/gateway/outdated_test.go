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

// TestOutdatedStoreAnswersCountedAndLogLimited guards against flooding the log when many outdated answers arrive after a
// store restore.
func TestOutdatedStoreAnswersCountedAndLogLimited(t *testing.T) {
	var output bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&output)
	m := newGatewayMetrics(decisionlog.New("g", 1), logger)
	const answers = 3 * logLinesBurst
	for range answers {
		m.countStoreCall(store.CallWatch, time.Second, errors.Wrap(store.ErrRestored, "step watch"))
	}
	m.countStoreCall(store.CallWatch, time.Second, store.ErrBusy)
	if count := m.set.GetOrCreateCounter(metricOutdatedAnswers).Get(); count != answers {
		t.Errorf("count is %d", count)
	}
	if lines := strings.Count(output.String(), "Discarded a store answer"); lines == 0 || lines > logLinesBurst+logLinesPerSecond {
		t.Errorf("%d lines", lines)
	}
}
