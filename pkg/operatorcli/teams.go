package operatorcli

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/teams"
)

func teamsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "teams",
		Short: "Show the teams, their limits, and which daemons count their requests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				answer, err := client.GetTeams(ctx, &api.GetTeamsRequest{})
				if err != nil {
					return err
				}
				if o.output == "json" {
					return printJSON(cmd.OutOrStdout(), answer)
				}
				return printTeams(cmd.OutOrStdout(), answer)
			})
		},
	}
}

func printTeams(out io.Writer, in *api.TeamsResponse) error {
	fmt.Fprintf(out, "placement version %d, last confirmed: %s\n", in.GetVersion(), proofAge(in.GetProofAgeMs()))
	fmt.Fprintf(out, "requests here: %d admitted, %d over a limit, %d without an answer from a counter\n", in.GetGranted(), in.GetRefused(), in.GetUnsure())
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "team\tpriority\tkeys\trate\tburst\tcounted by\tshare here\ttokens here")
	for _, t := range in.GetTeams() {
		fmt.Fprintf(table, "%s\t%d\t%d\t%g\t%g\t%s\t%.2f\t%.1f\n", t.GetName(), t.GetPriority(), t.GetKeys(), t.GetRate(), t.GetBurst(), t.GetCounter(), t.GetPart(), t.GetTokens())
	}
	return table.Flush()
}

// proofAge formats the time since the placement was last confirmed to be the one in
// force. A negative time means that it never was.
func proofAge(ms int64) string {
	if ms < 0 {
		return "none yet"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}

// keyBytes is the length of a new key; 192 random bits cannot be guessed.
const keyBytes = 24

func keyCommand() *cobra.Command {
	root := &cobra.Command{Use: "key", Short: "Make keys of teams, and their digests"}
	root.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Make a key; it is shown once, and only its digest goes into a placement",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			random := make([]byte, keyBytes)
			if _, err := rand.Read(random); err != nil {
				return errors.Wrap(err, "cannot read random bytes for a key")
			}
			key := base64.RawURLEncoding.EncodeToString(random)
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "key:    %s\ndigest: %s\n", key, teams.DigestOf(key))
			return err
		},
	}, &cobra.Command{
		Use:   "digest",
		Short: "Read a key from standard input and print its digest",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			line, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			if key := strings.TrimSpace(line); key != "" {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), teams.DigestOf(key))
				return err
			}
			return errors.Wrap(err, "no key on standard input; write it as one line")
		},
	})
	return root
}
