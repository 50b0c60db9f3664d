package systems

import "github.com/rushramp/rushramp/pkg/tables"

// gateTick lets waiting calls start when the gate's limit rose by itself.
type gateTick struct{ *Env }

// Tick implements System.
func (g *gateTick) Tick(_ int64, _ *tables.Mail) {
	if g.Executor != nil {
		g.Executor.Tick()
	}
	if g.Routed != nil {
		g.Routed.Tick()
	}
}
