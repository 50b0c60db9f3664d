package httpstrict

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// CheckField returns an error unless name is a token and value holds no control byte (RFC 9110,
// sections 5.1 and 5.5). A length or a coding under another name, such as one with a blank before
// the colon, is not heeded by some parsers and is by others.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return errors.Errorf("the name of the response's field %.40q is not a token", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return errors.Errorf("the value of the response's field %s holds a control byte", name)
	}
	return nil
}

// CheckFields checks all fields of a header.
func CheckFields(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if err := CheckField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}
