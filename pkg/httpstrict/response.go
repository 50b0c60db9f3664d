package httpstrict

import (
	"net/http"

	"github.com/pkg/errors"
)

// CheckResponse returns an error for a head that net/http reads and that is not the head of a
// response of HTTP/1, be it an interim or a final one.
func CheckResponse(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return errors.Errorf("the response's protocol is %s", resp.Proto)
	}
	if err := CheckFields(resp.Header); err != nil {
		return err
	}
	if IsInterim(resp.StatusCode) {
		return nil
	}
	return CheckStatus(resp.StatusCode)
}
