// Package logging sets up the loggers of all programs. Each line begins with the prefix of the component that wrote it.
package logging

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Names of the fields that every line has.
const (
	fieldComponent = "part"
	fieldProcess   = "process"
)

// Options configures a logger.
type Options struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is FormatText or FormatJSON.
	Format string
	// Process is the name of the process. JSON lines include it.
	Process string
	Output  io.Writer
}

// New returns the logger of a process.
func New(options Options) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(options.Level)
	if err != nil {
		return nil, errors.Wrap(err, "set up logging")
	}
	logger := logrus.New()
	logger.SetLevel(level)
	logger.SetOutput(options.Output)
	switch options.Format {
	case FormatText:
		logger.SetFormatter(textFormatter{})
	case FormatJSON:
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
		logger.AddHook(processHook{process: options.Process})
	default:
		return nil, errors.Newf("set up logging: format %q must be %s or %s", options.Format, FormatText, FormatJSON)
	}
	return logger, nil
}

// Component returns the logger of a component. Its lines begin with the name of the component.
func Component(logger logrus.FieldLogger, component string) *logrus.Entry {
	return logger.WithField(fieldComponent, component)
}

// processHook adds the name of the process to each line.
type processHook struct{ process string }

// Levels implements logrus.Hook.
func (processHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h processHook) Fire(entry *logrus.Entry) error {
	entry.Data[fieldProcess] = h.process
	return nil
}

// textFormatter formats lines as "time LEVEL part: Sentence. key=value".
type textFormatter struct{}

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Format implements logrus.Formatter.
func (textFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	var line strings.Builder
	line.WriteString(entry.Time.Format(timeFormat))
	fmt.Fprintf(&line, " %-5s ", strings.ToUpper(levelName(entry.Level)))
	if component, ok := entry.Data[fieldComponent]; ok {
		fmt.Fprintf(&line, "%v: ", component)
	}
	line.WriteString(strings.ReplaceAll(entry.Message, "\n", `\n`))
	for _, name := range slices.Sorted(maps.Keys(entry.Data)) {
		if name != fieldComponent {
			fmt.Fprintf(&line, " %s=%s", name, quoteIfNeeded(fmt.Sprint(entry.Data[name])))
		}
	}
	line.WriteByte('\n')
	return []byte(line.String()), nil
}

// levelName shortens "warning" to "warn".
func levelName(level logrus.Level) string {
	if level == logrus.WarnLevel {
		return "warn"
	}
	return level.String()
}

// quoteIfNeeded quotes a value that is empty or contains spaces, quotes or equals signs.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		return strconv.Quote(value)
	}
	return value
}
