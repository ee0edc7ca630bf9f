package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/samber/lo"
	"sigs.k8s.io/yaml"
)

// outputFormat is the format in which values are printed.
type outputFormat string

// Output formats.
const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
	outputYAML  outputFormat = "yaml"
)

// print writes a value as JSON or YAML, or calls printText for the table format.
func (s *session) print(value any, printText func(io.Writer) error) error {
	switch s.output {
	case outputJSON:
		return printJSON(s.stdout, value)
	case outputYAML:
		return printYAML(s.stdout, value)
	default:
		return printText(s.stdout)
	}
}

func printJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printYAML(writer io.Writer, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return err
	}
	_, err = writer.Write(data)
	return err
}

// printTable writes a header and rows without separators.
func printTable(writer io.Writer, header table.Row, rows []table.Row) error {
	output := table.NewWriter()
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	style.Format.Header = text.FormatUpper
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	output.SetStyle(style)
	output.AppendHeader(header)
	output.AppendRows(rows)
	lines := strings.Split(output.Render(), "\n")
	trimmed := lo.Map(lines, func(line string, _ int) string { return strings.TrimRight(line, " ") })
	_, err := fmt.Fprintln(writer, strings.Join(trimmed, "\n"))
	return err
}

// printList writes a heading and one line per entry. It writes nothing if there are no entries.
func printList[T any](writer io.Writer, heading string, entries []T) {
	if len(entries) == 0 {
		return
	}
	fmt.Fprintln(writer, heading)
	for _, entry := range entries {
		fmt.Fprintf(writer, "  %v\n", entry)
	}
}

// formatCounts formats numbers by name, sorted by name, as in "decode 8, prefill 4".
func formatCounts(numbers map[string]int) string {
	return joinSorted(numbers, ", ", func(name string, number int) string {
		return fmt.Sprintf("%s %d", lo.CoalesceOrEmpty(name, "none"), number)
	})
}

// formatLabels formats labels sorted by key, as in "pool=counter,zone=zone-a".
func formatLabels(labels map[string]string) string {
	return joinSorted(labels, ",", func(key, value string) string { return key + "=" + value })
}

func joinSorted[V any](values map[string]V, separator string, write func(key string, value V) string) string {
	keys := lo.Keys(values)
	slices.Sort(keys)
	return strings.Join(lo.Map(keys, func(key string, _ int) string { return write(key, values[key]) }), separator)
}

// orDash returns a dash for an empty value.
func orDash(value string) string { return lo.CoalesceOrEmpty(value, "-") }
