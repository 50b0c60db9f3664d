// Package test runs the scripted scenarios in scenarios/ with real processes:
// daemons and stand-ins for the platform and for backend servers. The commands
// of the scenario language are listed in docs/dev/testing.md.
package test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rushramp/rushramp/pkg/burn"
	"github.com/rushramp/rushramp/pkg/cli"
	"github.com/rushramp/rushramp/pkg/daemon"
	"github.com/rushramp/rushramp/pkg/operatorcli"
	"github.com/rushramp/rushramp/pkg/standin"
	"github.com/rushramp/rushramp/platform"
)

// TestMain lets the test binary run as each of the project's programs.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rushrampd":        func() { cli.Main(daemon.NewCommand(platform.Adapters())) },
		"rushramp":         func() { cli.Main(operatorcli.NewCommand()) },
		"rushramp-burn":    func() { cli.Main(burn.NewCommand()) },
		"rushramp-standin": func() { cli.Main(standin.NewCommand()) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "scenarios",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform":   cmdPlatform,
			"worker":     cmdWorker,
			"place":      cmdPlace,
			"use":        cmdUse,
			"call":       cmdCall,
			"expect":     cmdExpect,
			"fault":      cmdFault,
			"signal":     cmdSignal,
			"eventually": cmdEventually,
			"raw":        cmdRaw,
			"slowcall":   cmdSlowCall,
			"objectives": cmdObjectives,
			"network":    cmdNetwork,
			"certs":      cmdCerts,
			"restart":    cmdRestart,
			"unlist":     cmdUnlist,
			"load":       cmdLoad,
		},
	})
}
