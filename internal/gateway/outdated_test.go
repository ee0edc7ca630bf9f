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
func TestOutdatedAnswersAreCountedAndLoggedWithinABound(t *testing.T) {
	var lines bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&lines)
	f := newFigures(decisionlog.New("g", 1), logger)
	const answers = 3 * linesAtOnce
	for range answers {
		f.storeCalled(store.CallWatch, time.Second, errors.Wrap(store.ErrRestored, "step watch"))
	}
	f.storeCalled(store.CallWatch, time.Second, store.ErrBusy)
	if counted := f.set.GetOrCreateCounter(metricOutdated).Get(); counted != answers {
		t.Errorf("counted are %d", counted)
	}
	if logged := strings.Count(lines.String(), "is not taken"); logged == 0 || logged > linesAtOnce+linesPerSecond {
		t.Errorf("%d lines", logged)
	}
}
