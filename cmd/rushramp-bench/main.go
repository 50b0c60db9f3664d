// Command rushramp-bench generates load and runs experiments.
package main

import (
	"github.com/rushramp/rushramp/pkg/bench"
	"github.com/rushramp/rushramp/pkg/cli"
)

func main() { cli.Main(bench.NewCommand()) }
