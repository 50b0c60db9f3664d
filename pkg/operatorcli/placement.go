package operatorcli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rushramp/rushramp/pkg/operators"
	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/settings"
)

func placementCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "placement", Short: "Read and change the placement"}
	cmd.AddCommand(getCommand(o), planCommand(o), applyCommand(o), historyCommand(o), rollbackCommand(o))
	return cmd
}

func getCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Print the placement in force, in the form that plan and apply read",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				out, err := client.GetPlacement(ctx, &api.GetPlacementRequest{})
				if err != nil {
					return err
				}
				return o.printDocument(cmd.OutOrStdout(), out)
			})
		},
	}
}

func (o *options) printDocument(out io.Writer, in *api.GetPlacementResponse) error {
	if o.output == "json" {
		return printJSON(out, in)
	}
	doc, err := operators.DocumentFromAPI(in)
	if err != nil {
		return err
	}
	text, err := yaml.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "placement")
	}
	_, err = out.Write(text)
	return err
}

// readPlacement reads a wanted placement from a file. Its version is that of the placement
// from which the file was edited.
func readPlacement(path string) (*placement.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("cannot read the placement: %v. Write one with `rushramp placement get > FILE`.", err)
	}
	doc := &placement.Document{}
	return doc, errors.Wrapf(settings.DecodeStrict(text, doc), "%s", path)
}

// readWantedAndCurrent returns the placement in force and the wanted one from a file. It
// refuses a file that is based on another version: its author has not seen what has
// changed since.
func readWantedAndCurrent(ctx context.Context, client api.OperatorsClient, path string) (current, want *placement.Document, err error) {
	want, err = readPlacement(path)
	if err != nil {
		return nil, nil, err
	}
	answer, err := client.GetPlacement(ctx, &api.GetPlacementRequest{})
	if err != nil {
		return nil, nil, err
	}
	current, err = operators.DocumentFromAPI(answer)
	if err != nil {
		return nil, nil, err
	}
	if want.Version != current.Version {
		return nil, nil, &callError{code: exitConflict, text: fmt.Sprintf(
			"%s is based on version %d, and version %d is in force. Read it with `rushramp placement get`, make your change in it, and apply that.",
			path, want.Version, current.Version)}
	}
	return current, want, nil
}

func planCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "Show what apply would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				current, want, err := readWantedAndCurrent(ctx, client, args[0])
				if err != nil {
					return err
				}
				return o.printChanges(cmd.OutOrStdout(), placement.Diff(current, want))
			})
		},
	}
}

func (o *options) printChanges(out io.Writer, changes []placement.Change) error {
	if o.output == "json" {
		return printJSON(out, &api.ApplyPlacementRequest{Changes: operators.ChangesToAPI(changes)})
	}
	if len(changes) == 0 {
		fmt.Fprintln(out, "nothing to change")
	}
	for _, c := range changes {
		fmt.Fprintln(out, describeChange(c))
	}
	return nil
}

// describeChange returns the line that shows a change to operators.
func describeChange(c placement.Change) string {
	if c.Op == placement.RemoveKind {
		return fmt.Sprintf("remove %s/%s", c.Service, c.Kind.Name)
	}
	out := fmt.Sprintf("put %s/%s: %s %s in %v", c.Service, c.Kind.Name, methodOrAny(c.Kind.Method), c.Kind.Path, c.Kind.DataCentres)
	if c.Kind.NeverRepeat {
		out += ", never repeated"
	}
	return out
}

func methodOrAny(method string) string {
	if method == "" {
		return "any method"
	}
	return method
}

