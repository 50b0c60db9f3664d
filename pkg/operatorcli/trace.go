package operatorcli

import (
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rushramp/rushramp/pkg/trace"
)

// traceCommand returns the command "rushramp trace", which reads log files and calls no
// daemon.
func traceCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST [FILE...]",
		Short: "Join the log lines of several daemons about one routed request; reads standard input without files",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			inputs := []io.Reader{cmd.InOrStdin()}
			if len(args) > 1 {
				inputs = nil
			}
			for _, path := range args[1:] {
				file, err := os.Open(path)
				if err != nil {
					return errors.Errorf("%v. Name log files of rushrampd.", err)
				}
				defer func() { _ = file.Close() }()
				inputs = append(inputs, file)
			}
			report, err := trace.Read(args[0], inputs...)
			if err != nil {
				return err
			}
			if o.output == "json" {
				encoder := json.NewEncoder(cmd.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(report)
			}
			return report.WriteText(cmd.OutOrStdout())
		},
	}
}
