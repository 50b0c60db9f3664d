package systems

import "github.com/rushramp/rushramp/pkg/tables"

// gateTicker lets the gates start waiting requests at each tick. Otherwise they would only
// do so when a request ends, even if a gate's limit has risen meanwhile.
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
