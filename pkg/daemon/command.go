package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
)

// NewCommand returns the root command of rushrampd. adapters are those for platforms other
// than rushramp's own HTTP interface.
func NewCommand(adapters Adapters) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:           "rushrampd --settings FILE",
		Short:         "The daemon beside each backend server: entry for calls and gate before the backend server",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			// A signal ends a process that has not asked for it.
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			return serve(ctx, path, &s, adapters, hup)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "rushrampd.yaml", "settings file")
	return cmd
}

// logCloseTimeout is how long a daemon that ends waits until the reader of its log has read
// all lines.
const logCloseTimeout = 200 * time.Millisecond

// serve runs the daemon until it has drained: once ctx has ended, by an operator's drain, or
// when the platform marks the VM as leaving. hup receives SIGHUP.
func serve(ctx context.Context, path string, s *settings.Settings, adapters Adapters, hup <-chan os.Signal) error {
	signalled := make(chan time.Time, 1)
	defer context.AfterFunc(ctx, func() { signalled <- time.Now() })()
	limitMemory(s.Limits.MemoryBytes)
	level, _ := events.ParseLevel(s.Log.Level)
	bounds := events.Bounds{LinesPerSecond: s.Log.LinesPerSecond, BytesPerSecond: s.Log.BytesPerSecond, BufferBytes: s.Log.BufferBytes}
	log := events.NewBoundedLog(os.Stdout, level, bounds, events.F("vm", s.VM.ID))
	defer log.Close(logCloseTimeout)
	d, err := New(s, Options{Adapters: adapters, Log: log})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	go newReloader(d, path, *s, hup).run(d.env.DaemonContext)
	select {
	case at := <-signalled:
		d.leaveSince(at)
		<-d.Drained()
	case <-d.Drained():
	}
	d.Stop()
	return nil
}
