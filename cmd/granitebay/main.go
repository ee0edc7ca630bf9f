// Command granitebay is the command-line tool for operators.
package main

import (
	"os"

	"github.com/granitebay/granitebay/internal/command"
	"github.com/granitebay/granitebay/internal/operator"
)

func main() {
	ctx, cancel := command.Context()
	code := operator.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}