func applyCommand(o *options) *cobra.Command {
	var author, changeID string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Change the placement to the one in the file, and wait until it is in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				current, want, err := readWantedAndCurrent(ctx, client, args[0])
				if err != nil {
					return err
				}
				changes := placement.Diff(current, want)
				if len(changes) == 0 {
					return o.printChanges(cmd.OutOrStdout(), changes)
				}
				answer, err := client.ApplyPlacement(ctx, &api.ApplyPlacementRequest{
					BaseVersion: current.Version, ChangeId: changeID, Author: author, Changes: operators.ChangesToAPI(changes),
				})
				if err != nil {
					return err
				}
				return o.waitInForce(ctx, cmd.OutOrStdout(), client, answer.GetVersion())
			})
		},
	}
	addChangeFlags(cmd, &author, &changeID)
	return cmd
}

func rollbackCommand(o *options) *cobra.Command {
	var author string
	var to uint64
	cmd := &cobra.Command{
		Use:   "rollback --to VERSION",
		Short: "Put the content of an earlier version in force, as a new version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				current, err := client.GetPlacement(ctx, &api.GetPlacementRequest{})
				if err != nil {
					return err
				}
				answer, err := client.Rollback(ctx, &api.RollbackRequest{
					BaseVersion: current.GetVersion(), ToVersion: to, ChangeId: uuid.NewString(), Author: author,
				})
				if err != nil {
					return err
				}
				return o.waitInForce(ctx, cmd.OutOrStdout(), client, answer.GetVersion())
			})
		},
	}
	cmd.Flags().Uint64Var(&to, "to", 0, "version whose content is restored")
	cmd.Flags().StringVar(&author, "author", defaultAuthor(), "your name")
	_ = cmd.MarkFlagRequired("to")
	return cmd
}

const (
	// pollInterval is the time between two requests for the status.
	pollInterval = 50 * time.Millisecond
	// maxInForceWait is how long apply and rollback wait for a version to be in force.
	maxInForceWait = 5 * time.Second
)

// waitInForce waits until a version is in force in all data centres with members that the
// daemon knows, for maxWait at most, and prints for each of them whether it is.
func (o *options) waitInForce(ctx context.Context, out io.Writer, client api.OperatorsClient, version uint64) error {
	startedAt := time.Now()
	var states []dataCentreState
	for {
		answer, err := client.Status(ctx, &api.StatusRequest{})
		if err != nil {
			return errors.Wrapf(err, "version %d was accepted, but where it is in force is not known", version)
		}
		states = statesByDataCentre(answer, version)
		if allInForce(states) || time.Since(startedAt) > maxInForceWait {
			break
		}
		time.Sleep(pollInterval)
	}
	if o.output == "json" {
		return printJSON(out, &api.ApplyPlacementResponse{Version: version})
	}
	fmt.Fprintf(out, "version %d accepted\n", version)
	for _, state := range states {
		fmt.Fprintln(out, state)
	}
	return nil
}

func historyCommand(o *options) *cobra.Command {
	var after uint64
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the accepted changes of the placement",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				answer, err := client.History(ctx, &api.HistoryRequest{AfterVersion: after})
				if err != nil {
					return err
				}
				return o.printHistory(cmd.OutOrStdout(), answer)
			})
		},
	}
	cmd.Flags().Uint64Var(&after, "after", 0, "list only versions above this one")
	return cmd
}

func (o *options) printHistory(out io.Writer, in *api.HistoryResponse) error {
	if o.output == "json" {
		return printJSON(out, in)
	}
	for _, e := range in.GetEntries() {
		note := ""
		if e.GetRollbackOf() > 0 {
			note = fmt.Sprintf(" (content of version %d)", e.GetRollbackOf())
		}
		fmt.Fprintf(out, "version %d by %s at %s%s\n", e.GetVersion(), e.GetAuthor(),
			time.UnixMilli(e.GetAtUnixMs()).UTC().Format(time.RFC3339), note)
		changes, err := operators.ChangesFromAPI(e.GetChanges())
		if err != nil {
			return err
		}
		for _, c := range changes {
			fmt.Fprintln(out, "  "+describeChange(c))
		}
	}
	return nil
}
