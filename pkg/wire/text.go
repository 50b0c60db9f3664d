package wire

import "unicode/utf8"

// HasValidText reports whether a peer without FeatureAnyText can read the call: it ends the
// link on text that is not valid UTF-8.
func (c *Call) HasValidText() bool {
	for i := range c.Headers {
		if !c.Headers[i].hasValidText() {
			return false
		}
	}
	return utf8.ValidString(c.Method) && utf8.ValidString(c.URI) && utf8.ValidString(c.Key)
}

// DropInvalidText removes the headers that a peer without FeatureAnyText cannot read.
func (a *Answer) DropInvalidText() {
	var valid []Header
	for _, h := range a.Headers {
		if h.hasValidText() {
			valid = append(valid, h)
		}
	}
	a.Headers = valid
}

func (h *Header) hasValidText() bool { return utf8.ValidString(h.Name) && utf8.ValidString(h.Value) }
