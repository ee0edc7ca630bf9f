package capacity

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
)

// scriptedOrderer records the numbers of the orders. The first order fails with err.
type scriptedOrderer struct {
	err     error
	numbers []int
}

func (s *scriptedOrderer) OrderWorkers(_ context.Context, order Order) error {
	s.numbers = append(s.numbers, order.Workers)
	if len(s.numbers) == 1 {
		return s.err
	}
	return nil
}

// TestLostResponseToOrder guards against an order that is taken for failed because its response was lost. If the plan returns to the present number,
// the platform must learn of that, or it boots workers that nobody wants. After a refusal there is nothing to take back.
func TestLostResponseToOrder(t *testing.T) {
	const present, wanted = 3, 5
	for _, test := range []struct {
		desc string
		err  error
		want []int
	}{
		{"lost response", errors.New("no response"), []int{wanted, present}},
		{"refusal", ErrUnavailable, []int{wanted}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			orderer := &scriptedOrderer{err: test.err}
			e := NewExecutor(DefaultSettings(), nil, orderer, func() (int64, bool) { return 1, true }, logger, func(decision.Record) {})
			e.fence = 1
			e.estimators["g"] = NewEstimator(DefaultEstimatorSettings())
			pool := poolTarget{key: poolKey{group: "g", zone: "z"}, price: 1, current: present, target: wanted}
			now := epoch
			for range 4 {
				e.adjustPool(t.Context(), now, Group{Name: "g", BootTime: bootTime}, pool, &surplus{})
				pool.target = present
				now = now.Add(e.settings.FailedRetryDelay)
			}
			if !slices.Equal(orderer.numbers, test.want) {
				t.Errorf("ordered %v, want %v", orderer.numbers, test.want)
			}
		})
	}
}
