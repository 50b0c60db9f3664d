// Package backend talks to the one backend server beside the daemon: it sends
// requests, tracks the load that the backend server reports, and tracks whether its
// process is live, leaving or down. Source: docs/design/platform.md,
// "Executor and backend server".
package backend

import (
	"net/http"
	"unicode/utf8"
)

// Headers holds the names of the HTTP headers that daemon and backend server exchange.
// They differ between platforms. One with an empty name is not exchanged.
type Headers struct {
	// RequestID carries the request's ID to the backend server and back.
	RequestID string
	// TimeoutMS carries the time left until the deadline, in milliseconds.
	TimeoutMS string
	// ExpectedInstanceID names the only instance that may run the request.
	ExpectedInstanceID string
	// Caller names the service on whose VM the request began.
	Caller string
	// Team names the team whose key the request carried.
	Team string
	// InstanceID names the instance that answers.
	InstanceID string
	// Load carries running, waiting, slots and the slowdown in percent; see
	// ParseLoadReport.
	Load string
	// NotExecuted marks a response to a request that the backend server did not run.
	NotExecuted string
	// ColdMS carries how much longer the backend server is cold, in milliseconds.
	ColdMS string
	// RateLimit carries how many requests per second the backend server takes from all
	// daemons together; see RateLimit.
	RateLimit string
	// Leaving is 1 in the responses of a backend server that leaves.
	Leaving string
}

// DefaultHeaders returns rushramp's own header names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: "Rushramp-Request-Id", TimeoutMS: "Rushramp-Timeout", ExpectedInstanceID: "Rushramp-Expected-Instance",
		Caller: "Rushramp-Caller", Team: "Rushramp-Team", InstanceID: "Rushramp-Instance", Load: "Rushramp-Load", NotExecuted: "Rushramp-Not-Run",
		ColdMS: "Rushramp-Cold-Ms", RateLimit: "Rushramp-Rate-Limit", Leaving: "Rushramp-Leaving",
	}
}

// instanceID returns the instance ID that a response names, or an empty string if it is missing
// or no text, which names nobody.
func (h *Headers) instanceID(header http.Header) string {
	if id := header.Get(h.InstanceID); utf8.ValidString(id) {
		return id
	}
	return ""
}
