// Command rushramp-standin: Stand-ins for tests.
package main

import (
	"github.com/rushramp/rushramp/pkg/cli"
	"github.com/rushramp/rushramp/pkg/standin"
)

func main() { cli.Main(standin.NewCommand()) }
