package agentserver

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/granitebay/granitebay/internal/decision"
)

// Outcomes in metrics, besides the types of errors.
const (
	outcomeAnswered   = "answered"
	outcomeInvalid    = "invalid"
	outcomeCallerGone = "caller_gone"
)

// metrics counts what callers got.
type metrics struct {
	requests   *prometheus.CounterVec
	active     prometheus.Gauge
	tokens     prometheus.Counter
	firstToken prometheus.Histogram
	whole      prometheus.Histogram
	retries    prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "granitebay_agent_requests_total", Help: "Requests of callers, by path and outcome.",
		}, []string{"path", "outcome"}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "granitebay_agent_requests_active", Help: "Requests that callers wait for.",
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "granitebay_agent_tokens_total", Help: "Tokens delivered to callers.",
		}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "granitebay_agent_first_token_seconds", Help: "Time from a request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
		whole: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "granitebay_agent_answer_seconds", Help: "Time from a request to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 16),
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "granitebay_agent_retries_total", Help: "Requests sent again to a router.",
		}),
	}
	registry.MustRegister(created.requests, created.active, created.tokens, created.firstToken, created.whole, created.retries)
	return created
}

func (m *metrics) ended(path, outcome string) { m.requests.WithLabelValues(path, outcome).Inc() }

func (m *metrics) delivered(started time.Time, offset uint32, tokens int) {
	m.tokens.Add(float64(tokens))
	if offset == 0 && tokens > 0 {
		m.firstToken.Observe(time.Since(started).Seconds())
	}
}

// ObserveDecision counts a decision of the core.
func (s *Server) ObserveDecision(record decision.Record) {
	if record.Kind == decision.KindRetry {
		s.metrics.retries.Inc()
	}
}
