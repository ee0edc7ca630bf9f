package docscheck

import (
	"go/ast"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/settings"
)

const operationsPage = "docs/OPERATIONS.md"

// Values of the default column if there is no default.
const (
	required = "required"
	none     = "none"
)

// section returns the text below a heading, up to the next heading.
func section(t *testing.T, content, title string) string {
	t.Helper()
	_, after, found := strings.Cut(content, "\n"+title+"\n")
	if !found {
		t.Fatalf("%s has no heading %q", operationsPage, title)
	}
	part, _, _ := strings.Cut(after, "\n#")
	return part
}

// tableRows returns the cells of the table rows whose first cell is code, keyed by that cell without backticks.
func tableRows(t *testing.T, text string) map[string][]string {
	t.Helper()
	rows := make(map[string][]string)
	for line := range strings.Lines(text) {
		line = strings.ReplaceAll(strings.TrimSpace(line), `\|`, "/")
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		key := strings.Trim(cells[0], "`")
		if rows[key] != nil {
			t.Errorf("%s has two rows for %s", operationsPage, key)
		}
		rows[key] = cells
	}
	return rows
}

// TestSettingsTable guards against settings that are missing in the table, superfluous or listed with another default.
func TestSettingsTable(t *testing.T) {
	rows := tableRows(t, section(t, read(t, operationsPage), "## Settings"))
	known := make(map[string]bool)
	for _, field := range settings.Fields() {
		known[field.Path] = true
		want := "`" + field.Default + "`"
		switch {
		case field.Required:
			want = required
		case field.Default == "":
			want = none
		}
		switch cells := rows[field.Path]; {
		case cells == nil:
			t.Errorf("%s has no row for the field %s", operationsPage, field.Path)
		case len(cells) != 4 || cells[3] == "":
			t.Errorf("the row of %s does not have four cells: %q", field.Path, cells)
		case cells[1] != want:
			t.Errorf("the default of %s is %s in %s, want %s", field.Path, cells[1], operationsPage, want)
		}
	}
	for path := range rows {
		if !known[path] {
			t.Errorf("%s has a row for %s, which is not a field", operationsPage, path)
		}
	}
}

// TestMetricsTable guards against metrics that are missing in the table or superfluous.
func TestMetricsTable(t *testing.T) {
	metric := regexp.MustCompile(`^granitebay_[a-z_]+$`)
	var registered []string
	for _, directory := range goDirectories(t) {
		for _, text := range literals(parsePackage(t, directory)) {
			if metric.MatchString(text) {
				registered = append(registered, text)
			}
		}
	}
	if len(registered) == 0 {
		t.Fatal("found no metric in the code")
	}
	rows := tableRows(t, section(t, read(t, operationsPage), "## Metrics"))
	for _, each := range registered {
		if rows[each] == nil {
			t.Errorf("%s has no row for the metric %s", operationsPage, each)
		}
	}
	for each := range rows {
		if !slices.Contains(registered, each) {
			t.Errorf("%s has a row for %s, which is not a metric", operationsPage, each)
		}
	}
}

// TestLogPrefixesTable guards against log prefixes that are missing in the table or superfluous.
func TestLogPrefixesTable(t *testing.T) {
	used := make(map[string]string)
	for _, directory := range goDirectories(t) {
		for _, prefix := range logPrefixes(t, directory) {
			used[prefix] = directory
		}
	}
	if len(used) == 0 {
		t.Fatal("found no log prefix in the code")
	}
	rows := tableRows(t, section(t, read(t, operationsPage), "## Logs"))
	for prefix, directory := range used {
		if rows[prefix] == nil {
			t.Errorf("%s has no row for the log prefix %q of %s", operationsPage, prefix, directory)
		}
	}
	for prefix := range rows {
		if used[prefix] == "" {
			t.Errorf("%s has a row for the log prefix %q, which is not used", operationsPage, prefix)
		}
	}
}

// logMethods are the methods of loggers, messagePrefix matches a message that begins with a prefix.
var (
	logMethods    = []string{"Debug", "Info", "Warn", "Error", "Log", "Debugf", "Infof", "Warnf", "Errorf"}
	messagePrefix = regexp.MustCompile(`^([a-z][a-z -]*:) `)
)

// logPrefixes returns the prefixes of the log lines of a package, each with its colon: the arguments of logging.Component and the
// prefixes of messages.
func logPrefixes(t *testing.T, directory string) []string {
	files := parsePackage(t, directory)
	named := constants(files)
	text := func(expression ast.Expr) string {
		if identifier, ok := expression.(*ast.Ident); ok {
			return named[identifier.Name]
		}
		value, _ := literal(expression)
		return value
	}
	var prefixes []string
	inspect(files, func(node ast.Node) {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || len(call.Args) == 0 {
			return
		}
		last := call.Args[len(call.Args)-1]
		if owner, ok := selector.X.(*ast.Ident); ok && owner.Name == "logging" && selector.Sel.Name == "Component" {
			if text(last) == "" {
				t.Errorf("%s: the prefix of logging.Component is neither a literal nor a constant of the package", directory)
			}
			prefixes = append(prefixes, text(last)+":")
			return
		}
		if !slices.Contains(logMethods, selector.Sel.Name) {
			return
		}
		message := text(last)
		if sum, ok := last.(*ast.BinaryExpr); ok {
			message = text(sum.X)
		}
		if match := messagePrefix.FindStringSubmatch(message); match != nil {
			prefixes = append(prefixes, match[1])
		}
	})
	return prefixes
}

// TestAlertsAndDashboardNameMetrics checks that the example files use metrics of the table, and that the dashboard shows
// each of them.
func TestAlertsAndDashboardNameMetrics(t *testing.T) {
	metric := regexp.MustCompile(`granitebay_[a-z_]+`)
	rows := tableRows(t, section(t, read(t, operationsPage), "## Metrics"))
	for _, file := range []string{"examples/alerts.yaml", "examples/dashboard.json"} {
		for _, name := range metric.FindAllString(read(t, file), -1) {
			if rows[strings.TrimSuffix(name, "_bucket")] == nil {
				t.Errorf("%s names %s, which is not a metric", file, name)
			}
		}
	}
	dashboard := read(t, "examples/dashboard.json")
	for name := range rows {
		if !strings.Contains(dashboard, name) {
			t.Errorf("the dashboard does not show %s", name)
		}
	}
}
