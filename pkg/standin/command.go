// Package standin provides the command line of the stand-ins for the platform
// and for backend servers. Integration tests run them as separate processes.
package standin

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
)

// NewCommand returns the root command of rushramp-standin. The commands in more,
// such as the stand-ins of other platforms, become further subcommands.
func NewCommand(more ...*cobra.Command) *cobra.Command {
	root := &cobra.Command{
		Use:           "rushramp-standin",
		Short:         "Stand-ins for the platform and for backend servers, for tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), backendCommand())
	root.AddCommand(more...)
	return root
}

// vmFile is the content of the file with the initial list of VMs.
type vmFile struct {
	VMs []store.VM `yaml:"vms"`
}

func platformCommand() *cobra.Command {
	var address, vms string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "A table service, an object store and a list of VMs",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s := fakestore.New()
			if err := loadVMs(s, vms); err != nil {
				return err
			}
			return runUntilSignal(func() (func(), error) { return fakestore.Serve(s, address) })
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:7405", "address to listen on")
	cmd.Flags().StringVar(&vms, "vms", "", "YAML file with the list of VMs")
	return cmd
}

func loadVMs(s *fakestore.Store, path string) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the list of VMs")
	}
	var file vmFile
	if err := settings.DecodeStrict(text, &file); err != nil {
		return errors.Wrapf(err, "%s", path)
	}
	s.SetVMs(file.VMs)
	return nil
}

func backendCommand() *cobra.Command {
	var address string
	var opts backend.Options
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "A backend server with slots, faults and a ledger of what it ran",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runUntilSignal(func() (func(), error) { return backend.Serve(backend.New(opts), address) })
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:7404", "address to listen on")
	cmd.Flags().IntVar(&opts.Slots, "slots", 12, "calls that run at once")
	cmd.Flags().DurationVar(&opts.ColdFor, "cold-for", 0, "time after the start at cold speed")
	cmd.Flags().Float64Var(&opts.ColdSpeed, "cold-speed", 0.1, "speed while cold")
	return cmd
}

// runUntilSignal starts a server and stops it on SIGTERM or SIGINT.
func runUntilSignal(start func() (func(), error)) error {
	stop, err := start()
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	<-ctx.Done()
	return nil
}
