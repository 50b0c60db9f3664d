package systems

import "github.com/rushramp/rushramp/pkg/tables"

// queries runs the functions by which operators read the tables.
type queries struct{ *Env }

// Tick implements System.
func (q *queries) Tick(_ int64, mail *tables.Mail) {
	for _, query := range mail.Queries {
		query(q.World)
	}
}
