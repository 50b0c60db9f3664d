// Command rushramp is the command line for operators.
package main

import (
	"github.com/rushramp/rushramp/pkg/cli"
	"github.com/rushramp/rushramp/pkg/operatorcli"
)

func main() { cli.Main(operatorcli.NewCommand()) }
