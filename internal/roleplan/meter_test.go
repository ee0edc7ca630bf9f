package roleplan

import (
	"math"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

func TestMeterFollowsAStep(t *testing.T) {
	meter := NewMeter(testNow, DefaultMeterSettings())
	now := testNow
	tick := func(requests int) {
		for range requests {
			meter.Record(now, Arrival{Class: "c", PromptTokens: 100, OutputTokens: 10})
		}
		now = now.Add(time.Second)
		meter.Tick(now)
	}
	for range 120 {
		tick(10)
	}
	steady := meter.Demand().Classes[0]
	for range 5 {
		tick(40)
	}
	stepped := meter.Demand().Classes[0]
	tests := []struct {
		desc        string
		got         float64
		least, most float64
	}{
		{"requests, steady, fast", steady.Requests.Fast, 9.9, 10.1},
		{"requests, steady, slow", steady.Requests.Slow, 9.9, 10.1},
		{"prompt tokens, steady", steady.PromptTokens.Slow, 990, 1010},
		{"output tokens, steady", steady.OutputTokens.Fast, 99, 101},
		{"requests after the step, fast", stepped.Requests.Fast, 30, 40},
		{"requests after the step, slow", stepped.Requests.Slow, 10, 20},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if test.got < test.least || test.got > test.most {
				t.Errorf("%g, want %g to %g", test.got, test.least, test.most)
			}
		})
	}
}

func TestMeterCountsShares(t *testing.T) {
	meter := NewMeter(testNow, DefaultMeterSettings())
	meter.Record(testNow, Arrival{Class: "c", PromptTokens: 100, Share: 0.25})
	meter.Tick(testNow.Add(time.Second))
	if got := meter.Demand().Classes[0].PromptTokens.Fast; math.Abs(got-25) > 1e-9 {
		t.Errorf("%g prompt tokens a second, want 25", got)
	}
}

func TestMeterForgetsClasses(t *testing.T) {
	meter := NewMeter(testNow, MeterSettings{FastMemory: time.Second, SlowMemory: time.Second, Forget: time.Minute})
	meter.Record(testNow, Arrival{Class: "c"})
	meter.Tick(testNow.Add(2 * time.Minute))
	if classes := meter.Demand().Classes; len(classes) != 0 {
		t.Errorf("%v is kept", classes)
	}
}

func TestShapeClass(t *testing.T) {
	if ShapeClass(3000, 20, time.Second) != ShapeClass(4000, 30, time.Second) {
		t.Error("requests of about the same size are of different classes")
	}
	if ShapeClass(3000, 20, time.Second) == ShapeClass(100, 20, time.Second) {
		t.Error("a long and a short prompt are of one class")
	}
}

func TestBelievedAverage(t *testing.T) {
	tests := []struct {
		desc     string
		averages Averages
		want     float64
	}{
		{"a difference that may be chance", Averages{Fast: 11, Slow: 10}, 10},
		{"a rise beyond chance", Averages{Fast: 20, Slow: 10}, 20},
		{"a fall beyond chance", Averages{Fast: 3, Slow: 10}, 3},
		{"the first requests", Averages{Fast: 1, Slow: 0}, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := believedAverage(test.averages, DefaultSettings())(test.averages); got != test.want {
				t.Errorf("%g, want %g", got, test.want)
			}
		})
	}
}

func TestCapacityLearns(t *testing.T) {
	const steps = 100
	tests := []struct {
		desc string
		// slower is how much longer engines take than stated.
		slower float64
		want   float64
	}{
		{"as stated", 1, 1},
		{"a little slower counts as the mix", 1.1, 1},
		{"twice as slow", 2, 0.5},
		{"bounded", 100, leastFactor},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			capacity := NewCapacity(testSpeeds())
			speed := testSpeeds()[engine.RoleDecode]
			for range steps {
				stated := 6000/speed.PromptTokensPerSecond + 1000*speed.outputSeconds(32)
				capacity.Learn(Observation{
					Role:         engine.RoleDecode,
					BusyTime:     time.Duration(stated * test.slower * float64(time.Minute)),
					PromptTokens: 6000 * 60,
					OutputTokens: 1000 * 60,
					MeanRuns:     32,
				})
			}
			if got := capacity.Factor(engine.RoleDecode); math.Abs(got-test.want) > 0.01 {
				t.Errorf("factor %g, want %g", got, test.want)
			}
		})
	}
}

func TestUtilization(t *testing.T) {
	capacity := NewCapacity(testSpeeds())
	loads := capacity.resolve(answers(40), DefaultSettings())
	few, many := utilization(loads, split{prefill: 2, decode: 6}), utilization(loads, split{prefill: 4, decode: 12})
	if math.Abs(few/many-2) > 0.001 {
		t.Errorf("utilization %g with half and %g with all engines", few, many)
	}
	if fits(loads, split{prefill: 2 * few * 0.99, decode: 6 * few * 0.99}) {
		t.Error("the loads fit into fewer engines than the utilization says")
	}
}
