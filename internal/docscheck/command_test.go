package docscheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// fakeGo replaces the go command and prints its arguments.
const fakeGo = "#!/bin/sh\necho \"$@\"\n"

// TestScriptSkipsKnownFailures guards against a test.sh that skips tests other than those listed as failing. The go command only
// prints its arguments.
func TestScriptSkipsKnownFailures(t *testing.T) {
	tests := []struct {
		desc          string
		listed        bool
		knownFailures string
		wantSkip      string
	}{
		{desc: "no list of known failing tests"},
		{desc: "two known failing tests", listed: true, knownFailures: "TestOne: cause, issue 3\nTestTwo: cause, issue 4\n", wantSkip: "-skip ^(TestOne|TestTwo)$"},
		{desc: "an empty list", listed: true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			directory := t.TempDir()
			writeFile(t, filepath.Join(directory, "test.sh"), read(t, "test.sh"))
			writeFile(t, filepath.Join(directory, "go"), fakeGo)
			if test.listed {
				writeFile(t, filepath.Join(directory, "KNOWN-RED.txt"), test.knownFailures)
			}
			command := exec.Command("bash", filepath.Join(directory, "test.sh"))
			command.Env = append(os.Environ(), "PATH="+directory+string(os.PathListSeparator)+os.Getenv("PATH"))
			output, err := command.CombinedOutput()
			if err != nil {
				t.Fatalf("test.sh: %v: %s", err, output)
			}
			printed := string(output)
			if !strings.HasPrefix(printed, "test ") || !strings.Contains(printed, "./...") {
				t.Errorf("test.sh ran go %s", printed)
			}
			if strings.Contains(printed, "-skip") != (test.wantSkip != "") || !strings.Contains(printed, test.wantSkip) {
				t.Errorf("test.sh ran go %s, want %q in it", printed, test.wantSkip)
			}
		})
	}
}

// writeFile writes an executable file.
func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o755); err != nil {
		t.Fatal(err)
	}
}
