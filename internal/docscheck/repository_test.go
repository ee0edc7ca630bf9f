package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// root is the module directory, relative to this package.
const root = "../.."

// trackedFiles returns the files that git tracks or would track, relative to the root. Without git, it returns all
// files.
func trackedFiles(t *testing.T) []string {
	t.Helper()
	command := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard", "--deduplicate")
	command.Dir = root
	if output, err := command.Output(); err == nil {
		return slices.DeleteFunc(strings.Split(strings.TrimSpace(string(output)), "\n"), isMissing)
	}
	var files []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		relative, err := filepath.Rel(root, path)
		files = append(files, filepath.ToSlash(relative))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// isMissing reports whether a tracked file is missing in the working tree.
func isMissing(path string) bool {
	_, err := os.Stat(filepath.Join(root, path))
	return err != nil
}

// pages returns the tracked Markdown files.
func pages(t *testing.T) []string {
	t.Helper()
	return slices.DeleteFunc(trackedFiles(t), func(path string) bool { return !strings.HasSuffix(path, ".md") })
}

// read returns the content of a file of the repository.
func read(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// parsePackage parses the Go files of a directory except tests.
func parsePackage(t *testing.T, directory string) []*ast.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// goDirectories returns the directories below cmd and internal that contain Go files other than tests.
func goDirectories(t *testing.T) []string {
	t.Helper()
	var directories []string
	for _, path := range trackedFiles(t) {
		isModuleCode := strings.HasPrefix(path, "cmd/") || strings.HasPrefix(path, "internal/")
		if isModuleCode && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			directories = append(directories, filepath.ToSlash(filepath.Dir(path)))
		}
	}
	slices.Sort(directories)
	return slices.Compact(directories)
}

// literals returns all string literals of files.
func literals(files []*ast.File) []string {
	var found []string
	inspect(files, func(node ast.Node) {
		if text, ok := literal(node); ok {
			found = append(found, text)
		}
	})
	return found
}

// literal returns the value of a string literal.
func literal(node ast.Node) (string, bool) {
	basic, ok := node.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

// constants returns the string constants and variables that are initialized with literals, by name.
func constants(files []*ast.File) map[string]string {
	found := make(map[string]string)
	inspect(files, func(node ast.Node) {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Names) != len(spec.Values) {
			return
		}
		for i, name := range spec.Names {
			if text, ok := literal(spec.Values[i]); ok {
				found[name.Name] = text
			}
		}
	})
	return found
}

// inspect visits all nodes of files.
func inspect(files []*ast.File, visit func(ast.Node)) {
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			visit(node)
			return true
		})
	}
}
