package strictyaml

import (
	"strings"
	"testing"
	"time"
)

// sampleDocument has a field of each of several types.
type sampleDocument struct {
	Name  string   `json:"name"`
	Ratio float64  `json:"ratio"`
	First bool     `json:"first"`
	Wait  Duration `json:"wait"`
	Names []string `json:"names"`
	Deep  struct {
		Count int `json:"count"`
	} `json:"deep"`
}

// TestParseKeepsDefaultsAndReportsAllErrors guards against defaults that are overwritten, and errors that hide others.
func TestParseKeepsDefaultsAndReportsAllErrors(t *testing.T) {
	value := sampleDocument{Name: "default", Wait: Duration(time.Second)}
	if err := Parse([]byte("ratio: 0.5\nfirst: true\ndeep: {count: 3}\nnames: [a, b]"), &value); err != nil {
		t.Fatal(err)
	}
	if value.Name != "default" || value.Wait.Std() != time.Second || value.Ratio != 0.5 || !value.First || value.Deep.Count != 3 || len(value.Names) != 2 {
		t.Errorf("got %+v", value)
	}
	err := Parse([]byte("name: 1\nfirst: 1\nratio: much\nwait: 3\nnames: a\ndeep: {count: 1.5, other: 1}"), &value)
	for _, want := range []string{"name: 1", "first: 1", "ratio: \"much\"", "wait: 3", "names: \"a\"", "deep.count: 1.5", "deep.other"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %q", err, want)
		}
	}
}
