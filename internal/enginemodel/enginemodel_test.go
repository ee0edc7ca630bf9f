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

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

// engineClass returns the class of the engines with a role.
func engineClass(role string) Class { return Class{Group: "g", Role: backend.Role(role)} }

// traceRun runs one trace of testdata.
type traceRun struct {
	t      *testing.T
	model  *Model
	now    time.Time
	random *rand.Rand
}

// parseRange parses MIN..MAX.
func (r *traceRun) parseRange(text string) (minimum, maximum float64) {
	low, high, found := strings.Cut(text, "..")
	minimum, lowErr := strconv.ParseFloat(low, 64)
	maximum, highErr := strconv.ParseFloat(high, 64)
	if !found || lowErr != nil || highErr != nil {
		r.t.Fatalf("%q is not MIN..MAX", text)
	}
	return minimum, maximum
}

// parseScaled parses NAME*FACTOR, or an empty string.
func (r *traceRun) parseScaled(text string) (string, float64) {
	name, factor, found := strings.Cut(text, "*")
	value, err := strconv.ParseFloat(factor, 64)
	if text != "" && (!found || err != nil) {
		r.t.Fatalf("%q is not NAME*FACTOR", text)
	}
	return name, value
}

// parseDuration parses a duration.
func (r *traceRun) parseDuration(text string) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return value
}

// parseInt parses an integer, and an empty string as zero.
func (r *traceRun) parseInt(text string) int {
	if text == "" {
		return 0
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return value
}

// observe generates samples, and adds them to the model.
func (r *traceRun) observe(role string, workers int, arguments []string) {
	options := map[string]string{"tokens": "4000..4000"}
	for _, argument := range arguments {
		name, value, _ := strings.Cut(argument, "=")
		options[name] = value
	}
	minTokens, maxTokens := r.parseRange(options["tokens"])
	slow, slowFactor := r.parseScaled(options["slow"])
	outliers, outlierFactor := r.parseScaled(options["outliers"])
	count, every := r.parseInt(options["samples"]), r.parseDuration(options["every"])
	for i := range count {
		id := fmt.Sprintf("w%d", i%workers)
		sample := PrefillSample{QueuedTokens: r.parseInt(options["ahead"]), Tokens: int(minTokens) + r.random.IntN(int(maxTokens-minTokens)+1)}
		seconds := float64(sample.QueuedTokens+sample.Tokens) / float64(r.parseInt(options["rate"]))
		if id == slow {
			seconds *= slowFactor
		}
		if outlierCount := r.parseInt(outliers); outlierCount > 0 && i%(count/outlierCount) == 0 {
			seconds *= outlierFactor
		}
		sample.Duration = r.parseDuration(options["base"]) + time.Duration(seconds*float64(time.Second))
		r.now = r.now.Add(every)
		r.model.ObservePrefill(r.now, engineClass(role), id, sample)
	}
}

// step runs one line.
func (r *traceRun) step(text string) {
	fields := strings.Fields(text)
	switch fields[0] {
	case "observe":
		r.observe(fields[1], r.parseInt(fields[2]), fields[3:])
	case "pause":
		r.now = r.now.Add(r.parseDuration(fields[1]))
	case "rate":
		r.expectWithin(text, 1/r.model.Estimate(r.now, engineClass(fields[1])).SecondsPerToken, fields[2])
	case "base":
		r.expectWithin(text, 1000*r.model.Estimate(r.now, engineClass(fields[1])).BaseSeconds, fields[2])
	case "slowdown":
		r.expectWithin(text, r.model.Slowdown(r.now, engineClass(fields[1]), fields[2]), fields[3])
	default:
		r.t.Fatalf("unknown step %q", text)
	}
}

// expectWithin checks that a value is within a range.
func (r *traceRun) expectWithin(text string, got float64, within string) {
	if minimum, maximum := r.parseRange(within); got < minimum || got > maximum {
		r.t.Errorf("%s: got %.4g, want %s", text, got, within)
	}
}

// TestTraces guards against estimates outside the range that a trace of a known speed allows.
func TestTraces(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/traces.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			run := &traceRun{t: t, model: New(), now: epoch, random: rand.New(rand.NewPCG(1, 2))}
			for line := range strings.Lines(string(file.Data)) {
				run.step(line)
			}
		})
	}
}

// TestEstimatesStayPlausible guards against estimates that are infinite, negative or zero after arbitrary observations.
func TestEstimatesStayPlausible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, now := New(), epoch
		roles := []string{"prefill", "decode"}
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 60e9).Draw(t, "pause")))
			model.ObservePrefill(now, engineClass(rapid.SampledFrom(roles).Draw(t, "role")), "w", PrefillSample{
				QueuedTokens: rapid.IntRange(-10, 1e6).Draw(t, "queued"),
				Tokens:       rapid.IntRange(-10, 1e6).Draw(t, "tokens"),
				Duration:     time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "duration")),
			})
			model.ObserveRequest(now, engineClass("decode"), time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "service time")))
		}
		for _, role := range roles {
			estimate := model.Estimate(now, engineClass(role))
			for _, value := range []float64{estimate.BaseSeconds, estimate.SecondsPerToken, estimate.ServiceSeconds} {
				if !(value >= 0 && value < 1e6) {
					t.Fatalf("%s: estimate %+v out of range", role, estimate)
				}
			}
			if estimate.SecondsPerToken == 0 {
				t.Fatalf("%s: prefill takes no time: %+v", role, estimate)
			}
			// Single observations are clipped, and rounding adds less than a step.
			const most = clipFactor * 1.25
			if slowdown := model.Slowdown(now, engineClass(role), "w"); !(slowdown >= 1/most && slowdown <= most) {
				t.Fatalf("slowdown = %v, want between %v and %v", slowdown, 1/most, most)
			}
		}
	})
}

// TestModelConverges guards against estimates that are far from the rate after 60 observations, for rates from 2,000 to
// 1,000,000 tokens per second.
func TestModelConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2_000, 1_000_000).Draw(t, "rate")
		model, now := New(), epoch
		for i := range 60 {
			now = now.Add(50 * time.Millisecond)
			tokens := rapid.IntRange(2000, 20_000).Draw(t, "tokens")
			seconds := 0.008 + float64(tokens)/rate
			model.ObservePrefill(now, engineClass("prefill"), fmt.Sprint(i%3), PrefillSample{
				Tokens: tokens, Duration: time.Duration(seconds * float64(time.Second)),
			})
		}
		got := 1 / model.Estimate(now, engineClass("prefill")).SecondsPerToken
		if got < rate*0.8 || got > rate*1.25 {
			t.Fatalf("estimated %.0f tokens per second, want %.0f to %.0f", got, rate*0.8, rate*1.25)
		}
	})
}
