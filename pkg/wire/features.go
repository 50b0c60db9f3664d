package wire

// Features is a set of optional features of a link. A side uses a feature only if the peer
// has announced it.
type Features uint64

const (
	// FeatureGrants: the sender grants and obeys grants of bodies (Grant).
	FeatureGrants Features = 1 << iota
	// FeatureAcks: the sender acknowledges calls that ask for it (Ack).
	FeatureAcks
	// FeatureRetries: the sender answers asks for retries (RetryAsk).
	FeatureRetries
	// FeatureAnyText: the sender reads frames whose text is not valid UTF-8.
	FeatureAnyText
)

// Has reports whether all features of other are in the set.
func (f Features) Has(other Features) bool { return f&other == other }
