// Package command holds what the mains of all programs share: the parser of flags, exit codes, signals and the version.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/settings"
)

// Exit codes of all programs.
const (
	// ExitOK: the program did what it was asked.
	ExitOK = 0
	// ExitFailed: the program could not do it.
	ExitFailed = 1
	// ExitBadInput: flags, settings or a file were wrong; nothing was done.
	ExitBadInput = 2
)

// ExitCodes documents the exit codes in the help of a program.
const ExitCodes = "Exit codes: 0 done, 1 failed, 2 bad flags, settings or files (nothing was done)."

// Version returns the version that the build recorded.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}

// Parse parses the arguments of a program into a kong command line. On bad input it prints the error and exits.
func Parse(name, description string, target any, options ...kong.Option) *kong.Context {
	options = append(options,
		kong.Name(name),
		kong.Description(description+"\n\n"+ExitCodes),
		kong.UsageOnError(),
		kong.Vars{"version": name + " " + Version()},
	)
	parser, err := kong.New(target, options...)
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(ExitFailed)
	}
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\nTry %s --help.\n", name, err, name)
		os.Exit(ExitBadInput)
	}
	return parsed
}

// Context returns a context that ends at SIGINT or SIGTERM.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// Program is a running agent or router.
type Program interface {
	// Failed delivers an error when a port stops serving.
	Failed() <-chan error
	// Stop ends the program as planned, at the latest at the end of the context. Close ends it at once.
	Stop(ctx context.Context)
	Close()
}

// Logger makes the logger of a process from its settings.
func Logger(process settings.Process) (*logrus.Logger, error) {
	logger, err := logging.New(logging.Options{
		Level: process.Logging.Level, Format: process.Logging.Format, Process: process.Name, Output: os.Stderr,
	})
	return logger, BadInput(err)
}

// RunUntilStopped waits for SIGINT or SIGTERM and then stops a program as planned, or returns when one of its ports fails.
func RunUntilStopped(program Program, stopTimeout time.Duration) error {
	ctx, cancel := Context()
	defer cancel()
	select {
	case err := <-program.Failed():
		program.Close()
		return err
	case <-ctx.Done():
	}
	stopping, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	program.Stop(stopping)
	return nil
}

// Exit ends a program with the code that fits an error.
func Exit(name string, err error) {
	if err == nil {
		os.Exit(ExitOK)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(codeOf(err))
}

// BadInput marks an error as one of the input.
func BadInput(err error) error {
	if err == nil {
		return nil
	}
	return &badInputError{cause: err}
}

// badInputError is an error of the input.
type badInputError struct{ cause error }

// Error returns the text of the cause.
func (e *badInputError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *badInputError) Unwrap() error { return e.cause }

// codeOf returns the exit code of an error.
func codeOf(err error) int {
	var badInput *badInputError
	var invalid *settings.InvalidError
	if errors.As(err, &badInput) || errors.As(err, &invalid) || errors.Is(err, os.ErrNotExist) {
		return ExitBadInput
	}
	return ExitFailed
}

// Overrides joins the flags that were given with fields that were set by path. Flags that are empty do not count.
func Overrides(flags, set map[string]string) map[string]string {
	overrides := make(map[string]string, len(flags)+len(set))
	for path, value := range flags {
		if value != "" {
			overrides[path] = value
		}
	}
	for path, value := range set {
		overrides[path] = value
	}
	return overrides
}
