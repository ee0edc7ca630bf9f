package configuration

import (
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// script is a txtar archive of test cases.
type script struct {
	files map[string]string
	// cases are the names of the test cases, in file order.
	cases []string
}

// readScript reads a txtar archive whose files are named CASE/PART.
func readScript(t *testing.T, path string) script {
	t.Helper()
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := script{files: map[string]string{}}
	for _, file := range archive.Files {
		s.files[file.Name] = string(file.Data)
		if name, _, isCase := strings.Cut(file.Name, "/"); isCase && !slices.Contains(s.cases, name) {
			s.cases = append(s.cases, name)
		}
	}
	return s
}

// lines returns the non-empty lines of one part of a case.
func (s script) lines(name, part string) []string {
	return slices.DeleteFunc(strings.Split(s.files[name+"/"+part], "\n"), func(line string) bool { return line == "" })
}
