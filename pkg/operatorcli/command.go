// Package operatorcli implements rushramp, the command line for operators.
package operatorcli

import (
	"context"
	"os"
	"os/user"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/rushramp/rushramp/pkg/certs"
	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/settings"
)

// The exit codes besides 0 and 1. docs/operators/commands.md lists them.
const (
	exitConflict    = 2
	exitUnknown     = 3
	exitUnreachable = 4
	exitNotAllowed  = 5
)

// options holds the flags that all commands share.
type options struct {
	daemon  string
	timeout time.Duration
	output  string
	tls     settings.TLS
}

// NewCommand returns the root command of rushramp.
func NewCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "rushramp",
		Short:         "Operate rushramp: placements, drains, status",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != "text" && o.output != "json" {
				return errors.Errorf("%q is not an output format. Give --output text or --output json.", o.output)
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.daemon, "daemon", envOr("RUSHRAMP_DAEMON", "127.0.0.1:7402"), "operators' address of a daemon (or RUSHRAMP_DAEMON)")
	flags.DurationVar(&o.timeout, "timeout", 10*time.Second, "timeout of a command's calls to the daemon")
	flags.StringVar(&o.output, "output", "text", "text or json")
	flags.StringVar(&o.tls.Cert, "cert", "", "certificate file of the operator")
	flags.StringVar(&o.tls.Key, "key", "", "private key file of the operator")
	flags.StringVar(&o.tls.CA, "ca", "", "file of the authorities' certificates")
	root.AddCommand(placementCommand(o), statusCommand(o), explainCommand(o), evacuateCommand(o), rolloutCommand(o), teamsCommand(o), keyCommand(), drainCommand(o), traceCommand(o), settingsCommand())
	return root
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// defaultAuthor returns the name of the user that runs the command; empty if it is not
// known.
func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// call connects to the daemon and runs request. It returns an error of the daemon as a
// *callError.
func (o *options) call(request func(ctx context.Context, client api.OperatorsClient) error) error {
	reloader, err := certs.NewReloader(o.tls)
	if err != nil {
		return err
	}
	creds := insecure.NewCredentials()
	if conf := reloader.Client(); conf != nil {
		creds = credentials.NewTLS(conf)
	}
	conn, err := grpc.NewClient(o.daemon, grpc.WithTransportCredentials(creds))
	if err != nil {
		return errors.Errorf("%s is not the address of a daemon: %v. Name one with --daemon.", o.daemon, err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	return o.explainError(request(ctx, api.NewOperatorsClient(conn)))
}

// callError is an error that a daemon returned, with the exit code for it.
type callError struct {
	text string
	code int
}

// Error implements error.
func (c *callError) Error() string { return c.text }

// ExitCode implements the interface that cli.ExitCode looks for.
func (c *callError) ExitCode() int { return c.code }

// explainError turns a gRPC status into a *callError. It returns other errors unchanged.
func (o *options) explainError(err error) error {
	s, ok := status.FromError(err)
	if err == nil || !ok {
		return err
	}
	switch s.Code() {
	case codes.FailedPrecondition:
		return &callError{text: s.Message(), code: exitConflict}
	case codes.Unknown, codes.DeadlineExceeded:
		return &callError{text: s.Message(), code: exitUnknown}
	case codes.PermissionDenied:
		return &callError{text: s.Message(), code: exitNotAllowed}
	case codes.Unavailable:
		return &callError{text: o.daemon + " could not do this: " + s.Message() + ". Check --daemon, or ask another daemon.", code: exitUnreachable}
	}
	return &callError{text: s.Message(), code: 1}
}
