package routing

import "slices"

// NoDataCentre stands in a list of data centres that would else be empty: the rules
// allow some, and none of them exists. No data centre has an empty name, so that
// whoever compares names keeps the rule without knowing of it.
const NoDataCentre = ""

// AllowsDataCentre is true when a list of data centres allows one of them.
func AllowsDataCentre(list []string, dataCentre string) bool {
	return len(list) == 0 || dataCentre != NoDataCentre && slices.Contains(list, dataCentre)
}

// AllowsLocation is true when the route's requests may be handled by a daemon that
// knows its own data centre and region.
func (r *Route) AllowsLocation(dataCentre, region string) bool {
	inRegion := len(r.Regions) == 0 || region != "" && slices.Contains(r.Regions, region)
	return inRegion && AllowsDataCentre(r.DataCentres, dataCentre)
}

// DataCentresInRegions translates regions into the data centres that belong to them, in
// the order of their names; regionOf holds the region of each data centre. No
// region: no rule. Regions without data centres: Nowhere.
func DataCentresInRegions(regions []string, regionOf map[string]string) []string {
	if len(regions) == 0 {
		return nil
	}
	var out []string
	for dataCentre, region := range regionOf {
		if dataCentre != NoDataCentre && region != "" && slices.Contains(regions, region) {
			out = append(out, dataCentre)
		}
	}
	if len(out) == 0 {
		return []string{NoDataCentre}
	}
	slices.Sort(out)
	return out
}
