package docscheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// fakeGo replaces the go command and prints its arguments.
const fakeGo = "#!/bin/sh\necho \"$@\"\n"

// withoutKnown is what test.sh runs while no test is known to fail.
const withoutKnown = "test -count=1 -timeout 20m -skip ^(TestCrowd.*)$ ./...\ntest -count=1 -timeout 20m -run ^TestCrowd.*$ ./platform\n"

// TestScriptSkipsKnownFailures guards against a test.sh that skips tests other than those listed as failing, or that doesn't run the tests with crowds after
// all others. The go command only prints its arguments.
func TestScriptSkipsKnownFailures(t *testing.T) {
	tests := []struct {
		desc          string
		listed        bool
		knownFailures string
		// wantRuns are the arguments of the go command, a line each time it runs.
		wantRuns string
	}{
		{desc: "no list of known failing tests", wantRuns: withoutKnown},
		{
			desc: "two known failing tests", listed: true, knownFailures: "TestOne: cause, issue 3\nTestCrowdTwo: cause, issue 4\n`go test -run TestThree`: cause\n",
			wantRuns: "test -count=1 -timeout 20m -skip ^(TestCrowd.*|TestOne|TestCrowdTwo)$ ./...\n" +
				"test -count=1 -timeout 20m -run ^TestCrowd.*$ -skip ^(TestOne|TestCrowdTwo)$ ./platform\n",
		},
		{desc: "an empty list", listed: true, wantRuns: withoutKnown},
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
			if printed := string(output); printed != test.wantRuns {
				t.Errorf("test.sh ran go\n%swant\n%s", printed, test.wantRuns)
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
