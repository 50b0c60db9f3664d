// Package cli runs the root commands of all binaries.
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

// Main runs a command. If it fails, Main prints the error and exits with its exit code.
func Main(cmd *cobra.Command) {
	if err := cmd.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name(), err)
		os.Exit(ExitCode(err))
	}
}

// exitCoder is an error with an exit code of its own.
type exitCoder interface{ ExitCode() int }

// ExitCode returns the exit code for an error: its own, or ExitFailed.
func ExitCode(err error) int {
	if c, ok := err.(exitCoder); ok {
		return c.ExitCode()
	}
	return ExitFailed
}
