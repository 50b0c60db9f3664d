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

// NewCommand makes the command line of rushrampd. adapters are the platforms
// that it knows besides rushramp's own.
func NewCommand(adapters Adapters) *cobra.Command {
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
			return serve(path, &s, adapters)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "rushrampd.yaml", "settings file")
	return cmd
}

// serve runs the daemon until it has drained after SIGTERM, an operator's
// drain, or the platform's leaving mark.
func serve(path string, s *settings.Settings, adapters Adapters) error {
	level, _ := events.ParseLevel(s.Log.Level)
	d, err := New(s, Options{Adapters: adapters, Log: events.NewLog(os.Stdout, level, events.F("vm", s.VM.ID))})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go newReloader(d, path, *s).run(d.env.Background)
	select {
	case <-ctx.Done():
		d.Leave()
		<-d.Left()
	case <-d.Left():
	}
	d.Stop()
	return nil
}
