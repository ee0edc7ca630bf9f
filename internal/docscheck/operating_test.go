package docscheck

import (
	"fmt"
	"go/ast"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/util/validation/field"

	"github.com/granitebay/granitebay/internal/settings"
)

const operating = "docs/OPERATING.md"

// Defaults as the tables write them when there is no value.
const (
	required = "required"
	none     = "none"
)

// section returns the part of a page below a heading, up to the next heading.
func section(t *testing.T, content, title string) string {
	t.Helper()
	_, after, found := strings.Cut(content, "\n"+title+"\n")
	if !found {
		t.Fatalf("%s has no heading %q", operating, title)
	}
	part, _, _ := strings.Cut(after, "\n#")
	return part
}

// tableRows returns the cells of the rows of a table whose first cell is code, by that cell without its backticks.
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
			t.Errorf("%s has two rows for %s", operating, key)
		}
		rows[key] = cells
	}
	return rows
}

// validated is what the settings of all programs have.
type validated interface{ Validate() error }

func TestSettingsTables(t *testing.T) {
	tests := []struct {
		desc     string
		heading  string
		defaults validated
		// element has one empty element in each list, to see what an element requires.
		element validated
	}{
		{desc: "router", heading: "### Router", defaults: settings.DefaultRouterSettings(),
			element: &settings.RouterSettings{Peers: make([]settings.Peer, 1)}},
		{desc: "agent", heading: "### Agent", defaults: settings.DefaultAgentSettings(),
			element: &settings.AgentSettings{Routers: make([]settings.Peer, 1)}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			rows := tableRows(t, section(t, read(t, operating), test.heading))
			ofElements := slices.DeleteFunc(requiredFields(t, test.element), func(path string) bool { return !strings.Contains(path, "[]") })
			missing := append(requiredFields(t, test.defaults), ofElements...)
			fields := make(map[string]string)
			collectFields("", reflect.ValueOf(test.defaults).Elem(), fields)
			for path, value := range fields {
				want := "`" + value + "`"
				if value == "" {
					want = none
				}
				if slices.Contains(missing, path) {
					want = required
				}
				switch cells := rows[path]; {
				case cells == nil:
					t.Errorf("%s has no row for the field %s of the %s", operating, path, test.desc)
				case len(cells) != 4 || cells[3] == "":
					t.Errorf("the row of %s has not four cells: %q", path, cells)
				case cells[1] != want:
					t.Errorf("the default of %s is %s in %s, want %s", path, cells[1], operating, want)
				}
			}
			for path := range rows {
				if _, known := fields[path]; !known {
					t.Errorf("%s has a row for %s, which is no field of the %s", operating, path, test.desc)
				}
			}
		})
	}
}

// collectFields adds the paths of the fields of a struct with their values as text.
func collectFields(prefix string, value reflect.Value, fields map[string]string) {
	for i := range value.NumField() {
		member := value.Type().Field(i)
		if member.Anonymous {
			collectFields(prefix, value.Field(i), fields)
			continue
		}
		tag, _, _ := strings.Cut(member.Tag.Get("json"), ",")
		collectField(prefix+tag, value.Field(i), fields)
	}
}

func collectField(path string, value reflect.Value, fields map[string]string) {
	switch value.Kind() {
	case reflect.Struct:
		collectFields(path+".", value, fields)
	case reflect.Slice:
		fields[path] = ""
		collectFields(path+"[].", reflect.New(value.Type().Elem()).Elem(), fields)
	default:
		fields[path] = fmt.Sprint(value.Interface())
	}
}

// requiredFields returns the fields that are wrong because they are absent.
func requiredFields(t *testing.T, checked validated) []string {
	t.Helper()
	var invalid *settings.InvalidError
	if !errors.As(checked.Validate(), &invalid) {
		t.Fatal("settings without a name are taken for valid")
	}
	var paths []string
	for _, each := range invalid.Fields {
		if each.Type == field.ErrorTypeRequired {
			paths = append(paths, strings.ReplaceAll(each.Field, "[0]", "[]"))
		}
	}
	return paths
}

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
		t.Fatal("no metric was found in the code")
	}
	rows := tableRows(t, section(t, read(t, operating), "## Metrics"))
	for _, each := range registered {
		if rows[each] == nil {
			t.Errorf("%s has no row for the metric %s", operating, each)
		}
	}
	for each := range rows {
		if !slices.Contains(registered, each) {
			t.Errorf("%s has a row for %s, which is no metric", operating, each)
		}
	}
}

func TestLogPrefixesTable(t *testing.T) {
	used := make(map[string]string)
	for _, directory := range goDirectories(t) {
		for _, prefix := range logPrefixes(t, directory) {
			used[prefix] = directory
		}
	}
	if len(used) == 0 {
		t.Fatal("no log prefix was found in the code")
	}
	rows := tableRows(t, section(t, read(t, operating), "## Logs"))
	for prefix, directory := range used {
		if rows[prefix] == nil {
			t.Errorf("%s has no row for the log prefix %q of %s", operating, prefix, directory)
		}
	}
	for prefix := range rows {
		if used[prefix] == "" {
			t.Errorf("%s has a row for the log prefix %q, which nothing uses", operating, prefix)
		}
	}
}

// logCalls are the methods of loggers, and literalPrefix a message that begins with a prefix.
var (
	logCalls      = []string{"Debug", "Info", "Warn", "Error", "Log", "Debugf", "Infof", "Warnf", "Errorf"}
	literalPrefix = regexp.MustCompile(`^([a-z][a-z -]*:) `)
)

// logPrefixes returns the prefixes, with their colon, that a package gives to its log lines: the arguments of logging.Part
// and messages that begin with a prefix.
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
		if owner, ok := selector.X.(*ast.Ident); ok && owner.Name == "logging" && selector.Sel.Name == "Part" {
			if text(last) == "" {
				t.Errorf("%s: the prefix of logging.Part is neither a literal nor a constant of the package", directory)
			}
			prefixes = append(prefixes, text(last)+":")
			return
		}
		if !slices.Contains(logCalls, selector.Sel.Name) {
			return
		}
		message := text(last)
		if sum, ok := last.(*ast.BinaryExpr); ok {
			message = text(sum.X)
		}
		if match := literalPrefix.FindStringSubmatch(message); match != nil {
			prefixes = append(prefixes, match[1])
		}
	})
	return prefixes
}
