package operatorcli

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
)

func drainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Make a daemon leave: no new calls, those in flight end, then the process ends",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				stream, err := client.Drain(ctx, &api.DrainRequest{})
				if err != nil {
					return err
				}
				return watchDrain(cmd.OutOrStdout(), stream)
			})
		},
	}
}

// progress is the part of the stream that is read.
type progress interface {
	Recv() (*api.DrainProgress, error)
}

func watchDrain(out io.Writer, stream progress) error {
	last := int64(-1)
	for {
		p, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("the daemon ended before its last call did; look at event 104 in its log")
		}
		if err != nil {
			return err
		}
		if p.GetDone() {
			fmt.Fprintln(out, "drained: the last call has ended")
			return nil
		}
		if p.GetCallsInFlight() != last {
			last = p.GetCallsInFlight()
			fmt.Fprintf(out, "leaving: %d calls in flight\n", last)
		}
	}
}
