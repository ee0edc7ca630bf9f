package docscheck

import (
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	codeBlock = regexp.MustCompile("(?ms)^```.*?^```$")
	link      = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading   = regexp.MustCompile(`(?m)^#+ +(.*)$`)
	notInSlug = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
	// localPathPattern is assembled from parts, so that this file does not match it.
	localPathPattern = regexp.MustCompile("(?:^|[\\s\"'`=(:@])/(?:" + strings.Join([]string{"work", "tmp", "home", "root", "Users"}, "|") + `)/`)
	packageEntry     = regexp.MustCompile("`([a-z][a-z0-9/]*)`(?: \\(([^)]*)\\))?")
	exportedName     = regexp.MustCompile("`(?:[A-Za-z]+\\.)?([A-Z][A-Za-z0-9]*)`")
)

// links returns the link targets of a page, except in code blocks.
func links(content string) []string {
	var targets []string
	for _, match := range link.FindAllStringSubmatch(codeBlock.ReplaceAllString(content, ""), -1) {
		targets = append(targets, match[1])
	}
	return targets
}

// anchors returns the anchors of the headings of a page, as repository hosts generate them.
func anchors(content string) []string {
	var found []string
	for _, match := range heading.FindAllStringSubmatch(codeBlock.ReplaceAllString(content, ""), -1) {
		slug := notInSlug.ReplaceAllString(strings.ToLower(match[1]), "")
		found = append(found, strings.ReplaceAll(slug, " ", "-"))
	}
	return found
}

// TestRelativeLinksResolve guards against links to pages or headings that do not exist.
func TestRelativeLinksResolve(t *testing.T) {
	for _, page := range pages(t) {
		for _, target := range links(read(t, page)) {
			if strings.Contains(target, "://") {
				continue
			}
			file, anchor, _ := strings.Cut(target, "#")
			resolved := page
			if file != "" {
				resolved = path.Join(path.Dir(page), file)
			}
			if _, err := os.Stat(filepath.Join(root, resolved)); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, target)
				continue
			}
			if anchor != "" && !slices.Contains(anchors(read(t, resolved)), anchor) {
				t.Errorf("%s links to %s, but %s has no such heading", page, target, resolved)
			}
		}
	}
}

// TestIndexHasEveryPage guards against a page that the index of the documentation does not link.
func TestIndexHasEveryPage(t *testing.T) {
	const index = "docs/README.md"
	targets := links(read(t, index))
	for _, page := range pages(t) {
		relative, inDocs := strings.CutPrefix(page, "docs/")
		if inDocs && page != index && !slices.Contains(targets, relative) {
			t.Errorf("%s has no link to %s", index, page)
		}
	}
}

// TestNoMachinePaths guards against paths of a developer's machine in the repository.
func TestNoMachinePaths(t *testing.T) {
	for _, file := range trackedFiles(t) {
		for number, line := range strings.Split(read(t, file), "\n") {
			if localPathPattern.MatchString(line) {
				t.Errorf("%s:%d contains a machine-specific path: %s", file, number+1, line)
			}
		}
	}
}

// TestGlossaryNamesExist checks the last column of the glossary, which names packages and their types or functions.
func TestGlossaryNamesExist(t *testing.T) {
	for line := range strings.Lines(read(t, "docs/GLOSSARY.md")) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 5 || !strings.Contains(cells[3], "`") {
			continue
		}
		for _, match := range packageEntry.FindAllStringSubmatch(cells[3], -1) {
			directory := match[1]
			if !strings.HasPrefix(directory, "cmd/") {
				directory = "internal/" + directory
			}
			if isMissing(directory) {
				t.Errorf("the glossary names package %s, which does not exist: %s", directory, line)
				continue
			}
			content := packageText(t, directory)
			for _, identifier := range exportedName.FindAllStringSubmatch(match[2], -1) {
				declared := regexp.MustCompile(`(?m)^(?:type|func|func \([^)]*\)) ` + identifier[1] + `\b|^\s+` + identifier[1] + `\b`)
				if !declared.MatchString(content) {
					t.Errorf("the glossary names %s in %s, which does not declare it", identifier[1], directory)
				}
			}
		}
	}
}

// packageText returns the concatenated Go files of a directory.
func packageText(t *testing.T, directory string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, each := range paths {
		content, err := os.ReadFile(each)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(content)
	}
	return all.String()
}
