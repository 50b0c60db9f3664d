package systems

import "github.com/rushramp/rushramp/pkg/tables"

// gateTicker starts waiting requests after a gate's limit has risen without a request
// ending.
type gateTicker struct{ *Env }

// Tick implements System.
func (g *gateTicker) Tick(_ int64, _ *tables.Mail) {
	if g.Executor != nil {
		g.Executor.Tick()
	}
	if g.RoutedRunner != nil {
		g.RoutedRunner.Tick()
	}
}
