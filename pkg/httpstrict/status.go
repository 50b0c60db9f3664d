// Package httpstrict checks what clients of libraries let through: heads that are none of HTTP/1, and
// answers to requests that were not written whole. All readers of the answers of backend servers and
// of the platform use it.
package httpstrict

import (
	"net/http"

	"github.com/pkg/errors"
)

// maxStatus is the largest status of three digits. Statuses from 600 on are undefined and passed
// on as they are.
const maxStatus = 999

// CheckStatus returns an error unless status ends a request. A recipient would take the next
// response on the connection for the answer to the same request after any other.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Errorf("the response's status %03d is not a final status", status)
	}
	return nil
}

// IsInterim reports whether a response with this status comes before the final one. Status 101 is
// none of them: what follows it is no HTTP, and nobody here asks for it.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
