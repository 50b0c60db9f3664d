// Package evacuation holds the set of data centres that operators have evacuated.
// Backend servers there get no new requests until operators take the data centre back.
// Source: docs/design/evacuation.md.
package evacuation

import "slices"

// Set is the set of evacuated data centres as of one revision of the store. A Set is
// immutable. The one with the higher revision supersedes any other, so that an outdated
// set does not evacuate a data centre again that was taken back. The zero value is the
// empty set at revision 0.
type Set struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the store's version of the set.
	Revision uint64
	// DataCentres are sorted by name.
	DataCentres []string
}

// Change evacuates a data centre or, if Evacuated is false, takes it back.
type Change struct {
	DataCentre string
	Evacuated  bool
}

// With returns the set after the changes, at the given revision.
func (s Set) With(revision uint64, changes []Change) Set {
	out := Set{Revision: revision, DataCentres: slices.Clone(s.DataCentres)}
	for _, c := range changes {
		index, found := slices.BinarySearch(out.DataCentres, c.DataCentre)
		switch {
		case c.Evacuated && !found:
			out.DataCentres = slices.Insert(out.DataCentres, index, c.DataCentre)
		case !c.Evacuated && found:
			out.DataCentres = slices.Delete(out.DataCentres, index, index+1)
		}
	}
	return out
}

// Has reports whether a data centre is evacuated.
func (s Set) Has(dataCentre string) bool {
	return len(s.DataCentres) > 0 && slices.Contains(s.DataCentres, dataCentre)
}

// IsEmpty reports whether no data centre is evacuated.
func (s Set) IsEmpty() bool { return len(s.DataCentres) == 0 }

// SameDataCentres reports whether two sets contain the same data centres, at any
// revision.
func (s Set) SameDataCentres(other Set) bool { return slices.Equal(s.DataCentres, other.DataCentres) }
