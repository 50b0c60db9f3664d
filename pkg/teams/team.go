// Package teams holds the teams of a placement, whose requests are let in by a key: the
// digests of their keys, their priority and their limit. It uses no network. Source:
// docs/design/teams.md.
package teams

// Team is a customer of the operators. Its requests carry one of its keys.
type Team struct {
	Name string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	// Keys are the digests of the keys that its requests may carry.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty" yaml:"keys,omitempty"`
	// Priority orders requests by team; the route's priority orders those of equal
	// Priority. 0 is the highest.
	Priority uint8 `cbor:"3,keyasint,omitempty" yaml:"priority,omitempty"`
	// Limit bounds the team's requests, summed over all daemons.
	Limit Limit `cbor:"4,keyasint,omitempty" yaml:"limit,omitempty"`
}

// Limit is how many requests a team may send.
type Limit struct {
	// Rate is in requests per second; 0: no limit.
	Rate float64 `cbor:"1,keyasint,omitempty" yaml:"rate,omitempty" validate:"min=0"`
	// Burst is how many requests the team may send at once beyond the rate.
	Burst float64 `cbor:"2,keyasint,omitempty" yaml:"burst,omitempty" validate:"min=0"`
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }
