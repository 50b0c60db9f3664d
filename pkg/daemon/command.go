package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
)

// NewCommand makes the command line of rushrampd.
func NewCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:           "rushrampd --settings FILE",
		Short:         "The daemon beside each backend server: entry for calls and gate before the backend server",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			return serve(&s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "rushrampd.yaml", "settings file")
	return cmd
}

// serve runs the daemon until it has drained after SIGTERM, an operator's
// drain, or the platform's leaving mark.
func serve(s *settings.Settings) error {
	level, _ := events.ParseLevel(s.Log.Level)
	d, err := New(s, Options{Log: events.NewLog(os.Stderr, level, events.F("vm", s.VM.ID))})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
		d.Leave()
		<-d.Left()
	case <-d.Left():
	}
	d.Stop()
	return nil
}
