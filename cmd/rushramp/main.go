// Command rushramp is the operators' command line.
package main

import (
	"github.com/rushramp/rushramp/pkg/cli"
	"github.com/rushramp/rushramp/pkg/operatorcli"
)

func main() { cli.Main(operatorcli.NewCommand()) }
