package httpstrict

import (
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// CheckRequestLine returns an error unless method and uri can be sent as they stand: a blank or a
// control byte would make one line into several.
func CheckRequestLine(method, uri string) error {
	if !httpguts.ValidHeaderFieldName(method) {
		return errors.Errorf("the method %.40q is not a token", method)
	}
	if uri == "" || strings.ContainsFunc(uri, isBlankOrControl) {
		return errors.Errorf("the path %.80q is empty or holds a blank or a control byte", uri)
	}
	return nil
}

func isBlankOrControl(r rune) bool { return r <= ' ' || r == 0x7f }
