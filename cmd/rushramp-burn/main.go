// Command rushramp-burn reports how fast services burn their error budgets.
package main

import (
	"github.com/rushramp/rushramp/pkg/burn"
	"github.com/rushramp/rushramp/pkg/cli"
)

func main() { cli.Main(burn.NewCommand()) }
