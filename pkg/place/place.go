// Package place says how far another VM is, in steps that bytes are priced by:
// the own data centre, another one of the own region, another region. Source:
// docs/design/regions.md.
package place

// Place is one of these steps.
type Place uint32

// The places, nearest first. A place is Unknown until a peer has greeted.
const (
	Unknown Place = iota
	Near
	Region
	Other
	Count
)

// String returns the place's label in metrics and log lines.
func (p Place) String() string {
	return [...]string{"unknown", "near", "region", "other", "count"}[min(p, Count)]
}

// Here is where a daemon stands.
type Here struct {
	DataCentre string
	// Region is empty in a deployment without regions, which is then one.
	Region string
}

// Of is the place of a VM. A region that is not known where others are counts as
// another one.
func (h Here) Of(dataCentre, region string) Place {
	switch {
	case dataCentre == h.DataCentre:
		return Near
	case region == h.Region:
		return Region
	}
	return Other
}
