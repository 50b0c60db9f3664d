package call

import (
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/httpstrict"
)

// WithoutBrokenAnswer returns the result with a refusal in place of an answer that has no status or
// fields that a caller may get. The executor does not let such an answer through, but a daemon of
// an earlier release may have sent or stored it.
func (r Result) WithoutBrokenAnswer() Result {
	if r.Answer == nil {
		return r
	}
	if err := r.Answer.checkHead(); err != nil {
		r.Answer, r.Refusal = nil, errkind.New(errkind.BackendFailed, "%v", err)
	}
	return r
}

func (a *Answer) checkHead() error {
	if err := httpstrict.CheckStatus(a.Status); err != nil {
		return err
	}
	for _, h := range a.Headers {
		if err := httpstrict.CheckField(h.Name, h.Value); err != nil {
			return err
		}
	}
	return nil
}
