// Package operator is the command line of operators. It talks to any gateway and changes the fleet only by changing
// labels, selectors and the rest of the configuration.
package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/command"
)

// Name of the program.
const Name = "granitebay"

// description is the first part of the help.
const description = "Shows the fleet and changes its labels, groups and rules."

// grammar is the whole command line.
type cli struct {
	Gateway []string      `help:"Gateways to ask, host:port of their admin API; the next one is asked when one cannot be reached." default:"127.0.0.1:9464" env:"GRANITEBAY_GATEWAY" sep:"," placeholder:"HOST:PORT"`
	Output  string        `help:"Output format: table, json or yaml." short:"o" enum:"table,json,yaml" default:"table"`
	Timeout time.Duration `help:"How long to wait for one command." default:"30s"`

	Status    statusCommand    `cmd:"" help:"Show the status of the fleet."`
	Get       getCommand       `cmd:"" help:"Show workers, groups, rules, gateways, tenants, barred requests, capacity, usage or the configuration."`
	Label     labelCommand     `cmd:"" help:"Set or remove labels."`
	Apply     applyCommand     `cmd:"" help:"Put the configuration of a file in force."`
	Diff      diffCommand      `cmd:"" help:"Show what applying a file would do."`
	Validate  validateCommand  `cmd:"" help:"Check a file, without a gateway."`
	Config    configCommand    `cmd:"" help:"Show how far the configuration got around, and its edits."`
	Decisions decisionsCommand `cmd:"" help:"Show what the system decided and why."`
	Explain   explainCommand   `cmd:"" help:"Show all decisions about one request, from the gateway that served it."`
	Release   releaseCommand   `cmd:"" help:"Let a barred request go to workers again."`
	Version   versionCommand   `cmd:"" help:"Print the version."`

	Order    unsupportedCommand `cmd:"" hidden:""`
	Drain    unsupportedCommand `cmd:"" hidden:""`
	Restart  unsupportedCommand `cmd:"" hidden:""`
	Cordon   unsupportedCommand `cmd:"" hidden:""`
	Uncordon unsupportedCommand `cmd:"" hidden:""`
	Stop     unsupportedCommand `cmd:"" hidden:""`
}

// session is what a command works with.
type session struct {
	context context.Context
	client  *adminapi.Client
	stdout  io.Writer
	stderr  io.Writer
	output  outputFormat
	timeout time.Duration
}

// limited returns a context that ends with the time for one command.
func (s *session) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.context, s.timeout)
}

// inputError is an error of what the operator gave. Nothing was done.
type inputError struct{ cause error }

// Error returns the text of the cause.
func (e *inputError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *inputError) Unwrap() error { return e.cause }

// badInput marks an error as one of the input.
func badInput(cause error) error { return &inputError{cause: cause} }

// exitRequest is raised when the parser wants to end the program, for example after printing the help.
type exitRequest struct{ code int }

// Run runs one command line, without the name of the program, and returns the exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if value := recover(); value != nil {
			request, ok := value.(exitRequest)
			if !ok {
				panic(value)
			}
			code = request.code
		}
	}()
	var parsed cli
	parser, err := newParser(&parsed, stdout, stderr)
	if err != nil {
		return report(stderr, err)
	}
	kctx, err := parser.Parse(arguments)
	if err != nil {
		return report(stderr, badInput(errors.Newf("%s (try %s --help)", err, Name)))
	}
	current := &session{
		context: ctx, client: adminapi.NewClient(parsed.Gateway, http.DefaultClient),
		stdout: stdout, stderr: stderr, output: outputFormat(parsed.Output), timeout: parsed.Timeout,
	}
	return report(stderr, kctx.Run(current))
}

func newParser(parsed *cli, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(parsed,
		kong.Name(Name),
		kong.Description(description+"\n\n"+command.ExitCodes),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitRequest{code: code}) }),
	)
}

// report prints an error and returns the exit code that fits.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return command.ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", Name, err)
	var input *inputError
	if errors.As(err, &input) {
		return command.ExitBadInput
	}
	return command.ExitFailed
}

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(s *session) error {
	_, err := fmt.Fprintln(s.stdout, Name, command.Version())
	return err
}
