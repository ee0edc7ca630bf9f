package configuration

import (
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// testCases is a txtar archive of test cases.
type testCases struct {
	files map[string]string
	// names are the names of the test cases, in file order.
	names []string
}

// readTestCases reads a txtar archive whose files are named CASE/PART.
func readTestCases(t *testing.T, path string) testCases {
	t.Helper()
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := testCases{files: map[string]string{}}
	for _, file := range archive.Files {
		s.files[file.Name] = string(file.Data)
		if name, _, isCase := strings.Cut(file.Name, "/"); isCase && !slices.Contains(s.names, name) {
			s.names = append(s.names, name)
		}
	}
	return s
}

// lines returns the non-empty lines of one part of a case.
func (s testCases) lines(name, part string) []string {
	return slices.DeleteFunc(strings.Split(s.files[name+"/"+part], "\n"), func(line string) bool { return line == "" })
}
