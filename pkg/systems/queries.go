package systems

import "github.com/rushramp/rushramp/pkg/tables"

// queries answers operators' questions about the tables.
type queries struct{ *Env }

// Tick implements System.
func (q *queries) Tick(_ int64, mail *tables.Mail) {
	for _, query := range mail.Queries {
		query(q.World)
	}
}
