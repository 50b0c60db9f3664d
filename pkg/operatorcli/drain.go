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
		Short: "Drain a daemon: it refuses new calls, waits for those in flight, and exits",
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

// drainStream is the part of the gRPC stream that watchDrain uses.
type drainStream interface {
	Recv() (*api.DrainProgress, error)
}

// watchDrain prints the number of calls in flight until the drain is done.
func watchDrain(out io.Writer, stream drainStream) error {
	lastCount := int64(-1)
	for {
		p, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("the daemon stopped while calls were in flight; see event 104 in its log")
		}
		if err != nil {
			return err
		}
		if p.GetDone() {
			fmt.Fprintln(out, "drained: the last call has ended")
			return nil
		}
		if p.GetCallsInFlight() != lastCount {
			lastCount = p.GetCallsInFlight()
			fmt.Fprintf(out, "leaving: %d calls in flight\n", lastCount)
		}
	}
}
