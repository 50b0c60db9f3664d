// Package evacuation holds which data centres operators have evacuated: their
// backend servers get nothing new until operators take them back.
// Source: docs/design/evacuation.md.
package evacuation

import "slices"

// Set is the whole set of evacuated data centres as it stood in the store at one
// revision. A set is never changed; the one of the higher revision goes before
// any other, so that a data centre that was taken back is not evacuated again by
// someone with old news. The zero value knows nothing.
type Set struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the store's counter at which the set was read.
	Revision uint64
	// DataCentres are in the order of their names.
	DataCentres []string
}

// Change is one data centre that was evacuated or taken back.
type Change struct {
	DataCentre string
	Evacuated  bool
}

// With returns the set after some changes, as it stood at a later revision.
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

// Has is true for a data centre that is evacuated.
func (s Set) Has(dataCentre string) bool {
	return len(s.DataCentres) > 0 && slices.Contains(s.DataCentres, dataCentre)
}

// IsEmpty is true when no data centre is evacuated.
func (s Set) IsEmpty() bool { return len(s.DataCentres) == 0 }

// SameDataCentres is true when two sets evacuate the same data centres.
func (s Set) SameDataCentres(other Set) bool { return slices.Equal(s.DataCentres, other.DataCentres) }
