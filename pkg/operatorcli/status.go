package operatorcli

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/settings"
)

func printJSON(out io.Writer, msg proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "output")
	}
	_, err = fmt.Fprintln(out, string(text))
	return err
}

// dataCentreState counts the daemons of one data centre that have a placement version.
type dataCentreState struct {
	dataCentre string
	// inForce counts the daemons at which the version is in force. behind names the VMs
	// of those with an older version.
	inForce int
	behind  []string
	// unlinked counts the members that are leaving or have no link with the daemon asked.
	unlinked int
}

// String returns the line of the output for operators.
func (s dataCentreState) String() string {
	switch {
	case len(s.behind) > 0:
		return fmt.Sprintf("  %s: not yet in force at %v", s.dataCentre, s.behind)
	case s.inForce == 0:
		return fmt.Sprintf("  %s: not known; this daemon has no link to a daemon there", s.dataCentre)
	case s.unlinked > 0:
		return fmt.Sprintf("  %s: in force at all %d linked daemons; %d others are leaving or have no link with this one", s.dataCentre, s.inForce, s.unlinked)
	}
	return fmt.Sprintf("  %s: in force at all %d daemons", s.dataCentre, s.inForce)
}

// statesByDataCentre returns how far a placement version is in force, ordered by the names
// of the data centres.
func statesByDataCentre(in *api.StatusResponse, version uint64) []dataCentreState {
	byName := map[string]*dataCentreState{}
	for _, m := range in.GetMembers() {
		state := byName[m.GetDataCentre()]
		if state == nil {
			state = &dataCentreState{dataCentre: m.GetDataCentre()}
			byName[m.GetDataCentre()] = state
		}
		switch {
		case !m.GetLinked() || m.GetLeaving():
			state.unlinked++
		case m.GetPlacement() >= version:
			state.inForce++
		default:
			state.behind = append(state.behind, m.GetVm())
		}
	}
	out := make([]dataCentreState, 0, len(byName))
	for _, state := range byName {
		out = append(out, *state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].dataCentre < out[j].dataCentre })
	return out
}

// allInForce reports whether the version is in force at all linked daemons, and at one
// daemon at least in each data centre.
func allInForce(states []dataCentreState) bool {
	for _, state := range states {
		if len(state.behind) > 0 || state.inForce == 0 {
			return false
		}
	}
	return true
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state of a daemon and of the members that it knows",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				answer, err := client.Status(ctx, &api.StatusRequest{})
				if err != nil {
					return err
				}
				if o.output == "json" {
					return printJSON(cmd.OutOrStdout(), answer)
				}
				printStatus(cmd.OutOrStdout(), answer)
				return nil
			})
		},
	}
}

func printStatus(out io.Writer, s *api.StatusResponse) {
	fmt.Fprintf(out, "%s in %s: %s, placement version %d\n", s.GetVm(), s.GetDataCentre(), daemonState(s), s.GetPlacement())
	if s.GetSlots() > 0 {
		fmt.Fprintf(out, "gate of %s: %d running, %d queued, limit %d of %d slots\n", s.GetService(), s.GetRunning(), s.GetQueued(), s.GetLimit(), s.GetSlots())
	}
	if s.GetStoreAgeMs() >= 0 {
		fmt.Fprintf(out, "newest state of the store: read %v ago\n", time.Duration(s.GetStoreAgeMs())*time.Millisecond)
	} else {
		fmt.Fprintln(out, "newest state of the store: not read yet")
	}
	if len(s.GetEvacuated()) > 0 {
		fmt.Fprintf(out, "evacuated: %s (revision %d)\n", strings.Join(s.GetEvacuated(), ", "), s.GetEvacuationRevision())
	}
	for _, r := range s.GetRollouts() {
		printRollout(out, r)
	}
	fmt.Fprintf(out, "load reports: %.0f of at most %.0f bytes/s\n", s.GetMeasureBytesPerS(), s.GetMeasureBytesAgreed())
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "vm\tdata centre\tservice\tstate\tplacement")
	for _, m := range s.GetMembers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.GetVm(), m.GetDataCentre(), m.GetService(), memberState(m), versionOrDash(m.GetPlacement()))
	}
	_ = w.Flush()
}

// daemonState says whether the daemon accepts calls.
func daemonState(s *api.StatusResponse) string {
	switch {
	case s.GetLeaving():
		return "leaving"
	case !s.GetReady():
		return "not ready"
	case s.GetUnsure():
		return "cut off: its placement may be out of date"
	}
	return "takes calls"
}

func memberState(m *api.Member) string {
	switch {
	case m.GetLeaving():
		return "leaving"
	case m.GetLinked():
		return "linked"
	}
	return "listed"
}

func versionOrDash(version uint64) string {
	if version == 0 {
		return "-"
	}
	return fmt.Sprint(version)
}

func explainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain SERVICE METHOD PATH",
		Short: "Explain to which backend servers a call would go, and why",
		Args:  cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.call(func(ctx context.Context, client api.OperatorsClient) error {
				answer, err := client.Explain(ctx, &api.ExplainRequest{Service: args[0], Method: args[1], Path: args[2]})
				if err != nil {
					return err
				}
				if o.output == "json" {
					return printJSON(cmd.OutOrStdout(), answer)
				}
				printExplain(cmd.OutOrStdout(), answer)
				return nil
			})
		},
	}
}

func printExplain(out io.Writer, e *api.ExplainResponse) {
	if e.GetKind() != "" {
		fmt.Fprintf(out, "kind %s, allowed in %v\n", e.GetKind(), e.GetDataCentres())
	}
	fmt.Fprintln(out, e.GetVerdict())
	if e.GetRollout() != nil {
		printRollout(out, e.GetRollout())
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "vm\tdata centre\treason\tat gate\tfrom here\trun ms\texpected ms")
	for _, c := range e.GetCandidates() {
		expected := "-"
		if c.GetExpectedUs() >= 0 {
			expected = fmt.Sprintf("%.2f", float64(c.GetExpectedUs())/1000)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f\t%s\n", c.GetVm(), c.GetDataCentre(), c.GetReason(),
			c.GetInFlight(), c.GetOutstanding(), float64(c.GetServiceTimeUs())/1000, expected)
	}
	_ = w.Flush()
}

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Work with a daemon's settings"}
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without starting anything",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is valid\n", args[0])
			return nil
		},
	})
	return cmd
}
