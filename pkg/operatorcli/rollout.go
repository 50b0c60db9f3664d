package operatorcli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
)

func rolloutCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Move a service's requests to backend servers of another version"}
	cmd.AddCommand(rolloutStartCommand(o), rolloutStatusCommand(o), rolloutCancelCommand(o))
	return cmd
}

func rolloutStartCommand(o *options) *cobra.Command {
	request := &api.StartRolloutRequest{}
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "start SERVICE VERSION",
		Short: "Order a roll-out: a few requests first, then all, or none if the version proves bad",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			request.Service, request.Version, request.DurationMs = args[0], args[1], duration.Milliseconds()
			return o.printRollouts(cmd.OutOrStdout(), func(ctx context.Context, client api.OperatorsClient) (*api.RolloutsResponse, error) {
				return client.StartRollout(ctx, request)
			})
		},
	}
	cmd.Flags().DurationVar(&duration, "duration", 0, "time from the order to its deadline, 12s to 720h")
	_ = cmd.MarkFlagRequired("duration") // fails only if the flag does not exist
	addChangeFlags(cmd, &request.Author, &request.ChangeId)
	return cmd
}

func rolloutCancelCommand(o *options) *cobra.Command {
	request := &api.CancelRolloutRequest{}
	cmd := &cobra.Command{
		Use:   "cancel SERVICE",
		Short: "Cancel the order of a service and roll back its roll-out if it has not ended",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request.Service = args[0]
			return o.printRollouts(cmd.OutOrStdout(), func(ctx context.Context, client api.OperatorsClient) (*api.RolloutsResponse, error) {
				return client.CancelRollout(ctx, request)
			})
		},
	}
	addChangeFlags(cmd, &request.Author, &request.ChangeId)
	return cmd
}

func rolloutStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status [SERVICE]",
		Short: "Show the roll-outs that a daemon knows of",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.printRollouts(cmd.OutOrStdout(), func(ctx context.Context, client api.OperatorsClient) (*api.RolloutsResponse, error) {
				return client.GetRollouts(ctx, &api.GetRolloutsRequest{Service: strings.Join(args, "")})
			})
		},
	}
}

// addChangeFlags adds the flags that all commands with a change have.
func addChangeFlags(cmd *cobra.Command, author, changeID *string) {
	cmd.Flags().StringVar(author, "author", defaultAuthor(), "your name; with TLS, the name in your certificate is used instead")
	cmd.Flags().StringVar(changeID, "change-id", uuid.NewString(), "id of the change; give the same id to repeat a change whose outcome is unknown")
}

// printRollouts sends a request to the daemon and prints the roll-outs in the response.
func (o *options) printRollouts(out io.Writer, request func(context.Context, api.OperatorsClient) (*api.RolloutsResponse, error)) error {
	return o.call(func(ctx context.Context, client api.OperatorsClient) error {
		answer, err := request(ctx, client)
		if err != nil {
			return err
		}
		if o.output == "json" {
			return printJSON(out, answer)
		}
		if len(answer.GetRollouts()) == 0 {
			fmt.Fprintf(out, "no roll-out is known (orders of revision %d)\n", answer.GetRevision())
		}
		for _, r := range answer.GetRollouts() {
			printRollout(out, r)
		}
		return nil
	})
}

// printRollout prints the state of one roll-out.
func printRollout(out io.Writer, r *api.Rollout) {
	fmt.Fprintf(out, "roll-out of %s to %s: %s (%s), order %d\n", r.GetService(), r.GetTarget(), r.GetPhase(), r.GetCause(), r.GetOrder())
	if r.GetStopped() {
		fmt.Fprintf(out, "  stopped, the version gets nothing more: %s\n", r.GetStopCause())
	}
	if len(r.GetCanaries()) > 0 {
		fmt.Fprintf(out, "  %.1f %% of the requests at most, at %s\n", float64(r.GetPerMille())/10, strings.Join(r.GetCanaries(), ", "))
	}
	fmt.Fprintf(out, "  live backend servers: %d of %s, %d of others\n", r.GetTargetServers(), r.GetTarget(), r.GetOtherServers())
	if left := time.Duration(r.GetDeadlineLeftMs()) * time.Millisecond; r.GetDeadlineKnown() {
		fmt.Fprintf(out, "  to the deadline: %v\n", left.Round(time.Second))
	}
}
