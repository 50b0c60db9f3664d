// Package cli holds what the mains of all binaries share.
package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes of all binaries. docs/operators/commands.md lists them.
const (
	ExitFailed = 1
)

// Main runs a command and ends the process.
func Main(cmd *cobra.Command) {
	if err := cmd.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name(), err)
		os.Exit(ExitCode(err))
	}
}

// coder is an error that knows its exit code.
type coder interface{ ExitCode() int }

// ExitCode returns the process's exit code for an error.
func ExitCode(err error) int {
	if c, ok := err.(coder); ok {
		return c.ExitCode()
	}
	return ExitFailed
}
