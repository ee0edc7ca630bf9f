package enginemodel

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
)

// epoch is where the tests begin.
var epoch = time.Unix(1000, 0)

// classOf is the class of the engines of a role.
func classOf(role string) Class { return Class{Group: "g", Role: backend.Role(role)} }

// script plays one trace.
type trace struct {
	t      *testing.T
	model  *Model
	now    time.Time
	random *rand.Rand
}

// bounds reads LEAST..MOST.
func (s *trace) parseRange(text string) (minimum, maximum float64) {
	low, high, found := strings.Cut(text, "..")
	minimum, lowErr := strconv.ParseFloat(low, 64)
	maximum, highErr := strconv.ParseFloat(high, 64)
	if !found || lowErr != nil || highErr != nil {
		s.t.Fatalf("%q is not LEAST..MOST", text)
	}
	return minimum, maximum
}

// scaled reads NAME*FACTOR.
func (s *trace) parseScaled(text string) (string, float64) {
	name, factor, found := strings.Cut(text, "*")
	value, err := strconv.ParseFloat(factor, 64)
	if text != "" && (!found || err != nil) {
		s.t.Fatalf("%q is not NAME*FACTOR", text)
	}
	return name, value
}

// duration reads a duration.
func (s *trace) parseDuration(text string) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return value
}

// number reads a number, or nothing as zero.
func (s *trace) parseInt(text string) int {
	if text == "" {
		return 0
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return value
}

// observe makes up readings and shows them to the model.
func (s *trace) observe(role string, workers int, arguments []string) {
	options := map[string]string{"tokens": "4000..4000"}
	for _, argument := range arguments {
		name, value, _ := strings.Cut(argument, "=")
		options[name] = value
	}
	minTokens, maxTokens := s.parseRange(options["tokens"])
	slow, slowFactor := s.parseScaled(options["slow"])
	outliers, outlierFactor := s.parseScaled(options["outliers"])
	count, every := s.parseInt(options["samples"]), s.parseDuration(options["every"])
	for i := range count {
		id := fmt.Sprintf("w%d", i%workers)
		reading := Reading{Ahead: s.parseInt(options["ahead"]), Tokens: int(minTokens) + s.random.IntN(int(maxTokens-minTokens)+1)}
		seconds := float64(reading.Ahead+reading.Tokens) / float64(s.parseInt(options["rate"]))
		if id == slow {
			seconds *= slowFactor
		}
		if outlierCount := s.parseInt(outliers); outlierCount > 0 && i%(count/outlierCount) == 0 {
			seconds *= outlierFactor
		}
		reading.Took = s.parseDuration(options["base"]) + time.Duration(seconds*float64(time.Second))
		s.now = s.now.Add(every)
		s.model.ObserveReading(s.now, classOf(role), id, reading)
	}
}

// line plays one line.
func (s *trace) step(text string) {
	fields := strings.Fields(text)
	switch fields[0] {
	case "observe":
		s.observe(fields[1], s.parseInt(fields[2]), fields[3:])
	case "pause":
		s.now = s.now.Add(s.parseDuration(fields[1]))
	case "rate":
		s.expectWithin(text, 1/s.model.Estimate(s.now, classOf(fields[1])).SecondsPerToken, fields[2])
	case "base":
		s.expectWithin(text, 1000*s.model.Estimate(s.now, classOf(fields[1])).BaseSeconds, fields[2])
	case "slowdown":
		s.expectWithin(text, s.model.Slowdown(s.now, classOf(fields[1]), fields[2]), fields[3])
	default:
		s.t.Fatalf("unknown line %q", text)
	}
}

// expect compares a value with its bounds.
func (s *trace) expectWithin(text string, got float64, within string) {
	if minimum, maximum := s.parseRange(within); got < minimum || got > maximum {
		s.t.Errorf("%s: got %.4g", text, got)
	}
}

func TestTraces(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/traces.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			s := &trace{t: t, model: New(), now: epoch, random: rand.New(rand.NewPCG(1, 2))}
			for line := range strings.Lines(string(file.Data)) {
				s.step(line)
			}
		})
	}
}

// TestEstimatesAreSane shows arbitrary observations: estimates stay finite, positive, and grow with the work.
func TestEstimatesStayPlausible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, now := New(), epoch
		roles := []string{"prefill", "decode"}
		for range rapid.IntRange(0, 60).Draw(t, "readings") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 60e9).Draw(t, "pause")))
			model.ObserveReading(now, classOf(rapid.SampledFrom(roles).Draw(t, "role")), "w", Reading{
				Ahead:  rapid.IntRange(-10, 1e6).Draw(t, "ahead"),
				Tokens: rapid.IntRange(-10, 1e6).Draw(t, "tokens"),
				Took:   time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "took")),
			})
			model.ObserveRun(now, classOf("decode"), time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "run")))
		}
		for _, role := range roles {
			estimate := model.Estimate(now, classOf(role))
			for _, value := range []float64{estimate.BaseSeconds, estimate.SecondsPerToken, estimate.ServiceSeconds} {
				if !(value >= 0 && value < 1e6) {
					t.Fatalf("%s: %+v", role, estimate)
				}
			}
			if estimate.SecondsPerToken == 0 {
				t.Fatalf("%s: reading takes no time: %+v", role, estimate)
			}
			if slowness := model.Slowdown(now, classOf(role), "w"); slowness < 1 {
				t.Fatalf("slowness %v", slowness)
			}
		}
	})
}

// TestTheModelConverges shows readings of one pace, whatever it is: a few dozen are enough.
func TestModelConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2_000, 1_000_000).Draw(t, "pace")
		model, now := New(), epoch
		for i := range 60 {
			now = now.Add(50 * time.Millisecond)
			tokens := rapid.IntRange(2000, 20_000).Draw(t, "tokens")
			took := 0.008 + float64(tokens)/rate
			model.ObserveReading(now, classOf("prefill"), fmt.Sprint(i%3), Reading{
				Tokens: tokens, Took: time.Duration(took * float64(time.Second)),
			})
		}
		got := 1 / model.Estimate(now, classOf("prefill")).SecondsPerToken
		if got < rate*0.8 || got > rate*1.25 {
			t.Fatalf("learnt %.0f tokens a second of engines that read %.0f", got, rate)
		}
	})
}
