// Package command holds what the mains of all programs share: the parser of flags, exit codes, signals and the version.
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

// Exit ends a program with the code that fits an error.
func Exit(name string, err error) {
	if err == nil {
		os.Exit(ExitOK)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(exitCode(err))
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
func exitCode(err error) int {
	var badInput *badInputError
	if errors.As(err, &badInput) || errors.Is(err, os.ErrNotExist) {
		return ExitBadInput
	}
	return ExitFailed
}
