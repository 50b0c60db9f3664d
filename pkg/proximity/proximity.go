// Package proximity says how far two VMs are apart, in the levels by which bytes between
// them are priced: the same data centre, another data centre of the same region, another
// region. Source: docs/design/regions.md.
package proximity

// Level is how far another VM is.
type Level uint32

// The levels, nearest first.
const (
	// Unknown is the level of a peer that has not sent its hello frame yet.
	Unknown Level = iota
	SameDataCentre
	// Region is another data centre of the same region.
	Region
	OtherRegion
	// Count is the number of levels.
	Count
)

// String returns the label of the level in metrics and log lines.
func (l Level) String() string {
	return [...]string{"unknown", "near", "region", "other", "count"}[min(l, Count)]
}

// Location is where a daemon runs.
type Location struct {
	DataCentre string
	// Region is empty in a deployment without regions, which counts as one region.
	Region string
}

// LevelTo returns how far a VM is from l. If only one of the two regions is known, they
// count as different.
func (l Location) LevelTo(dataCentre, region string) Level {
	switch {
	case dataCentre == l.DataCentre:
		return SameDataCentre
	case region == l.Region:
		return Region
	}
	return OtherRegion
}
