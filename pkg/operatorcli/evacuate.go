package operatorcli

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
)

func evacuateCommand(o *options) *cobra.Command {
	request := &api.EvacuateRequest{}
	cmd := &cobra.Command{
		Use:   "evacuate DATA_CENTRE",
		Short: "Send no new requests to a data centre's backend servers, until --back ends the evacuation",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request.DataCentre = args[0]
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				answer, err := client.Evacuate(ctx, request)
				if err != nil {
					return err
				}
				if o.output == "json" {
					return printJSON(cmd.OutOrStdout(), answer)
				}
				fmt.Fprintln(cmd.OutOrStdout(), evacuatedLine(answer))
				return nil
			})
		},
	}
	cmd.Flags().BoolVar(&request.Back, "back", false, "end the evacuation of the data centre")
	cmd.Flags().StringVar(&request.Author, "author", defaultAuthor(), "your name; with TLS, the name in your certificate is used instead")
	return cmd
}

func evacuatedLine(answer *api.EvacuateResponse) string {
	if len(answer.GetEvacuated()) == 0 {
		return fmt.Sprintf("no data centre is evacuated (revision %d)", answer.GetRevision())
	}
	return fmt.Sprintf("evacuated: %s (revision %d)", strings.Join(answer.GetEvacuated(), ", "), answer.GetRevision())
}
