// Package backend speaks to the one backend server beside the daemon: it hands
// requests over, follows what the backend server says of its load, and knows
// whether it lives, leaves or is gone. Source: docs/design/platform.md,
// "Executor and backend server".
package backend

// Headers names the headers that daemon and backend server exchange. Platforms
// spell them differently; nothing here depends on a spelling.
type Headers struct {
	// RequestID carries the caller's id to the backend server and back.
	RequestID string
	// TimeoutMS carries the time left, in milliseconds.
	TimeoutMS string
	// ExpectedInstanceID names the incarnation that alone may run the request.
	ExpectedInstanceID string
	// Caller names the service on whose VM the request began.
	Caller string
	// Team names the team whose key the request carried.
	Team string
	// InstanceID is how a backend server names its incarnation in answers.
	InstanceID string
	// Load carries running, waiting and slots, and the slowdown in percent.
	Load string
	// NotExecuted marks the only answers that prove that a request did not run.
	NotExecuted string
	// ColdMS is how much longer the backend server is cold, in milliseconds.
	ColdMS string
}

// DefaultHeaders are the names that the product itself uses.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: "Rushramp-Request-Id", TimeoutMS: "Rushramp-Timeout", ExpectedInstanceID: "Rushramp-Expected-Instance",
		Caller: "Rushramp-Caller", Team: "Rushramp-Team", InstanceID: "Rushramp-Instance", Load: "Rushramp-Load", NotExecuted: "Rushramp-Not-Run",
		ColdMS: "Rushramp-Cold-Ms",
	}
}
