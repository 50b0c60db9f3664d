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

// readFile reads a wanted placement. Its version is the one it is based on.
func readFile(path string) (*placement.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("cannot read the placement: %v. Write one with `rushramp placement get > FILE`.", err)
	}
	doc := &placement.Document{}
	return doc, errors.Wrapf(settings.DecodeStrict(text, doc), "%s", path)
}

// wanted reads the file and the placement in force, and refuses a file that is
// based on another version: its author has not seen what changed since.
func wanted(ctx context.Context, client api.OperatorsClient, path string) (now, want *placement.Document, err error) {
	want, err = readFile(path)
	if err != nil {
		return nil, nil, err
	}
	answer, err := client.GetPlacement(ctx, &api.GetPlacementRequest{})
	if err != nil {
		return nil, nil, err
	}
	now, err = operators.DocumentFromAPI(answer)
	if err != nil {
		return nil, nil, err
	}
	if want.Version != now.Version {
		return nil, nil, &callError{code: exitConflict, text: fmt.Sprintf(
			"%s is based on version %d, and version %d is in force. Read it with `rushramp placement get`, bring your change into it, and apply that.",
			path, want.Version, now.Version)}
	}
	return now, want, nil
}

func planCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "Show what apply would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				now, want, err := wanted(ctx, client, args[0])
				if err != nil {
					return err
				}
				return o.printChanges(cmd.OutOrStdout(), placement.Diff(now, want))
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
		fmt.Fprintln(out, describe(c))
	}
	return nil
}

func describe(c placement.Change) string {
	if c.Op == placement.RemoveKind {
		return fmt.Sprintf("remove %s/%s", c.Service, c.Kind.Name)
	}
	out := fmt.Sprintf("put %s/%s: %s %s in %v", c.Service, c.Kind.Name, methodOr(c.Kind.Method), c.Kind.Path, c.Kind.DataCentres)
	if c.Kind.NeverRepeat {
		out += ", never repeated"
	}
	return out
}

func methodOr(method string) string {
	if method == "" {
		return "any method"
	}
	return method
}

func applyCommand(o *options) *cobra.Command {
	var author, changeID string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make the changes that lead to the file, and wait until they are in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				now, want, err := wanted(ctx, client, args[0])
				if err != nil {
					return err
				}
				changes := placement.Diff(now, want)
				if len(changes) == 0 {
					return o.printChanges(cmd.OutOrStdout(), changes)
				}
				answer, err := client.ApplyPlacement(ctx, &api.ApplyPlacementRequest{
					BaseVersion: now.Version, ChangeId: changeID, Author: author, Changes: operators.ChangesToAPI(changes),
				})
				if err != nil {
					return err
				}
				return o.follow(ctx, cmd.OutOrStdout(), client, answer.GetVersion())
			})
		},
	}
	changeFlags(cmd, &author, &changeID)
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
				now, err := client.GetPlacement(ctx, &api.GetPlacementRequest{})
				if err != nil {
					return err
				}
				answer, err := client.Rollback(ctx, &api.RollbackRequest{
					BaseVersion: now.GetVersion(), ToVersion: to, ChangeId: uuid.NewString(), Author: author,
				})
				if err != nil {
					return err
				}
				return o.follow(ctx, cmd.OutOrStdout(), client, answer.GetVersion())
			})
		},
	}
	cmd.Flags().Uint64Var(&to, "to", 0, "version whose content is restored")
	cmd.Flags().StringVar(&author, "author", defaultAuthor(), "your name")
	_ = cmd.MarkFlagRequired("to")
	return cmd
}

const (
	followEvery = 50 * time.Millisecond
	// followBound is how long apply waits; the brief allows seconds.
	followBound = 5 * time.Second
)

// follow waits until the version is in force in each data centre that this
// daemon hears of, and says plainly where it is not yet.
func (o *options) follow(ctx context.Context, out io.Writer, client api.OperatorsClient, version uint64) error {
	began := time.Now()
	var places []place
	for {
		answer, err := client.Status(ctx, &api.StatusRequest{})
		if err != nil {
			return errors.Wrapf(err, "version %d was accepted, but where it is in force is not known", version)
		}
		places = placesOf(answer, version)
		if allInForce(places) || time.Since(began) > followBound {
			break
		}
		time.Sleep(followEvery)
	}
	if o.output == "json" {
		return printJSON(out, &api.ApplyPlacementResponse{Version: version})
	}
	fmt.Fprintf(out, "version %d accepted\n", version)
	for _, p := range places {
		fmt.Fprintln(out, p)
	}
	return nil
}

func historyCommand(o *options) *cobra.Command {
	var after uint64
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List accepted changes",
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
			fmt.Fprintln(out, "  "+describe(c))
		}
	}
	return nil
}
