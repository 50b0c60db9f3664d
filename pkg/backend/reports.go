package backend

import "net/http"

// Reports are what the backend server says of itself in the header of a response.
type Reports struct {
	// Load is the text of the load header; see ParseLoadReport.
	Load string
	// RateLimit holds the values of the header with the rate limit, none if it is missing.
	RateLimit []string
	// Leaving is true if the backend server says that it leaves.
	Leaving bool
}

// leavingValue is the value of the header Leaving. Any other is ignored.
const leavingValue = "1"

// parseReports returns the reports in the header of a response.
func (h *Headers) parseReports(header http.Header) Reports {
	return Reports{
		Load: header.Get(h.Load), RateLimit: header.Values(h.RateLimit), Leaving: header.Get(h.Leaving) == leavingValue,
	}
}
