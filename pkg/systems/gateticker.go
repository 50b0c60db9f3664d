package systems

import "github.com/rushramp/rushramp/pkg/tables"

// gateTicker lets waiting calls start when the gate's limit rose by itself.
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
