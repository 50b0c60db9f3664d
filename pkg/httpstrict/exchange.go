package httpstrict

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Exchange sends a request and reads the whole response with a body of up to maxBody bytes, whose
// Body is closed then. A success (2xx) is an error if the request was not written whole: the server
// cannot have kept what it has not read, and a reset that reaches only the writer ends a body
// without a length as an orderly end does. Responses of HTTP/1.0 are refused, because net/http drops
// their transfer coding.
func Exchange(client *http.Client, req *http.Request, maxBody int64) (*http.Response, []byte, error) {
	ctx, write := traceWrite(req.Context())
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if !resp.ProtoAtLeast(1, 1) {
		return nil, nil, errors.Errorf("the response's protocol is %s", resp.Proto)
	}
	if err := CheckResponse(resp); err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the response")
	}
	if int64(len(body)) > maxBody {
		return nil, nil, errors.Errorf("the response has over %d bytes", maxBody)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		if err := write.wait(ctx); err != nil {
			return nil, nil, errors.Wrap(err, "the response came before the request was written")
		}
	}
	return resp, body, nil
}
