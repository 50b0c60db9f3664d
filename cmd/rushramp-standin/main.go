// Command rushramp-standin runs stand-ins of backend servers and the platform for tests.
package main

import (
	"github.com/rushramp/rushramp/pkg/cli"
	"github.com/rushramp/rushramp/pkg/standin"
	platform "github.com/rushramp/rushramp/platform/standin"
)

func main() { cli.Main(standin.NewCommand(platform.NewCommands()...)) }
