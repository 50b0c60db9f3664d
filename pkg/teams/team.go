// Package teams holds whose requests a placement lets in: teams, the digests of their
// keys, their rank and their limit. It needs no network. Source: docs/design/teams.md.
package teams

// Team is a customer of the operators' whose requests carry one of its keys.
type Team struct {
	Name string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	// Keys are the digests of the keys that its requests may carry.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty" yaml:"keys,omitempty"`
	// Priority goes before that of the route; 0 is the highest.
	Priority uint8 `cbor:"3,keyasint,omitempty" yaml:"priority,omitempty"`
	// Limit bounds the team's requests, counted over all daemons together.
	Limit Limit `cbor:"4,keyasint,omitempty" yaml:"limit,omitempty"`
}

// Limit is how many requests a team may send.
type Limit struct {
	// Rate is in requests a second; 0: there is no limit.
	Rate float64 `cbor:"1,keyasint,omitempty" yaml:"rate,omitempty" validate:"min=0"`
	// Burst is how many requests it may send beyond that at once.
	Burst float64 `cbor:"2,keyasint,omitempty" yaml:"burst,omitempty" validate:"min=0"`
}

// Limited is true where there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }
