// Command rushrampd is the daemon beside each backend server.
package main

import (
	"github.com/rushramp/rushramp/pkg/cli"
	"github.com/rushramp/rushramp/pkg/daemon"
	"github.com/rushramp/rushramp/platform"
)

func main() { cli.Main(daemon.NewCommand(platform.Adapters())) }
