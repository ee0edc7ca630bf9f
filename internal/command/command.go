// Package command contains what all programs share: flag parsing, exit codes, signals, reloads and the version.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit codes of all programs.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailed reports that the command failed.
	ExitFailed = 1
	// ExitBadInput reports invalid flags, settings or files. The command had no effect.
	ExitBadInput = 2
)

// ExitCodes describes the exit codes in the help of a program.
const ExitCodes = "Exit codes: 0 done, 1 failed, 2 bad flags, settings or files (nothing was done)."

// Version returns the version recorded by the build.
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

// Parse parses the command line. On invalid input it prints the error and exits.
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

// Context returns a context that is cancelled by SIGINT or SIGTERM.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// Exit ends the program with the exit code for an error.
func Exit(name string, err error) {
	if err == nil {
		os.Exit(ExitOK)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(exitCode(err))
}

// BadInput marks an error as caused by invalid input.
func BadInput(err error) error {
	if err == nil {
		return nil
	}
	return &badInputError{cause: err}
}

// badInputError is an error caused by invalid input.
type badInputError struct{ cause error }

// Error implements error.
func (e *badInputError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *badInputError) Unwrap() error { return e.cause }

// exitCode returns the exit code for an error. A missing file counts as bad input.
func exitCode(err error) int {
	var badInput *badInputError
	if errors.As(err, &badInput) || errors.Is(err, os.ErrNotExist) {
		return ExitBadInput
	}
	return ExitFailed
}
