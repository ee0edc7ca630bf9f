package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestFormats(t *testing.T) {
	tests := []struct {
		desc, format, level string
		want                string
	}{
		{"text", FormatText, "info", ` INFO  transport: Lost the stream to a peer. error="send: x" peer=router-a-1` + "\n"},
		{"json", FormatJSON, "info", `"part":"transport"`},
		{"below the level", FormatText, "warn", ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var output bytes.Buffer
			logger, err := New(Options{Level: test.level, Format: test.format, Process: "agent-1", Output: &output})
			if err != nil {
				t.Fatal(err)
			}
			Component(logger, "transport").WithError(errors.New("send: x")).WithField("peer", "router-a-1").Info("Lost the stream to a peer.")
			if !strings.Contains(output.String(), test.want) || (test.want == "") != (output.Len() == 0) {
				t.Fatalf("got %q, want %q", output.String(), test.want)
			}
			if test.format == FormatJSON {
				var fields map[string]any
				if err := json.Unmarshal(output.Bytes(), &fields); err != nil || fields["process"] != "agent-1" {
					t.Fatalf("got %v, %v", fields, err)
				}
			}
		})
	}
}

func TestInvalidOptions(t *testing.T) {
	for _, options := range []Options{{Level: "loud", Format: FormatText}, {Level: "info", Format: "xml"}} {
		if _, err := New(options); err == nil {
			t.Errorf("%+v is accepted", options)
		}
	}
}
