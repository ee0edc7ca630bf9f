package corecheck

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCoresArePure(t *testing.T) {
	for _, name := range Cores {
		files, err := filepath.Glob(filepath.Join("..", filepath.FromSlash(name), "*.go"))
		if err != nil || len(files) == 0 {
			t.Errorf("core %s has no files", name)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkFile(t, file)
			}
		}
	}
}

func checkFile(t *testing.T, path string) {
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, problem := range Problems(path, source) {
		t.Error(problem)
	}
}

func TestProblemsAreFound(t *testing.T) {
	tests := []struct {
		desc string
		body string
		want int
	}{
		{"reading the clock", "func f() { _ = time.Now() }", 1},
		{"sleeping", "func f() { time.Sleep(1) }", 1},
		{"starting a goroutine", "func f() { go f() }", 1},
		{"global randomness", "func f() { _ = rand.IntN(2) }", 1},
		{"a given time and random source", "func f(now time.Time, r *rand.Rand) { _ = now.Add(time.Second); _ = r.IntN(2) }", 0},
		{"making a random source", "func f() { _ = rand.New(rand.NewPCG(1, 2)) }", 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			source := "package p\nimport (\"time\"; \"math/rand/v2\")\n" + test.body
			if got := Problems("p.go", []byte(source)); len(got) != test.want {
				t.Errorf("got %v, want %d problems", got, test.want)
			}
			if _, err := parser.ParseFile(token.NewFileSet(), "p.go", source, 0); err != nil {
				t.Fatal(err)
			}
		})
	}
}
