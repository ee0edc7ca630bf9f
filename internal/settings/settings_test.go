package settings

import (
	"os"
	"strings"
	"testing"
	"time"
)

// minimalSettings has the required fields, a control address and seeds.
const minimalSettings = `
name: gateway-1
listen: {callers: "10.0.0.1:1", ready: "10.0.0.1:2", directory: "10.0.0.1:3", peers: "10.0.0.1:4", control: "10.0.0.1:5"}
store: 10.0.0.9:80
seeds: ["10.0.0.1:5", "10.0.0.2:5"]
`

// TestParseAppliesDefaultsAndRemovesOwnSeed guards against missing defaults, and a gateway that uses itself as a seed.
func TestParseAppliesDefaultsAndRemovesOwnSeed(t *testing.T) {
	got, err := Parse([]byte(minimalSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "gateway-1" || got.Grace != 8*time.Second || got.RetryRatio != 0.2 || len(got.Seeds) != 1 || got.ListenAdmin != "" {
		t.Errorf("got %+v", got)
	}
}

// TestParseReportsAllErrors guards against errors that hide others.
func TestParseReportsAllErrors(t *testing.T) {
	tests := []struct {
		desc, text string
		want       []string
	}{
		{"required fields", "{}", []string{"name:", "listen.callers:", "listen.ready:", "listen.directory:", "listen.peers:", "store:"}},
		{"invalid values", minimalSettings + "cores: -1\nlogLevel: loud\ntimings: {grace: 0s, thaw: -1s}\ncopies: {bytes: -1}\nretries: {ratio: -1, window: soon}\n",
			[]string{"cores: -1", `logLevel: "loud"`, "timings.grace", "timings.thaw", "retries.ratio", "retries.window", "copies.bytes"}},
		{"unknown field", minimalSettings + "zones: a\n", []string{"zones"}},
		{"invalid YAML", "[", []string{"(document)"}},
	}
	for _, test := range tests {
		_, err := Parse([]byte(test.text))
		for _, want := range test.want {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %v does not contain %q", test.desc, err, want)
			}
		}
	}
}

// TestExamplesAreValid guards against invalid files examples/gateway-a.yaml to gateway-c.yaml, which the README uses.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		content, err := os.ReadFile("../../examples/gateway-" + name + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(content); err != nil {
			t.Errorf("examples/gateway-%s.yaml: %v", name, err)
		}
	}
}
