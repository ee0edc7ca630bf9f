package bench

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

func TestQuantile(t *testing.T) {
	for _, test := range []struct {
		desc   string
		values []float64
		share  float64
		want   float64
	}{
		{desc: "one value", values: []float64{3}, share: 0.95, want: 3},
		{desc: "median of three", values: []float64{3, 1, 2}, share: 0.5, want: 2},
		{desc: "highest", values: []float64{3, 1, 2}, share: 1, want: 3},
	} {
		if got := quantile(test.values, test.share); got != test.want {
			t.Errorf("%s: got %g, want %g", test.desc, got, test.want)
		}
	}
}

func TestParseProcessorTime(t *testing.T) {
	const stat = "4711 (granite (bay) x) S 1 4711 4711 0 -1 4194560 1000 0 0 0 150 25 0 0 20 0 12 0 99 1 2"
	got, err := parseProcessorTime(stat)
	if want := 1750 * time.Millisecond; err != nil || got != want {
		t.Errorf("got %s and %v, want %s", got, err, want)
	}
	if _, err := parseProcessorTime("4711 (x) S 1"); err == nil {
		t.Error("a short line was read")
	}
}

func TestReport(t *testing.T) {
	each := func(added time.Duration, throughput float64) round {
		return round{
			first:      [ways][]time.Duration{{18 * time.Millisecond}, {18*time.Millisecond + added}},
			token:      [ways]time.Duration{25 * time.Millisecond, 26 * time.Millisecond},
			throughput: [ways]float64{1000, throughput},
		}
	}
	report := newReport(BenchCommand{Rounds: 3}, []round{each(time.Millisecond, 990), each(3*time.Millisecond, 900), each(time.Millisecond, 980)})
	if want := (Figure{Median: 2, Low: 1, High: 10}); !near(report.ThroughputLoss, want) {
		t.Errorf("throughput lost: got %v, want %v", report.ThroughputLoss, want)
	}
	if want := (Figure{Median: 1, Low: 1, High: 3}); !near(report.FirstMedian.Added, want) {
		t.Errorf("added: got %v, want %v", report.FirstMedian.Added, want)
	}
	if !report.TargetsMet {
		t.Error("targets are not met")
	}
	var output bytes.Buffer
	if err := report.write(&output); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if last := lines[len(lines)-1]; !json.Valid([]byte(last)) {
		t.Errorf("the last line is no JSON: %s", last)
	}
}

func near(a, b Figure) bool {
	const tolerance = 1e-9
	close := func(x, y float64) bool { return x-y < tolerance && y-x < tolerance }
	return close(a.Median, b.Median) && close(a.Low, b.Low) && close(a.High, b.High)
}
