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

// TestOutdatedAnswersAreCountedAndLoggedWithinABound has many answers of the store come after its return that were made before.
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
		t.Errorf("counted are %d", count)
	}
	if lines := strings.Count(output.String(), "is not taken"); lines == 0 || lines > logLinesBurst+logLinesPerSecond {
		t.Errorf("%d lines", lines)
	}
}
