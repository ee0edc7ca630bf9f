package configuration

import (
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// script is a file of scripted cases.
type script struct {
	files map[string]string
	// cases are the names of the cases, in the order of the file.
	cases []string
}

// readScript reads a file of testdata. Files of the archive are named CASE/PART.
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

// lines returns the lines of one part of a case that are not empty.
func (s script) lines(name, part string) []string {
	return slices.DeleteFunc(strings.Split(s.files[name+"/"+part], "\n"), func(line string) bool { return line == "" })
}
