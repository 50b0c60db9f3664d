// Package place says how far another VM is, in steps that bytes are priced by:
// the own data centre, another one of the own region, another region. Source:
// docs/design/regions.md.
package proximity

// Level is one of these steps.
type Level uint32

// The places, nearest first. A place is Unknown until a peer has greeted.
const (
	Unknown Level = iota
	SameDataCentre
	Region
	OtherRegion
	Count
)

// String returns the place's label in metrics and log lines.
func (l Level) String() string {
	return [...]string{"unknown", "near", "region", "other", "count"}[min(l, Count)]
}

// Location is where a daemon stands.
type Location struct {
	DataCentre string
	// Region is empty in a deployment without regions, which is then one.
	Region string
}

// To is the place of a VM. A region that is not known where others are counts as
// another one.
func (l Location) To(dataCentre, region string) Level {
	switch {
	case dataCentre == l.DataCentre:
		return SameDataCentre
	case region == l.Region:
		return Region
	}
	return OtherRegion
}
