package routing

import "slices"

// NoDataCentre is the only entry of a list of data centres if the rules name data centres
// or regions but none of them exists. An empty list would allow all. No data centre has an
// empty name, so code that compares names needs no special case.
const NoDataCentre = ""

// AllowsDataCentre reports whether the list allows the data centre. An empty list allows all.
func AllowsDataCentre(list []string, dataCentre string) bool {
	return len(list) == 0 || dataCentre != NoDataCentre && slices.Contains(list, dataCentre)
}

// AllowsLocation reports whether a daemon in this data centre and region may handle requests of
// the route. An empty region is unknown: a route with regions does not allow it.
func (r *Route) AllowsLocation(dataCentre, region string) bool {
	inRegion := len(r.Regions) == 0 || region != "" && slices.Contains(r.Regions, region)
	return inRegion && AllowsDataCentre(r.DataCentres, dataCentre)
}

// DataCentresInRegions returns the names of the data centres in the regions, sorted.
// regionOf maps each data centre to its region. Without regions the result is nil, which
// allows all data centres; if the regions have no data centre, it is NoDataCentre alone.
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
